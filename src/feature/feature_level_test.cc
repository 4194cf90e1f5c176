#include "vanillalatch/feature/feature_level.h"

#include <catch2/catch.hpp>
#include <vector>

namespace vanillalatch {
namespace {

// Guards against a level that is added without its row, and against a row that
// claims a reader newer than the level itself.
TEST_CASE("the levels are complete and in order", "[feature]") {
  FeatureLevel expected{1};
  for (const FeatureLevelRow& it : FeatureLevels()) {
    CHECK(it.level == expected);
    CHECK(it.oldest_reader <= it.level);
    CHECK((it.level == kCurrentLevel || !it.since.empty()));
    expected = FeatureLevel{expected.value() + 1};
  }
  CHECK(FeatureLevels().back().level == kCurrentLevel);
}

// Guards against a form that is written while one VM can't read it.
TEST_CASE("a fleet has the lowest level of its VMs", "[feature]") {
  struct Row {
    std::vector<FeatureLevel> levels;
    FeatureLevel fleet;
  };
  const std::vector<Row> rows = {
      {{}, kUnstatedLevel},
      {{FeatureLevel{5}}, FeatureLevel{5}},
      {{FeatureLevel{6}, FeatureLevel{5}, FeatureLevel{7}}, FeatureLevel{5}},
      {{FeatureLevel{5}, kUnstatedLevel}, kUnstatedLevel},
  };
  for (const Row& it : rows) {
    CHECK(FleetLevelFor(it.levels) == it.fleet);
  }
}

TEST_CASE(
    "the oldest reader of a level that this build does not know is the "
    "level itself",
    "[feature]") {
  CHECK(OldestReaderOf(FeatureLevel{2}) == FeatureLevel{2});
  CHECK(OldestReaderOf(FeatureLevel{5}) == FeatureLevel{3});
  CHECK(OldestReaderOf(FeatureLevel{99}) == FeatureLevel{99});
}

}  // namespace
}  // namespace vanillalatch
