// Tests that the list of events agrees with the source files and with
// docs/EVENTS.md.
#include "vanillalatch/telemetry/log_events.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

namespace vanillalatch {
namespace {

std::string ReadAll(const std::filesystem::path& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Returns the text of all source files except tests, the list of events, and
// story.cc, which names events that it reads but does not log.
std::string ReadSources() {
  std::string text;
  for (const char* folder : {"src", "platform", "include"}) {
    for (const auto& it :
         std::filesystem::recursive_directory_iterator(folder)) {
      const std::string name = it.path().filename();
      const bool source = name.ends_with(".cc") || name.ends_with(".h");
      if (source && !name.ends_with("_test.cc") &&
          !name.starts_with("log_events") && name != "story.cc") {
        text += ReadAll(it.path());
      }
    }
  }
  // Removes comments, as they contain examples of calls.
  return std::regex_replace(text, std::regex("//[^\n]*"), "");
}

bool IsListed(const std::string& name) {
  const auto rows = LogEventRows();
  return std::any_of(rows.begin(), rows.end(),
                     [&](const LogEventRow& it) { return it.name == name; });
}

TEST_CASE("every event in the sources is in the list", "[telemetry]") {
  const std::string text = ReadSources();
  // Matches calls of the functions that log. The event's name is the second
  // argument, which contains two names if it is a conditional expression.
  const std::regex call(
      R"((?:LogEvent|LogFlowLine)\(\s*[^,;"]+,\s*([^,;]*?"[^,;]*))");
  const std::regex name("\"([a-z_]+)\"");
  std::set<std::string> found;
  for (std::sregex_iterator it(text.begin(), text.end(), call), end; it != end;
       ++it) {
    const std::string argument = (*it)[1];
    for (std::sregex_iterator one(argument.begin(), argument.end(), name);
         one != end; ++one) {
      found.insert((*one)[1]);
    }
  }
  CHECK(found.size() > 30);
  for (const std::string& it : found) {
    INFO(it);
    CHECK(IsListed(it));
  }
}

TEST_CASE("every event of the list is in the sources, once", "[telemetry]") {
  const std::string text = ReadSources();
  std::set<std::string_view> names;
  for (const LogEventRow& it : LogEventRows()) {
    INFO(it.name);
    CHECK(names.insert(it.name).second);
    CHECK(text.find('"' + std::string(it.name) + '"') != std::string::npos);
    CHECK(!it.meaning.empty());
    CHECK(!it.advice.empty());
  }
}

TEST_CASE("docs/EVENTS.md is the list", "[telemetry]") {
  CHECK(ReadAll("docs/EVENTS.md") == FormatLogEventsPage());
}

}  // namespace
}  // namespace vanillalatch
