#include "vanillalatch/runtime/wakeup.h"

#include <algorithm>

#include "vanillalatch/runtime/reactor.h"

namespace vanillalatch {
namespace {

// No sleep is longer, so that a wrong NextWake() shows as lateness only.
constexpr Duration kLongestSleep = std::chrono::seconds(1);

}  // namespace

void Wakeup::SleepUntil(TimePoint at) {
  std::unique_lock<boost::fibers::mutex> lock(mutex_);
  at_ = std::min(at, Now() + kLongestSleep);
  while (Now() < at_) {
    changed_.wait_for(lock, at_ - Now());
  }
  at_ = kNever;
}

void Wakeup::BringForward(TimePoint at) {
  if (at < at_ && at_ != kNever) {
    at_ = at;
    changed_.notify_all();
  }
}

}  // namespace vanillalatch
