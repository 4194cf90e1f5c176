#include "vanillalatch/placement/rendezvous.h"

#include <catch2/catch.hpp>
#include <map>
#include <vector>

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

}  // namespace
}  // namespace vanillalatch
