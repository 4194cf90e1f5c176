// The classes of one service. Determines in which order the classes get the
// next free slot, how many slots are available to each class, and how far each
// class is above its share of the slots.
//
//   ClassTable classes(seed);
//   classes.Set(targets);
//   for (ClassState* it : classes.OrderForSlot(now, slots)) ...
#ifndef VANILLALATCH_PLACEMENT_CLASS_TABLE_H_
#define VANILLALATCH_PLACEMENT_CLASS_TABLE_H_

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "src/placement/class_stats.h"
#include "vanillalatch/admission/answer_time.h"
#include "vanillalatch/admission/class_target.h"
#include "vanillalatch/admission/retry_after_schedule.h"
#include "vanillalatch/admission/slot_use.h"

namespace vanillalatch::internal {

struct ClassState {
  // Large, so that forecasts vary little from one answer to the next.
  static constexpr std::uint64_t kAnswerSmoothing = 64;

  ClassTarget target;
  AnswerTime answer_time{kAnswerSmoothing};
  SlotUse slot_use;
  RetryAfterSchedule retry_after_schedule;
  ClassStats stats;

  // Number of slots that the class is entitled to, out of `slots`.
  double Share(double slots) const {
    return slots * target.share_percent / 100;
  }
};

class ClassTable {
 public:
  explicit ClassTable(std::uint64_t seed) : seed_(seed) {}

  // Replaces the targets. Classes that are not listed keep their counts but
  // lose their share.
  void Set(std::span<const ClassTarget> classes);

  // Returns the state of a class. Adds a class that is not in the table, with
  // the default target and no share.
  ClassState& GetOrCreate(ClassId id);

  // All classes by ascending urgency, then latency target, then id.
  std::span<ClassState* const> by_priority() const { return by_priority_; }
  // Returns the classes in the order in which they get a free slot: classes
  // below their share first, then the others, both in the order of
  // by_priority(). The result is valid until the next call.
  std::span<ClassState* const> OrderForSlot(TimePoint now, double slots);
  // Number of slots available to waiting work of a class, out of `slots`; at
  // least the class's share. Classes that come earlier in by_priority() keep
  // the slots that they use; later ones keep them only up to their share.
  double AvailableSlots(TimePoint now, const ClassState& state,
                        double slots) const;
  // Slots in use (moving average) minus the share; negative below the share.
  static double UseAboveShare(TimePoint now, const ClassState& state,
                              double slots) {
    return state.slot_use.AverageAt(now) - state.Share(slots);
  }

 private:
  void SortByPriority();

  std::uint64_t seed_;
  std::map<ClassId, ClassState> classes_;
  std::vector<ClassState*> by_priority_;
  std::vector<ClassState*> order_;  // Reused by OrderForSlot().
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_PLACEMENT_CLASS_TABLE_H_
