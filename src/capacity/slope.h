// Straight lines through measured points: what one more flow, VM or change
// costs.
//
//   const Slope slope = FitLine({{1000, 96e3}, {2000, 191e3}}).value();
//   slope.per_unit;   // 95: of the value's unit per unit of size
#ifndef VANILLALATCH_SRC_CAPACITY_SLOPE_H_
#define VANILLALATCH_SRC_CAPACITY_SLOPE_H_

#include <span>

#include "vanillalatch/base/result.h"

namespace vanillalatch {

struct Point {
  double size = 0;
  double value = 0;
};

struct Slope {
  double per_unit = 0;
  double base = 0;      // Value at size 0.
  double residual = 0;  // Root mean square of the misses, over the mean value.

  double At(double size) const { return base + per_unit * size; }
};

// Least squares. Error: kInvalidArgument with fewer than two sizes.
Result<Slope> FitLine(std::span<const Point> points);

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_CAPACITY_SLOPE_H_
