#include "vanillalatch/telemetry/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>

#include "vanillalatch/base/error.h"
#include "vanillalatch/telemetry/trace.h"

namespace vanillalatch {
namespace {

using Json = nlohmann::ordered_json;

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

// "2026-01-02T03:04:05.678901Z"
std::string UtcText(const log4cplus::helpers::Time& time) {
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

// Puts time, level and VM in front of an event that is a JSON object.
class JsonLineLayout : public log4cplus::Layout {
 public:
  explicit JsonLineLayout(std::string_view vm) : vm_(Dump(std::string(vm))) {}

  void formatAndAppend(
      log4cplus::tostream& output,
      const log4cplus::spi::InternalLoggingEvent& event) override {
    const std::string_view message = event.getMessage();
    output << R"({"time":")" << UtcText(event.getTimestamp())
           << R"(","level":")" << LevelName(event.getLogLevel()) << R"(","vm":)"
           << vm_ << ',' << message.substr(1) << '\n';
  }

 private:
  std::string vm_;
};

std::atomic<bool>& Started() {
  static std::atomic<bool> started = false;
  return started;
}

log4cplus::Logger& ProcessLogger() {
  static const log4cplus::Initializer kInitializer;
  static log4cplus::Logger logger =
      log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("vanillalatch"));
  return logger;
}

log4cplus::SharedAppenderPtr OpenAppender(const std::string& file) {
  if (file.empty()) {
    return log4cplus::SharedAppenderPtr(
        new log4cplus::ConsoleAppender(/*logToStdErr=*/false,
                                       /*immediateFlush=*/true));
  }
  if (!std::ofstream(file, std::ios::app)) {
    throw Error(ErrorKind::kStorage, file + ": can't be written");
  }
  return log4cplus::SharedAppenderPtr(
      new log4cplus::FileAppender(file, std::ios::app));
}

}  // namespace

LogField TraceField(RequestId request) {
  return {"trace_id", TraceIdText(request)};
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
  log4cplus::SharedAppenderPtr appender = OpenAppender(file);
  appender->setLayout(std::make_unique<JsonLineLayout>(vm));
  logger.removeAllAppenders();
  logger.addAppender(appender);
  logger.setLogLevel(row->library_level);
  logger.setAdditivity(false);
  Started().store(true);
}

void LogEvent(LogLevel level, std::string_view event,
              std::initializer_list<LogField> fields) {
  const log4cplus::LogLevel library_level =
      kLevels.at(static_cast<std::size_t>(level)).library_level;
  if (!Started().load() || !ProcessLogger().isEnabledFor(library_level)) {
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
