#include "vanillalatch/control/control_node.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <map>

namespace vanillalatch {
namespace {

TEST_CASE("a single control VM leads and keeps its catalog on the disk",
          "[control]") {
  const std::string folder = "build/test-data/control-node";
  std::filesystem::remove_all(folder);
  const auto disk = OpenDisk(folder).value();
  ControlOptions options;
  options.vm = "c1";
  options.initial = {{"c1", "c1:1", "north"}};
  TimePoint now(std::chrono::seconds(1));
  for (std::uint64_t start = 0; start < 2; ++start) {
    auto node = ControlNode::Create(options, *disk, now, start).value();
    now += std::chrono::seconds(2);
    node->OnTick(now);
    REQUIRE(node->Status().role() == "leader");
    CHECK(node->Status().revision() == start);
    pb::ApplyRequest request;
    request.mutable_change()->set_change_id("change-" + std::to_string(start));
    request.mutable_change()->set_base_revision(start);
    node->OnApply(now, Ticket{1}, request);
    const ControlActions actions = node->TakeActions();
    REQUIRE(actions.applies.size() == 1);
    CHECK(actions.applies[0].second.outcome().accepted());
    CHECK(actions.applies[0].second.catalog().revision() == start + 1);
  }
}

}  // namespace
}  // namespace vanillalatch
