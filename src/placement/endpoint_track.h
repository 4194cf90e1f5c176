// One endpoint as its service's dispatcher sees it: slots in use, cold-start
// ramp, and health from the answers seen (charts/health.json).
//
//   EndpointTrack track(now, endpoint, ramp);
//   track.Start(now);
//   track.Finish(now, WorkOutcome::kAnswered, held);
//   if (track.LooksSick()) track.Eject(now, back_off);
#ifndef VANILLALATCH_PLACEMENT_ENDPOINT_TRACK_H_
#define VANILLALATCH_PLACEMENT_ENDPOINT_TRACK_H_

#include <cstdint>
#include <string_view>

#include "vanillalatch/admission/answer_time.h"
#include "vanillalatch/placement/slot_scheduler.h"

namespace vanillalatch::internal {

enum class HealthState : std::uint8_t { kWarming, kReady, kEjected, kProbing };
enum class HealthEvent : std::uint8_t {
  kWarm,
  kEject,
  kRetry,
  kRecover,
  kDoubt,
};

class EndpointTrack {
 public:
  // Failure scores run from 0 (all answered) to 1 (all failed).
  static constexpr double kSickScore = 0.5;
  static constexpr double kFailingScore = 0.25;
  // A change of speed is noticed after a few answers.
  static constexpr std::uint64_t kAnswerSmoothing = 16;
  // Without outcomes for this long, a sick endpoint that could not be ejected
  // is used again.
  static constexpr Duration kSickMemory = std::chrono::seconds(1);
  // Answers in a row that end probing.
  static constexpr std::uint32_t kProbeAnswers = 3;
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(100);
  // Answers after which a ramp may end early.
  static constexpr std::uint64_t kWarmAnswers = 8;
  // An endpoint that shed work gets back one slot of its limit each interval.
  static constexpr Duration kLimitInterval = std::chrono::seconds(1);

  EndpointTrack(TimePoint now, const Endpoint& endpoint, Duration ramp);

  void Update(const Endpoint& endpoint);
  void SetMissing() { present_ = false; }

  void Start(TimePoint now);
  // `held`: how long the slot was in use.
  void Finish(TimePoint now, WorkOutcome outcome, Duration held);

  // Moves on what is due: ramp, back-off, slot limit.
  void Advance(TimePoint now);
  // When Advance() or CanProbe() next changes something; kNever if nothing.
  TimePoint NextWake(TimePoint now) const;
  // `usual`: mean answer time of the service's endpoints. Ends the ramp early
  // if the answers are as fast.
  void ProveWarm(Duration usual);
  void Eject(TimePoint now, Duration back_off);
  // Most endpoints look sick: probes an ejected one without waiting.
  void Doubt(TimePoint now);

  bool present() const { return present_; }
  // Registered and not leaving.
  bool InService() const {
    return present_ && endpoint_.state == EndpointState::kReady;
  }
  // May take unpinned work apart from probes.
  bool TakesNew() const {
    return InService() &&
           (health_ == HealthState::kWarming || health_ == HealthState::kReady);
  }
  bool CanProbe(TimePoint now) const;
  // Slots that unpinned work may use.
  std::uint32_t UsableSlots(TimePoint now) const;
  bool HasFreeSlot(TimePoint now) const {
    return TakesNew() && busy_ < UsableSlots(now);
  }
  bool HasFreePinnedSlot() const { return present_ && busy_ < endpoint_.slots; }
  bool LooksSick() const { return score_ > kSickScore; }
  bool LooksFailing() const { return score_ > kFailingScore; }
  void SetSilent(bool silent) { silent_ = silent; }
  bool silent() const { return silent_; }
  bool OutOfUse() const {
    return health_ == HealthState::kEjected || health_ == HealthState::kProbing;
  }
  // Busy for longer than `limit` without an answer.
  bool Stalled(TimePoint now, Duration limit) const {
    return busy_ > 0 && now - last_progress_ > limit;
  }

  const Endpoint& endpoint() const { return endpoint_; }
  HealthState health() const { return health_; }
  std::uint32_t busy() const { return busy_; }
  std::uint64_t requests() const { return requests_; }
  Duration BusyTime(TimePoint now) const;
  TimePoint last_started() const { return last_started_; }
  const AnswerTime& answer_time() const { return answer_time_; }
  // Back-offs in a row without a time of good health between them.
  std::uint32_t ejections(TimePoint now) const;
  // warming, ready, ejected, probing or leaving.
  std::string_view StateName() const;

 private:
  void Apply(HealthEvent event);
  void NoteFailure(TimePoint now, bool failed);
  void NoteShed(TimePoint now);

  Endpoint endpoint_;
  Duration ramp_;
  bool present_ = true;
  bool silent_ = false;
  HealthState health_;

  std::uint32_t busy_ = 0;
  std::uint64_t requests_ = 0;
  Duration busy_time_{};
  TimePoint settled_;
  TimePoint last_started_;
  TimePoint last_progress_;  // The latest answer, or start after idleness.

  AnswerTime answer_time_{kAnswerSmoothing};
  double score_ = 0;
  TimePoint scored_;     // The latest outcome in the score.
  std::uint32_t limit_;  // Slots that the endpoint proved to take.
  TimePoint limit_changed_;
  std::uint32_t probes_answered_ = 0;
  std::uint32_t ejections_ = 0;
  TimePoint recovered_;
  TimePoint retry_at_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_PLACEMENT_ENDPOINT_TRACK_H_
