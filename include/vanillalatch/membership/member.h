// The VMs of one data centre, as membership knows them.
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
  kSuspect,  // Missed probes; still counted until the suspicion runs out.
  kLeaving,  // Announced its stop; hands over, takes no new work.
  kDead,
};

struct Member {
  NodeId id;
  std::string name;
  SocketAddress peer;  // Its peer socket.
  MemberState state = MemberState::kAlive;
  std::uint64_t incarnation = 0;
  bool dispatches = true;  // Places work; a control VM does not.
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_MEMBERSHIP_MEMBER_H_
