// Slots that one class uses, smoothed over a fraction of a second: a class
// may go over its share in a burst, and an idle share that was lent comes
// back as soon as its owner wants it.
//
//   SlotUse use;
//   use.Start(now);
//   use.Stop(now);
//   if (use.At(now) < 0.01 * target.share_percent * slots) ...
#ifndef VANILLALATCH_ADMISSION_SLOT_USE_H_
#define VANILLALATCH_ADMISSION_SLOT_USE_H_

#include <cstdint>

#include "vanillalatch/base/time.h"

namespace vanillalatch {

class SlotUse {
 public:
  static constexpr Duration kTimeConstant = std::chrono::milliseconds(500);

  void Start(TimePoint now) {
    Settle(now);
    ++busy_;
  }
  void Stop(TimePoint now) {
    Settle(now);
    --busy_;
  }

  // In use now.
  std::uint32_t busy() const { return busy_; }
  // In use on average of the last moments.
  double At(TimePoint now) const;

 private:
  void Settle(TimePoint now);

  std::uint32_t busy_ = 0;
  double smoothed_ = 0;
  TimePoint settled_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_ADMISSION_SLOT_USE_H_
