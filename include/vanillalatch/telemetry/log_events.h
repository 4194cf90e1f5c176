// The complete list of the events that vanillalatch processes log. The command
// `vanillalatch logs events` prints it as docs/EVENTS.md.
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
  std::string_view writer;  // The VMs that log the event, by role.
  std::string_view fields;  // Fields other than time, level, vm and event.
  std::string_view meaning;
  std::string_view advice;  // What an operator should do or check.
};

// Returns all events; each name occurs once.
std::span<const LogEventRow> LogEventRows();

// Returns the list as a Markdown page with one table row per event.
std::string FormatLogEventsPage();

}  // namespace vanillalatch

#endif  // VANILLALATCH_TELEMETRY_LOG_EVENTS_H_
