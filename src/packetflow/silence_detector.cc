#include "src/packetflow/silence_detector.h"

#include <algorithm>
#include <utility>

#include "vanillalatch/packetflow/flow_dispatcher.h"

namespace vanillalatch::internal {
namespace {

// A longer time between two ticks is a pause of this VM. Reports of progress
// may then still wait in its socket buffer, so that their absence is no
// evidence of silence.
constexpr Duration kMaxTickGap = std::chrono::milliseconds(30);
// Number of overdue flows that make an endpoint silent. With a single one, its
// packet may have been lost, unless the caller has retransmitted it.
constexpr std::size_t kMinUnansweredFlows = 2;

}  // namespace

void SilenceDetector::OnTick(TimePoint now) {
  if (now - last_tick_ > kMaxTickGap) {
    running_since_ = now;
  }
  last_tick_ = now;
}

bool SilenceDetector::OnAnswer(EndpointId endpoint, ServiceId service,
                               TimePoint sent_at) {
  State& state = endpoints_[endpoint];
  state.service = service;
  state.last_answered_sent_at = std::max(state.last_answered_sent_at, sent_at);
  return std::exchange(state.silent, false);
}

Duration SilenceDetector::WaitLimit(TimePoint now) const {
  if (!handshake_time_.HasRecentSample(now)) {
    return FlowDispatcher::kMaxSilenceTimeout;
  }
  return std::clamp<Duration>(
      handshake_time_.mean() * FlowDispatcher::kSilenceTimeoutHandshakes,
      FlowDispatcher::kMinSilenceTimeout, FlowDispatcher::kMaxSilenceTimeout);
}

bool SilenceDetector::IsOverdue(TimePoint now, EndpointId endpoint,
                                ServiceId service, TimePoint sent_at) const {
  if (sent_at <= link_late_at_ || !AreReportsComplete(service, sent_at)) {
    return false;
  }
  const auto it = endpoints_.find(endpoint);
  // If a flow that was sent later has been answered, only the packet of this
  // one was lost.
  const bool later_flow_answered =
      it != endpoints_.end() && it->second.last_answered_sent_at >= sent_at;
  return !later_flow_answered &&
         now >= std::max(sent_at, running_since_) + WaitLimit(now);
}

SilenceDetector::Verdict SilenceDetector::Evaluate(
    TimePoint now, EndpointId endpoint, ServiceId service,
    const SilenceEvidence& evidence) {
  State& state = endpoints_[endpoint];
  if (state.silent) {
    return Verdict::kAlreadySilent;
  }
  if (evidence.unanswered_flows < kMinUnansweredFlows &&
      !evidence.has_retransmission) {
    return Verdict::kNotSilent;
  }
  state.silent = true;
  state.service = service;
  state.probe_due = now + FlowDispatcher::kSilentProbeInterval;
  return Verdict::kNewlySilent;
}

std::optional<EndpointId> SilenceDetector::TakeProbe(TimePoint now,
                                                     ServiceId service) {
  for (auto& [id, it] : endpoints_) {
    if (it.silent && it.service == service && now >= it.probe_due) {
      it.probe_due = now + FlowDispatcher::kSilentProbeInterval;
      return id;
    }
  }
  return std::nullopt;
}

void SilenceDetector::RetainOnly(ServiceId service,
                                 std::span<const Endpoint> endpoints) {
  std::erase_if(endpoints_, [&](const auto& entry) {
    return entry.second.service == service &&
           std::none_of(
               endpoints.begin(), endpoints.end(),
               [&](const Endpoint& it) { return it.id == entry.first; });
  });
}

}  // namespace vanillalatch::internal
