// Runs every scenario in scenarios/membership.
#include <catch2/catch.hpp>
#include <string>
#include <string_view>

#include "src/registry/testing/membership_world.h"
#include "vanillalatch/scenario/scenario.h"

namespace vanillalatch {
namespace {

constexpr std::string_view kScenarioFolder = "scenarios/membership";

bool IsAtSize(const std::string& path) {
  return path.find("at_size") != std::string::npos;
}

void RunScenarioAtSize(const std::string& name) {
  CHECK_NOTHROW(scenario::RunFile<MembershipWorld>(
      std::string(kScenarioFolder) + "/" + name + "_at_size.scn"));
}

TEST_CASE("membership scenarios of small groups hold",
          "[membership][scenario]") {
  for (const std::string& it :
       scenario::ListScripts(std::string(kScenarioFolder))) {
    if (!IsAtSize(it)) {
      CHECK_NOTHROW(scenario::RunFile<MembershipWorld>(it));
    }
  }
}

// A test case per scenario at size, so that each test is short.
TEST_CASE("the byte budget holds at size", "[membership][scenario]") {
  RunScenarioAtSize("budget");
}
TEST_CASE("deaths are found at size", "[membership][scenario]") {
  RunScenarioAtSize("death");
}
TEST_CASE("a joiner soon holds all at size", "[membership][scenario]") {
  RunScenarioAtSize("join");
}
TEST_CASE("leaving endpoints are known at size in loss",
          "[membership][scenario]") {
  RunScenarioAtSize("endpoint_leaves_in_loss");
}
TEST_CASE("a split heals at size", "[membership][scenario]") {
  RunScenarioAtSize("split_and_heal");
}

}  // namespace
}  // namespace vanillalatch
