#include "vanillalatch/admission/retry_after_schedule.h"

#include <algorithm>

namespace vanillalatch {

Duration RetryAfterSchedule::NextDelay(TimePoint now, Duration backlog,
                                       Duration slot_interval) {
  last_retry_at_ = std::max(last_retry_at_, now + backlog) + slot_interval;
  last_retry_at_ = std::min(last_retry_at_, now + kMaxDelay);
  const Duration delay = std::max(last_retry_at_ - now, kMinDelay);
  // When the schedule reaches kMaxDelay, no later times are left: the callers
  // are spread at random over the last half of it.
  const bool is_full = delay >= kMaxDelay;
  const Duration max_jitter = is_full ? delay / 2 : delay / 4;
  std::uniform_int_distribution<Duration::rep> jitter(0, max_jitter.count());
  const Duration offset(jitter(random_));
  return is_full ? delay - offset : delay + offset;
}

}  // namespace vanillalatch
