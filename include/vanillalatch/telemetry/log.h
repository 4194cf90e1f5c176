// Structured logging: writes the events of a process as JSON lines, one event
// per line, with stable event and field names.
//
//   StartLogging("info", "", "entry-north-1");
//   LogEvent(LogLevel::kInfo, "catalog_in_force", {{"revision", 7}});
//   LogEvent(LogLevel::kWarn, "request_refused",
//            {TraceIdField(request), {"kind", "overloaded"}});
//
// writes
//
//   {"time":"2026-01-02T03:04:05.678901Z","level":"info",
//    "vm":"entry-north-1","event":"catalog_in_force","revision":7}
//
// All functions are thread-safe, except that calls of StartLogging() must not
// overlap. Events logged before the first StartLogging() are dropped.
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

// One key and value of an event. Bytes of a text that are not valid UTF-8 are
// written as replacement characters (U+FFFD). The key is not copied and must
// outlive the field.
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

// Returns the field "trace_id" of `request`, in the format that traces use.
LogField TraceIdField(RequestId request);

// Opens the log, or reopens it with new settings. `level` is "trace", "debug",
// "info", "warn" or "error"; events below it are dropped. An empty `file`
// selects standard output; otherwise lines are appended to the file. `vm` is
// the name of this VM, which is written into each line. Throws Error with
// kInvalidArgument for an unknown level and kStorage for a file that can't be
// opened for writing.
void StartLogging(std::string_view level, const std::string& file,
                  std::string_view vm);

// Waits until all logged events are written, for at most 200 ms.
void FlushLog();

// Queues one event for writing and returns without waiting for the reader of
// the log. If the reader is too slow and the queue is full, the event is
// dropped and counted; events below kWarn are dropped before those of kWarn and
// kError. `event` is a stable name in lower case with underscores.
void LogEvent(LogLevel level, std::string_view event,
              std::span<const LogField> fields);
inline void LogEvent(LogLevel level, std::string_view event,
                     std::initializer_list<LogField> fields = {}) {
  LogEvent(level, event, std::span(fields.begin(), fields.size()));
}

}  // namespace vanillalatch

#endif  // VANILLALATCH_TELEMETRY_LOG_H_
