#include "src/capacity/slope.h"

#include <cmath>

namespace vanillalatch {

Result<Slope> FitLine(std::span<const Point> points) {
  const auto n = static_cast<double>(points.size());
  double size_sum = 0;
  double value_sum = 0;
  for (const Point& it : points) {
    size_sum += it.size;
    value_sum += it.value;
  }
  const double size_mean = size_sum / n;
  const double value_mean = value_sum / n;
  double covariance = 0;
  double variance = 0;
  for (const Point& it : points) {
    covariance += (it.size - size_mean) * (it.value - value_mean);
    variance += (it.size - size_mean) * (it.size - size_mean);
  }
  if (points.empty() || variance == 0) {
    return Error(ErrorKind::kInvalidArgument,
                 "a line needs points of at least two different sizes");
  }
  Slope slope;
  slope.per_unit = covariance / variance;
  slope.intercept = value_mean - slope.per_unit * size_mean;
  double squared_errors = 0;
  for (const Point& it : points) {
    squared_errors += std::pow(it.value - slope.At(it.size), 2);
  }
  slope.residual = value_mean == 0
                       ? 0
                       : std::sqrt(squared_errors / n) / std::abs(value_mean);
  return slope;
}

}  // namespace vanillalatch
