// Tells each refused caller when to come back: one after the other, at the
// pace at which slots become free, so that they don't return together.
//
//   ReturnSchedule schedule(seed);
//   Duration retry_after = schedule.Next(now, wait, mean / slots);
#ifndef VANILLALATCH_ADMISSION_RETURN_SCHEDULE_H_
#define VANILLALATCH_ADMISSION_RETURN_SCHEDULE_H_

#include <cstdint>
#include <random>

#include "vanillalatch/base/time.h"

namespace vanillalatch {

class ReturnSchedule {
 public:
  static constexpr Duration kSoonest = std::chrono::milliseconds(100);
  static constexpr Duration kLatest = std::chrono::seconds(30);

  explicit ReturnSchedule(std::uint64_t seed) : random_(seed) {}

  // `backlog`: until the work that is accepted now is done. `spacing`: the
  // time in which one slot becomes free.
  Duration Next(TimePoint now, Duration backlog, Duration spacing);

 private:
  TimePoint latest_;  // Return time given out last.
  std::mt19937_64 random_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_ADMISSION_RETURN_SCHEDULE_H_
