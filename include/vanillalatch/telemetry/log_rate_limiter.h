// LogRateLimiter: a token bucket that limits how often one kind of event is
// logged and counts the lines that are left out.
//
//   LogRateLimiter limiter(20);
//   if (limiter.TryAcquire(now)) {
//     LogEvent(level, event, {{"left_out", limiter.TakeLeftOutCount()}});
//   }
#ifndef VANILLALATCH_TELEMETRY_LOG_RATE_LIMITER_H_
#define VANILLALATCH_TELEMETRY_LOG_RATE_LIMITER_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>

#include "vanillalatch/base/time.h"

namespace vanillalatch {

// Not thread-safe.
class LogRateLimiter {
 public:
  // Allows `lines_per_second` lines per second, and bursts of as many lines.
  explicit LogRateLimiter(std::uint32_t lines_per_second)
      : lines_per_second_(lines_per_second),
        available_lines_(lines_per_second) {}

  // Returns true, and uses up one line of the limit, if a line may be written
  // now. Otherwise counts the line as left out and returns false.
  bool TryAcquire(TimePoint now) {
    const std::chrono::duration<double> elapsed = now - last_refill_;
    last_refill_ = now;
    available_lines_ = std::min<double>(
        lines_per_second_,
        available_lines_ + elapsed.count() * lines_per_second_);
    if (available_lines_ < 1) {
      ++left_out_count_;
      return false;
    }
    available_lines_ -= 1;
    return true;
  }

  // Returns the number of lines left out since the previous call, and resets
  // it to zero.
  std::uint64_t TakeLeftOutCount() { return std::exchange(left_out_count_, 0); }

 private:
  double lines_per_second_;
  double available_lines_;
  TimePoint last_refill_{};
  std::uint64_t left_out_count_ = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_TELEMETRY_LOG_RATE_LIMITER_H_
