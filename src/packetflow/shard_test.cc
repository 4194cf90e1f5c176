#include "src/packetflow/shard.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "vanillalatch/placement/rendezvous.h"

namespace vanillalatch::internal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ServiceId kService{7};

// `per_data_center` endpoints of three slots in each data centre.
std::vector<Endpoint> Endpoints(std::initializer_list<const char*> names,
                                std::size_t per_data_center) {
  std::vector<Endpoint> endpoints;
  for (const char* name : names) {
    for (std::size_t n = 0; n < per_data_center; ++n) {
      Endpoint endpoint;
      endpoint.slots = 3;
      endpoint.data_center = name;
      endpoints.push_back(endpoint);
    }
  }
  return endpoints;
}

std::vector<Member> Members(std::initializer_list<const char*> data_centers) {
  std::vector<Member> members;
  for (const char* it : data_centers) {
    Member member;
    member.id = NodeId(100 + members.size());
    member.data_center = it;
    members.push_back(member);
  }
  return members;
}

// A service that one VM can serve must keep its one dispatcher, and a service
// that exceeds a link must not.
TEST_CASE("which services are sharded") {
  struct Row {
    double link_mbit_per_s;
    std::vector<Endpoint> endpoints;
    bool sharded;
  };
  const Row row =
      GENERATE(Row{0, Endpoints({"a", "b"}, 1000), false}, Row{2, {}, false},
               // 125,000 bytes/s / 3,000 bytes/s: 41.7 slots.
               Row{2, Endpoints({"a", "b"}, 6), false},
               Row{2, Endpoints({"a", "b"}, 7), true},
               Row{2, Endpoints({"a"}, 80), false},
               Row{200, Endpoints({"a", "b", "c"}, 80), false},
               Row{4, Endpoints({"a", "b", "c"}, 9), false},
               Row{4, Endpoints({"a", "b"}, 14), true});
  CAPTURE(row.link_mbit_per_s, row.endpoints.size());
  CHECK(IsSharded(row.link_mbit_per_s, row.endpoints) == row.sharded);
}

TEST_CASE("data centres with endpoints or entry VMs have a shard") {
  std::vector<Member> members = Members({"c", "d", "e", ""});
  members[1].dispatches = false;
  members[2].state = MemberState::kDead;
  CHECK(ShardsOf(Endpoints({"b", "a"}, 2), members) ==
        std::vector<std::string>{"a", "b", "c"});
}

// All VMs must select the same dispatcher. It must be near its endpoints, and
// a data centre without entry VMs must have one as well.
TEST_CASE("the dispatcher of a shard") {
  struct Row {
    std::vector<Member> members;
    const char* data_center;
    std::set<std::size_t> expected;  // Indices of possible dispatchers.
  };
  const Row row =
      GENERATE(Row{Members({"a", "b", "a", "b"}), "a", {0, 2}},
               Row{Members({"a", "b", "a", "b"}), "b", {1, 3}},
               Row{Members({"a", "b", "a"}), "c", {0, 1, 2}},
               // Members of an older build.
               Row{Members({"", "", ""}), "a", {0, 1, 2}}, Row{{}, "a", {}});
  for (std::uint32_t n = 0; n < 50; ++n) {
    const std::optional<NodeId> it =
        ShardDispatcherOf({ServiceId(n), row.data_center}, row.members, 0);
    REQUIRE(it.has_value() == !row.expected.empty());
    if (it) {
      CHECK(row.expected.contains(it->value() - 100));
    }
  }
}

TEST_CASE("the ranks of a shard list each VM once, its data centre first") {
  const std::vector<Member> members = Members({"a", "b", "a", "c", "b"});
  std::set<NodeId> seen;
  for (std::size_t rank = 0; rank < members.size(); ++rank) {
    const NodeId it = *ShardDispatcherOf({kService, "b"}, members, rank);
    CHECK(seen.insert(it).second);
    CHECK((members[it.value() - 100].data_center == "b") == (rank < 2));
  }
  CHECK(ShardDispatcherOf({kService, "b"}, members, 5) == std::nullopt);
}

TEST_CASE("an unsharded service has the dispatcher that it had before") {
  const std::vector<Member> members = Members({"a", "b", "c", "a", "b"});
  for (std::uint32_t n = 0; n < 100; ++n) {
    for (std::size_t rank = 0; rank < members.size(); ++rank) {
      CHECK(ShardDispatcherOf({ServiceId(n), ""}, members, rank) ==
            DispatcherOf(ServiceId(n), members, rank));
    }
  }
}

TEST_CASE("a VM that joins takes over only shards of its data centre") {
  const std::vector<Member> before = Members({"a", "b", "a", "b"});
  const std::vector<Member> after = Members({"a", "b", "a", "b", "b"});
  for (std::uint32_t n = 0; n < 200; ++n) {
    CHECK(ShardDispatcherOf({ServiceId(n), "a"}, before, 0) ==
          ShardDispatcherOf({ServiceId(n), "a"}, after, 0));
    const NodeId b = *ShardDispatcherOf({ServiceId(n), "b"}, after, 0);
    CHECK((b == after[4].id ||
           b == ShardDispatcherOf({ServiceId(n), "b"}, before, 0)));
  }
}

constexpr std::uint32_t kOverlapPercent = 150;
constexpr TimePoint kNow{seconds(100)};

// 100 slots, so that an endpoint takes 150 flows.
ShardLoad Load(std::uint32_t free_slots, Duration expected_wait = {},
               std::uint32_t queued = 0) {
  return {150, free_slots, queued, expected_wait, milliseconds(50)};
}

OtherShard Other(std::uint32_t free_slots, Duration age = {},
                 Duration way = milliseconds(5), std::int32_t passed_on = 0) {
  return {"x", Load(free_slots), kNow - age, way, passed_on};
}

// Each row guards against one way to pass on work that should stay, or to keep
// work that another data centre could serve.
TEST_CASE("the shard to which an opening is passed on") {
  struct Row {
    const char* what;
    ShardLoad home;
    std::vector<OtherShard> others;
    std::optional<std::size_t> expected;
  };
  const Row row = GENERATE(
      Row{"a slot is free here", Load(60), {Other(150)}, std::nullopt},
      Row{"all slots are in use: waits less than the way",
          Load(48),
          {Other(150)},
          std::nullopt},
      Row{"waits longer than the way", Load(30), {Other(150)}, 0},
      Row{"far away",
          Load(30),
          {Other(150, {}, milliseconds(50))},
          std::nullopt},
      Row{"can start here, and there only by overlap",
          Load(30),
          {Other(50)},
          std::nullopt},
      Row{"waits in the queue here, and can start there by overlap",
          Load(0, milliseconds(10), 20),
          {Other(50)},
          0},
      Row{"hysteresis: at most a tenth is free",
          Load(0, milliseconds(10), 20),
          {Other(15)},
          std::nullopt},
      Row{"just above a tenth", Load(0, milliseconds(10), 20), {Other(16)}, 0},
      Row{"the most free slots",
          Load(0, milliseconds(10), 20),
          {Other(50), Other(70), Other(60)},
          1},
      Row{"what was passed on counts",
          Load(0, milliseconds(10), 20),
          {Other(70, {}, milliseconds(5), 30), Other(50)},
          1},
      Row{"an old report counts as no room",
          Load(0, milliseconds(10), 20),
          {Other(150, milliseconds(501))},
          std::nullopt},
      Row{"one lost report does not matter",
          Load(0, milliseconds(10), 20),
          {Other(150, milliseconds(499))},
          0},
      Row{"no report yet",
          Load(0, milliseconds(10), 20),
          {OtherShard{"x", {}, TimePoint::min(), milliseconds(5), 0}},
          std::nullopt},
      Row{"no endpoint here: any free slot", ShardLoad{}, {Other(1)}, 0},
      Row{"no endpoint anywhere", ShardLoad{}, {Other(0)}, std::nullopt},
      Row{"no answer time known yet",
          ShardLoad{150, 0, 20, {}, {}},
          {Other(150)},
          0});
  CAPTURE(row.what);
  CHECK(SelectOtherShard(kNow, row.home, row.others, kOverlapPercent) ==
        row.expected);
}

}  // namespace
}  // namespace vanillalatch::internal
