// Determines why a flow failed from the log lines of all VMs. The library does
// no I/O.
//
//   std::vector<LogLine> lines;
//   for (std::string_view it : texts) {
//     if (auto line = LogLine::Parse(it); line.ok()) lines.push_back(*line);
//   }
//   FlowExplanation explanation = ExplainFlow(std::move(lines), {caller});
//   std::cout << GetFlowCauseRow(explanation.cause).name << ": "
//             << explanation.reason;
#ifndef VANILLALATCH_EXPLAIN_STORY_H_
#define VANILLALATCH_EXPLAIN_STORY_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "vanillalatch/base/address.h"
#include "vanillalatch/base/result.h"

namespace vanillalatch {

// What became of a flow. The list is complete: ExplainFlow() returns no other
// cause.
enum class FlowCause : std::uint8_t {
  kNotSeen,   // No VM logged a line about the flow.
  kServed,    // It was placed, and no later line reports a fault.
  kOverload,  // Refused while no endpoint was silent, or given up in the queue.
  kOverloadAfterLoss,  // Refused while endpoints were silent.
  kNoEndpoint,         // Refused, as the service had no endpoint.
  kRouteRemoved,       // The catalog in force has no such route.
  kOlderCatalog,       // Handled by a VM without the newest catalog.
  kEndpointLost,       // Its endpoint was silent or did not accept the flow.
  kEndpointSlow,       // Its endpoint accepted it but did not answer in time.
  kVmLost,             // A VM that handled it failed: no planned stop.
  kVmStarting,       // A VM that handled it had just started and lacked state.
  kEndpointUnknown,  // A VM's endpoint table lacked the flow's endpoint.
  kCutOff,           // Placed late: its ingress could not reach the dispatcher.
};

struct FlowCauseRow {
  FlowCause cause;
  std::string_view name;    // The name that operators see.
  std::string_view advice;  // What an operator should do or check.
};

// Returns all causes, in the order of the enumeration.
std::span<const FlowCauseRow> FlowCauseRows();
// Returns the row of `cause`.
const FlowCauseRow& GetFlowCauseRow(FlowCause cause);

// One event from the log of a VM.
class LogLine {
 public:
  // Parses one line of a log. Text before the JSON object, such as a prefix
  // that a log collector adds, is ignored. Error: kInvalidArgument for a line
  // that is not an event.
  static Result<LogLine> Parse(std::string_view text);

  const std::string& time() const { return time_; }  // UTC, by the VM's clock.
  const std::string& vm() const { return vm_; }
  const std::string& event() const { return event_; }
  // Return the value of a field, or an empty string, zero or false if the field
  // is missing or of another type.
  std::string GetString(const char* field) const;
  std::int64_t GetInt(const char* field) const;
  bool GetBool(const char* field) const;
  // Returns the fields as "name=value" separated by spaces, in the order of the
  // line, without time, level, VM and event.
  std::string FormatFields() const;

 private:
  std::string time_;
  std::string vm_;
  std::string event_;
  nlohmann::ordered_json fields_;
};

// Selects a flow by the address and port of its caller and, if they are set, by
// its route and the sequence number of its opening packet.
struct FlowQuery {
  SocketAddress caller;
  std::optional<SocketAddress> route;     // Where the caller sent its packets.
  std::optional<std::uint32_t> sequence;  // Of the opening packet.
};

// Why a flow ended as it did, and the log lines that show it.
struct FlowExplanation {
  FlowCause cause = FlowCause::kNotSeen;
  std::string reason;          // One sentence with the facts behind the cause.
  std::vector<LogLine> lines;  // The relevant lines, by time.
};

// Explains the flow that `query` selects. Callers reuse their ports, so that
// several flows may match: without `sequence` the last one is explained.
FlowExplanation ExplainFlow(std::vector<LogLine> lines, const FlowQuery& query);

}  // namespace vanillalatch

#endif  // VANILLALATCH_EXPLAIN_STORY_H_
