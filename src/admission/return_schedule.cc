#include "vanillalatch/admission/return_schedule.h"

#include <algorithm>

namespace vanillalatch {

Duration ReturnSchedule::Next(TimePoint now, Duration backlog,
                              Duration spacing) {
  latest_ = std::max(latest_, now + backlog) + spacing;
  latest_ = std::min(latest_, now + kLatest);
  const Duration delay = std::max(latest_ - now, kSoonest);
  // When the schedule is full, the last half of it is shared.
  const bool full = delay >= kLatest;
  const Duration spread = full ? delay / 2 : delay / 4;
  std::uniform_int_distribution<Duration::rep> jitter(0, spread.count());
  const Duration offset(jitter(random_));
  return full ? delay - offset : delay + offset;
}

}  // namespace vanillalatch
