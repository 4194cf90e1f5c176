// Bounds retries to a tenth of the recent work and a few, so that retries of
// failing requests can't double the load that makes them fail.
//
//   RetryBudget budget;
//   budget.OnWork(now);            // For each first attempt.
//   if (budget.Take(now)) ...      // One retry is allowed.
#ifndef VANILLALATCH_ADMISSION_RETRY_BUDGET_H_
#define VANILLALATCH_ADMISSION_RETRY_BUDGET_H_

#include <cstdint>

#include "vanillalatch/base/time.h"

namespace vanillalatch {

class RetryBudget {
 public:
  static constexpr std::uint64_t kPercent = 10;
  // Work counts as recent for one to two windows.
  static constexpr Duration kWindow = std::chrono::seconds(5);
  // Retries in a window that are allowed without any work before.
  static constexpr std::uint64_t kMinimum = 10;

  void OnWork(TimePoint now);
  // Takes one retry from the budget; false if there is none left.
  bool Take(TimePoint now);

 private:
  struct Window {
    std::uint64_t work = 0;
    std::uint64_t retries = 0;
  };

  void Advance(TimePoint now);

  Window current_;
  Window previous_;
  TimePoint window_start_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_ADMISSION_RETRY_BUDGET_H_
