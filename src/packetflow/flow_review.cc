// What time shows of the flows of a dispatcher: endpoints that answer nobody,
// and flows that nobody ended.
#include <algorithm>
#include <map>
#include <utility>

#include "src/packetflow/flow_dispatcher_impl.h"

namespace vanillalatch::internal {
namespace {

// How often flows that nobody ended are looked for: a small part of the
// shortest timeout that callers have, some hundred milliseconds.
constexpr Duration kExpireInterval = std::chrono::milliseconds(50);
// How often silent endpoints are looked for: a part of kLeastSilence.
constexpr Duration kReviewInterval = std::chrono::milliseconds(10);

}  // namespace

void FlowDispatcherImpl::ReviewSilence(TimePoint now, FlowActions& actions) {
  std::map<EndpointId, std::vector<FlowId>> unanswered;
  for (const auto& [id, it] : flows_) {
    if (it.placed && !it.seen && it.opening.watched &&
        silence_.Unanswered(now, it.endpoint, it.opening.service, it.sent_at)) {
      unanswered[it.endpoint].push_back(id);
    }
  }
  std::vector<FlowId> moving;
  for (auto& [endpoint, ids] : unanswered) {
    const ServiceId service = flows_.at(ids.front()).opening.service;
    const SilenceEvidence evidence{
        ids.size(), std::any_of(ids.begin(), ids.end(), [&](const FlowId& it) {
          return flows_.at(it).opening.copy > 0;
        })};
    const SilenceWatch::Verdict verdict =
        silence_.Judge(now, endpoint, service, evidence);
    if (verdict == SilenceWatch::Verdict::kNotYet) {
      continue;
    }
    if (verdict == SilenceWatch::Verdict::kFound) {
      ++counters_.silenced;
      SchedulerOf(service).SetSilent(endpoint, true);
      actions.silences.push_back(
          {endpoint, true, ids.size(), silence_.Limit(now)});
    }
    moving.insert(moving.end(), ids.begin(), ids.end());
  }
  // The order in a hash map differs from run to run.
  std::sort(moving.begin(), moving.end());
  for (const FlowId& it : moving) {
    const auto flow = flows_.find(it);
    if (flow == flows_.end()) {
      continue;
    }
    ++counters_.moved;
    const EndpointId silent = flow->second.endpoint;
    Release(now, flow->second, WorkOutcome::kCancelled);
    Submit(now, flow->second, silent, actions);
  }
  CarryOut(now, actions);
}

void FlowDispatcherImpl::OnTick(TimePoint now, FlowActions& actions) {
  for (auto& [id, it] : schedulers_) {
    if (now >= it->NextWake()) {
      it->OnTick(now, verdicts_);
    }
  }
  CarryOut(now, actions);
  silence_.OnTick(now);
  if (now >= review_due_) {
    review_due_ = now + kReviewInterval;
    ReviewSilence(now, actions);
  }
  if (now >= expire_due_) {
    expire_due_ = now + kExpireInterval;
    ExpireFlows(now, actions);
  }
}

// A silent endpoint shows by copies of the opening packet; a flow without
// them may have ended where no VM heard of it.
void FlowDispatcherImpl::ExpireFlows(TimePoint now, FlowActions& actions) {
  absl::erase_if(closed_,
                 [&](const auto& it) { return now >= it.second.until; });
  std::vector<Flow> expired;
  std::vector<FlowId> unused;
  absl::erase_if(flows_, [&](auto& it) {
    Flow& flow = it.second;
    if (flow.placed && now >= flow.expires) {
      expired.push_back(std::move(flow));
      return true;
    }
    if (flow.seen && !flow.requested && !flow.idle &&
        now >= flow.seen_at + kUnusedFlow) {
      unused.push_back(it.first);
    }
    return false;
  });
  // The order in a hash map differs from run to run.
  std::sort(expired.begin(), expired.end(),
            [](const Flow& a, const Flow& b) { return a.work < b.work; });
  std::sort(unused.begin(), unused.end());
  for (const Flow& it : expired) {
    if (!it.idle) {
      ++counters_.expired;
      Note(FlowNote::Kind::kUnheard, it, now - it.sent_at, actions);
    }
    Release(
        now, it,
        it.opening.copy > 0 ? WorkOutcome::kTimedOut : WorkOutcome::kCancelled);
  }
  for (const FlowId& it : unused) {
    MakeIdle(now, flows_.at(it), WorkOutcome::kCancelled);
  }
  CarryOut(now, actions);
}

TimePoint FlowDispatcherImpl::NextWake() const {
  TimePoint wake = flows_.empty() ? kNever : std::min(expire_due_, review_due_);
  for (const auto& [id, it] : schedulers_) {
    wake = std::min(wake, it->NextWake());
  }
  return wake;
}

}  // namespace vanillalatch::internal
