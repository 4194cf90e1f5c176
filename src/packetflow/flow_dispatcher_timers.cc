// Timeouts of FlowDispatcherImpl: silent endpoints, expired and unused flows.
#include <algorithm>
#include <map>
#include <utility>

#include "src/packetflow/flow_dispatcher_impl.h"

namespace vanillalatch::internal {
namespace {

// How often expired flows are searched for: a small part of the shortest
// timeout of callers, which is a few hundred milliseconds.
constexpr Duration kExpireInterval = std::chrono::milliseconds(50);
// How often silent endpoints are searched for: a fraction of
// kMinSilenceTimeout.
constexpr Duration kSilenceCheckInterval = std::chrono::milliseconds(10);

}  // namespace

void FlowDispatcherImpl::DetectSilentEndpoints(TimePoint now,
                                               FlowActions& actions) {
  std::map<EndpointId, std::vector<FlowId>> unanswered;
  for (const auto& [id, it] : flows_) {
    // A caller that gives up in the meantime says nothing about the endpoint.
    const bool caller_waits =
        it.sent_at + kMaxSilenceTimeout < it.opened_at + kOpeningTimeout;
    if (it.placed && !it.accepted && it.opening.progress_reported &&
        caller_waits &&
        silence_detector_.IsOverdue(now, it.endpoint, it.opening.service,
                                    it.sent_at)) {
      unanswered[it.endpoint].push_back(id);
    }
  }
  std::vector<FlowId> moving;
  for (auto& [endpoint, ids] : unanswered) {
    const ServiceId service = flows_.at(ids.front()).opening.service;
    const SilenceEvidence evidence{
        ids.size(), std::any_of(ids.begin(), ids.end(), [&](const FlowId& it) {
          return flows_.at(it).repeated;
        })};
    const SilenceDetector::Verdict verdict =
        silence_detector_.Evaluate(now, endpoint, service, evidence);
    if (verdict == SilenceDetector::Verdict::kNotSilent) {
      continue;
    }
    if (verdict == SilenceDetector::Verdict::kNewlySilent) {
      ++counters_.endpoints_found_silent;
      SchedulerOf(ShardOf(service, endpoint)).SetSilent(endpoint, true);
      actions.silences.push_back(
          {endpoint, true, ids.size(), silence_detector_.WaitLimit(now)});
    }
    moving.insert(moving.end(), ids.begin(), ids.end());
  }
  // Sorted, as the iteration order of a hash map differs from run to run.
  std::sort(moving.begin(), moving.end());
  for (const FlowId& it : moving) {
    const auto flow = flows_.find(it);
    if (flow == flows_.end() || flow->second.move_refused) {
      continue;
    }
    if (options_.limit_moves &&
        !move_budgets_[flow->second.opening.service].TryTake(now)) {
      ++counters_.moves_refused;
      flow->second.move_refused = true;
      continue;
    }
    ++counters_.moved;
    const EndpointId silent = flow->second.endpoint;
    Release(now, flow->second, WorkOutcome::kCancelled);
    Submit(now, flow->second, silent, actions);
  }
  ApplyVerdicts(now, actions);
}

void FlowDispatcherImpl::OnTick(TimePoint now, FlowActions& actions) {
  for (auto& [shard, it] : schedulers_) {
    if (now >= it->NextWake()) {
      it->OnTick(now, verdicts_);
    }
  }
  ApplyVerdicts(now, actions);
  silence_detector_.OnTick(now);
  if (now >= silence_check_due_) {
    silence_check_due_ = now + kSilenceCheckInterval;
    DetectSilentEndpoints(now, actions);
  }
  if (now >= expire_due_) {
    expire_due_ = now + kExpireInterval;
    ExpireFlows(now, actions);
  }
}

// An expired flow counts as timed out at its endpoint only if its caller has
// retransmitted the opening packet to it, which indicates a silent endpoint.
// Otherwise the flow may have ended without a report reaching this VM.
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
    if (HasUnusedSlot(now, flow)) {
      unused.push_back(it.first);
    }
    return false;
  });
  // Sorted, as the iteration order of a hash map differs from run to run.
  std::sort(expired.begin(), expired.end(),
            [](const Flow& a, const Flow& b) { return a.work < b.work; });
  std::sort(unused.begin(), unused.end());
  for (const Flow& it : expired) {
    if (!it.idle || !it.accepted) {
      ++counters_.expired;
      AddEvent(FlowEvent::Kind::kExpired, it, now - it.sent_at, actions);
    }
    Release(now, it,
            it.repeated ? WorkOutcome::kTimedOut : WorkOutcome::kCancelled);
  }
  for (const FlowId& it : unused) {
    Flow& flow = flows_.at(it);
    if (flow.accepted) {
      MarkIdle(now, flow, WorkOutcome::kCancelled);
      continue;
    }
    // A retransmission may still move the flow.
    Release(now, flow,
            flow.repeated ? WorkOutcome::kTimedOut : WorkOutcome::kCancelled);
    flow.idle = true;
    flow.expires = std::min(flow.expires, flow.opened_at + kOpeningTimeout);
  }
  ApplyVerdicts(now, actions);
}

bool FlowDispatcherImpl::HasUnusedSlot(TimePoint now, const Flow& flow) {
  if (!flow.placed || flow.idle) {
    return false;
  }
  if (!flow.accepted) {
    return now >= flow.sent_at + kMaxSilenceTimeout;
  }
  if (!flow.request_sent) {
    return now >= flow.accepted_at + kUnusedFlowTimeout;
  }
  if (flow.opening.progress_reported &&
      silence_detector_.AreReportsComplete(flow.opening.service,
                                           flow.slot_taken_at)) {
    return false;
  }
  const Duration answer_time =
      SchedulerOf(flow.shard()).Load(now, flow.opening.work_class).answer_time;
  return now >=
         flow.slot_taken_at +
             std::max(kMaxSilenceTimeout, answer_time * kUnreportedAnswerTimes);
}

TimePoint FlowDispatcherImpl::NextWake() const {
  TimePoint wake =
      flows_.empty() ? kNever : std::min(expire_due_, silence_check_due_);
  for (const auto& [shard, it] : schedulers_) {
    wake = std::min(wake, it->NextWake());
  }
  return wake;
}

}  // namespace vanillalatch::internal
