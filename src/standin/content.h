// What the backend stand-in answers, so that the caller stand-in can tell
// whether an answer is its own, from the right service, and whole.
#ifndef VANILLALATCH_SRC_STANDIN_CONTENT_H_
#define VANILLALATCH_SRC_STANDIN_CONTENT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace vanillalatch::standin {

// "service=records key=a1 endpoint=records-1"; begins with AnswerPrefix().
std::string AnswerText(std::string_view service, std::string_view key,
                       std::string_view endpoint);

// "service=records key=a1 ", the part that each endpoint answers alike.
std::string AnswerPrefix(std::string_view service, std::string_view key);

// `size` bytes that begin with AnswerPrefix(); the same on every endpoint.
std::string LargeContent(std::string_view service, std::string_view key,
                         std::size_t size);

// The ETag of a large answer.
std::uint64_t EntityTag(std::string_view content);

}  // namespace vanillalatch::standin

#endif  // VANILLALATCH_SRC_STANDIN_CONTENT_H_
