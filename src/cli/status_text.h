// Formats what control VMs report as text for operators.
#ifndef VANILLALATCH_SRC_CLI_STATUS_TEXT_H_
#define VANILLALATCH_SRC_CLI_STATUS_TEXT_H_

#include <cstdint>
#include <ostream>
#include <string>

#include "control.pb.h"

namespace vanillalatch {

// Says whether a class meets its target: "met", "no requests yet", or why it
// does not: "missed: 97.0% of 99.9% in time; 20 refused, 3 failed, 7 late".
std::string TargetResultText(const pb::ClassTarget& target,
                             const pb::ClassReport& report);

// Prints control VMs, entry VMs, classes and endpoints as tables.
void PrintStatus(const pb::StatusReply& status, std::ostream& out);

// Prints changes as a table, in the order of `history`, which is latest first.
void PrintHistory(const pb::HistoryReply& history, std::ostream& out);

// Formats milliseconds since 1970 as UTC: "2026-01-02 03:04:05Z".
std::string FormatUtcTime(std::int64_t unix_ms);

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_CLI_STATUS_TEXT_H_
