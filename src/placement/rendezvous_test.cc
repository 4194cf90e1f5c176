#include "vanillalatch/placement/rendezvous.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "vanillalatch/base/hash.h"

namespace vanillalatch {
namespace {

std::vector<Member> Members(int n) {
  std::vector<Member> members;
  for (int i = 0; i < n; ++i) {
    Member member;
    member.id = NodeId(100 + i);
    members.push_back(member);
  }
  return members;
}

TEST_CASE("A failed member moves only the services that it dispatched") {
  const std::vector<Member> before = Members(7);
  std::vector<Member> after = before;
  after[3].state = MemberState::kDead;
  for (std::uint32_t i = 0; i < 1000; ++i) {
    const NodeId first = *DispatcherOf(ServiceId(i), before, 0);
    const NodeId second = *DispatcherOf(ServiceId(i), before, 1);
    const NodeId now = *DispatcherOf(ServiceId(i), after, 0);
    CHECK(now == (first == before[3].id ? second : first));
  }
}

TEST_CASE("Services are spread over the members") {
  const std::vector<Member> members = Members(7);
  std::map<NodeId, int> services;
  for (std::uint32_t i = 0; i < 7000; ++i) {
    ++services[*DispatcherOf(ServiceId(i), members, 0)];
  }
  for (const auto& [node, n] : services) {
    CHECK(n == Approx(1000).margin(150));
  }
}

TEST_CASE("Members that leave or are dead don't dispatch") {
  std::vector<Member> members = Members(2);
  members[0].state = MemberState::kLeaving;
  members[1].state = MemberState::kSuspect;
  CHECK(DispatcherOf(ServiceId(1), members, 0) == members[1].id);
  CHECK(DispatcherOf(ServiceId(1), members, 1) == std::nullopt);
}

// Guards against two builds that choose different dispatchers for one service,
// and then both place its flows. The builds of 27ac5a3, e3d5096, 8202a02 and
// 0608a9a all choose these.
TEST_CASE("Every build since 27ac5a3 chooses the same dispatchers") {
  std::vector<Member> members;
  for (int n = 1; n <= 6; ++n) {
    Member member;
    member.id = NodeId(StableHash("entry-" + std::to_string(n)));
    members.push_back(member);
  }
  members[3].state = MemberState::kSuspect;
  members[4].state = MemberState::kDead;
  members[5].dispatches = false;
  struct Row {
    std::uint32_t service;
    std::vector<std::size_t> ranked;  // Numbers of the VMs, by rank.
  };
  const std::vector<Row> rows = {
      {1, {1, 2, 3, 4}}, {2, {4, 3, 1, 2}}, {3, {4, 2, 3, 1}},
      {4, {2, 4, 1, 3}}, {5, {2, 1, 3, 4}}, {6, {1, 4, 3, 2}},
      {7, {2, 1, 4, 3}}, {8, {4, 3, 1, 2}},
  };
  for (const Row& row : rows) {
    for (std::size_t rank = 0; rank < row.ranked.size(); ++rank) {
      CAPTURE(row.service, rank);
      CHECK(DispatcherOf(ServiceId(row.service), members, rank) ==
            members[row.ranked[rank] - 1].id);
    }
  }
}

}  // namespace
}  // namespace vanillalatch
