// Linear regression over measured points. The slope is the cost of one more
// flow, VM or change.
//
//   const Slope slope = FitLine({{1000, 96e3}, {2000, 191e3}}).value();
//   slope.per_unit;   // 95, in the unit of the values per unit of size.
#ifndef VANILLALATCH_SRC_CAPACITY_SLOPE_H_
#define VANILLALATCH_SRC_CAPACITY_SLOPE_H_

#include <span>

#include "vanillalatch/base/result.h"

namespace vanillalatch {

// A measured value at one size.
struct Point {
  double size = 0;
  double value = 0;
};

// A line fitted to points.
struct Slope {
  double per_unit = 0;
  double intercept = 0;  // Value at size 0.
  // Root mean square of the differences from the line, divided by the mean
  // value.
  double residual = 0;

  // Returns the value of the line at `size`.
  double At(double size) const { return intercept + per_unit * size; }
};

// Fits a line to `points` by least squares. Error: kInvalidArgument if the
// points have fewer than two different sizes.
Result<Slope> FitLine(std::span<const Point> points);

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_CAPACITY_SLOPE_H_
