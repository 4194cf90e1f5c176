#include "vanillalatch/admission/retry_budget.h"

namespace vanillalatch {

void RetryBudget::OnWork(TimePoint now) {
  Advance(now);
  ++current_.work;
}

bool RetryBudget::Take(TimePoint now) {
  Advance(now);
  const std::uint64_t work = current_.work + previous_.work;
  const std::uint64_t retries = current_.retries + previous_.retries;
  if (retries >= kMinimum + work * kPercent / 100) {
    return false;
  }
  ++current_.retries;
  return true;
}

void RetryBudget::Advance(TimePoint now) {
  if (now - window_start_ < kWindow) {
    return;
  }
  const bool adjacent = now - window_start_ < 2 * kWindow;
  previous_ = adjacent ? current_ : Window();
  current_ = Window();
  window_start_ = now;
}

}  // namespace vanillalatch
