#include "vanillalatch/placement/slot_scheduler.h"

#include <algorithm>
#include <utility>

#include "src/placement/slot_scheduler_impl.h"

namespace vanillalatch {
namespace internal {
namespace {

// Number of requests of one class, from the front of its queue, that are tried
// for a free slot which the requests before them can't use.
constexpr std::size_t kMaxTriedRequests = 8;

}  // namespace

void CentralScheduler::Submit(TimePoint now, const Work& work,
                              std::vector<Verdict>& verdicts) {
  if (running_.contains(work.request) || queue_.Contains(work.request) ||
      late_queue_.Contains(work.request)) {
    return;
  }
  if (!work.avoid) {
    retry_budget_.OnFirstAttempt(now);
  }
  Advance(now, verdicts);
  const TimePoint issued = work.issued.value_or(now);
  const Forecast forecast = gate_.Predict(now, work);
  if (const auto error = gate_.Check(now, work, forecast)) {
    if (*error != ErrorKind::kOverloaded || !QueueAsLate(now, work, issued)) {
      Refuse(now, work, *error, verdicts);
      return;
    }
    StartWaitingRequests(now, verdicts);
    return;
  }
  const WaitingRequest waiting{work, issued, gate_.ExpiryOf(issued, work)};
  if (queue_.size() == 0 && TryStart(now, waiting, verdicts)) {
    return;
  }
  if (!EnsureQueueSpace(now, work, verdicts)) {
    Refuse(now, work, ErrorKind::kOverloaded, verdicts);
    return;
  }
  queue_.Push(waiting);
  StartWaitingRequests(now, verdicts);
}

Resend CentralScheduler::TryResend(TimePoint now, EndpointId endpoint) {
  TrackedEndpoint* tracked = pool_.Find(endpoint);
  if (tracked == nullptr) {
    return Resend::kSend;
  }
  if (tracked->is_evacuated()) {
    return Resend::kMove;
  }
  if (!tracked->cold().MayStart(now)) {
    return Resend::kWait;
  }
  tracked->cold().TakeToken(now);
  return Resend::kSend;
}

void CentralScheduler::AddRunning(TimePoint now, const Work& work,
                                  EndpointId endpoint) {
  last_event_at_ = now;
  const RunningRequest running{endpoint, work.work_class, now, now, false};
  if (!running_.emplace(work.request, running).second) {
    return;
  }
  pool_.FindOrAdd(now, endpoint).Start(now);
  classes_.GetOrCreate(work.work_class).slot_use.Start(now);
  gate_.OnStarted(now);
}

void CentralScheduler::Finish(TimePoint now, RequestId request,
                              WorkOutcome outcome, Duration report_age,
                              std::vector<Verdict>& verdicts) {
  const auto it = running_.find(request);
  if (it != running_.end()) {
    const RunningRequest running = it->second;
    running_.erase(it);
    ClassState& state = classes_.GetOrCreate(running.work_class);
    state.slot_use.Stop(now);
    if (!running.late) {
      gate_.OnFinished(now);
    }
    const TimePoint ended = std::max(now - report_age, running.started);
    if (outcome == WorkOutcome::kAnswered) {
      state.answer_time.Add(now, ended - running.started);
      state.stats.OnAnswered(now, ended - running.issued, state.target.latency);
    } else if (outcome == WorkOutcome::kRefused) {
      state.stats.OnRefused();
    } else if (outcome != WorkOutcome::kCancelled) {
      state.stats.OnFailed();
    }
    pool_.Finish(now, running.endpoint, outcome, ended - running.started);
  }
  Advance(now, verdicts);
  StartWaitingRequests(now, verdicts);
}

void CentralScheduler::StartWaitingRequests(TimePoint now,
                                            std::vector<Verdict>& verdicts) {
  while (queue_.size() > 0 && StartNext(now, verdicts)) {
  }
  while (late_queue_.size() > 0 && StartNextLate(now, verdicts)) {
  }
}

bool CentralScheduler::StartNext(TimePoint now,
                                 std::vector<Verdict>& verdicts) {
  const bool can_start_unpinned =
      pool_.FreeSlots(now) > 0 || pool_.AnyProbeDue(now);
  for (const ClassState* it :
       classes_.OrderForSlot(now, pool_.UsableSlots(now))) {
    if (StartPinned(now, it->target.id, verdicts) ||
        (can_start_unpinned &&
         StartUnpinned(now, queue_, it->target.id, verdicts))) {
      return true;
    }
  }
  return false;
}

bool CentralScheduler::StartNextLate(TimePoint now,
                                     std::vector<Verdict>& verdicts) {
  if (pool_.FreeSlots(now) == 0 && !pool_.AnyProbeDue(now)) {
    return false;
  }
  const auto classes = classes_.by_priority();
  return std::any_of(classes.begin(), classes.end(), [&](const auto* it) {
    return StartUnpinned(now, late_queue_, it->target.id, verdicts);
  });
}

bool CentralScheduler::StartPinned(TimePoint now, ClassId id,
                                   std::vector<Verdict>& verdicts) {
  for (const auto& [endpoint, queue] : queue_.Pinned(id)) {
    if (TryStart(now, queue.front(), verdicts)) {
      return true;
    }
  }
  return false;
}

bool CentralScheduler::StartUnpinned(TimePoint now, const WaitQueue& queue,
                                     ClassId id,
                                     std::vector<Verdict>& verdicts) {
  std::size_t tried = 0;
  for (const WaitingRequest& it : queue.Unpinned(id)) {
    if (++tried > kMaxTriedRequests) {
      return false;
    }
    if (TryStart(now, it, verdicts)) {
      return true;
    }
  }
  return false;
}

bool CentralScheduler::TryStart(TimePoint now, const WaitingRequest& waiting,
                                std::vector<Verdict>& verdicts) {
  const Work& work = waiting.work;
  TrackedEndpoint* tracked = nullptr;
  if (work.pinned) {
    tracked = pool_.Find(*work.pinned);
    if (tracked != nullptr && !tracked->HasFreePinnedSlot()) {
      tracked = nullptr;
    }
  } else {
    const Duration latency =
        classes_.GetOrCreate(work.work_class).target.latency;
    tracked =
        pool_.Select(now, work,
                     late_queue_.Contains(work.request)
                         ? work.deadline
                         : std::min(work.deadline, waiting.issued + latency),
                     ClassMayProbe(now, work.work_class));
  }
  if (tracked == nullptr) {
    return false;
  }
  Start(now, waiting, *tracked, verdicts);
  return true;
}

void CentralScheduler::Start(TimePoint now, const WaitingRequest& waiting,
                             TrackedEndpoint& tracked,
                             std::vector<Verdict>& verdicts) {
  const RequestId request = waiting.work.request;
  const ClassId id = waiting.work.work_class;
  const EndpointId endpoint = tracked.endpoint().id;
  if (!waiting.work.pinned) {
    tracked.cold().TakeToken(now);
  }
  tracked.Start(now);
  classes_.GetOrCreate(id).slot_use.Start(now);
  const TimePoint issued = waiting.issued;
  // Invalidates `waiting`.
  const bool late =
      !queue_.Remove(request) && late_queue_.Remove(request).has_value();
  running_.emplace(request, RunningRequest{endpoint, id, issued, now, late});
  if (late) {
    gate_.OnLateOutcome(true);
  } else {
    gate_.OnStarted(now);
  }
  verdicts.push_back({.kind = Verdict::Kind::kStart,
                      .request = request,
                      .endpoint = endpoint,
                      .error = ErrorKind::kOverloaded,
                      .retry_after = Duration::zero(),
                      .late = late});
}

// While the class that is served last has work, only its requests are used as
// probes.
bool CentralScheduler::ClassMayProbe(TimePoint now, ClassId id) {
  constexpr double kMaxIdleUse = 0.01;  // Slots.
  const ClassState& last = *classes_.by_priority().back();
  return last.target.id == id || last.slot_use.AverageAt(now) < kMaxIdleUse;
}

TimePoint CentralScheduler::NextWake() const {
  if (WaitingRequests() == 0) {
    return kNever;
  }
  if (endpoints_changed_) {
    return last_event_at_;
  }
  TimePoint wake = pool_.NextWake(last_event_at_);
  for (const WaitQueue* it : {&queue_, &late_queue_}) {
    if (const WaitingRequest* first = it->FirstToExpire()) {
      wake = std::min(wake, first->expires);
    }
  }
  return wake;
}

bool CentralScheduler::TakeRetry(TimePoint now) {
  if (now < overloaded_until_ || WaitingRequests() > pool_.UsableSlots(now)) {
    return false;
  }
  return retry_budget_.Take(now);
}

SlotLoad CentralScheduler::Load(TimePoint now, ClassId id) {
  Work work;
  work.work_class = id;
  const Forecast forecast = gate_.Predict(now, work);
  SlotLoad load;
  load.queued = static_cast<std::uint32_t>(WaitingRequests());
  load.expected_wait = forecast.mean_wait;
  load.answer_time = forecast.answer_time;
  load.in_service = pool_.AnyInService();
  if (pool_.AnyResponsive()) {
    load.usable_slots = pool_.UsableSlots(now);
    load.free_slots = pool_.FreeSlots(now);
  }
  return load;
}

pb::ServiceReport CentralScheduler::Report(TimePoint now) const {
  pb::ServiceReport report;
  report.set_service_id(service_.value());
  for (const ClassState* it : classes_.by_priority()) {
    pb::ClassReport& out = *report.add_classes();
    out.set_class_id(it->target.id.value());
    out.set_queued(static_cast<std::uint32_t>(
        queue_.SizeOf(it->target.id) + late_queue_.SizeOf(it->target.id)));
    it->stats.Fill(now, out);
  }
  for (const auto& [id, it] : pool_.endpoints()) {
    pb::EndpointReport& out = *report.add_endpoints();
    out.set_name(it.endpoint().name);
    out.set_address(it.endpoint().address.ToString());
    out.set_state(std::string(it.StateName()));
    out.set_slots(it.endpoint().slots);
    out.set_busy(it.busy());
    out.set_requests(it.requests());
    out.set_busy_us(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(it.BusyTime(now))
            .count()));
  }
  return report;
}

}  // namespace internal

Result<std::unique_ptr<SlotScheduler>> SlotScheduler::Create(
    SlotSchedulerOptions options, std::uint64_t seed) {
  if (options.max_queue == 0 || options.cold_start_ramp < Duration::zero()) {
    return Error(ErrorKind::kInvalidArgument,
                 "max_queue must be above 0 and cold_start_ramp must not be "
                 "negative");
  }
  return std::unique_ptr<SlotScheduler>(
      std::make_unique<internal::CentralScheduler>(options, seed));
}

}  // namespace vanillalatch
