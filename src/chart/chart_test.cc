#include "vanillalatch/chart/chart.h"

#include <catch2/catch.hpp>

namespace vanillalatch {
namespace {

enum class DoorState : std::uint8_t { kOpen, kShut };
enum class DoorEvent : std::uint8_t { kPush, kPull };

Result<Chart<DoorState, DoorEvent>> Door(std::string_view json) {
  return Chart<DoorState, DoorEvent>::Create(json, {"open", "shut"},
                                             {"push", "pull"});
}

TEST_CASE("a chart answers with the next state or nothing", "[chart]") {
  const auto chart = Door(R"({"name": "door", "initial": "open",
      "states": {"open": {"on": {"push": "shut"}},
                 "shut": {"on": {"pull": "open"}, "final": true}}})")
                         .value();
  CHECK(chart.initial() == DoorState::kOpen);
  CHECK(chart.Next(DoorState::kOpen, DoorEvent::kPush) == DoorState::kShut);
  CHECK_FALSE(chart.Next(DoorState::kOpen, DoorEvent::kPull).has_value());
  CHECK(chart.IsFinal(DoorState::kShut));
}

TEST_CASE("a chart that does not match its enumerations is refused",
          "[chart]") {
  const auto* json = GENERATE(
      "{", R"({"name": "d", "initial": "open", "states": {}})",
      R"({"name": "d", "initial": "ajar", "states": {"open": {}, "shut": {}}})",
      R"({"name": "d", "initial": "open",
          "states": {"open": {"on": {"push": "shut"}}, "shut": {}}})",
      R"({"name": "d", "initial": "open",
          "states": {"open": {"on": {"push": "shut", "pull": "ajar"}},
                     "shut": {}}})",
      R"({"name": "d", "initial": "open", "extra": 1,
          "states": {"open": {"on": {"push": "shut", "pull": "open"}},
                     "shut": {}}})");
  CAPTURE(json);
  CHECK(Door(json).error().kind() == ErrorKind::kInvalidArgument);
}

}  // namespace
}  // namespace vanillalatch
