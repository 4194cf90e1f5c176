// Bounds how often one kind of event is logged, and counts what is left out.
//
//   LogBudget budget(20);
//   if (budget.Take(now)) LogEvent(..., {{"left_out", budget.left_out()}});
#ifndef VANILLALATCH_TELEMETRY_LOG_BUDGET_H_
#define VANILLALATCH_TELEMETRY_LOG_BUDGET_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>

#include "vanillalatch/base/time.h"

namespace vanillalatch {

class LogBudget {
 public:
  // Lines a second; as many may come at once.
  explicit LogBudget(std::uint32_t lines_per_second)
      : per_second_(lines_per_second), lines_(lines_per_second) {}

  // True if a line may be written now.
  bool Take(TimePoint now) {
    const std::chrono::duration<double> elapsed = now - filled_;
    filled_ = now;
    lines_ =
        std::min<double>(per_second_, lines_ + elapsed.count() * per_second_);
    if (lines_ < 1) {
      ++left_out_;
      return false;
    }
    lines_ -= 1;
    return true;
  }

  // Lines left out since this was asked last.
  std::uint64_t TakeLeftOut() { return std::exchange(left_out_, 0); }

 private:
  double per_second_;
  double lines_;
  TimePoint filled_{};
  std::uint64_t left_out_ = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_TELEMETRY_LOG_BUDGET_H_
