// Logs what an entry VM does with flows and packets. Each kind of line has its
// own limit per second; the field "left_out" counts the lines that it
// suppressed.
//
//   FlowLog log(node);
//   log.LogRefusal(packet, refusal);
#ifndef VANILLALATCH_SRC_RUNTIME_FLOW_LOG_H_
#define VANILLALATCH_SRC_RUNTIME_FLOW_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "vanillalatch/packetflow/flow_node.h"
#include "vanillalatch/runtime/flow_shell.h"
#include "vanillalatch/telemetry/log.h"
#include "vanillalatch/telemetry/log_rate_limiter.h"

namespace vanillalatch {

class FlowLog {
 public:
  // The node must outlive the log.
  explicit FlowLog(const FlowNode& node) : node_(node) {}

  // Logs a flow that was refused, with the load that caused it.
  void LogRefusal(const FlowPacket& packet, const FlowRefusal& refusal);
  // Logs a packet that was answered with a reset because its route is unknown
  // (`reset`), or was dropped.
  void LogNotForwarded(const FlowPacket& packet, bool reset);
  // Logs a datagram that is no packet of a flow.
  void LogMalformed(SocketAddress from, std::size_t bytes);
  // Logs an event of a flow that this VM dispatches.
  void LogFlow(const FlowEvent& event);
  // Logs an event of an opening packet for which this VM is the ingress.
  void LogIngress(const IngressEvent& event);
  // Logs that an endpoint became silent, or answers again.
  void LogSilence(const EndpointSilence& silence);
  // Logs that this VM starts or ends to treat a data centre as evacuated.
  void LogEvacuation(const EvacuationEvent& event);
  // Logs that the link of this VM became full.
  void LogLinkLate(const LinkLate& event);
  // Logs that a service was divided into shards, or united.
  static void LogSharding(const ShardingChange& change);
  // Logs the totals and how current the catalog is if kSummaryInterval has
  // passed. `ready`: callers may send packets to this VM.
  void LogSummaryIfDue(bool ready, const FlowCatalogFreshness& catalog);

 private:
  // Refused flows: enough for an overloaded busy service, at 20 us per line.
  static constexpr std::uint32_t kMaxRefusalLinesPerSecond = 100;
  // Ordinary placements: enough for a busy service; at 15 us per line, less
  // than 1 % of a processor.
  static constexpr std::uint32_t kMaxPlacedLinesPerSecond = 300;
  // Flows that were moved, given up or expired without a report of their end:
  // enough for the failure of a data centre.
  static constexpr std::uint32_t kMaxLossLinesPerSecond = 100;
  // Opening packets that could not be placed in the usual way, and packets that
  // were dropped: enough to see every cause.
  static constexpr std::uint32_t kMaxIngressLinesPerSecond = 20;
  static constexpr std::uint32_t kMaxDroppedLinesPerSecond = 20;
  // A sender of malformed datagrams must be visible but must not fill the log.
  static constexpr std::uint32_t kMaxMalformedLinesPerSecond = 1;
  // All endpoints of a data centre may become silent at the same time.
  static constexpr std::uint32_t kMaxSilenceLinesPerSecond = 20;
  // A link that is full at times becomes late several times a second.
  static constexpr std::uint32_t kMaxLinkLinesPerSecond = 1;
  // Short enough to see in a log when a problem began.
  static constexpr Duration kSummaryInterval = std::chrono::seconds(5);

  // The fields that identify a flow in the log.
  struct FlowKey {
    SocketAddress caller;
    SocketAddress route;
    std::uint32_t sequence = 0;
  };
  // Logs a line about one flow if `limiter` allows it: the flow's key,
  // `extra_fields`, the revision of the catalog in force and the number of
  // lines that the limiter suppressed.
  void LogFlowLine(LogLevel level, std::string_view event, const FlowKey& flow,
                   LogRateLimiter& limiter, std::vector<LogField> extra_fields);
  // The name of the endpoint or VM; empty if the id is zero, and the id itself
  // if its name is no longer available.
  std::string NameOf(EndpointId id) const;
  std::string NameOf(NodeId id) const;

  const FlowNode& node_;
  TimePoint summary_due_{};
  LogRateLimiter refusal_limiter_{kMaxRefusalLinesPerSecond};
  LogRateLimiter placed_limiter_{kMaxPlacedLinesPerSecond};
  LogRateLimiter loss_limiter_{kMaxLossLinesPerSecond};
  LogRateLimiter ingress_limiter_{kMaxIngressLinesPerSecond};
  LogRateLimiter dropped_limiter_{kMaxDroppedLinesPerSecond};
  LogRateLimiter malformed_limiter_{kMaxMalformedLinesPerSecond};
  LogRateLimiter silence_limiter_{kMaxSilenceLinesPerSecond};
  LogRateLimiter link_limiter_{kMaxLinkLinesPerSecond};
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_RUNTIME_FLOW_LOG_H_
