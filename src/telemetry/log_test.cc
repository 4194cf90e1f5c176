#include "vanillalatch/telemetry/log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <vector>

#include "src/telemetry/log_queue.h"
#include "vanillalatch/base/error.h"

namespace vanillalatch {
namespace {

using Json = nlohmann::json;

// A log file that is removed at the end of the test.
class ScratchFile {
 public:
  ScratchFile()
      : path_(std::filesystem::temp_directory_path() /
              ("log_test." + std::to_string(getpid()) + ".jsonl")) {}
  ~ScratchFile() { std::filesystem::remove(path_); }

  std::string path() const { return path_; }
  // Returns the lines once there are any. FlushLog() alone waits for 200 ms at
  // most, in which the writing thread may not run on a busy machine.
  std::vector<Json> Lines() const {
    std::vector<Json> lines;
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (lines.empty() && std::chrono::steady_clock::now() < end) {
      FlushLog();
      lines = ReadLines();
    }
    return lines;
  }

 private:
  std::vector<Json> ReadLines() const {
    std::ifstream file(path_);
    std::vector<Json> lines;
    for (std::string line; std::getline(file, line);) {
      lines.push_back(Json::parse(line));
    }
    return lines;
  }

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
  LogEvent(LogLevel::kWarn, "kept", {TraceIdField(RequestId(0xab))});
  const std::vector<Json> lines = file.Lines();
  REQUIRE(lines.size() == 1);
  CHECK(lines[0]["event"] == "kept");
  CHECK(lines[0]["trace_id"] == "000000000000000000000000000000ab");
}

TEST_CASE("a log that can't be opened is an error", "[telemetry]") {
  CHECK_THROWS_AS(StartLogging("loud", "", "vm"), Error);
  CHECK_THROWS_AS(StartLogging("info", "/nonexistent/folder/log", "vm"), Error);
}

// A small pipe that is not read until Read() is called.
class FullPipe {
 public:
  FullPipe() {
    REQUIRE(pipe2(ends_.data(), O_CLOEXEC) == 0);
    fcntl(ends_[1], F_SETPIPE_SZ, 4096);
  }
  ~FullPipe() { close(ends_[0]); }
  int write_fd() const { return ends_[1]; }
  std::string Read() {
    std::string text(1 << 20, 0);
    const ssize_t n = read(ends_[0], text.data(), text.size());
    text.resize(n < 0 ? 0 : static_cast<std::size_t>(n));
    return text;
  }

 private:
  std::array<int, 2> ends_{};
};

TEST_CASE("a reader that stops reading does not block logging", "[telemetry]") {
  FullPipe pipe;
  internal::LogQueue queue(pipe.write_fd(), [](std::uint64_t n) {
    return "left out " + std::to_string(n) + "\n";
  });
  const std::string line(99, 'x');
  const auto begin = std::chrono::steady_clock::now();
  // Ten times the capacity of the queue.
  for (std::size_t n = 0; n < 10 * internal::LogQueue::kMaxBytes / 100; ++n) {
    queue.Push(line + "\n", false);
  }
  queue.Push("important\n", true);
  // A blocked write would never return.
  CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds(1));
  CHECK(queue.left_out() > 0);
  // Ordinary lines do not use the capacity reserved for important ones. Read()
  // would never return if the line had been left out.
  std::string text;
  while (text.find("left out") == std::string::npos ||
         text.find("important") == std::string::npos) {
    text += pipe.Read();
  }
}

}  // namespace
}  // namespace vanillalatch
