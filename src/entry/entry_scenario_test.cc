#include <catch2/catch.hpp>

#include "src/entry/entry_world.h"
#include "vanillalatch/scenario/scenario.h"

namespace vanillalatch::internal {
namespace {

TEST_CASE("scenarios of requests and flows", "[entry]") {
  std::vector<std::string> scripts;
  for (const char* folder : {"scenarios/requests", "scenarios/flows"}) {
    const auto found = scenario::ListScripts(folder);
    scripts.insert(scripts.end(), found.begin(), found.end());
  }
  REQUIRE(!scripts.empty());
  for (const std::string& it : scripts) {
    DYNAMIC_SECTION(it) { CHECK_NOTHROW(scenario::RunFile<EntryWorld>(it)); }
  }
}

}  // namespace
}  // namespace vanillalatch::internal
