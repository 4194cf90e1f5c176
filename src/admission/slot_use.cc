#include "vanillalatch/admission/slot_use.h"

#include <cmath>

namespace vanillalatch {

double SlotUse::AverageAt(TimePoint now) const {
  const double elapsed =
      std::chrono::duration<double>(now - average_updated_at_) /
      std::chrono::duration<double>(kTimeConstant);
  return busy_ + (average_ - busy_) * std::exp(-elapsed);
}

void SlotUse::UpdateAverage(TimePoint now) {
  average_ = AverageAt(now);
  average_updated_at_ = now;
}

}  // namespace vanillalatch
