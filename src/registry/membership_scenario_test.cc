// Runs every scenario of scenarios/membership.
#include <catch2/catch.hpp>

#include "src/registry/testing/membership_world.h"
#include "vanillalatch/scenario/scenario.h"

namespace vanillalatch {
namespace {

TEST_CASE("membership scenarios hold", "[membership][scenario]") {
  const std::string path =
      GENERATE(from_range(scenario::ScriptsIn("scenarios/membership")));
  DYNAMIC_SECTION(path) {
    CHECK_NOTHROW(scenario::RunFile<MembershipWorld>(path));
  }
}

}  // namespace
}  // namespace vanillalatch
