#include "vanillalatch/placement/rendezvous.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "vanillalatch/base/hash.h"

namespace vanillalatch {

bool CanDispatch(const Member& member) {
  return member.dispatches && (member.state == MemberState::kAlive ||
                               member.state == MemberState::kSuspect);
}

std::optional<NodeId> DispatcherOf(ServiceId service,
                                   std::span<const Member> members,
                                   std::size_t rank) {
  // The node id breaks ties of equal scores.
  std::vector<std::pair<std::uint64_t, NodeId>> scores;
  for (const Member& it : members) {
    if (CanDispatch(it)) {
      scores.emplace_back(StableHash(service.value(), it.id.value()), it.id);
    }
  }
  if (rank >= scores.size()) {
    return std::nullopt;
  }
  const auto nth = scores.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(scores.begin(), nth, scores.end(), std::greater<>());
  return nth->second;
}

}  // namespace vanillalatch
