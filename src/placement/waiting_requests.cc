#include <algorithm>

#include "src/placement/slot_scheduler_impl.h"

namespace vanillalatch::internal {
namespace {

// No retry is allowed for this long after a refusal for lack of slots.
constexpr Duration kRetryPauseAfterOverload = std::chrono::seconds(1);
// Minimum retry-after time when no endpoint can take the request.
constexpr Duration kNoEndpointRetryDelay = std::chrono::seconds(1);

}  // namespace

void CentralScheduler::Advance(TimePoint now, std::vector<Verdict>& verdicts) {
  last_event_at_ = now;
  pool_.Advance(now);
  if (endpoints_changed_) {
    endpoints_changed_ = false;
    RefuseWithoutEndpoint(now, queue_, verdicts);
    RefuseWithoutEndpoint(now, late_queue_, verdicts);
  }
  DemoteExpired(now, verdicts);
  RemoveExpiredLate(now, verdicts);
}

void CentralScheduler::RefuseWithoutEndpoint(TimePoint now, WaitQueue& queue,
                                             std::vector<Verdict>& verdicts) {
  const bool any_in_service = pool_.AnyInService();
  for (const RequestId request : queue.RequestsByExpiry()) {
    const Work& work = queue.Find(request)->work;
    const TrackedEndpoint* tracked =
        work.pinned ? pool_.Find(*work.pinned) : nullptr;
    const bool lacks_endpoint = work.pinned
                                    ? tracked == nullptr || !tracked->present()
                                    : !any_in_service;
    if (lacks_endpoint) {
      RefuseWaiting(now, queue, request, ErrorKind::kNoEndpoint, verdicts);
    }
  }
}

void CentralScheduler::DemoteExpired(TimePoint now,
                                     std::vector<Verdict>& verdicts) {
  const WaitingRequest* it = queue_.FirstToExpire();
  while (it != nullptr && it->expires <= now) {
    const WaitingRequest expired = *queue_.Remove(it->work.request);
    if (!QueueAsLate(now, expired.work, expired.issued)) {
      RefuseExpired(now, expired.work, verdicts);
    }
    it = queue_.FirstToExpire();
  }
}

void CentralScheduler::RemoveExpiredLate(TimePoint now,
                                         std::vector<Verdict>& verdicts) {
  const WaitingRequest* it = late_queue_.FirstToExpire();
  while (it != nullptr && it->expires <= now) {
    const WaitingRequest expired = *late_queue_.Remove(it->work.request);
    gate_.OnLateOutcome(false);
    RefuseExpired(now, expired.work, verdicts);
    it = late_queue_.FirstToExpire();
  }
}

void CentralScheduler::RefuseExpired(TimePoint now, const Work& work,
                                     std::vector<Verdict>& verdicts) {
  const Duration answer_time = gate_.Predict(now, work).answer_time;
  const bool misses_deadline = now + answer_time >= work.deadline;
  Refuse(
      now, work,
      misses_deadline ? ErrorKind::kDeadlineUnmeetable : ErrorKind::kOverloaded,
      verdicts);
}

bool CentralScheduler::QueueAsLate(TimePoint now, const Work& work,
                                   TimePoint issued) {
  if (!options_.queue_late_requests ||
      WaitingRequests() >= options_.max_queue ||
      !gate_.MayWaitLate(now, work)) {
    return false;
  }
  late_queue_.Push({work, issued, gate_.LateExpiryOf(now, work)});
  return true;
}

void CentralScheduler::Refuse(TimePoint now, const Work& work, ErrorKind error,
                              std::vector<Verdict>& verdicts) {
  ClassState& state = classes_.GetOrCreate(work.work_class);
  state.stats.OnRefused();
  const Forecast forecast = gate_.Predict(now, work);
  if (forecast.mean_wait > Duration::zero()) {
    overloaded_until_ = now + kRetryPauseAfterOverload;
  }
  const Duration backlog =
      error == ErrorKind::kNoEndpoint
          ? kNoEndpointRetryDelay
          : std::max(forecast.max_wait - forecast.wait_limit, Duration::zero());
  verdicts.push_back(
      {.kind = Verdict::Kind::kRefuse,
       .request = work.request,
       .endpoint = {},
       .error = error,
       .retry_after = state.retry_after_schedule.NextDelay(
           now, backlog, forecast.slot_interval),
       .cause = {.expected_wait = forecast.mean_wait,
                 .queued = static_cast<std::uint32_t>(WaitingRequests()),
                 .usable_slots = pool_.UsableSlots(now),
                 .free_slots = pool_.FreeSlots(now)}});
}

void CentralScheduler::RefuseWaiting(TimePoint now, WaitQueue& queue,
                                     RequestId request, ErrorKind error,
                                     std::vector<Verdict>& verdicts) {
  const std::optional<WaitingRequest> taken = queue.Remove(request);
  Refuse(now, taken->work, error, verdicts);
}

bool CentralScheduler::EnsureQueueSpace(TimePoint now, const Work& work,
                                        std::vector<Verdict>& verdicts) {
  if (WaitingRequests() < options_.max_queue) {
    return true;
  }
  if (late_queue_.size() > 0) {
    const WaitingRequest* late = late_queue_.FirstToExpire();
    RefuseWaiting(now, late_queue_, late->work.request, ErrorKind::kOverloaded,
                  verdicts);
    return true;
  }
  const WaitingRequest* shed = gate_.SelectRequestToShed(now, work);
  if (shed == nullptr) {
    return false;
  }
  RefuseWaiting(now, queue_, shed->work.request, ErrorKind::kOverloaded,
                verdicts);
  return true;
}

}  // namespace vanillalatch::internal
