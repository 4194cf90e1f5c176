// Tells why a flow failed, from the log lines of all VMs alone. No I/O.
//
//   std::vector<LogLine> lines;
//   for (std::string_view it : texts) {
//     if (auto line = LogLine::Parse(it); line.ok()) lines.push_back(*line);
//   }
//   Story story = Explain(std::move(lines), {caller});
//   std::cout << CauseRowOf(story.cause).name << ": " << story.reason;
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

// The closed list of causes that the reader names.
enum class FlowCause : std::uint8_t {
  kNotSeen,            // No VM has a line about the flow.
  kServed,             // It was placed, and nothing was wrong since.
  kOverload,           // Refused, all its endpoints answered.
  kOverloadAfterLoss,  // Refused while endpoints were silent.
  kNoEndpoint,         // Refused, the service had none.
  kRouteRemoved,       // The catalog in force has no such route.
  kOlderCatalog,       // Handled by a VM that had not got the newest catalog.
  kEndpointLost,       // Its endpoint answered nobody.
  kEndpointSlow,       // Its endpoint had accepted it, the answer came late.
  kVmLost,             // A VM that handled it ended without notice.
  kVmStarting,         // A VM that handled it did not know enough yet.
  kEndpointUnknown,    // A VM did not know the endpoint of the flow.
  kCutOff,             // Late: its ingress could not reach the dispatcher.
};

struct FlowCauseRow {
  FlowCause cause;
  std::string_view name;  // As printed.
  std::string_view advice;
};

// All causes, in the order of the enumeration.
std::span<const FlowCauseRow> FlowCauseRows();
const FlowCauseRow& CauseRowOf(FlowCause cause);

// One event as a VM has logged it.
class LogLine {
 public:
  // Whatever stands in front of the JSON object is left out. Error:
  // kInvalidArgument for what is no event.
  static Result<LogLine> Parse(std::string_view text);

  const std::string& time() const { return time_; }  // UTC, the VM's clock.
  const std::string& vm() const { return vm_; }
  const std::string& event() const { return event_; }
  // Empty, zero or false if the field is missing or of another type.
  std::string Text(const char* field) const;
  std::int64_t Number(const char* field) const;
  bool Flag(const char* field) const;
  // The fields as the line has them, without time, VM and event.
  std::string FieldsText() const;

 private:
  std::string time_;
  std::string vm_;
  std::string event_;
  nlohmann::ordered_json fields_;
};

// What a caller knows of its flow: its own address and port, and perhaps more.
struct FlowKey {
  SocketAddress caller;
  std::optional<SocketAddress> route;
  std::optional<std::uint32_t> sequence;  // Of its opening packet.
};

struct Story {
  FlowCause cause = FlowCause::kNotSeen;
  std::string reason;          // One sentence, with what decided.
  std::vector<LogLine> lines;  // That tell it, by time.
};

// A caller's port is used again: without `sequence` the last flow counts.
Story Explain(std::vector<LogLine> lines, const FlowKey& key);

}  // namespace vanillalatch

#endif  // VANILLALATCH_EXPLAIN_STORY_H_
