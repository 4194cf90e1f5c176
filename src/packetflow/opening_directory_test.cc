#include "src/packetflow/opening_directory.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "src/packetflow/shard.h"

namespace vanillalatch::internal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow(seconds(100));
constexpr NodeId kSelf{1};
constexpr SocketAddress kRoute{0x0A000001, 8443};

std::vector<Member> MakeMembers(std::uint64_t count) {
  std::vector<Member> members(count);
  for (std::uint64_t n = 1; n <= count; ++n) {
    members[n - 1].id = NodeId(n);
    members[n - 1].name = "vm-" + std::to_string(n);
  }
  return members;
}

FlowOpening MakeOpening(const std::string& service, Duration age,
                        std::uint32_t sequence = 1) {
  FlowOpening opening;
  opening.id = FlowId(7);
  opening.route = kRoute;
  opening.service = FlowServiceId(service);
  opening.sequence = sequence;
  opening.copy = 1;
  opening.age = age;
  return opening;
}

RouteTable MakeRoutes(const std::string& service) {
  pb::FlowTable table;
  pb::FlowRoute& route = *table.add_routes();
  route.set_name("route");
  route.set_ip(kRoute.ip);
  route.set_port(kRoute.port);
  route.set_timeout_ms(1000);
  route.set_latency_ms(1000);
  route.add_shares()->set_service(service);
  route.mutable_shares(0)->set_weight(1);
  return RouteTable::From(table);
}

class Fixture {
 public:
  explicit Fixture(std::uint64_t members = 6)
      : members_(MakeMembers(members)) {}
  OpeningDirectory& directory() { return directory_; }
  std::vector<Member>& members() { return members_; }
  std::vector<NodeId> MayHold(TimePoint now, const FlowOpening& opening,
                              std::size_t unready = 0) {
    OpeningDirectory::Fleet fleet;
    fleet.self = kSelf;
    fleet.members = members_;
    fleet.shard_of = [](ServiceId it) { return ShardId{it, {}}; };
    return directory_.MayHold(now, opening, fleet, unready);
  }
  // The ranking of a service without this VM.
  std::vector<NodeId> Ranking(const std::string& service, std::size_t ranks) {
    std::vector<NodeId> vms;
    for (std::size_t rank = 0; rank < ranks; ++rank) {
      const auto vm =
          ShardDispatcherOf({FlowServiceId(service), {}}, members_, rank);
      if (vm && *vm != kSelf) {
        vms.push_back(*vm);
      }
    }
    return vms;
  }

 private:
  std::vector<Member> members_;
  OpeningDirectory directory_;
};

bool Contains(const std::vector<NodeId>& vms, NodeId vm) {
  return std::find(vms.begin(), vms.end(), vm) != vms.end();
}

TEST_CASE("without an event the first two in rank may hold an opening",
          "[directory]") {
  Fixture fixture;
  const FlowOpening copy = MakeOpening("a", milliseconds(200));
  CHECK(fixture.MayHold(kNow, copy) == fixture.Ranking("a", 2));
  CHECK(fixture.directory().records() == 0);
}

// Guards against a copy that is placed although the opening was handed over or
// declined before, and against a record that outlives the last copy.
TEST_CASE("the VM that took or brought an opening is asked first",
          "[directory]") {
  Fixture fixture(12);
  const bool declined = GENERATE(false, true);
  CAPTURE(declined);
  const NodeId other = fixture.Ranking("a", 12).back();
  const FlowOpening first = MakeOpening("a", milliseconds(0));
  if (declined) {
    fixture.directory().OnDeclined(kNow, first, other);
  } else {
    fixture.directory().OnHandedOver(kNow, first, other);
  }
  const auto at = [&](Duration age, std::uint32_t sequence) {
    return fixture.directory().RecordedHolder(
        kNow + age, MakeOpening("a", age, sequence), false);
  };
  CHECK(at(milliseconds(600), 1) == other);
  CHECK(fixture
            .MayHold(kNow + milliseconds(200),
                     MakeOpening("a", milliseconds(200)))
            .front() == other);
  // Another flow of the same caller's port.
  CHECK(at(milliseconds(600), 2) == std::nullopt);
  CHECK(at(FlowDispatcher::kOpeningTimeout, 1) == std::nullopt);
  fixture.directory().OnTick(kNow + FlowDispatcher::kOpeningTimeout);
  CHECK(fixture.directory().records() == 0);
  // A VM that has failed can't be asked.
  fixture.directory().OnHandedOver(kNow, first, other);
  for (Member& it : fixture.members()) {
    it.state = it.id == other ? MemberState::kDead : it.state;
  }
  CHECK_FALSE(Contains(fixture.MayHold(kNow, first), other));
}

TEST_CASE("a VM that is turned away does not hide who took the opening",
          "[directory]") {
  Fixture fixture;
  const FlowOpening opening = MakeOpening("a", milliseconds(0));
  fixture.directory().OnHandedOver(kNow, opening, NodeId{3});
  fixture.directory().OnDeclined(kNow, opening, NodeId{4});
  CHECK(fixture.directory().RecordedHolder(kNow, opening, false) == NodeId{3});
  fixture.directory().OnHandedOver(kNow, opening, NodeId{5});
  CHECK(fixture.directory().RecordedHolder(kNow, opening, false) == NodeId{5});
}

// Guards against review/12: flows that wait for the former service.
TEST_CASE("the dispatchers of a route's former service may hold an opening",
          "[directory]") {
  Fixture fixture(12);
  fixture.directory().OnRoutesReplaced(kNow, MakeRoutes("b"));
  const FlowOpening copy = MakeOpening("a", milliseconds(200));
  for (const NodeId it : fixture.Ranking("b", 2)) {
    CHECK(Contains(fixture.MayHold(kNow + milliseconds(600), copy), it));
  }
  CHECK(fixture.MayHold(kNow + FlowDispatcher::kOpeningTimeout, copy) ==
        fixture.Ranking("a", 2));
}

// Guards against review/13: several VMs that start at once rank before the one
// that holds the flows.
TEST_CASE("the VM that ranks after those that were not ready is asked",
          "[directory]") {
  Fixture fixture(12);
  const FlowOpening copy = MakeOpening("a", milliseconds(200));
  for (std::size_t unready = 0; unready < 4; ++unready) {
    CHECK(fixture.MayHold(kNow, copy, unready) ==
          fixture.Ranking("a", 2 + unready));
  }
}

TEST_CASE("a VM counts as unready for openings sent before all knew it",
          "[directory]") {
  struct Row {
    Duration ready_ago;
    Duration age;
    bool unready;
  };
  const Row row = GENERATE(Row{milliseconds(0), milliseconds(200), true},
                           Row{milliseconds(300), milliseconds(600), true},
                           Row{milliseconds(300), milliseconds(200), true},
                           Row{milliseconds(1100), milliseconds(200), true},
                           Row{milliseconds(1300), milliseconds(200), false},
                           Row{seconds(60), milliseconds(600), false});
  CAPTURE(row.ready_ago.count(), row.age.count());
  OpeningDirectory directory;
  CHECK(directory.WasUnreadyFor(kNow, MakeOpening("a", row.age)));
  directory.OnReady(kNow - row.ready_ago);
  CHECK(directory.WasUnreadyFor(kNow, MakeOpening("a", row.age)) ==
        row.unready);
}

// Guards against review/7: copies of flows that the former dispatcher holds.
TEST_CASE("the former first dispatcher may hold an opening", "[directory]") {
  Fixture fixture(12);
  const ShardId shard{FlowServiceId("a"), {}};
  const NodeId former = fixture.Ranking("a", 12).back();
  const NodeId first = fixture.Ranking("a", 12).front();
  CHECK(fixture.directory().SetFirstDispatcher(kNow, shard, former));
  CHECK_FALSE(fixture.directory().SetFirstDispatcher(kNow, shard, former));
  CHECK(fixture.directory().SetFirstDispatcher(kNow, shard, first));
  const FlowOpening copy = MakeOpening("a", milliseconds(200));
  CHECK(Contains(fixture.MayHold(kNow + milliseconds(600), copy), former));
  CHECK_FALSE(Contains(
      fixture.MayHold(kNow + FlowDispatcher::kOpeningTimeout, copy), former));
}

TEST_CASE("the shard to which an opening was passed on is known until the end",
          "[directory]") {
  OpeningDirectory directory;
  const FlowOpening opening = MakeOpening("a", milliseconds(0));
  directory.OnPassedOn(kNow, opening, "north");
  REQUIRE(directory.PassedOnTo(kNow, opening) != nullptr);
  CHECK(*directory.PassedOnTo(kNow, opening) == "north");
  CHECK(directory.PassedOnTo(kNow, MakeOpening("a", {}, 2)) == nullptr);
  directory.OnReturned(opening.id);
  CHECK(directory.PassedOnTo(kNow, opening) == nullptr);
}

TEST_CASE("a VM of another shard is asked only once there are no shards",
          "[directory]") {
  OpeningDirectory directory;
  const FlowOpening opening = MakeOpening("a", milliseconds(0));
  directory.OnHandedOver(kNow, opening, NodeId{3}, true);
  CHECK(directory.RecordedHolder(kNow, opening, true) == std::nullopt);
  CHECK(directory.RecordedHolder(kNow, opening, false) == NodeId{3});
}

TEST_CASE("the memory for openings is bounded", "[directory]") {
  OpeningDirectory directory;
  FlowOpening opening = MakeOpening("a", milliseconds(0));
  for (std::size_t n = 0; n < OpeningDirectory::kMaxRecords + 100; ++n) {
    opening.id = FlowId(n + 1);
    directory.OnHandedOver(kNow, opening, NodeId{3});
  }
  CHECK(directory.records() == OpeningDirectory::kMaxRecords);
  directory.OnTick(kNow + FlowDispatcher::kOpeningTimeout);
  CHECK(directory.records() == 0);
}

}  // namespace
}  // namespace vanillalatch::internal
