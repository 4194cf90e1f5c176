// The closed list of events that processes log. docs/EVENTS.md is generated
// from it by `vanillalatch logs events`.
//
//   for (const LogEventRow& it : LogEventRows()) std::cout << it.name;
#ifndef VANILLALATCH_TELEMETRY_LOG_EVENTS_H_
#define VANILLALATCH_TELEMETRY_LOG_EVENTS_H_

#include <span>
#include <string>
#include <string_view>

namespace vanillalatch {

struct LogEventRow {
  std::string_view name;
  std::string_view level;
  std::string_view writer;  // Which VMs write it.
  std::string_view fields;  // Besides time, level, vm and event.
  std::string_view meaning;
  std::string_view advice;  // What an operator does about it.
};

std::span<const LogEventRow> LogEventRows();

// The list as a page in Markdown.
std::string LogEventsPage();

}  // namespace vanillalatch

#endif  // VANILLALATCH_TELEMETRY_LOG_EVENTS_H_
