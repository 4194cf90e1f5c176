#include <catch2/catch.hpp>

#include "src/placement/sim/placement_world.h"

namespace vanillalatch::sim {
namespace {

TEST_CASE("Scenarios of placement") {
  const auto scripts = scenario::ListScripts("scenarios/placement");
  REQUIRE(!scripts.empty());
  for (const std::string& it : scripts) {
    DYNAMIC_SECTION(it) {
      CHECK_NOTHROW(scenario::RunFile<PlacementWorld>(it));
    }
  }
}

}  // namespace
}  // namespace vanillalatch::sim
