// Counts the slots that one class uses, and their exponential moving average
// over half a second. Shares are compared with the average: a class may exceed
// its share in a short burst, while a class that starts to use its share again
// gets it back from the classes that borrowed it within about a second.
//
//   SlotUse use;
//   use.Start(now);
//   use.Stop(now);
//   if (use.AverageAt(now) < 0.01 * target.share_percent * slots) ...
#ifndef VANILLALATCH_ADMISSION_SLOT_USE_H_
#define VANILLALATCH_ADMISSION_SLOT_USE_H_

#include <cstdint>

#include "vanillalatch/base/time.h"

namespace vanillalatch {

class SlotUse {
 public:
  // Time constant of the moving average.
  static constexpr Duration kTimeConstant = std::chrono::milliseconds(500);

  // Counts one slot as in use.
  void Start(TimePoint now) {
    UpdateAverage(now);
    ++busy_;
  }
  // Counts one slot as free again.
  void Stop(TimePoint now) {
    UpdateAverage(now);
    --busy_;
  }

  // Slots in use now.
  std::uint32_t busy() const { return busy_; }
  // Moving average of the slots in use at `now`.
  double AverageAt(TimePoint now) const;

 private:
  void UpdateAverage(TimePoint now);

  std::uint32_t busy_ = 0;
  double average_ = 0;  // At average_updated_at_.
  TimePoint average_updated_at_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_ADMISSION_SLOT_USE_H_
