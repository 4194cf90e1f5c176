#include "vanillalatch/scenario/scenario.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

namespace vanillalatch::scenario {
namespace {

constexpr std::size_t kJournalLinesShown = 25;

std::uint64_t ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [it, ec] = std::from_chars(text.data(), end, value);
  if (ec != std::errc() || it != end) {
    throw Failure("expected a number, got \"" + std::string(text) + "\"");
  }
  return value;
}

Step ParseStep(int line, const std::string& text) {
  Step step;
  step.line = line;
  step.text = text;
  std::istringstream in(text);
  in >> step.verb;
  for (std::string word; in >> word;) {
    const std::size_t equals = word.find('=');
    if (equals == std::string::npos) {
      step.words.push_back(word);
    } else {
      step.named[word.substr(0, equals)] = word.substr(equals + 1);
    }
  }
  return step;
}

std::string ReadText(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    throw Failure("can't read " + path);
  }
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

// Returns the last `count` lines of `text`.
std::string LastLines(std::string_view text, std::size_t count) {
  std::size_t begin = text.size();
  for (std::size_t n = 0; n <= count && begin != std::string_view::npos; ++n) {
    begin = begin == 0 ? std::string_view::npos : text.rfind('\n', begin - 1);
  }
  return std::string(begin == std::string_view::npos ? text
                                                     : text.substr(begin + 1));
}

// Returns the one-based number of the first line in which `a` and `b` differ.
int FirstDifferentLine(std::string_view a, std::string_view b) {
  const auto [it, other] =
      std::mismatch(a.begin(), a.end(), b.begin(), b.end());
  return 1 + static_cast<int>(std::count(a.begin(), it, '\n'));
}

}  // namespace

const std::string& Step::Word(std::size_t n) const {
  if (n >= words.size()) {
    throw Failure("argument " + std::to_string(n + 1) + " is missing");
  }
  return words[n];
}

std::uint64_t Step::Number(std::size_t n) const { return ParseNumber(Word(n)); }

Duration Step::Time(std::size_t n) const { return ParseTime(Word(n)); }

std::string Step::Named(std::string_view key, std::string_view fallback) const {
  const auto it = named.find(key);
  return it == named.end() ? std::string(fallback) : it->second;
}

std::uint64_t Step::NamedNumber(std::string_view key,
                                std::uint64_t fallback) const {
  const auto it = named.find(key);
  return it == named.end() ? fallback : ParseNumber(it->second);
}

Duration Step::NamedTime(std::string_view key, Duration fallback) const {
  const auto it = named.find(key);
  return it == named.end() ? fallback : ParseTime(it->second);
}

Duration ParseTime(std::string_view text) {
  static constexpr std::pair<std::string_view, Duration> kUnits[] = {
      {"us", std::chrono::microseconds(1)},
      {"ms", std::chrono::milliseconds(1)},
      {"min", std::chrono::minutes(1)},
      {"s", std::chrono::seconds(1)},
  };
  for (const auto& [suffix, unit] : kUnits) {
    if (text.size() > suffix.size() && text.ends_with(suffix)) {
      return unit * ParseNumber(text.substr(0, text.size() - suffix.size()));
    }
  }
  throw Failure("expected a time such as 200ms, got \"" + std::string(text) +
                "\"");
}

Script ParseScript(const std::string& path, std::string_view text) {
  Script script;
  script.path = path;
  std::istringstream in{std::string(text)};
  int n = 0;
  for (std::string line; std::getline(in, line);) {
    ++n;
    const std::size_t begin = line.find_first_not_of(" \t");
    if (begin == std::string::npos || line[begin] == '#') {
      continue;
    }
    Step step = ParseStep(n, line);
    if (step.verb == "seed") {
      script.seed = step.Number(0);
    } else {
      script.steps.push_back(std::move(step));
    }
  }
  return script;
}

Script ReadScript(const std::string& path) {
  return ParseScript(path, ReadText(path));
}

std::vector<std::string> ListScripts(const std::string& folder) {
  std::vector<std::string> paths;
  for (const auto& it : std::filesystem::directory_iterator(folder)) {
    if (it.path().extension() == ".scn") {
      paths.push_back(it.path().string());
    }
  }
  std::sort(paths.begin(), paths.end());
  return paths;
}

void CheckGolden(const std::string& script_path, std::string_view journal) {
  std::filesystem::path golden(script_path);
  golden.replace_extension(".golden");
  if (!std::filesystem::exists(golden)) {
    return;
  }
  if (std::getenv("VANILLALATCH_UPDATE_GOLDEN") != nullptr) {
    std::ofstream(golden) << journal;
    return;
  }
  const std::string expected = ReadText(golden.string());
  if (expected != journal) {
    throw Failure(golden.string() + " differs from line " +
                  std::to_string(FirstDifferentLine(expected, journal)) +
                  " on; the run was:\n" + std::string(journal));
  }
}

namespace internal {

std::string FailureMessage(const Script& script, const Step& step,
                           std::string_view what, std::string_view journal) {
  std::ostringstream out;
  out << script.path << ":" << step.line << " (seed " << script.seed
      << "): " << step.text << "\n  " << what << "\nbefore it:\n"
      << LastLines(journal, kJournalLinesShown);
  return out.str();
}

}  // namespace internal
}  // namespace vanillalatch::scenario
