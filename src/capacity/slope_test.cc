#include "src/capacity/slope.h"

#include <catch2/catch.hpp>
#include <vector>

namespace vanillalatch {
namespace {

TEST_CASE("a line is fitted exactly, with its residual", "[capacity]") {
  struct Row {
    std::vector<Point> points;
    double per_unit;
    double intercept;
    double residual;
  };
  const auto row = GENERATE(values<Row>({
      {{{1, 5}, {2, 7}, {3, 9}}, 2, 3, 0},
      {{{10, 4}, {20, 4}}, 0, 4, 0},
      {{{1, 1}, {2, 3}, {3, 1}, {4, 3}}, 0.4, 1, 0.4472},
  }));
  const Slope slope = FitLine(row.points).value();
  CHECK(slope.per_unit == Approx(row.per_unit).margin(1e-9));
  CHECK(slope.intercept == Approx(row.intercept));
  CHECK(slope.residual == Approx(row.residual).margin(1e-3));
}

TEST_CASE("one size gives no slope", "[capacity]") {
  CHECK_FALSE(FitLine({}).ok());
  const std::vector<Point> points = {{1, 2}, {1, 3}};
  CHECK(FitLine(points).error().kind() == ErrorKind::kInvalidArgument);
}

}  // namespace
}  // namespace vanillalatch
