#include "vanillalatch/control/control_node.h"

#include <catch2/catch.hpp>
#include <filesystem>

#include "src/storage/fake_disk.h"
#include "vanillalatch/catalog/state_machine.h"

namespace vanillalatch {
namespace {

TEST_CASE("a single control VM leads and keeps its catalog on the disk",
          "[control]") {
  const std::string folder = "build/test-data/control-node";
  std::filesystem::remove_all(folder);
  const auto disk = OpenDisk(folder).value();
  ControlOptions options;
  options.vm = "c1";
  options.configured_vms = {{"c1", "c1:1", "north"}};
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
  options.configured_vms = {{"c1", "c1:1", "north"}};
  const TimePoint now(std::chrono::seconds(1));
  auto node = ControlNode::Create(options, disk, now, 1).value();
  node->OnTick(now);
  REQUIRE(node->Status().role() == "leader");
  node->TakeActions();
  disk.CrashAtSync(1, FakeDisk::CrashTiming::kBefore);
  pb::ApplyRequest request;
  request.mutable_change()->set_change_id("a");
  CHECK_THROWS_AS(node->OnApply(now, Ticket{1}, request), DiskCrash);
  CHECK_THROWS_AS(node->OnTick(now), Error);
  const ControlActions actions = node->TakeActions();
  CHECK(actions.applies.empty());
  CHECK(actions.sends.empty());
}

pb::ApplyRequest FlowRequest(std::uint64_t version) {
  pb::ApplyRequest request;
  request.mutable_change()->set_change_id("flows");
  request.mutable_change()->mutable_flows()->set_version(version);
  request.mutable_change()->mutable_flows()->set_document(
      std::to_string(version));
  return request;
}

TEST_CASE("a flow table that was taken before is acknowledged without a leader",
          "[control]") {
  FakeDisk disk;
  ControlOptions options;
  options.vm = "c1";
  options.configured_vms = {{"c1", "c1:1", "north"}};
  TimePoint now(std::chrono::seconds(1));
  {
    auto node = ControlNode::Create(options, disk, now, 1).value();
    node->OnTick(now += std::chrono::seconds(2));
    for (const std::uint64_t version : {5, 7}) {
      node->OnApply(now, Ticket{version}, FlowRequest(version));
      CHECK(node->TakeActions().applies.at(0).second.outcome().accepted());
    }
  }
  // The commit index is stored, so a restarted VM has applied the catalog
  // before it becomes the leader. An entry VM gets the catalog immediately,
  // without the operator's document.
  auto node = ControlNode::Create(options, disk, now, 2).value();
  node->OnSync(now, Ticket{1}, pb::SyncRequest());
  ControlActions actions = node->TakeActions();
  REQUIRE(actions.syncs.size() == 1);
  CHECK(actions.syncs[0].second.catalog().flows().version() == 7);
  CHECK(actions.syncs[0].second.catalog().flows().document().empty());
  REQUIRE(node->Status().role() != "leader");
  const std::uint64_t version = GENERATE(1, 5, 7);
  node->OnApply(now, Ticket{2}, FlowRequest(version));
  actions = node->TakeActions();
  REQUIRE(actions.applies.size() == 1);
  CHECK(actions.applies[0].second.outcome().accepted());
  // A newer flow table has to wait for a majority.
  node->OnApply(now, Ticket{3}, FlowRequest(8));
  CHECK(node->TakeActions().applies.empty());
}

pb::SyncRequest SyncRequestOf(const std::string& vm, std::uint64_t revision) {
  pb::SyncRequest request;
  request.set_vm(vm);
  request.set_revision(revision);
  request.set_accepts_packed(true);
  return request;
}

// A control VM that leads alone and has applied one flow table.
class SingleControl {
 public:
  SingleControl() {
    ControlOptions options;
    options.vm = "c1";
    options.configured_vms = {{"c1", "c1:1", "north"}};
    node_ = ControlNode::Create(options, disk_, now_, 1).value();
    node_->OnTick(now_ += std::chrono::seconds(2));
    node_->OnApply(now_, Ticket{1}, FlowRequest(1));
    node_->TakeActions();
  }

  ControlNode& node() { return *node_; }
  TimePoint& now() { return now_; }

 private:
  FakeDisk disk_;
  TimePoint now_{std::chrono::seconds(1)};
  std::unique_ptr<ControlNode> node_;
};

TEST_CASE("a VM that calls again ends its earlier Sync call", "[control]") {
  SingleControl control;
  control.node().OnSync(control.now(), Ticket{10}, SyncRequestOf("e1", 1));
  CHECK(control.node().TakeActions().syncs.empty());
  control.node().OnSync(control.now(), Ticket{11}, SyncRequestOf("e1", 1));
  ControlActions actions = control.node().TakeActions();
  REQUIRE(actions.syncs.size() == 1);
  CHECK(actions.syncs[0].first == Ticket{10});
  CHECK(actions.syncs[0].second.deltas().empty());
  control.node().OnApply(control.now(), Ticket{2}, FlowRequest(2));
  actions = control.node().TakeActions();
  REQUIRE(actions.syncs.size() == 1);
  CHECK(actions.syncs[0].first == Ticket{11});
  CHECK(actions.syncs[0].second.deltas_size() == 1);
}

TEST_CASE("Sync calls that are due together are answered in turns",
          "[control]") {
  constexpr std::uint64_t kCalls = 100;
  SingleControl control;
  for (std::uint64_t n = 0; n < kCalls; ++n) {
    control.node().OnSync(control.now(), Ticket{100 + n},
                          SyncRequestOf("e" + std::to_string(n), 1));
  }
  control.node().TakeActions();
  control.node().OnApply(control.now(), Ticket{2}, FlowRequest(2));
  std::size_t answered = 0;
  const TimePoint began = control.now();
  while (answered < kCalls && control.now() < began + std::chrono::seconds(1)) {
    const std::size_t n = control.node().TakeActions().syncs.size();
    CHECK(n <= 8);
    answered += n;
    if (answered == kCalls) {
      break;
    }
    control.now() = std::max(control.now(), control.node().NextWake());
    control.node().OnTick(control.now());
  }
  CHECK(answered == kCalls);
  CHECK(control.now() - began <= std::chrono::milliseconds(100));
}

// Load: an operator changes a flow table of thousands of routes again and
// again. Each change contains the whole table.
TEST_CASE("large changes leave a log that a restart reads quickly",
          "[control]") {
  constexpr std::size_t kTableBytes = std::size_t{100} << 10;
  constexpr std::size_t kChanges = 60;
  FakeDisk disk;
  ControlOptions options;
  options.vm = "c1";
  options.configured_vms = {{"c1", "c1:1", "north"}};
  options.snapshot_bytes = std::size_t{1} << 20;
  TimePoint now(std::chrono::seconds(1));
  {
    auto node = ControlNode::Create(options, disk, now, 1).value();
    node->OnTick(now += std::chrono::seconds(2));
    for (std::uint64_t version = 1; version <= kChanges; ++version) {
      pb::ApplyRequest request = FlowRequest(version);
      request.mutable_change()->mutable_flows()->set_document(
          std::string(kTableBytes, 'x'));
      node->OnApply(now, Ticket{version}, request);
      REQUIRE(node->TakeActions().applies.at(0).second.outcome().accepted());
    }
  }
  std::size_t stored = 0;
  for (const char* file : {"log", "snapshot"}) {
    stored += disk.Read(file).value_or("").size();
  }
  // The snapshot, and the entries since with those that were retained.
  CHECK(stored <= 2 * options.snapshot_bytes);
  auto node = ControlNode::Create(options, disk, now, 2).value();
  node->OnTick(now += std::chrono::seconds(2));
  CHECK(node->Status().revision() == kChanges);
}

TEST_CASE("options that can't work are refused", "[control]") {
  FakeDisk disk;
  ControlOptions options;
  options.vm = "c1";
  options.configured_vms = {{"c1", "c1:1", "north"}};
  const int row = GENERATE(0, 1, 2, 3);
  CAPTURE(row);
  if (row == 0) {
    options.vm = "c2";
  } else if (row == 3) {
    options.snapshot_bytes = 0;
  } else if (row == 1) {
    options.snapshot_every = 0;
  } else {
    options.election_timeout = options.heartbeat;
  }
  CHECK(ControlNode::Create(options, disk, TimePoint(), 1).error().kind() ==
        ErrorKind::kInvalidArgument);
}

pb::ApplyRequest OrderRequest(const std::string& data_center, bool end) {
  pb::ApplyRequest request;
  request.mutable_change()->set_change_id("order");
  request.mutable_change()->set_author("alice");
  request.mutable_change()->mutable_evacuation()->set_data_center(data_center);
  request.mutable_change()->mutable_evacuation()->set_end(end);
  return request;
}

// Guards against an order for a misspelt data centre, and against an evacuation
// that can't be ended because its name is no longer listed.
TEST_CASE("an order names a data centre that may be evacuated", "[control]") {
  struct Row {
    std::vector<std::string> listed;
    std::string name;
    bool end;
    const char* kind;  // Empty: accepted.
  };
  const std::string too_long(65, 'a');
  const Row row = GENERATE_COPY(
      Row{{}, "north", false, ""}, Row{{}, "north", true, ""},
      Row{{}, "", false, "invalid_argument"},
      Row{{}, too_long, false, "invalid_argument"},
      Row{{}, "a b", true, "invalid_argument"}, Row{{}, "old", true, ""},
      Row{{"north", "a b"}, "north", false, ""},
      Row{{"north", "a b"}, "a b", false, ""},
      Row{{"north"}, "nroth", false, "not_found"},
      Row{{"north"}, "nroth", true, "not_found"},
      Row{{"north"}, too_long, false, "not_found"},
      // Evacuated while it was listed.
      Row{{"north"}, "old", true, ""},
      Row{{"north"}, "old", false, "not_found"});
  CAPTURE(row.name, row.end);
  FakeDisk disk;
  ControlOptions options;
  options.vm = "c1";
  options.configured_vms = {{"c1", "c1:1", "north"}};
  TimePoint now(std::chrono::seconds(1));
  {
    auto node = ControlNode::Create(options, disk, now, 1).value();
    node->OnTick(now += std::chrono::seconds(2));
    node->OnApply(now, Ticket{1}, OrderRequest("old", false));
    REQUIRE(node->TakeActions().applies.at(0).second.outcome().accepted());
  }
  options.data_centers = row.listed;
  auto node = ControlNode::Create(options, disk, now, 2).value();
  node->OnTick(now += std::chrono::seconds(2));
  node->OnApply(now, Ticket{1}, OrderRequest(row.name, row.end));
  const pb::ChangeOutcome outcome =
      node->TakeActions().applies.at(0).second.outcome();
  CHECK(outcome.error_kind() == row.kind);
  CHECK(outcome.accepted() == (*row.kind == '\0'));
}

// Guards against an order that waited in a frozen VM, or behind a hanging disk,
// and would be applied after a later opposite order; and against an order that
// is held although another control VM could take it at once.
TEST_CASE("an order that may be late, or has no leader, is refused at once",
          "[control]") {
  struct Row {
    const char* name;
    bool leads;
    Duration frozen;  // Before the order is handled.
    Duration held;    // Since the process received it.
    bool accepted;
  };
  using std::chrono::milliseconds;
  const Row row = GENERATE(
      Row{"in time", true, milliseconds(0), milliseconds(0), true},
      Row{"held briefly", true, milliseconds(0), milliseconds(1900), true},
      Row{"held", true, milliseconds(0), milliseconds(2000), false},
      Row{"frozen", true, milliseconds(5000), milliseconds(0), false},
      Row{"no leader", false, milliseconds(0), milliseconds(0), false});
  CAPTURE(row.name);
  FakeDisk disk;
  ControlOptions options;
  options.vm = "c1";
  options.configured_vms = {{"c1", "c1:1", "north"}};
  if (!row.leads) {
    options.configured_vms.push_back({"c2", "c2:1", "north"});
  }
  TimePoint now(std::chrono::seconds(1));
  auto node = ControlNode::Create(options, disk, now, 1).value();
  node->OnTick(now);
  REQUIRE((node->Status().role() == "leader") == row.leads);
  node->TakeActions();
  if (row.frozen == Duration::zero()) {
    node->OnTick(now = node->NextWake());
  }
  now += row.frozen;
  node->OnApply(now, Ticket{1}, OrderRequest("north", false),
                {now - row.held, {}});
  ControlActions actions = node->TakeActions();
  REQUIRE(actions.applies.size() == 1);
  CHECK(actions.applies[0].second.outcome().accepted() == row.accepted);
  if (!row.accepted) {
    CHECK(actions.applies[0].second.outcome().error_kind() == "no_quorum");
  }
}

// Guards against an order that was held up on its way and undoes a newer one:
// its sender has closed the connection, and the end of the connection arrives
// right behind the order.
TEST_CASE("an order whose sender has abandoned it changes nothing",
          "[control]") {
  using std::chrono::milliseconds;
  struct Row {
    const char* name;
    std::optional<Duration>
        abandoned;  // Since it was received; nullopt: never.
    bool accepted;
  };
  const Row row =
      GENERATE(Row{"never", std::nullopt, true},
               Row{"before it was received", milliseconds(-3000), false},
               Row{"right behind it", milliseconds(1), false},
               Row{"a round trip behind it", milliseconds(90), false},
               Row{"behind a lost packet", milliseconds(220), false},
               Row{"after it was proposed", milliseconds(900), true});
  const bool end = GENERATE(false, true);
  CAPTURE(row.name, end);
  FakeDisk disk;
  ControlOptions options;
  options.vm = "c1";
  options.configured_vms = {{"c1", "c1:1", "north"}};
  TimePoint now(std::chrono::seconds(1));
  auto node = ControlNode::Create(options, disk, now, 1).value();
  node->OnTick(now);
  if (end) {
    node->OnApply(now, Ticket{1}, OrderRequest("north", false));
  }
  node->TakeActions();
  const TimePoint received = now;
  node->OnApply(now, Ticket{2}, OrderRequest("north", end),
                {received, [&] {
                   return row.abandoned && now >= received + *row.abandoned;
                 }});
  std::vector<std::pair<Ticket, pb::ApplyReply>> replies =
      node->TakeActions().applies;
  for (; now < received + milliseconds(1900); now += milliseconds(1)) {
    if (now >= node->NextWake()) {
      node->OnTick(now);
    }
    for (auto& it : node->TakeActions().applies) {
      replies.push_back(std::move(it));
    }
  }
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].second.outcome().accepted() == row.accepted);
  CHECK(replies[0].second.outcome().error_kind() ==
        (row.accepted ? "" : "cancelled"));
  CHECK(IsEvacuated(node->catalog(), "north") == (end != row.accepted));
}

// Guards against an order that counts as done because of another change with
// its change id or without a version, and the reverse.
TEST_CASE("an order takes a log entry beside other changes", "[control]") {
  FakeDisk disk;
  ControlOptions options;
  options.vm = "c1";
  options.configured_vms = {{"c1", "c1:1", "north"}};
  TimePoint now(std::chrono::seconds(1));
  auto node = ControlNode::Create(options, disk, now, 1).value();
  node->OnTick(now);
  std::uint64_t committed = node->Status().committed_index();
  pb::ApplyRequest services;
  services.mutable_change()->set_change_id("order");
  for (const pb::ApplyRequest& it :
       {OrderRequest("north", false), FlowRequest(0), services,
        OrderRequest("north", false), OrderRequest("north", true)}) {
    const bool order = it.change().has_evacuation();
    node->OnApply(now, Ticket{++committed}, it);
    const pb::ChangeOutcome outcome =
        node->TakeActions().applies.at(0).second.outcome();
    CAPTURE(it.ShortDebugString(), outcome.ShortDebugString());
    CHECK((outcome.accepted() || outcome.error_kind() == "conflict"));
    // A flow table of version 0 changes nothing and needs no entry.
    committed -= it.change().has_flows() ? 1 : 0;
    CHECK(node->Status().committed_index() == committed);
    CHECK((!order || outcome.accepted()));
  }
  CHECK(node->Status().revision() == 2);
}

}  // namespace
}  // namespace vanillalatch
