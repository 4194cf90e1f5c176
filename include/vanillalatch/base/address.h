// SocketAddress: an IPv4 address and a UDP or TCP port.
//
//   SocketAddress a = SocketAddress::Parse("127.0.0.1:5683").value();
//   a.ToString();  // "127.0.0.1:5683"
#ifndef VANILLALATCH_BASE_ADDRESS_H_
#define VANILLALATCH_BASE_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "vanillalatch/base/result.h"

namespace vanillalatch {

struct SocketAddress {
  std::uint32_t ip = 0;    // Host byte order.
  std::uint16_t port = 0;  // Host byte order.

  // Parses "A.B.C.D:PORT". Error: kInvalidArgument if the text has any other
  // form.
  static Result<SocketAddress> Parse(std::string_view text);

  // Returns "A.B.C.D:PORT".
  std::string ToString() const;

  // True if it can be the address of one host: neither the IP address nor the
  // port is 0, and it is no multicast or broadcast address.
  constexpr bool IsUnicast() const {
    constexpr std::uint32_t kFirstMulticast = 0xe0000000;  // 224.0.0.0
    return port != 0 && ip != 0 && ip < kFirstMulticast;
  }

  // Encodes address and port in the low 48 bits of one integer, for messages
  // and hash keys. FromPacked() is the inverse.
  constexpr std::uint64_t Packed() const {
    return (std::uint64_t{ip} << 16) | port;
  }
  static constexpr SocketAddress FromPacked(std::uint64_t packed) {
    return {static_cast<std::uint32_t>(packed >> 16),
            static_cast<std::uint16_t>(packed)};
  }

  // clang-tidy 14 reports the zero that a defaulted operator compares with as a
  // null pointer.
  // NOLINTBEGIN(modernize-use-nullptr)
  friend constexpr auto operator<=>(const SocketAddress&,
                                    const SocketAddress&) = default;
  // NOLINTEND(modernize-use-nullptr)

  template <typename H>
  friend H AbslHashValue(H state, const SocketAddress& a) {
    return H::combine(std::move(state), a.ip, a.port);
  }
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_BASE_ADDRESS_H_
