#include "vanillalatch/control/control_node.h"

#include <catch2/catch.hpp>
#include <filesystem>

#include "src/storage/fake_disk.h"

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

TEST_CASE("nothing is answered or sent after the disk has failed",
          "[control]") {
  FakeDisk disk;
  ControlOptions options;
  options.vm = "c1";
  options.initial = {{"c1", "c1:1", "north"}};
  const TimePoint now(std::chrono::seconds(1));
  auto node = ControlNode::Create(options, disk, now, 1).value();
  node->OnTick(now);
  REQUIRE(node->Status().role() == "leader");
  node->TakeActions();
  disk.CrashAtSync(1, FakeDisk::Moment::kBefore);
  pb::ApplyRequest request;
  request.mutable_change()->set_change_id("a");
  CHECK_THROWS_AS(node->OnApply(now, Ticket{1}, request), DiskCrash);
  CHECK_THROWS_AS(node->OnTick(now), Error);
  const ControlActions actions = node->TakeActions();
  CHECK(actions.applies.empty());
  CHECK(actions.sends.empty());
}

TEST_CASE("options that can't work are refused", "[control]") {
  FakeDisk disk;
  ControlOptions options;
  options.vm = "c1";
  options.initial = {{"c1", "c1:1", "north"}};
  const int row = GENERATE(0, 1, 2);
  CAPTURE(row);
  if (row == 0) {
    options.vm = "c2";
  } else if (row == 1) {
    options.snapshot_every = 0;
  } else {
    options.election_timeout = options.heartbeat;
  }
  CHECK(ControlNode::Create(options, disk, TimePoint(), 1).error().kind() ==
        ErrorKind::kInvalidArgument);
}

}  // namespace
}  // namespace vanillalatch
