// The implementation of SlotScheduler. It is split into two files:
// slot_scheduler.cc (events, and the start of requests) and waiting_requests.cc
// (queueing, and the refusal of requests that wait).
#ifndef VANILLALATCH_SRC_PLACEMENT_SLOT_SCHEDULER_IMPL_H_
#define VANILLALATCH_SRC_PLACEMENT_SLOT_SCHEDULER_IMPL_H_

#include <span>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "src/placement/admission_gate.h"
#include "src/placement/class_table.h"
#include "src/placement/endpoint_pool.h"
#include "src/placement/wait_queue.h"
#include "vanillalatch/admission/retry_budget.h"
#include "vanillalatch/placement/slot_scheduler.h"

namespace vanillalatch::internal {

struct RunningRequest {
  EndpointId endpoint;
  ClassId work_class;
  TimePoint issued;  // When the caller sent it.
  TimePoint started;
  bool late = false;  // It started from the queue of late requests.
};

class CentralScheduler final : public SlotScheduler {
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
  // Makes requests late that can't meet their latency target any more, or
  // refuses them.
  void DemoteExpired(TimePoint now, std::vector<Verdict>& verdicts);
  // Refuses late requests that can't be answered any more.
  void RemoveExpiredLate(TimePoint now, std::vector<Verdict>& verdicts);
  void RefuseExpired(TimePoint now, const Work& work,
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

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_PLACEMENT_SLOT_SCHEDULER_IMPL_H_
