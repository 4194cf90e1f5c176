#include "src/placement/class_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "vanillalatch/base/hash.h"

namespace vanillalatch::internal {
namespace {

// Lower bound of the slots available to a class, so that a forecast stays
// finite when other classes use all slots.
constexpr double kMinAvailableSlots = 0.25;

}  // namespace

void ClassTable::Set(std::span<const ClassTarget> classes) {
  for (auto& [id, it] : classes_) {
    it.target.share_percent = 0;
  }
  for (const ClassTarget& it : classes) {
    GetOrCreate(it.id).target = it;
  }
  SortByPriority();
}

ClassState& ClassTable::GetOrCreate(ClassId id) {
  const auto found = classes_.find(id);
  if (found != classes_.end()) {
    return found->second;
  }
  ClassTarget target;
  target.id = id;
  ClassState state{
      .target = std::move(target),
      .answer_time = AnswerTime(ClassState::kAnswerSmoothing),
      .slot_use = {},
      .retry_after_schedule = RetryAfterSchedule(StableHash(seed_, id.value())),
      .stats = {}};
  ClassState& added = classes_.emplace(id, std::move(state)).first->second;
  SortByPriority();
  return added;
}

std::span<ClassState* const> ClassTable::OrderForSlot(TimePoint now,
                                                      double slots) {
  order_.clear();
  for (ClassState* it : by_priority_) {
    if (UseAboveShare(now, *it, slots) < 0) {
      order_.push_back(it);
    }
  }
  for (ClassState* it : by_priority_) {
    if (UseAboveShare(now, *it, slots) >= 0) {
      order_.push_back(it);
    }
  }
  return order_;
}

double ClassTable::AvailableSlots(TimePoint now, const ClassState& state,
                                  double slots) const {
  double reserved = 0;
  bool is_earlier = true;
  for (const ClassState* it : by_priority_) {
    if (it == &state) {
      is_earlier = false;
      continue;
    }
    const double used = it->slot_use.AverageAt(now);
    reserved += is_earlier ? used : std::min(used, it->Share(slots));
  }
  return std::max({slots - reserved, state.Share(slots), kMinAvailableSlots});
}

void ClassTable::SortByPriority() {
  by_priority_.clear();
  for (auto& [id, it] : classes_) {
    by_priority_.push_back(&it);
  }
  const auto key = [](const ClassState* it) {
    return std::tuple(it->target.urgency, it->target.latency, it->target.id);
  };
  std::sort(by_priority_.begin(), by_priority_.end(),
            [&](const auto* a, const auto* b) { return key(a) < key(b); });
}

}  // namespace vanillalatch::internal
