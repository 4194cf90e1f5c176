// Decides when a request arrives whether it may wait for a slot. It predicts
// the time of the answer from the work that is ahead of the request, the
// observed answer times, and the slots available to the request's class.
//
// A request that is too late for its latency target may still be answered
// before its deadline. Such late requests wait in a queue of their own and get
// the slots that the others leave.
//
//   AdmissionGate gate(queue, late_queue, classes, pool);
//   Forecast forecast = gate.Predict(now, work);
//   if (std::optional<ErrorKind> error = gate.Check(now, work, forecast)) {
//     if (gate.MayWaitLate(now, work)) ...  // Queue it as late.
//     ...  // Refuse the request.
//   }
#ifndef VANILLALATCH_PLACEMENT_ADMISSION_GATE_H_
#define VANILLALATCH_PLACEMENT_ADMISSION_GATE_H_

#include <optional>

#include "src/placement/class_table.h"
#include "src/placement/endpoint_pool.h"
#include "src/placement/wait_queue.h"
#include "vanillalatch/admission/slot_use.h"

namespace vanillalatch::internal {

// The predicted times of one request.
struct Forecast {
  // Mean wait for a slot.
  Duration mean_wait{};
  // Upper estimate of the wait for a slot.
  Duration max_wait{};
  // Mean time from the start at an endpoint to the answer.
  Duration answer_time{};
  // The longest wait that meets the class's latency target, but at least a
  // quarter of the target from when the caller sent the request. Negative if
  // that time has passed.
  Duration wait_limit{};
  // Mean time between slots becoming free for the request's class, or for its
  // pinned endpoint.
  Duration slot_interval{};
};

class AdmissionGate {
 public:
  AdmissionGate(const WaitQueue& queue, const WaitQueue& late_queue,
                ClassTable& classes, EndpointPool& pool)
      : queue_(queue),
        late_queue_(late_queue),
        classes_(classes),
        pool_(pool) {}

  // Counts the slots in use by work that was not late when it started.
  void OnStarted(TimePoint now) { timely_use_.Start(now); }
  void OnFinished(TimePoint now) { timely_use_.Stop(now); }
  // Records that a late request left its queue: it started, or it expired.
  void OnLateOutcome(bool started);

  // Predicts the wait and answer time of `work` if it were submitted at `now`.
  Forecast Predict(TimePoint now, const Work& work);
  // Returns nullopt if `work` may start or wait, otherwise the error to refuse
  // it with: kDeadlineUnmeetable, kNoEndpoint or kOverloaded.
  std::optional<ErrorKind> Check(TimePoint now, const Work& work,
                                 const Forecast& forecast);
  // Returns the time at which `work` becomes late if it still waits then.
  TimePoint ExpiryOf(TimePoint issued, const Work& work);
  // True if late work may wait for the slots that other work leaves: if those
  // left recently suffice for an answer before the deadline or, as long as most
  // late requests have started in time so far, if all slots would.
  bool MayWaitLate(TimePoint now, const Work& work);
  // Returns the time at which late work is refused if it still waits then.
  TimePoint LateExpiryOf(TimePoint now, const Work& work);
  // Selects the request to shed when the queue is full and `work` arrives: the
  // newest unpinned request of the class furthest above its share. Returns
  // nullptr if that class is the class of `work`; `work` itself is then shed.
  const WaitingRequest* SelectRequestToShed(TimePoint now, const Work& work);

 private:
  // Mean answer time of the class, or the median of the endpoints' mean answer
  // times if the class has no recent sample.
  Duration AnswerTimeOf(TimePoint now, const ClassState& state) const;
  void PredictPinned(TimePoint now, const Work& work, Forecast& forecast);
  // Predicts the wait while all endpoints are cold and bounded; `rate`: work
  // that starts per second.
  void PredictCold(TimePoint now, const Work& work, double rate,
                   Forecast& forecast);
  void PredictUnpinned(TimePoint now, const Work& work, Forecast& forecast);

  const WaitQueue& queue_;
  const WaitQueue& late_queue_;
  ClassTable& classes_;
  EndpointPool& pool_;
  SlotUse timely_use_;
  // Moving average of the outcomes of late requests: 1 started, 0 expired.
  double late_success_ = 1;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_PLACEMENT_ADMISSION_GATE_H_
