#include "vanillalatch/telemetry/log.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <vector>

#include "vanillalatch/base/error.h"

namespace vanillalatch {
namespace {

using Json = nlohmann::json;

// A file that exists only during one test.
class ScratchFile {
 public:
  ScratchFile()
      : path_(std::filesystem::temp_directory_path() /
              ("log_test." + std::to_string(getpid()) + ".jsonl")) {}
  ~ScratchFile() { std::filesystem::remove(path_); }

  std::string path() const { return path_; }
  std::vector<Json> Lines() const {
    std::ifstream file(path_);
    std::vector<Json> lines;
    for (std::string line; std::getline(file, line);) {
      lines.push_back(Json::parse(line));
    }
    return lines;
  }

 private:
  std::filesystem::path path_;
};

TEST_CASE("an event is one JSON line whatever its text holds", "[telemetry]") {
  const ScratchFile file;
  StartLogging("info", file.path(), "vm \"one\"");
  struct Row {
    std::string text;
    std::string expected;
  };
  const auto row = GENERATE(values<Row>({
      {"plain", "plain"},
      {"two\nlines \"quoted\" \\", "two\nlines \"quoted\" \\"},
      {std::string("a\0b", 3), std::string("a\0b", 3)},
      {"bad \xff utf-8", "bad \xef\xbf\xbd utf-8"},
  }));
  LogEvent(LogLevel::kInfo, "sample",
           {{"text", row.text}, {"count", 7}, {"ratio", 0.5}, {"ok", true}});
  const std::vector<Json> lines = file.Lines();
  REQUIRE(lines.size() == 1);
  CHECK(lines[0]["event"] == "sample");
  CHECK(lines[0]["level"] == "info");
  CHECK(lines[0]["vm"] == "vm \"one\"");
  CHECK(lines[0]["text"] == row.expected);
  CHECK(lines[0]["count"] == 7);
  CHECK(lines[0]["ratio"] == 0.5);
  CHECK(lines[0]["ok"] == true);
  CHECK(lines[0]["time"].get<std::string>().size() == 27);
}

TEST_CASE("events below the level are dropped", "[telemetry]") {
  const ScratchFile file;
  StartLogging("warn", file.path(), "vm");
  LogEvent(LogLevel::kInfo, "dropped");
  LogEvent(LogLevel::kWarn, "kept", {TraceField(RequestId(0xab))});
  const std::vector<Json> lines = file.Lines();
  REQUIRE(lines.size() == 1);
  CHECK(lines[0]["event"] == "kept");
  CHECK(lines[0]["trace_id"] == "000000000000000000000000000000ab");
}

TEST_CASE("a log that can't be opened is an error", "[telemetry]") {
  CHECK_THROWS_AS(StartLogging("loud", "", "vm"), Error);
  CHECK_THROWS_AS(StartLogging("info", "/nonexistent/folder/log", "vm"), Error);
}

}  // namespace
}  // namespace vanillalatch
