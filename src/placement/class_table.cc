#include "src/placement/class_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "vanillalatch/base/hash.h"

namespace vanillalatch::internal {
namespace {

// Work that waits can always count on a part of a slot.
constexpr double kLeastSlots = 0.25;

}  // namespace

void ClassTable::Set(std::span<const ClassTarget> classes) {
  for (auto& [id, it] : classes_) {
    it.target.share_percent = 0;
  }
  for (const ClassTarget& it : classes) {
    Of(it.id).target = it;
  }
  Sort();
}

ClassState& ClassTable::Of(ClassId id) {
  const auto found = classes_.find(id);
  if (found != classes_.end()) {
    return found->second;
  }
  ClassTarget target;
  target.id = id;
  ClassState state{.target = std::move(target),
                   .answer_time = AnswerTime(ClassState::kAnswerSmoothing),
                   .use = {},
                   .returns = ReturnSchedule(StableHash(seed_, id.value())),
                   .stats = {}};
  ClassState& added = classes_.emplace(id, std::move(state)).first->second;
  Sort();
  return added;
}

std::span<ClassState* const> ClassTable::OrderForSlot(TimePoint now,
                                                      double slots) {
  order_.clear();
  for (ClassState* it : by_latency_) {
    if (Excess(now, *it, slots) < 0) {
      order_.push_back(it);
    }
  }
  for (ClassState* it : by_latency_) {
    if (Excess(now, *it, slots) >= 0) {
      order_.push_back(it);
    }
  }
  return order_;
}

// Tighter classes keep what they use; looser ones only up to their share.
double ClassTable::SlotsFor(TimePoint now, const ClassState& state,
                            double slots) const {
  double claimed = 0;
  bool tighter = true;
  for (const ClassState* it : by_latency_) {
    if (it == &state) {
      tighter = false;
      continue;
    }
    const double used = it->use.At(now);
    claimed += tighter ? used : std::min(used, it->Share(slots));
  }
  return std::max({slots - claimed, state.Share(slots), kLeastSlots});
}

void ClassTable::Sort() {
  by_latency_.clear();
  for (auto& [id, it] : classes_) {
    by_latency_.push_back(&it);
  }
  const auto key = [](const ClassState* it) {
    return std::tuple(it->target.urgency, it->target.latency, it->target.id);
  };
  std::sort(by_latency_.begin(), by_latency_.end(),
            [&](const auto* a, const auto* b) { return key(a) < key(b); });
}

}  // namespace vanillalatch::internal
