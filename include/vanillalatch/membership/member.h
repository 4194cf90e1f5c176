// Member: one VM of a data centre, as listed by MemberList.
//
//   for (const Member& it : list.members()) {
//     if (it.state == MemberState::kAlive) ...
//   }
#ifndef VANILLALATCH_MEMBERSHIP_MEMBER_H_
#define VANILLALATCH_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <string>

#include "vanillalatch/base/address.h"
#include "vanillalatch/base/strong.h"

namespace vanillalatch {

enum class MemberState : std::uint8_t {
  kAlive,
  kSuspect,  // Did not answer probes; counts as alive until the suspicion
             // times out.
  kLeaving,  // Announced that it stops, or failed and returned too often;
             // gets no new work.
  kDead,     // Stopped or failed.
};

struct Member {
  NodeId id;
  std::string name;    // `id` is the stable hash of the name.
  SocketAddress peer;  // Address of the socket for messages between VMs.
  MemberState state = MemberState::kAlive;
  // Increased by the member at each start and each time it refutes a claim
  // about itself. Of two claims the one with the higher incarnation is the
  // newer.
  std::uint64_t incarnation = 0;
  bool dispatches = true;  // True if it places work. A control VM does not.
  // Where the VM runs. Empty if it is unknown, as for a VM of an older build.
  std::string data_center;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_MEMBERSHIP_MEMBER_H_
