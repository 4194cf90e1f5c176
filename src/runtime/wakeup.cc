#include "vanillalatch/runtime/wakeup.h"

#include <algorithm>

#include "vanillalatch/runtime/reactor.h"

namespace vanillalatch {
namespace {

// Limits each sleep, so that a wrong NextWake() delays the timer by no more
// than this.
constexpr Duration kMaxSleep = std::chrono::seconds(1);

}  // namespace

void Wakeup::SleepUntil(TimePoint at) {
  std::unique_lock<boost::fibers::mutex> lock(mutex_);
  wake_at_ = std::min(at, Now() + kMaxSleep);
  while (Now() < wake_at_) {
    changed_.wait_for(lock, wake_at_ - Now());
  }
  wake_at_ = kNever;
}

void Wakeup::BringForward(TimePoint at) {
  if (at < wake_at_ && wake_at_ != kNever) {
    wake_at_ = at;
    changed_.notify_all();
  }
}

}  // namespace vanillalatch
