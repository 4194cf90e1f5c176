// What control VMs report, as text for people.
#ifndef VANILLALATCH_SRC_CLI_STATUS_TEXT_H_
#define VANILLALATCH_SRC_CLI_STATUS_TEXT_H_

#include <cstdint>
#include <ostream>
#include <string>

#include "control.pb.h"

namespace vanillalatch {

// "met", "no requests yet", or why the class misses its target: "missed: 97.0%
// of 99.9% in time; 20 refused, 3 failed, 7 late".
std::string TargetVerdict(const pb::ClassTarget& target,
                          const pb::ClassReport& report);

// Control VMs, entry VMs, classes and endpoints as tables.
void PrintStatus(const pb::StatusReply& status, std::ostream& out);

// Changes as a table, latest first.
void PrintHistory(const pb::HistoryReply& history, std::ostream& out);

// "2026-01-02 03:04:05Z" of milliseconds since 1970.
std::string UtcTimeText(std::int64_t unix_ms);

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_CLI_STATUS_TEXT_H_
