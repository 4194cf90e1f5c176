// What an entry VM logs of flows, each kind of line within a budget.
//
//   FlowLog log(node);
//   log.Refused(packet, refusal);
#ifndef VANILLALATCH_SRC_RUNTIME_FLOW_LOG_H_
#define VANILLALATCH_SRC_RUNTIME_FLOW_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "vanillalatch/packetflow/flow_node.h"
#include "vanillalatch/telemetry/log.h"
#include "vanillalatch/telemetry/log_rate_limiter.h"

namespace vanillalatch {

class FlowLog {
 public:
  // The node must outlive the log.
  explicit FlowLog(const FlowNode& node) : node_(node) {}

  void Refused(const FlowPacket& packet, const FlowRefusal& refusal);
  // A packet that was answered with a reset, as no route is known, or dropped.
  void NotForwarded(const FlowPacket& packet, bool reset);
  void Malformed(SocketAddress from, std::size_t bytes);
  void Note(const FlowEvent& note);
  void Note(const IngressEvent& note);
  void Silence(const EndpointSilence& silence);
  // Totals, if they are due. `ready`: callers' packets may come.
  void Summary(bool ready);

 private:
  // Refused flows logged a second: those of a busy service in trouble, at 20 us
  // each.
  static constexpr std::uint32_t kRefusalLines = 100;
  // Ordinary decisions: those of a busy service, at 15 us a line less than 1 %
  // of a processor.
  static constexpr std::uint32_t kPlacedLines = 300;
  // Flows that were moved, given up or not heard of: a data centre's worth.
  static constexpr std::uint32_t kLossLines = 100;
  // Openings that this VM could not have placed as usual, and packets that it
  // dropped: enough to see every cause.
  static constexpr std::uint32_t kIngressLines = 20;
  static constexpr std::uint32_t kDroppedLines = 20;
  // Whoever sends noise is to be seen, not to fill the log.
  static constexpr std::uint32_t kMalformedLines = 1;
  // A whole data centre of endpoints may fall silent at once.
  static constexpr std::uint32_t kSilenceLines = 20;
  // Often enough to see in a log when something began.
  static constexpr Duration kSummaryInterval = std::chrono::seconds(5);

  // A line about one flow: its name, `more`, the catalog's revision and what
  // the budget has left out.
  struct FlowName {
    SocketAddress caller;
    SocketAddress route;
    std::uint32_t sequence = 0;
  };
  void OfFlow(LogLevel level, std::string_view event, const FlowName& flow,
              LogRateLimiter& budget, std::vector<LogField> more);
  // Empty for none.
  std::string NameOf(EndpointId id) const;
  std::string NameOf(NodeId id) const;

  const FlowNode& node_;
  TimePoint summary_due_{};
  LogRateLimiter refusal_lines_{kRefusalLines};
  LogRateLimiter placed_lines_{kPlacedLines};
  LogRateLimiter loss_lines_{kLossLines};
  LogRateLimiter ingress_lines_{kIngressLines};
  LogRateLimiter dropped_lines_{kDroppedLines};
  LogRateLimiter malformed_lines_{kMalformedLines};
  LogRateLimiter silence_lines_{kSilenceLines};
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_RUNTIME_FLOW_LOG_H_
