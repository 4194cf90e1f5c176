// A minimal UDP relay, the baseline for measurements of the entry role. One
// thread forwards datagrams from callers to one backend server and back. The
// only state is the last sender for each value of the first two bytes of a CoAP
// token.
//
//   relay_baseline LISTEN BACKEND_SIDE BACKEND_SERVER
#include <poll.h>

#include <array>
#include <cstdio>
#include <vector>

#include "vanillalatch/runtime/udp_socket.h"

namespace vanillalatch {
namespace {

constexpr std::size_t kTokenOffset = 4;  // After the CoAP header.
constexpr int kPollMs = 100;

// Returns the first two bytes of the token, the index of the caller's address;
// 0 if the datagram is too short.
std::size_t CallerIndexOf(ByteSpan bytes) {
  return bytes.size() < kTokenOffset + 2
             ? 0
             : (std::size_t{bytes[kTokenOffset]} << 8) |
                   bytes[kTokenOffset + 1];
}

[[noreturn]] void Relay(UdpSocket callers, UdpSocket backend,
                        SocketAddress server) {
  std::vector<SocketAddress> caller_by_index(1 << 16);
  for (;;) {
    std::array<pollfd, 2> poll_fds = {pollfd{callers.fd(), POLLIN, 0},
                                      pollfd{backend.fd(), POLLIN, 0}};
    poll(poll_fds.data(), poll_fds.size(), kPollMs);
    callers.Receive([&](SocketAddress from, ByteSpan bytes) {
      caller_by_index[CallerIndexOf(bytes)] = from;
      backend.Queue(server, bytes);
    });
    backend.Flush();
    backend.Receive([&](SocketAddress, ByteSpan bytes) {
      callers.Queue(caller_by_index[CallerIndexOf(bytes)], bytes);
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
