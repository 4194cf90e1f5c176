#include "vanillalatch/placement/slot_scheduler.h"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "src/placement/admission_gate.h"
#include "src/placement/class_table.h"
#include "src/placement/endpoint_pool.h"
#include "src/placement/wait_queue.h"
#include "vanillalatch/admission/retry_budget.h"

namespace vanillalatch {
namespace internal {
namespace {

// No retry is allowed for this long after a refusal for lack of slots.
constexpr Duration kRetryPauseAfterOverload = std::chrono::seconds(1);
// Number of requests of one class, from the front of its queue, that are tried
// for a free slot which the requests before them can't use.
constexpr std::size_t kMaxTriedRequests = 8;
// Minimum retry-after time when no endpoint can take the request.
constexpr Duration kNoEndpointRetryDelay = std::chrono::seconds(1);

struct RunningRequest {
  EndpointId endpoint;
  ClassId work_class;
  TimePoint issued;  // When the caller sent it.
  TimePoint started;
  bool late = false;  // It started from the queue of late requests.
};

class CentralScheduler : public SlotScheduler {
 public:
  CentralScheduler(SlotSchedulerOptions options, std::uint64_t seed)
      : options_(options),
        classes_(seed),
        pool_(options, seed),
        gate_(queue_, late_queue_, classes_, pool_) {}

  void SetClasses(std::span<const ClassTarget> classes) override {
    classes_.Set(classes);
  }

  void SetEndpoints(TimePoint now,
                    std::span<const Endpoint> endpoints) override {
    last_event_at_ = now;
    pool_.Set(now, endpoints);
    endpoints_changed_ = true;
    if (!endpoints.empty()) {
      service_ = endpoints.front().service;
    }
  }

  void SetEvacuated(TimePoint now,
                    std::span<const std::string> data_centers) override {
    last_event_at_ = now;
    pool_.SetEvacuated(now, data_centers);
    endpoints_changed_ = true;
  }

  void SetWarmUp(TimePoint now, const WarmUp& warm_up) override {
    pool_.SetWarmUp(now, warm_up);
  }

  void SetColdUse(TimePoint now, const ColdUse& use) override {
    pool_.SetColdUse(now, use);
  }

  Resend TryResend(TimePoint now, EndpointId endpoint) override;

  void Submit(TimePoint now, const Work& work,
              std::vector<Verdict>& verdicts) override;
  void AddRunning(TimePoint now, const Work& work,
                  EndpointId endpoint) override;
  void Finish(TimePoint now, RequestId request, WorkOutcome outcome,
              Duration report_age, std::vector<Verdict>& verdicts) override;

  bool Cancel(TimePoint now, RequestId request) override {
    return queue_.Remove(request) || late_queue_.Remove(request);
  }

  void OnTick(TimePoint now, std::vector<Verdict>& verdicts) override {
    Advance(now, verdicts);
    StartWaitingRequests(now, verdicts);
  }

  void SetSilent(EndpointId endpoint, bool silent) override {
    if (TrackedEndpoint* it = pool_.Find(endpoint)) {
      it->SetSilent(last_event_at_, silent);
    }
  }

  TimePoint NextWake() const override;
  bool TakeRetry(TimePoint now) override;
  SlotLoad Load(TimePoint now, ClassId id) override;
  pb::ServiceReport Report(TimePoint now) const override;

 private:
  // Applies what is due by time: waiting requests that expired become late or
  // are refused, and those that have no endpoint left are refused.
  void Advance(TimePoint now, std::vector<Verdict>& verdicts);
  void RefuseWithoutEndpoint(TimePoint now, WaitQueue& queue,
                             std::vector<Verdict>& verdicts);
  void RemoveExpired(TimePoint now, WaitQueue& queue,
                     std::vector<Verdict>& verdicts);
  // Puts a request that can't meet its latency target into the queue of late
  // requests. Returns false if it has to be refused.
  bool QueueAsLate(TimePoint now, const Work& work, TimePoint issued);
  void Refuse(TimePoint now, const Work& work, ErrorKind error,
              std::vector<Verdict>& verdicts);
  void RefuseWaiting(TimePoint now, WaitQueue& queue, RequestId request,
                     ErrorKind error, std::vector<Verdict>& verdicts);
  // Ensures that the queue has space for `work`, by shedding another request if
  // need be. Returns false if `work` itself is to be shed.
  bool EnsureQueueSpace(TimePoint now, const Work& work,
                        std::vector<Verdict>& verdicts);

  void StartWaitingRequests(TimePoint now, std::vector<Verdict>& verdicts);
  bool StartNext(TimePoint now, std::vector<Verdict>& verdicts);
  bool StartPinned(TimePoint now, ClassId id, std::vector<Verdict>& verdicts);
  bool StartUnpinned(TimePoint now, const WaitQueue& queue, ClassId id,
                     std::vector<Verdict>& verdicts);
  // Starts a late request. Called while no other request can start.
  bool StartNextLate(TimePoint now, std::vector<Verdict>& verdicts);
  bool TryStart(TimePoint now, const WaitingRequest& waiting,
                std::vector<Verdict>& verdicts);
  void Start(TimePoint now, const WaitingRequest& waiting,
             TrackedEndpoint& tracked, std::vector<Verdict>& verdicts);
  bool ClassMayProbe(TimePoint now, ClassId id);
  std::size_t WaitingRequests() const {
    return queue_.size() + late_queue_.size();
  }

  SlotSchedulerOptions options_;
  ServiceId service_;
  ClassTable classes_;
  EndpointPool pool_;
  WaitQueue queue_;       // Requests that may meet their latency target.
  WaitQueue late_queue_;  // The others; unpinned.
  AdmissionGate gate_;
  RetryBudget retry_budget_;
  absl::flat_hash_map<RequestId, RunningRequest> running_;
  TimePoint last_event_at_;
  TimePoint overloaded_until_;
  bool endpoints_changed_ = false;
};

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

void CentralScheduler::Advance(TimePoint now, std::vector<Verdict>& verdicts) {
  last_event_at_ = now;
  pool_.Advance(now);
  if (endpoints_changed_) {
    endpoints_changed_ = false;
    RefuseWithoutEndpoint(now, queue_, verdicts);
    RefuseWithoutEndpoint(now, late_queue_, verdicts);
  }
  RemoveExpired(now, queue_, verdicts);
  RemoveExpired(now, late_queue_, verdicts);
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

void CentralScheduler::RemoveExpired(TimePoint now, WaitQueue& queue,
                                     std::vector<Verdict>& verdicts) {
  const WaitingRequest* it = queue.FirstToExpire();
  while (it != nullptr && it->expires <= now) {
    const WaitingRequest expired = *queue.Remove(it->work.request);
    const Work& work = expired.work;
    if (&queue == &late_queue_) {
      gate_.OnLateOutcome(false);
    }
    if (&queue == &late_queue_ || !QueueAsLate(now, work, expired.issued)) {
      const Duration answer_time = gate_.Predict(now, work).answer_time;
      const bool misses_deadline = now + answer_time >= work.deadline;
      Refuse(now, work,
             misses_deadline ? ErrorKind::kDeadlineUnmeetable
                             : ErrorKind::kOverloaded,
             verdicts);
    }
    it = queue.FirstToExpire();
  }
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

}  // namespace
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
