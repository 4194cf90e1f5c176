#include "src/packetflow/silence_watch.h"

#include <algorithm>
#include <utility>

#include "vanillalatch/packetflow/flow_dispatcher.h"

namespace vanillalatch::internal {
namespace {

// After a longer pause of this VM, what it has not heard yet says nothing.
constexpr Duration kLongestGap = std::chrono::milliseconds(30);
// Flows without an answer that make an endpoint silent; of one alone, the
// packet may have been lost.
constexpr std::size_t kUnansweredFlows = 2;

}  // namespace

void SilenceWatch::OnTick(TimePoint now) {
  if (now - last_tick_ > kLongestGap) {
    heard_since_ = now;
  }
  last_tick_ = now;
}

bool SilenceWatch::OnAnswer(EndpointId endpoint, ServiceId service,
                            TimePoint sent_at) {
  State& state = endpoints_[endpoint];
  state.service = service;
  state.answered_up_to = std::max(state.answered_up_to, sent_at);
  return std::exchange(state.silent, false);
}

Duration SilenceWatch::Limit(TimePoint now) const {
  if (!handshake_.HasRecentSample(now)) {
    return FlowDispatcher::kMostSilence;
  }
  return std::clamp<Duration>(
      handshake_.mean() * FlowDispatcher::kHandshakesOfSilence,
      FlowDispatcher::kLeastSilence, FlowDispatcher::kMostSilence);
}

bool SilenceWatch::Unanswered(TimePoint now, EndpointId endpoint,
                              ServiceId service, TimePoint sent_at) const {
  const auto doubted = views_differ_until_.find(service);
  if (doubted != views_differ_until_.end() && sent_at < doubted->second) {
    return false;
  }
  const auto it = endpoints_.find(endpoint);
  // A flow sent later was answered: only this one's packet was lost.
  const bool overtaken =
      it != endpoints_.end() && it->second.answered_up_to >= sent_at;
  return !overtaken && now >= std::max(sent_at, heard_since_) + Limit(now);
}

SilenceWatch::Verdict SilenceWatch::Judge(TimePoint now, EndpointId endpoint,
                                          ServiceId service,
                                          const SilenceEvidence& evidence) {
  State& state = endpoints_[endpoint];
  if (state.silent) {
    return Verdict::kKnown;
  }
  if (evidence.flows < kUnansweredFlows && !evidence.copied) {
    return Verdict::kNotYet;
  }
  state.silent = true;
  state.service = service;
  state.probe_due = now + FlowDispatcher::kSilentProbe;
  return Verdict::kFound;
}

std::optional<EndpointId> SilenceWatch::TakeProbe(TimePoint now,
                                                  ServiceId service) {
  for (auto& [id, it] : endpoints_) {
    if (it.silent && it.service == service && now >= it.probe_due) {
      it.probe_due = now + FlowDispatcher::kSilentProbe;
      return id;
    }
  }
  return std::nullopt;
}

void SilenceWatch::Keep(ServiceId service,
                        std::span<const Endpoint> endpoints) {
  std::erase_if(endpoints_, [&](const auto& known) {
    return known.second.service == service &&
           std::none_of(
               endpoints.begin(), endpoints.end(),
               [&](const Endpoint& it) { return it.id == known.first; });
  });
}

}  // namespace vanillalatch::internal
