// Lets one fiber sleep until a time that other fibers may bring forward. All
// fibers run on the same thread.
//
//   wakeup.SleepUntil(node.NextWake());   // timer fiber
//   wakeup.BringForward(node.NextWake()); // after each event
#ifndef VANILLALATCH_RUNTIME_WAKEUP_H_
#define VANILLALATCH_RUNTIME_WAKEUP_H_

#include <boost/fiber/all.hpp>

#include "vanillalatch/base/time.h"

namespace vanillalatch {

class Wakeup {
 public:
  // Suspends the fiber until `at`, or an earlier time that is set by
  // BringForward(); for 1 s at most.
  void SleepUntil(TimePoint at);
  // Makes the current sleep end at `at` if that is earlier than its end. Has no
  // effect if no fiber sleeps.
  void BringForward(TimePoint at);
  // Ends the current sleep immediately.
  void Interrupt() { BringForward(TimePoint::min()); }

 private:
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
  // When the current sleep ends; kNever while no fiber sleeps.
  TimePoint wake_at_ = kNever;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_RUNTIME_WAKEUP_H_
