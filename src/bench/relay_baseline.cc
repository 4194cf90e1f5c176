// The bare relay that the entry role is compared with: one thread receives
// datagrams and sends them on, callers to one backend server and back. It
// keeps no state but the last sender of each CoAP token's first two bytes.
//
//   relay_baseline LISTEN BACKEND_SIDE BACKEND_SERVER
#include <poll.h>

#include <array>
#include <cstdio>
#include <vector>

#include "vanillalatch/runtime/udp_socket.h"

namespace vanillalatch {
namespace {

constexpr std::size_t kTokenOffset = 4;
constexpr int kPollMs = 100;

// Which caller a token belongs to: by its first two bytes.
std::size_t SlotOf(ByteSpan bytes) {
  return bytes.size() < kTokenOffset + 2
             ? 0
             : (std::size_t{bytes[kTokenOffset]} << 8) |
                   bytes[kTokenOffset + 1];
}

[[noreturn]] void Relay(UdpSocket callers, UdpSocket backend,
                        SocketAddress server) {
  std::vector<SocketAddress> caller_of(1 << 16);
  for (;;) {
    std::array<pollfd, 2> waiting = {pollfd{callers.fd(), POLLIN, 0},
                                     pollfd{backend.fd(), POLLIN, 0}};
    poll(waiting.data(), waiting.size(), kPollMs);
    callers.Receive([&](SocketAddress from, ByteSpan bytes) {
      caller_of[SlotOf(bytes)] = from;
      backend.Queue(server, bytes);
    });
    backend.Flush();
    backend.Receive([&](SocketAddress, ByteSpan bytes) {
      callers.Queue(caller_of[SlotOf(bytes)], bytes);
    });
    callers.Flush();
  }
}

}  // namespace
}  // namespace vanillalatch

int main(int argc, char** argv) {
  using vanillalatch::SocketAddress;
  using vanillalatch::UdpSocket;
  if (argc != 4) {
    std::fputs("usage: relay_baseline LISTEN BACKEND_SIDE BACKEND_SERVER\n",
               stderr);
    return 2;
  }
  vanillalatch::Relay(
      UdpSocket::Bind(SocketAddress::Parse(argv[1]).value()).value(),
      UdpSocket::Bind(SocketAddress::Parse(argv[2]).value()).value(),
      SocketAddress::Parse(argv[3]).value());
}
