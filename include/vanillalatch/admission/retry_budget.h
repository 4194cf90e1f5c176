// Limits retries to 10 % of the recent first attempts plus a small constant.
// Without a limit, retries of requests that fail from overload would double the
// load that makes them fail.
//
//   RetryBudget budget;
//   budget.OnFirstAttempt(now);  // For each first attempt.
//   if (budget.Take(now)) ...    // One retry is allowed.
#ifndef VANILLALATCH_ADMISSION_RETRY_BUDGET_H_
#define VANILLALATCH_ADMISSION_RETRY_BUDGET_H_

#include <cstdint>

#include "vanillalatch/base/time.h"

namespace vanillalatch {

class RetryBudget {
 public:
  // Retries allowed per 100 recent first attempts.
  static constexpr std::uint64_t kRetryPercent = 10;
  // First attempts and retries are counted in the current and the previous
  // window, so each counts for one to two windows.
  static constexpr Duration kWindow = std::chrono::seconds(5);
  // Retries allowed in addition, so that a service with few requests can retry.
  static constexpr std::uint64_t kMinRetries = 10;

  // Counts a first attempt.
  void OnFirstAttempt(TimePoint now);
  // Takes one retry from the budget. Returns false if none is left.
  bool Take(TimePoint now);

 private:
  struct Window {
    std::uint64_t first_attempts = 0;
    std::uint64_t retries = 0;
  };

  // Starts a new window if the current one is over.
  void AdvanceWindow(TimePoint now);

  Window current_;
  Window previous_;
  TimePoint window_start_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_ADMISSION_RETRY_BUDGET_H_
