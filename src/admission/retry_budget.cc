#include "vanillalatch/admission/retry_budget.h"

namespace vanillalatch {

void RetryBudget::OnFirstAttempt(TimePoint now) {
  AdvanceWindow(now);
  ++current_.first_attempts;
}

bool RetryBudget::Take(TimePoint now) {
  AdvanceWindow(now);
  const std::uint64_t first_attempts =
      current_.first_attempts + previous_.first_attempts;
  const std::uint64_t retries = current_.retries + previous_.retries;
  if (retries >= kMinRetries + first_attempts * kRetryPercent / 100) {
    return false;
  }
  ++current_.retries;
  return true;
}

void RetryBudget::AdvanceWindow(TimePoint now) {
  if (now - window_start_ < kWindow) {
    return;
  }
  const bool is_adjacent = now - window_start_ < 2 * kWindow;
  previous_ = is_adjacent ? current_ : Window();
  current_ = Window();
  window_start_ = now;
}

}  // namespace vanillalatch
