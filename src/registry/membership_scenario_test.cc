// Runs every scenario of scenarios/membership.
#include <catch2/catch.hpp>
#include <string>
#include <string_view>

#include "src/registry/testing/membership_world.h"
#include "vanillalatch/scenario/scenario.h"

namespace vanillalatch {
namespace {

constexpr std::string_view kFolder = "scenarios/membership";

bool AtSize(const std::string& path) {
  return path.find("at_size") != std::string::npos;
}

void RunAtSize(const std::string& name) {
  CHECK_NOTHROW(scenario::RunFile<MembershipWorld>(std::string(kFolder) + "/" +
                                                   name + "_at_size.scn"));
}

TEST_CASE("membership scenarios of small groups hold",
          "[membership][scenario]") {
  for (const std::string& it : scenario::ScriptsIn(std::string(kFolder))) {
    if (!AtSize(it)) {
      CHECK_NOTHROW(scenario::RunFile<MembershipWorld>(it));
    }
  }
}

// One test each, so that none runs long.
TEST_CASE("the byte budget holds at size", "[membership][scenario]") {
  RunAtSize("budget");
}
TEST_CASE("deaths are found at size", "[membership][scenario]") {
  RunAtSize("death");
}
TEST_CASE("a joiner soon holds all at size", "[membership][scenario]") {
  RunAtSize("join");
}
TEST_CASE("leaving endpoints are known at size in loss",
          "[membership][scenario]") {
  RunAtSize("endpoint_leaves_in_loss");
}
TEST_CASE("a split heals at size", "[membership][scenario]") {
  RunAtSize("split_and_heal");
}

}  // namespace
}  // namespace vanillalatch
