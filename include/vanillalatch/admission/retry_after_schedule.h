// Computes the retry-after time of refused callers. The times are staggered at
// the rate at which slots become free, so that refused callers don't all retry
// at the same time.
//
//   RetryAfterSchedule schedule(seed);
//   Duration retry_after = schedule.NextDelay(now, backlog, mean / slots);
#ifndef VANILLALATCH_ADMISSION_RETRY_AFTER_SCHEDULE_H_
#define VANILLALATCH_ADMISSION_RETRY_AFTER_SCHEDULE_H_

#include <cstdint>
#include <random>

#include "vanillalatch/base/time.h"

namespace vanillalatch {

class RetryAfterSchedule {
 public:
  // Bounds of the retry-after time before jitter. Up to a quarter of the time
  // is added; at kMaxDelay, up to half of it is subtracted instead.
  static constexpr Duration kMinDelay = std::chrono::milliseconds(100);
  static constexpr Duration kMaxDelay = std::chrono::seconds(30);

  // `seed` seeds the jitter.
  explicit RetryAfterSchedule(std::uint64_t seed) : random_(seed) {}

  // Returns the time after which the next refused caller may retry, from
  // kMinDelay to 5/4 of kMaxDelay. `backlog` is the time until the work
  // accepted so far is done, `slot_interval` the mean time between slots
  // becoming free.
  Duration NextDelay(TimePoint now, Duration backlog, Duration slot_interval);

 private:
  TimePoint last_retry_at_;  // Retry time assigned last, before jitter.
  std::mt19937_64 random_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_ADMISSION_RETRY_AFTER_SCHEDULE_H_
