// Defines the decoded header fields of a flow's packet that placement and
// forwarding decisions use. The payload is opaque: it belongs to the caller and
// the backend server, and no entry VM reads it.
//
// A flow is a transport-level connection of one caller. Its first packet is the
// opening packet; every later packet carries a cookie that identifies the
// endpoint (the backend server instance) which serves the flow.
//
//   if (std::optional<FlowPacket> packet = Codec::Decode(bytes)) {
//     FlowVerdict verdict = node->OnPacket(now, *packet, bytes);
//   }
#ifndef VANILLALATCH_PACKETFLOW_PACKET_H_
#define VANILLALATCH_PACKETFLOW_PACKET_H_

#include <cstdint>

#include "vanillalatch/base/address.h"
#include "vanillalatch/base/hash.h"
#include "vanillalatch/base/strong.h"

namespace vanillalatch {

// Identifies a flow. Every VM computes the same id from any packet of the flow.
using FlowId = Strong<struct FlowIdTag, std::uint64_t>;

// Identifies the endpoint of a flow in every packet after the opening packet.
// Zero means that the packet carries no cookie.
using FlowCookie = Strong<struct FlowCookieTag, std::uint32_t>;

// Identifies one start of a backend server. The backend server selects the id.
using InstanceId = Strong<struct InstanceIdTag, std::uint64_t>;

struct FlowPacket {
  SocketAddress caller;
  SocketAddress route;  // The address and port that the caller connects to.
  bool opens = false;   // This is an opening packet.
  bool ends = false;    // The caller sends no more data.
  bool aborts = false;  // The caller gave up the flow.
  bool carries_data = false;
  FlowCookie cookie;
  std::uint32_t sequence = 0;      // Sequence number of this packet.
  std::uint32_t acknowledged = 0;  // Acknowledgement number of this packet.
  // For an opening packet: the number of its earlier transmissions; 0 for the
  // first one.
  std::uint32_t copy = 0;

  // Hashes the caller's address and the route.
  FlowId id() const {
    return FlowId(StableHash(caller.Packed(), route.Packed()));
  }
};

// Returns the cookie of an instance: the low 32 bits of its id, or 1 if these
// are zero, as a zero cookie means that there is none.
constexpr FlowCookie CookieOf(InstanceId instance) {
  const auto low = static_cast<std::uint32_t>(instance.value());
  return FlowCookie(low == 0 ? 1 : low);
}

}  // namespace vanillalatch

#endif  // VANILLALATCH_PACKETFLOW_PACKET_H_
