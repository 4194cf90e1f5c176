// The evacuated data centres that this VM knows of: from its catalog, or from
// the notice of a peer whose catalog is newer.
//
//   board.Set(now, {catalog.revision(), names});
//   board.Merge(now, message);
//   board.Append(now, max_bytes, message);
#ifndef VANILLALATCH_SRC_MEMBERSHIP_EVACUATION_BOARD_H_
#define VANILLALATCH_SRC_MEMBERSHIP_EVACUATION_BOARD_H_

#include <cstddef>

#include "vanillalatch/membership/member_list.h"

namespace vanillalatch::internal {

class EvacuationBoard {
 public:
  // How long the end of the last evacuation is passed on.
  static constexpr Duration kEndNoticeTime = std::chrono::seconds(60);
  // Limits of a valid notice. Longer ones would displace other content.
  static constexpr int kMaxDataCenters = 16;
  static constexpr std::size_t kMaxNameBytes = 64;

  // Replaces the state, unless the present one has a higher revision.
  void Set(TimePoint now, EvacuationState state);
  // Takes over the notice in `message` if it is valid and has a higher
  // revision.
  void Merge(TimePoint now, const pb::MembershipMessage& message);
  // Adds the state to `message` while an evacuation is in force or ended
  // recently, if the message stays within `max_bytes`.
  void Append(TimePoint now, std::size_t max_bytes,
              pb::MembershipMessage& message) const;

  const EvacuationState& state() const { return state_; }

 private:
  EvacuationState state_;
  // Until when an empty state is passed on; before the first evacuation, never.
  TimePoint end_notice_until_ = TimePoint::min();
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_MEMBERSHIP_EVACUATION_BOARD_H_
