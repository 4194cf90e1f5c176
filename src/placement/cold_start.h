// Limits the new work of an endpoint that is cold, which is slow because it
// started recently. There are two cases: if the service states a rate
// (WarmUp::per_second), a token bucket bounds how often new work starts there;
// otherwise the usable slots of an endpoint that does not report its warm-up
// grow from one to all over a ramp.
//
//   ColdStart cold(now, endpoint, ramp);
//   cold.SetWarmUp(now, {std::chrono::seconds(8), 20});
//   if (cold.MayStart(now)) cold.TakeToken(now);
#ifndef VANILLALATCH_SRC_PLACEMENT_COLD_START_H_
#define VANILLALATCH_SRC_PLACEMENT_COLD_START_H_

#include <cstdint>

#include "vanillalatch/placement/slot_scheduler.h"

namespace vanillalatch::internal {

class ColdStart {
 public:
  // Tokens that accumulate at most. Together with the rate this is what starts
  // within a second; services allow some more for jitter on the way.
  static constexpr double kMaxTokens = 2;
  // The same for a VM that places alone: several VMs may do so at a time.
  static constexpr double kMaxTokensAlone = 1;
  // How long an endpoint whose data centre was evacuated counts as cold if the
  // service states no warm-up time.
  static constexpr Duration kDefaultWarmUp = std::chrono::seconds(5);

  // `ramp`: length of the ramp; zero for no ramp.
  ColdStart(TimePoint now, const Endpoint& endpoint, Duration ramp);

  // Applies new registered data. The bucket of an endpoint that becomes cold is
  // empty.
  void Update(TimePoint now, const Endpoint& endpoint);
  void SetWarmUp(TimePoint now, const WarmUp& warm_up);
  void SetUse(TimePoint now, const ColdUse& use);
  // The evacuation of the endpoint's data centre ended at `ended`: it counts as
  // cold until a heartbeat received later says otherwise.
  void OnEvacuationEnded(TimePoint now, TimePoint ended);

  // The endpoint answers after a silence in which it may have started again. If
  // the service states a rate, it counts as cold until a later heartbeat says
  // otherwise.
  void OnPossibleRestart(TimePoint now) {
    if (warm_up_.per_second > 0) {
      OnEvacuationEnded(now, now);
    }
  }

  // When the endpoint is warm: by its own report, by the time that the service
  // states, or after an evacuation; the latest counts.
  TimePoint WarmAt() const;
  bool IsCold(TimePoint now) const { return now < WarmAt(); }
  // True if the endpoint is cold and the service states a rate.
  bool IsBounded(TimePoint now) const {
    return warm_up_.per_second > 0 && IsCold(now);
  }
  // New work per second that this VM may start here while IsBounded().
  double Rate() const { return warm_up_.per_second * use_.share; }
  // Number of tokens in the bucket.
  double Tokens(TimePoint now) const;
  // True if new work may start now as far as the bucket is concerned.
  bool MayStart(TimePoint now) const;
  // Records that new work starts. No effect if the endpoint is not bounded.
  void TakeToken(TimePoint now);

  // True if the ramp is over.
  bool IsRampOver(TimePoint now) const { return now - registered_ >= ramp_; }
  // Slots that are usable at this point of the ramp.
  std::uint32_t RampSlots(TimePoint now, std::uint32_t slots) const;
  // When RampSlots() next changes.
  TimePoint NextRampStep(TimePoint now, std::uint32_t slots) const;
  // When MayStart() next becomes true; kNever if it is true now.
  TimePoint NextStart(TimePoint now) const;

 private:
  // Runs `change`, which may change when the endpoint is warm, and empties the
  // bucket if the endpoint becomes cold by it.
  template <typename Change>
  void ChangeWarmth(TimePoint now, Change change);
  double MaxTokens() const {
    return use_.only_without_warm ? kMaxTokensAlone : kMaxTokens;
  }
  void EmptyBucket(TimePoint at) {
    tokens_ = 0;
    filled_at_ = at;
  }

  Duration ramp_;
  TimePoint registered_;
  TimePoint reported_warm_at_;
  TimePoint renewed_;  // When the last heartbeat was received.
  // End of an evacuation or of a silence; min(): none.
  TimePoint evacuation_ended_ = TimePoint::min();
  WarmUp warm_up_;
  ColdUse use_;
  double tokens_ = 0;  // As of filled_at_.
  TimePoint filled_at_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_PLACEMENT_COLD_START_H_
