#include "src/standin/content.h"

#include <random>

#include "vanillalatch/base/hash.h"

namespace vanillalatch::standin {

std::string AnswerPrefix(std::string_view service, std::string_view key) {
  return "service=" + std::string(service) + " key=" + std::string(key) + " ";
}

std::string AnswerText(std::string_view service, std::string_view key,
                       std::string_view endpoint) {
  return AnswerPrefix(service, key) + "endpoint=" + std::string(endpoint);
}

std::string LargeContent(std::string_view service, std::string_view key,
                         std::size_t size) {
  std::string content = AnswerPrefix(service, key);
  std::mt19937_64 random(StableHash(content));
  std::uniform_int_distribution<int> letters('a', 'z');
  while (content.size() < size) {
    content.push_back(static_cast<char>(letters(random)));
  }
  content.resize(size);
  return content;
}

std::uint64_t EntityTag(std::string_view content) {
  return StableHash(content);
}

}  // namespace vanillalatch::standin
