// The classes of one service: which of them gets the next slot, how many
// slots each can count on, and which is furthest over its share.
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
#include "vanillalatch/admission/return_schedule.h"
#include "vanillalatch/admission/slot_use.h"

namespace vanillalatch::internal {

struct ClassState {
  // Forecasts vary little from one answer to the next.
  static constexpr std::uint64_t kAnswerSmoothing = 64;

  ClassTarget target;
  AnswerTime answer_time{kAnswerSmoothing};
  SlotUse use;
  ReturnSchedule returns;
  ClassStats stats;

  // Slots that the class has a right to, out of `slots`.
  double Share(double slots) const {
    return slots * target.share_percent / 100;
  }
};

class ClassTable {
 public:
  explicit ClassTable(std::uint64_t seed) : seed_(seed) {}

  // Classes that are missing keep their counts, but lose their share.
  void Set(std::span<const ClassTarget> classes);

  // A class that is unknown gets the default target and no share.
  ClassState& Of(ClassId id);

  // The tightest latency first.
  std::span<ClassState* const> by_latency() const { return by_latency_; }
  // Classes below their share before the others; in both groups the tightest
  // latency first. Valid until the next call.
  std::span<ClassState* const> OrderForSlot(TimePoint now, double slots);
  // Slots that work of a class can count on while it waits, out of `slots`.
  double SlotsFor(TimePoint now, const ClassState& state, double slots) const;
  // Slots in use above the share; negative below it.
  static double Excess(TimePoint now, const ClassState& state, double slots) {
    return state.use.At(now) - state.Share(slots);
  }

 private:
  void Sort();

  std::uint64_t seed_;
  std::map<ClassId, ClassState> classes_;
  std::vector<ClassState*> by_latency_;
  std::vector<ClassState*> order_;  // Reused by OrderForSlot().
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_PLACEMENT_CLASS_TABLE_H_
