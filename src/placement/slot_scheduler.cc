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

// A refusal for lack of slots stops retries for this long.
constexpr Duration kOverloadMemory = std::chrono::seconds(1);
// Requests of one class that are tried for a slot that the first can't use.
constexpr std::size_t kLookAhead = 8;
// A caller without any endpoint comes back no sooner.
constexpr Duration kNoEndpointPause = std::chrono::seconds(1);

struct Running {
  EndpointId endpoint;
  ClassId work_class;
  TimePoint submitted;
  TimePoint started;
};

class CentralScheduler : public SlotScheduler {
 public:
  CentralScheduler(SlotSchedulerOptions options, std::uint64_t seed)
      : options_(options),
        classes_(seed),
        pool_(options, seed),
        gate_(queue_, classes_, pool_) {}

  void SetClasses(std::span<const ClassTarget> classes) override {
    classes_.Set(classes);
  }

  void SetEndpoints(TimePoint now,
                    std::span<const Endpoint> endpoints) override {
    now_ = now;
    pool_.Set(now, endpoints);
    endpoints_changed_ = true;
    if (!endpoints.empty()) {
      service_ = endpoints.front().service;
    }
  }

  void Submit(TimePoint now, const Work& work,
              std::vector<Verdict>& verdicts) override;
  void Adopt(TimePoint now, const Work& work, EndpointId endpoint) override;
  void Finish(TimePoint now, RequestId request, WorkOutcome outcome,
              std::vector<Verdict>& verdicts) override;

  bool Cancel(TimePoint now, RequestId request) override {
    return queue_.Take(request).has_value();
  }

  void OnTick(TimePoint now, std::vector<Verdict>& verdicts) override {
    Advance(now, verdicts);
    StartWaiting(now, verdicts);
  }

  void SetSilent(EndpointId endpoint, bool silent) override {
    if (EndpointTrack* it = pool_.Find(endpoint)) {
      it->SetSilent(silent);
    }
  }

  TimePoint NextWake() const override;
  bool TakeRetry(TimePoint now) override;
  pb::ServiceReport Report(TimePoint now) const override;

 private:
  // Moves on what time alone changes, and refuses what waits in vain.
  void Advance(TimePoint now, std::vector<Verdict>& verdicts);
  void RefuseStranded(TimePoint now, std::vector<Verdict>& verdicts);
  void RefuseExpired(TimePoint now, std::vector<Verdict>& verdicts);
  void Refuse(TimePoint now, const Work& work, ErrorKind error,
              std::vector<Verdict>& verdicts);
  void RefuseWaiting(TimePoint now, RequestId request, ErrorKind error,
                     std::vector<Verdict>& verdicts);
  // False: the queue is full, and nothing else is to be shed for `work`.
  bool MakeRoom(TimePoint now, const Work& work,
                std::vector<Verdict>& verdicts);

  void StartWaiting(TimePoint now, std::vector<Verdict>& verdicts);
  bool StartOne(TimePoint now, std::vector<Verdict>& verdicts);
  bool StartPinned(TimePoint now, ClassId id, std::vector<Verdict>& verdicts);
  bool StartUnpinned(TimePoint now, ClassId id, std::vector<Verdict>& verdicts);
  bool TryStart(TimePoint now, const Waiting& waiting,
                std::vector<Verdict>& verdicts);
  void Start(TimePoint now, const Waiting& waiting, EndpointTrack& track,
             std::vector<Verdict>& verdicts);
  bool MayProbe(TimePoint now, ClassId id);

  SlotSchedulerOptions options_;
  ServiceId service_;
  ClassTable classes_;
  EndpointPool pool_;
  WaitQueue queue_;
  AdmissionGate gate_;
  RetryBudget retries_;
  absl::flat_hash_map<RequestId, Running> running_;
  TimePoint now_;  // Of the latest event.
  TimePoint overloaded_until_;
  bool endpoints_changed_ = false;
};

void CentralScheduler::Submit(TimePoint now, const Work& work,
                              std::vector<Verdict>& verdicts) {
  if (running_.contains(work.request) || queue_.Contains(work.request)) {
    return;
  }
  if (!work.avoid) {
    retries_.OnWork(now);
  }
  Advance(now, verdicts);
  const Forecast forecast = gate_.Predict(now, work);
  if (const auto error = gate_.Check(now, work, forecast)) {
    Refuse(now, work, *error, verdicts);
    return;
  }
  const Waiting waiting{work, now, gate_.ExpiryOf(now, work)};
  if (queue_.size() == 0 && TryStart(now, waiting, verdicts)) {
    return;
  }
  if (!MakeRoom(now, work, verdicts)) {
    Refuse(now, work, ErrorKind::kOverloaded, verdicts);
    return;
  }
  queue_.Push(waiting);
  StartWaiting(now, verdicts);
}

void CentralScheduler::Adopt(TimePoint now, const Work& work,
                             EndpointId endpoint) {
  now_ = now;
  const Running running{endpoint, work.work_class, now, now};
  if (!running_.emplace(work.request, running).second) {
    return;
  }
  pool_.FindOrAdd(now, endpoint).Start(now);
  classes_.Of(work.work_class).use.Start(now);
}

void CentralScheduler::Finish(TimePoint now, RequestId request,
                              WorkOutcome outcome,
                              std::vector<Verdict>& verdicts) {
  const auto it = running_.find(request);
  if (it != running_.end()) {
    const Running running = it->second;
    running_.erase(it);
    ClassState& state = classes_.Of(running.work_class);
    state.use.Stop(now);
    if (outcome == WorkOutcome::kAnswered) {
      state.answer_time.Add(now, now - running.started);
      state.stats.OnAnswered(now, now - running.submitted,
                             state.target.latency);
    } else if (outcome == WorkOutcome::kRefused) {
      state.stats.OnRefused();
    } else if (outcome != WorkOutcome::kCancelled) {
      state.stats.OnFailed();
    }
    pool_.Finish(now, running.endpoint, outcome, now - running.started);
  }
  Advance(now, verdicts);
  StartWaiting(now, verdicts);
}

void CentralScheduler::Advance(TimePoint now, std::vector<Verdict>& verdicts) {
  now_ = now;
  pool_.Advance(now);
  if (endpoints_changed_) {
    endpoints_changed_ = false;
    RefuseStranded(now, verdicts);
  }
  RefuseExpired(now, verdicts);
}

void CentralScheduler::RefuseStranded(TimePoint now,
                                      std::vector<Verdict>& verdicts) {
  const bool any = pool_.AnyInService();
  for (const RequestId request : queue_.Requests()) {
    const Work& work = queue_.Find(request)->work;
    const EndpointTrack* track =
        work.pinned ? pool_.Find(*work.pinned) : nullptr;
    const bool stranded =
        work.pinned ? track == nullptr || !track->present() : !any;
    if (stranded) {
      RefuseWaiting(now, request, ErrorKind::kNoEndpoint, verdicts);
    }
  }
}

void CentralScheduler::RefuseExpired(TimePoint now,
                                     std::vector<Verdict>& verdicts) {
  const Waiting* it = queue_.FirstToExpire();
  while (it != nullptr && it->expires <= now) {
    const Duration answer = gate_.Predict(now, it->work).answer;
    const bool deadline = now + answer >= it->work.deadline;
    RefuseWaiting(
        now, it->work.request,
        deadline ? ErrorKind::kDeadlineUnmeetable : ErrorKind::kOverloaded,
        verdicts);
    it = queue_.FirstToExpire();
  }
}

void CentralScheduler::Refuse(TimePoint now, const Work& work, ErrorKind error,
                              std::vector<Verdict>& verdicts) {
  ClassState& state = classes_.Of(work.work_class);
  state.stats.OnRefused();
  const Forecast forecast = gate_.Predict(now, work);
  if (forecast.wait > Duration::zero()) {
    overloaded_until_ = now + kOverloadMemory;
  }
  const Duration backlog =
      error == ErrorKind::kNoEndpoint
          ? kNoEndpointPause
          : std::max(forecast.longest - forecast.patience, Duration::zero());
  verdicts.push_back(
      {.kind = Verdict::Kind::kRefuse,
       .request = work.request,
       .endpoint = {},
       .error = error,
       .retry_after = state.returns.Next(now, backlog, forecast.spacing),
       .cause = {.expected_wait = forecast.wait,
                 .queued = static_cast<std::uint32_t>(queue_.size()),
                 .usable_slots = pool_.UsableSlots(now),
                 .free_slots = pool_.FreeSlots(now)}});
}

void CentralScheduler::RefuseWaiting(TimePoint now, RequestId request,
                                     ErrorKind error,
                                     std::vector<Verdict>& verdicts) {
  const std::optional<Waiting> taken = queue_.Take(request);
  Refuse(now, taken->work, error, verdicts);
}

bool CentralScheduler::MakeRoom(TimePoint now, const Work& work,
                                std::vector<Verdict>& verdicts) {
  if (queue_.size() < options_.max_queue) {
    return true;
  }
  const Waiting* victim = gate_.Victim(now, work);
  if (victim == nullptr) {
    return false;
  }
  RefuseWaiting(now, victim->work.request, ErrorKind::kOverloaded, verdicts);
  return true;
}

void CentralScheduler::StartWaiting(TimePoint now,
                                    std::vector<Verdict>& verdicts) {
  while (queue_.size() > 0 && StartOne(now, verdicts)) {
  }
}

bool CentralScheduler::StartOne(TimePoint now, std::vector<Verdict>& verdicts) {
  const bool unpinned = pool_.FreeSlots(now) > 0 || pool_.AnyProbe(now);
  for (const ClassState* it :
       classes_.OrderForSlot(now, pool_.UsableSlots(now))) {
    if (StartPinned(now, it->target.id, verdicts) ||
        (unpinned && StartUnpinned(now, it->target.id, verdicts))) {
      return true;
    }
  }
  return false;
}

bool CentralScheduler::StartPinned(TimePoint now, ClassId id,
                                   std::vector<Verdict>& verdicts) {
  for (const auto& [endpoint, line] : queue_.Pinned(id)) {
    if (TryStart(now, line.front(), verdicts)) {
      return true;
    }
  }
  return false;
}

bool CentralScheduler::StartUnpinned(TimePoint now, ClassId id,
                                     std::vector<Verdict>& verdicts) {
  std::size_t tried = 0;
  for (const Waiting& it : queue_.Unpinned(id)) {
    if (++tried > kLookAhead) {
      return false;
    }
    if (TryStart(now, it, verdicts)) {
      return true;
    }
  }
  return false;
}

bool CentralScheduler::TryStart(TimePoint now, const Waiting& waiting,
                                std::vector<Verdict>& verdicts) {
  const Work& work = waiting.work;
  EndpointTrack* track = nullptr;
  if (work.pinned) {
    track = pool_.Find(*work.pinned);
    if (track != nullptr && !track->HasFreePinnedSlot()) {
      track = nullptr;
    }
  } else {
    const Duration latency = classes_.Of(work.work_class).target.latency;
    track = pool_.Choose(now, work,
                         std::min(work.deadline, waiting.submitted + latency),
                         MayProbe(now, work.work_class));
  }
  if (track == nullptr) {
    return false;
  }
  Start(now, waiting, *track, verdicts);
  return true;
}

void CentralScheduler::Start(TimePoint now, const Waiting& waiting,
                             EndpointTrack& track,
                             std::vector<Verdict>& verdicts) {
  const RequestId request = waiting.work.request;
  const ClassId id = waiting.work.work_class;
  const EndpointId endpoint = track.endpoint().id;
  track.Start(now);
  classes_.Of(id).use.Start(now);
  running_.emplace(request, Running{endpoint, id, waiting.submitted, now});
  queue_.Take(request);  // Invalidates `waiting`.
  verdicts.push_back({.kind = Verdict::Kind::kStart,
                      .request = request,
                      .endpoint = endpoint,
                      .error = ErrorKind::kOverloaded,
                      .retry_after = Duration::zero()});
}

// Probes are taken from the loosest class while it has work.
bool CentralScheduler::MayProbe(TimePoint now, ClassId id) {
  constexpr double kIdle = 0.01;  // Slots.
  const ClassState& loosest = *classes_.by_latency().back();
  return loosest.target.id == id || loosest.use.At(now) < kIdle;
}

TimePoint CentralScheduler::NextWake() const {
  if (queue_.size() == 0) {
    return kNever;
  }
  if (endpoints_changed_) {
    return now_;
  }
  return std::min(queue_.FirstToExpire()->expires, pool_.NextWake(now_));
}

bool CentralScheduler::TakeRetry(TimePoint now) {
  if (now < overloaded_until_ || queue_.size() > pool_.UsableSlots(now)) {
    return false;
  }
  return retries_.Take(now);
}

pb::ServiceReport CentralScheduler::Report(TimePoint now) const {
  pb::ServiceReport report;
  report.set_service_id(service_.value());
  for (const ClassState* it : classes_.by_latency()) {
    pb::ClassReport& out = *report.add_classes();
    out.set_class_id(it->target.id.value());
    out.set_queued(static_cast<std::uint32_t>(queue_.SizeOf(it->target.id)));
    it->stats.Fill(now, out);
  }
  for (const auto& [id, it] : pool_.tracks()) {
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
                 "max_queue must be above 0, cold_start_ramp not negative");
  }
  return std::unique_ptr<SlotScheduler>(
      std::make_unique<internal::CentralScheduler>(options, seed));
}

}  // namespace vanillalatch
