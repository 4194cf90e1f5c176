#include "vanillalatch/telemetry/log.h"

#include <fcntl.h>
#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>

#include "src/telemetry/log_queue.h"
#include "vanillalatch/base/error.h"
#include "vanillalatch/telemetry/trace.h"

namespace vanillalatch {
namespace {

using Json = nlohmann::ordered_json;

// How long a stopping process waits for the reader of the log: a small part of
// the time that service managers give a process to stop.
constexpr std::chrono::milliseconds kMaxFlushTime{200};

struct LevelRow {
  LogLevel level;
  std::string_view name;
  log4cplus::LogLevel library_level;
};

constexpr std::array<LevelRow, 5> kLevels = {{
    {LogLevel::kTrace, "trace", log4cplus::TRACE_LOG_LEVEL},
    {LogLevel::kDebug, "debug", log4cplus::DEBUG_LOG_LEVEL},
    {LogLevel::kInfo, "info", log4cplus::INFO_LOG_LEVEL},
    {LogLevel::kWarn, "warn", log4cplus::WARN_LOG_LEVEL},
    {LogLevel::kError, "error", log4cplus::ERROR_LOG_LEVEL},
}};

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string_view LevelName(log4cplus::LogLevel level) {
  for (const LevelRow& it : kLevels) {
    if (it.library_level == level) {
      return it.name;
    }
  }
  return "unknown";
}

// Returns, for example, "2026-01-02T03:04:05.678901Z".
std::string FormatUtc(const log4cplus::helpers::Time& time) {
  const std::int64_t us = time.time_since_epoch().count();
  constexpr std::int64_t kUsPerSecond = 1'000'000;
  const std::time_t seconds = us / kUsPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> buf{};
  const std::size_t n =
      std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(buf.data() + n, buf.size() - n, ".%06dZ",
                static_cast<int>(us % kUsPerSecond));
  return buf.data();
}

// Formats a log line: inserts time, level and VM at the front of the event,
// which is a JSON object.
class JsonLineLayout : public log4cplus::Layout {
 public:
  explicit JsonLineLayout(std::string_view vm) : vm_(Dump(std::string(vm))) {}

  void formatAndAppend(
      log4cplus::tostream& output,
      const log4cplus::spi::InternalLoggingEvent& event) override {
    const std::string_view message = event.getMessage();
    output << R"({"time":")" << FormatUtc(event.getTimestamp())
           << R"(","level":")" << LevelName(event.getLogLevel()) << R"(","vm":)"
           << vm_ << ',' << message.substr(1) << '\n';
  }

 private:
  std::string vm_;
};

// True once StartLogging() has succeeded.
std::atomic<bool>& IsLoggingStarted() {
  static std::atomic<bool> started = false;
  return started;
}

log4cplus::Logger& ProcessLogger() {
  static const log4cplus::Initializer kInitializer;
  static log4cplus::Logger logger =
      log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("vanillalatch"));
  return logger;
}

// The queue that the last StartLogging() created. The pointer is never
// destroyed, as threads may log until the process ends.
std::shared_ptr<internal::LogQueue>& CurrentQueue() {
  static auto* queue = new std::shared_ptr<internal::LogQueue>();
  return *queue;
}

std::string FormatLeftOutLine(std::string_view vm, std::uint64_t count) {
  const Json line = {{"time", FormatUtc(log4cplus::helpers::now())},
                     {"level", "warn"},
                     {"vm", std::string(vm)},
                     {"event", "log_lines_left_out"},
                     {"count", count},
                     {"reason", "the reader of the log is too slow"}};
  return Dump(line) + "\n";
}

// Formats events and puts them into the queue.
class QueueAppender : public log4cplus::Appender {
 public:
  explicit QueueAppender(std::shared_ptr<internal::LogQueue> queue)
      : queue_(std::move(queue)) {}
  ~QueueAppender() override { destructorImpl(); }

  void close() override { closed = true; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    std::ostringstream line;
    layout->formatAndAppend(line, event);
    queue_->Push(line.str(), event.getLogLevel() >= log4cplus::WARN_LOG_LEVEL);
  }

 private:
  std::shared_ptr<internal::LogQueue> queue_;
};

// Returns the descriptor of the file, opened for appending, or of standard
// output if `file` is empty.
int OpenSink(const std::string& file) {
  if (file.empty()) {
    return STDOUT_FILENO;
  }
  const int fd = open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                      S_IRUSR | S_IWUSR | S_IRGRP | S_IROTH);
  if (fd < 0) {
    throw Error(ErrorKind::kStorage, file + ": can't be opened for writing");
  }
  return fd;
}

}  // namespace

LogField TraceIdField(RequestId request) {
  return {"trace_id", FormatTraceId(request)};
}

void StartLogging(std::string_view level, const std::string& file,
                  std::string_view vm) {
  const LevelRow* row = nullptr;
  for (const LevelRow& it : kLevels) {
    row = it.name == level ? &it : row;
  }
  if (row == nullptr) {
    throw Error(ErrorKind::kInvalidArgument,
                "unknown log level \"" + std::string(level) + "\"");
  }
  log4cplus::Logger& logger = ProcessLogger();
  const auto queue = std::make_shared<internal::LogQueue>(
      OpenSink(file), [name = std::string(vm)](std::uint64_t count) {
        return FormatLeftOutLine(name, count);
      });
  log4cplus::SharedAppenderPtr appender(new QueueAppender(queue));
  appender->setLayout(std::make_unique<JsonLineLayout>(vm));
  logger.removeAllAppenders();
  logger.addAppender(appender);
  logger.setLogLevel(row->library_level);
  logger.setAdditivity(false);
  FlushLog();
  CurrentQueue() = queue;
  IsLoggingStarted().store(true);
}

void FlushLog() {
  if (CurrentQueue() != nullptr) {
    CurrentQueue()->Flush(kMaxFlushTime);
  }
}

void LogEvent(LogLevel level, std::string_view event,
              std::span<const LogField> fields) {
  const log4cplus::LogLevel library_level =
      kLevels.at(static_cast<std::size_t>(level)).library_level;
  if (!IsLoggingStarted().load() ||
      !ProcessLogger().isEnabledFor(library_level)) {
    return;
  }
  Json line = {{"event", event}};
  for (const LogField& it : fields) {
    std::visit([&](const auto& value) { line[std::string(it.key())] = value; },
               it.value());
  }
  ProcessLogger().forcedLog(library_level, Dump(line));
}

}  // namespace vanillalatch
