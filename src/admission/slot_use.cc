#include "vanillalatch/admission/slot_use.h"

#include <cmath>

namespace vanillalatch {

double SlotUse::At(TimePoint now) const {
  const double elapsed = std::chrono::duration<double>(now - settled_) /
                         std::chrono::duration<double>(kTimeConstant);
  return busy_ + (smoothed_ - busy_) * std::exp(-elapsed);
}

void SlotUse::Settle(TimePoint now) {
  smoothed_ = At(now);
  settled_ = now;
}

}  // namespace vanillalatch
