// Which entry VM dispatches a service: rendezvous hashing over the members.
//
//   std::optional<NodeId> it = DispatcherOf(service, list.members(), 0);
#ifndef VANILLALATCH_PLACEMENT_RENDEZVOUS_H_
#define VANILLALATCH_PLACEMENT_RENDEZVOUS_H_

#include <cstddef>
#include <optional>
#include <span>

#include "vanillalatch/base/strong.h"
#include "vanillalatch/membership/member.h"

namespace vanillalatch {

// The member with the `rank`-th highest score among those that take work
// (alive or suspect). Rank 0 dispatches, rank 1 is its successor. nullopt if
// there are not so many members.
std::optional<NodeId> DispatcherOf(ServiceId service,
                                   std::span<const Member> members,
                                   std::size_t rank);

}  // namespace vanillalatch

#endif  // VANILLALATCH_PLACEMENT_RENDEZVOUS_H_
