// Limits how many flows a dispatcher moves because their endpoint is silent. A
// move costs packets on the dispatcher's link. Without a limit, moves that are
// due to a full link keep it full after the cause has ended.
//
//   MoveBudget budget;
//   budget.OnOpening(now);
//   if (budget.TryTake(now)) Move(flow);
#ifndef VANILLALATCH_SRC_PACKETFLOW_MOVE_BUDGET_H_
#define VANILLALATCH_SRC_PACKETFLOW_MOVE_BUDGET_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <numeric>

#include "vanillalatch/base/time.h"

namespace vanillalatch::internal {

class MoveBudget {
 public:
  // Of the openings of the last second, one in this many may be moved.
  static constexpr std::uint64_t kOpeningsPerMove = 10;
  // Moves per second that are always allowed: the flows of one endpoint that
  // fails in a service with little load.
  static constexpr std::uint64_t kMinMovesPerSecond = 10;

  void OnOpening(TimePoint now) {
    Advance(now);
    ++openings_[Index(now)];
  }

  // Takes one move. Returns false if the moves of the last second use up the
  // budget.
  bool TryTake(TimePoint now) {
    Advance(now);
    const std::uint64_t limit =
        std::max(kMinMovesPerSecond, Sum(openings_) / kOpeningsPerMove);
    if (Sum(moves_) >= limit) {
      return false;
    }
    ++moves_[Index(now)];
    return true;
  }

 private:
  static constexpr Duration kSlotTime = std::chrono::milliseconds(100);
  // The last second, and the time slot that has just begun.
  using Counts = std::array<std::uint64_t, 11>;

  static std::int64_t SlotOf(TimePoint now) {
    return now.time_since_epoch() / kSlotTime;
  }
  static std::size_t Index(TimePoint now) {
    return static_cast<std::size_t>(SlotOf(now)) % std::tuple_size_v<Counts>;
  }
  static std::uint64_t Sum(const Counts& counts) {
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
  }
  // Clears the time slots that have begun since the last call.
  void Advance(TimePoint now) {
    const auto size = static_cast<std::int64_t>(openings_.size());
    for (std::int64_t slot = std::max(last_slot_, SlotOf(now) - size) + 1;
         slot <= SlotOf(now); ++slot) {
      openings_[static_cast<std::size_t>(slot % size)] = 0;
      moves_[static_cast<std::size_t>(slot % size)] = 0;
    }
    last_slot_ = SlotOf(now);
  }

  Counts openings_{};
  Counts moves_{};
  std::int64_t last_slot_ = 0;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_PACKETFLOW_MOVE_BUDGET_H_
