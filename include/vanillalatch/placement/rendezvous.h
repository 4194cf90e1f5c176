// Selects the entry VM that dispatches a service by rendezvous hashing: each
// member gets a score from its id and the service's id, and the highest score
// wins. When a member fails, only the services that it dispatched move.
//
//   std::optional<NodeId> dispatcher =
//       DispatcherOf(service, list.members(), 0);
#ifndef VANILLALATCH_PLACEMENT_RENDEZVOUS_H_
#define VANILLALATCH_PLACEMENT_RENDEZVOUS_H_

#include <cstddef>
#include <optional>
#include <span>

#include "vanillalatch/base/strong.h"
#include "vanillalatch/membership/member.h"

namespace vanillalatch {

// True if the member is alive or suspect and may dispatch.
bool CanDispatch(const Member& member);

// Returns the member with the `rank`-th highest score for `service` among the
// members that are alive or suspect and may dispatch. Rank 0 is the dispatcher,
// rank 1 its successor. Returns nullopt if at most `rank` members qualify.
std::optional<NodeId> DispatcherOf(ServiceId service,
                                   std::span<const Member> members,
                                   std::size_t rank);

}  // namespace vanillalatch

#endif  // VANILLALATCH_PLACEMENT_RENDEZVOUS_H_
