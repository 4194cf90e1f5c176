// A token bucket over bytes: in any one second at most `bytes_per_second` are
// taken from it.
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
  // What an idle second may save up for the next; a full datagram fits.
  static constexpr std::int64_t kBurstBytes = 1500;

  explicit SendBudget(std::size_t bytes_per_second)
      : rate_(static_cast<std::int64_t>(bytes_per_second) - kBurstBytes) {}

  // Bytes that may be sent now.
  std::int64_t Available(TimePoint now) {
    if (now > refilled_) {
      const Duration elapsed =
          std::min<Duration>(now - refilled_, std::chrono::seconds(1));
      tokens_ += rate_ * elapsed.count();
      tokens_ = std::min(tokens_, kBurstBytes * kNanoseconds);
      refilled_ = now;
    }
    return tokens_ / kNanoseconds;
  }

  void Take(std::size_t bytes) {
    tokens_ -= static_cast<std::int64_t>(bytes) * kNanoseconds;
  }

 private:
  static constexpr std::int64_t kNanoseconds = 1'000'000'000;

  std::int64_t rate_;
  std::int64_t tokens_ = kBurstBytes * kNanoseconds;  // Byte-nanoseconds.
  TimePoint refilled_{};
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_MEMBERSHIP_SEND_BUDGET_H_
