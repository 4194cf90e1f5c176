// The state of one endpoint, as observed by the dispatcher of its service:
// slots in use, cold-start ramp, slot limit, answer time, and health derived
// from the outcomes of requests (charts/health.json).
//
//   TrackedEndpoint tracked(now, endpoint, ramp);
//   tracked.Start(now);
//   tracked.Finish(now, WorkOutcome::kFailed, slot_time);
//   if (tracked.IsUnhealthy()) tracked.Eject(now, back_off);
#ifndef VANILLALATCH_PLACEMENT_TRACKED_ENDPOINT_H_
#define VANILLALATCH_PLACEMENT_TRACKED_ENDPOINT_H_

#include <cstdint>
#include <string_view>

#include "src/placement/cold_start.h"
#include "vanillalatch/admission/answer_time.h"
#include "vanillalatch/placement/slot_scheduler.h"

namespace vanillalatch::internal {

// States and events of charts/health.json.
enum class HealthState : std::uint8_t { kWarming, kReady, kEjected, kProbing };
enum class HealthEvent : std::uint8_t {
  kWarm,     // The ramp is over, or the endpoint answers fast enough.
  kEject,    // The endpoint is unhealthy, or a probe failed.
  kRetry,    // The back-off is over.
  kRecover,  // kAnswersToRecover probes in a row were answered.
  kDoubt,    // Most endpoints are unhealthy: the back-off ends early.
};

class TrackedEndpoint {
 public:
  // The failure score is a moving average of the outcomes, from 0 (all
  // answered) to 1 (all failed). Above kDegradedScore the endpoint is degraded,
  // above kUnhealthyScore unhealthy.
  static constexpr double kUnhealthyScore = 0.5;
  static constexpr double kDegradedScore = 0.25;
  // Small, so that a change of speed shows after a few answers.
  static constexpr std::uint64_t kAnswerSmoothing = 16;
  // When an unhealthy endpoint that could not be ejected has had no outcome for
  // this long, its failure score falls to kDegradedScore and it is used again.
  static constexpr Duration kUnhealthyTimeout = std::chrono::seconds(1);
  // Number of probes answered in a row that end the probing.
  static constexpr std::uint32_t kAnswersToRecover = 3;
  // Minimum time between two probes.
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(100);
  // Number of answers needed to end the cold-start ramp early.
  static constexpr std::uint64_t kMinWarmAnswers = 8;
  // The slot limit of an endpoint that shed work rises by one slot in each
  // interval of this length.
  static constexpr Duration kSlotLimitInterval = std::chrono::seconds(1);

  // `ramp`: length of the cold-start ramp; zero for no ramp.
  TrackedEndpoint(TimePoint now, const Endpoint& endpoint, Duration ramp);

  // Replaces the registered data of the endpoint and marks it as present.
  void Update(TimePoint now, const Endpoint& endpoint);
  // Marks the endpoint as missing in the latest list: it gets no new work.
  void SetMissing() { present_ = false; }

  // Counts one more slot as in use.
  void Start(TimePoint now);
  // Frees a slot and records the outcome. `slot_time`: how long the slot was in
  // use.
  void Finish(TimePoint now, WorkOutcome outcome, Duration slot_time);

  // Applies what is due by time: end of the ramp, end of the back-off, rise of
  // the slot limit.
  void Advance(TimePoint now);
  // When Advance(), UsableSlots() or IsProbeDue() next gives another result;
  // kNever if none will. Leaves out kUnhealthyTimeout, which frees no slot.
  TimePoint NextWake(TimePoint now) const;
  // Ends the ramp early if the endpoint has answered without a failure and
  // about as fast as the median of the service's endpoints.
  void EndRampIfFast(Duration median_answer_time);
  // Takes the endpoint out of use until the end of the back-off.
  void Eject(TimePoint now, Duration back_off);
  // Ends the back-off of an ejected endpoint, which is then probed. Called when
  // most endpoints are unhealthy.
  void SkipBackOff(TimePoint now);

  // True if the endpoint is in the latest list of endpoints.
  bool present() const { return present_; }
  // Present, not leaving, and not in an evacuated data centre.
  bool IsInService() const {
    return present_ && !evacuated_ && endpoint_.state == EndpointState::kReady;
  }
  void SetEvacuated(bool evacuated) { evacuated_ = evacuated; }
  bool is_evacuated() const { return evacuated_; }
  // True if the endpoint may get unpinned work other than probes.
  bool TakesNewWork() const {
    return IsInService() &&
           (health_ == HealthState::kWarming || health_ == HealthState::kReady);
  }
  // True if the endpoint is being probed and the next probe may start now.
  bool IsProbeDue(TimePoint now) const;
  // Slots that unpinned work may use.
  std::uint32_t UsableSlots(TimePoint now) const;
  bool HasFreeSlot(TimePoint now) const {
    return TakesNewWork() && busy_ < UsableSlots(now) && cold_.MayStart(now);
  }
  ColdStart& cold() { return cold_; }
  const ColdStart& cold() const { return cold_; }
  // True if a slot is free for pinned work. Pinned work may use all registered
  // slots of an endpoint, also while it is leaving, ramping up or ejected.
  bool HasFreePinnedSlot() const { return present_ && busy_ < endpoint_.slots; }
  bool IsUnhealthy() const { return failure_score_ > kUnhealthyScore; }
  bool IsDegraded() const { return failure_score_ > kDegradedScore; }
  void SetSilent(TimePoint now, bool silent);
  bool is_silent() const { return is_silent_; }
  // True if the endpoint gets only probes and pinned work because of its
  // health.
  bool IsEjectedOrProbing() const {
    return health_ == HealthState::kEjected || health_ == HealthState::kProbing;
  }
  // Busy for longer than `limit` without an answer.
  bool IsStalled(TimePoint now, Duration limit) const {
    return busy_ > 0 && now - last_progress_at_ > limit;
  }

  const Endpoint& endpoint() const { return endpoint_; }
  HealthState health() const { return health_; }
  std::uint32_t busy() const { return busy_; }
  // Requests started.
  std::uint64_t requests() const { return requests_; }
  // Sum of the times that slots were in use.
  Duration BusyTime(TimePoint now) const;
  TimePoint last_started() const { return last_started_; }
  const AnswerTime& answer_time() const { return answer_time_; }
  // Number of ejections. Returns zero when the endpoint has been in use for
  // kEjectionCountLifetime since it recovered.
  std::uint32_t RecentEjections(TimePoint now) const;
  // warming, ready, ejected, probing, evacuated or leaving.
  std::string_view StateName() const;

 private:
  void Apply(HealthEvent event);
  // Updates the failure score and, while probing, the count of answered probes.
  void RecordResult(TimePoint now, bool failed);
  // Records that the endpoint shed a request.
  void RecordShed(TimePoint now);

  Endpoint endpoint_;
  ColdStart cold_;
  bool present_ = true;
  bool is_silent_ = false;
  TimePoint silent_since_;  // Valid if is_silent_.
  bool evacuated_ = false;  // Its data centre is evacuated.
  HealthState health_;

  std::uint32_t busy_ = 0;
  std::uint64_t requests_ = 0;
  Duration busy_time_{};
  TimePoint busy_time_updated_at_;
  TimePoint last_started_;
  TimePoint last_progress_at_;  // Latest answer, or start while idle.

  AnswerTime answer_time_{kAnswerSmoothing};
  double failure_score_ = 0;
  TimePoint score_updated_at_;  // Latest outcome in the score.
  // Slots that may be used at most; below the registered slots after the
  // endpoint shed work.
  std::uint32_t slot_limit_;
  TimePoint slot_limit_changed_at_;
  std::uint32_t probes_answered_ = 0;
  std::uint32_t ejections_ = 0;
  TimePoint recovered_at_;
  TimePoint retry_at_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_PLACEMENT_TRACKED_ENDPOINT_H_
