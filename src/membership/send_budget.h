// SendBudget: a token bucket of bytes, which limits what is sent in any one
// second to `bytes_per_second`.
//
//   SendBudget budget(6000);
//   if (budget.Available(now) >= size) budget.Take(size);
#ifndef VANILLALATCH_SRC_MEMBERSHIP_SEND_BUDGET_H_
#define VANILLALATCH_SRC_MEMBERSHIP_SEND_BUDGET_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "vanillalatch/base/time.h"

namespace vanillalatch::internal {

class SendBudget {
 public:
  // Capacity of the bucket, enough for one full datagram. The refill rate is
  // lower than `bytes_per_second` by this amount, so that a burst stays in the
  // limit.
  static constexpr std::int64_t kBurstBytes = 1500;

  explicit SendBudget(std::size_t bytes_per_second)
      : rate_(static_cast<std::int64_t>(bytes_per_second) - kBurstBytes) {}

  // Bytes that may be sent now. Negative if more was taken than available.
  std::int64_t Available(TimePoint now) {
    if (now > refilled_) {
      const Duration elapsed =
          std::min<Duration>(now - refilled_, std::chrono::seconds(1));
      tokens_ += rate_ * elapsed.count();
      tokens_ = std::min(tokens_, kBurstBytes * kNanosecondsPerSecond);
      refilled_ = now;
    }
    return tokens_ / kNanosecondsPerSecond;
  }

  void Take(std::size_t bytes) {
    tokens_ -= static_cast<std::int64_t>(bytes) * kNanosecondsPerSecond;
  }

 private:
  static constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;

  std::int64_t rate_;
  // In units of 1e-9 bytes, so that no refill is lost by rounding.
  std::int64_t tokens_ = kBurstBytes * kNanosecondsPerSecond;
  TimePoint refilled_{};
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_MEMBERSHIP_SEND_BUDGET_H_
