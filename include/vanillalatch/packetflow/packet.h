// A packet of a flow as the decisions see it. The bytes inside belong to the
// caller and its backend server and are never read.
//
//   FlowPacket packet = codec.Decode(bytes).value();
//   if (packet.opens) router.Place(now, packet, bytes);
#ifndef VANILLALATCH_PACKETFLOW_PACKET_H_
#define VANILLALATCH_PACKETFLOW_PACKET_H_

#include <cstdint>

#include "vanillalatch/base/address.h"
#include "vanillalatch/base/hash.h"
#include "vanillalatch/base/strong.h"

namespace vanillalatch {

// One flow: the same on every VM, from every packet of the caller.
using FlowId = Strong<struct FlowIdTag, std::uint64_t>;

// Names the endpoint of a flow in every packet after the first. Zero: none.
using FlowCookie = Strong<struct FlowCookieTag, std::uint32_t>;

// One start of a backend server, as it names itself.
using InstanceId = Strong<struct InstanceIdTag, std::uint64_t>;

struct FlowPacket {
  SocketAddress caller;
  SocketAddress route;  // The address and port that the caller opened it to.
  bool opens = false;
  bool ends = false;    // The caller sends nothing more.
  bool aborts = false;  // The caller gave the flow up.
  bool carries_data = false;
  FlowCookie cookie;
  std::uint32_t sequence = 0;
  std::uint32_t acknowledged = 0;
  std::uint32_t copy = 0;  // Of an opening packet: how many went before it.

  FlowId id() const {
    return FlowId(StableHash(caller.Packed(), route.Packed()));
  }
};

// The cookie that stands for an instance.
constexpr FlowCookie CookieOf(InstanceId instance) {
  const auto low = static_cast<std::uint32_t>(instance.value());
  return FlowCookie(low == 0 ? 1 : low);
}

}  // namespace vanillalatch

#endif  // VANILLALATCH_PACKETFLOW_PACKET_H_
