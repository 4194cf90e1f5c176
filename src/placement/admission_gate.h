// Decides at once whether a request may wait: the work ahead of it, the
// answer times that are seen and the slots that its class can count on give
// the time at which it would be answered.
//
//   AdmissionGate gate(queue, classes, pool);
//   Forecast forecast = gate.Predict(now, work);
//   if (std::optional<ErrorKind> it = gate.Check(now, work, forecast)) ...
#ifndef VANILLALATCH_PLACEMENT_ADMISSION_GATE_H_
#define VANILLALATCH_PLACEMENT_ADMISSION_GATE_H_

#include <optional>

#include "src/placement/class_table.h"
#include "src/placement/endpoint_pool.h"
#include "src/placement/wait_queue.h"

namespace vanillalatch::internal {

// What a request can expect.
struct Forecast {
  Duration wait{};      // For a slot, on average.
  Duration longest{};   // For a slot, nearly always no longer.
  Duration answer{};    // From the start to the answer.
  Duration patience{};  // The longest wait that meets the class's target.
  Duration spacing{};   // Time in which one slot becomes free for its class.
};

class AdmissionGate {
 public:
  AdmissionGate(const WaitQueue& queue, ClassTable& classes, EndpointPool& pool)
      : queue_(queue), classes_(classes), pool_(pool) {}

  Forecast Predict(TimePoint now, const Work& work);
  // nullopt: it may start or wait.
  std::optional<ErrorKind> Check(TimePoint now, const Work& work,
                                 const Forecast& forecast);
  // When a request that waits is refused after all.
  TimePoint ExpiryOf(TimePoint submitted, const Work& work);
  // Whom to shed for `work` when the queue is full: the youngest request of
  // the class furthest over its share. nullptr: `work` itself.
  const Waiting* Victim(TimePoint now, const Work& work);

 private:
  Duration AnswerTimeOf(TimePoint now, const ClassState& state) const;
  void PredictPinned(TimePoint now, const Work& work, Forecast& forecast);
  void PredictUnpinned(TimePoint now, const Work& work, Forecast& forecast);

  const WaitQueue& queue_;
  ClassTable& classes_;
  EndpointPool& pool_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_PLACEMENT_ADMISSION_GATE_H_
