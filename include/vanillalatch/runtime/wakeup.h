// Lets a fiber sleep until a time that other fibers may bring forward.
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
  void SleepUntil(TimePoint at);
  void BringForward(TimePoint at);
  // Ends the current sleep at once.
  void Interrupt() { BringForward(TimePoint::min()); }

 private:
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable changed_;
  TimePoint at_ = kNever;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_RUNTIME_WAKEUP_H_
