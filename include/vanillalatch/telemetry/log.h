// The log of a process: JSON lines, one event a line, with stable names.
//
//   StartLogging("info", "", "entry-north-1");
//   LogEvent(LogLevel::kInfo, "catalog_in_force", {{"revision", 7}});
//   LogEvent(LogLevel::kWarn, "request_refused",
//            {TraceField(request), {"kind", "overloaded"}});
//
// writes
//
//   {"time":"2026-01-02T03:04:05.678901Z","level":"info",
//    "vm":"entry-north-1","event":"catalog_in_force","revision":7}
//
// Every function may be called by every thread; StartLogging() by one at a
// time. Events before StartLogging() are dropped.
#ifndef VANILLALATCH_TELEMETRY_LOG_H_
#define VANILLALATCH_TELEMETRY_LOG_H_

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "vanillalatch/base/strong.h"

namespace vanillalatch {

enum class LogLevel : std::uint8_t { kTrace, kDebug, kInfo, kWarn, kError };

// One key and value of an event. Text that is no UTF-8 is shown with
// replacement characters.
class LogField {
 public:
  using Value =
      std::variant<bool, std::int64_t, std::uint64_t, double, std::string>;

  LogField(std::string_view key, bool value) : key_(key), value_(value) {}
  LogField(std::string_view key, double value) : key_(key), value_(value) {}
  LogField(std::string_view key, const char* value)
      : key_(key), value_(std::string(value)) {}
  LogField(std::string_view key, std::string_view value)
      : key_(key), value_(std::string(value)) {}
  LogField(std::string_view key, std::string value)
      : key_(key), value_(std::move(value)) {}
  template <std::signed_integral T>
  LogField(std::string_view key, T value)
      : key_(key), value_(std::int64_t{value}) {}
  template <std::unsigned_integral T>
  LogField(std::string_view key, T value)
      : key_(key), value_(std::uint64_t{value}) {}

  std::string_view key() const { return key_; }
  const Value& value() const { return value_; }

 private:
  std::string_view key_;
  Value value_;
};

// The field "trace_id" of a request, as traces write it.
LogField TraceField(RequestId request);

// Opens the log, or opens it again with other settings. `level` is "trace",
// "debug", "info", "warn" or "error"; events below it are dropped. An empty
// `file` means standard output; a file is appended to. Throws Error with
// kInvalidArgument for an unknown level and kStorage for a file that can't be
// written.
void StartLogging(std::string_view level, const std::string& file,
                  std::string_view vm);

// Waits until what was logged is written, for a fifth of a second at most.
void FlushLog();

// Writes one event, without waiting for whoever reads the log: lines that the
// reader is too slow for are left out, ordinary ones first, and counted.
// `event` is a stable name in lower case with underscores.
void LogEvent(LogLevel level, std::string_view event,
              std::span<const LogField> fields);
inline void LogEvent(LogLevel level, std::string_view event,
                     std::initializer_list<LogField> fields = {}) {
  LogEvent(level, event, std::span(fields.begin(), fields.size()));
}

}  // namespace vanillalatch

#endif  // VANILLALATCH_TELEMETRY_LOG_H_
