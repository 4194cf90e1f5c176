#include "src/runtime/catalog_lag.h"

#include <catch2/catch.hpp>
#include <vector>

namespace vanillalatch {
namespace {

using std::chrono::milliseconds;

// Guards against an old catalog of which no log line tells, and against a line
// for each ordinary change.
TEST_CASE("a long lag is reported when it is long and when it ends",
          "[runtime]") {
  struct Step {
    int at_ms;
    std::uint64_t newer;
    bool reported;
    bool ended;
    int lag_ms;
  };
  const std::vector<Step> steps = {
      {0, 0, false, false, 0},       {100, 5, false, false, 0},
      {200, 0, false, false, 0},     {1000, 6, false, false, 0},
      {1499, 6, false, false, 499},  {1500, 7, true, false, 500},
      {9000, 7, false, false, 8000}, {9100, 0, true, true, 0},
      {9200, 0, false, false, 0},    {9300, 8, false, false, 0}};
  CatalogLag lag;
  for (const Step& it : steps) {
    const TimePoint now = TimePoint() + milliseconds(it.at_ms);
    CAPTURE(it.at_ms);
    const auto report = lag.Update(now, it.newer);
    CHECK(report.has_value() == it.reported);
    if (report) {
      CHECK(report->ended == it.ended);
      CHECK(report->newer == 7);
      CHECK(report->lag == milliseconds(it.ended ? 8100 : 500));
    }
    CHECK(lag.Current(now) == milliseconds(it.lag_ms));
  }
}

}  // namespace
}  // namespace vanillalatch
