// Prints ports of 127.0.0.1 that are free for UDP and TCP, one per line:
//
//   standin_ports 12
//
// The exit code is 0 if the given number of ports was found, else 1.
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdlib>
#include <iostream>
#include <optional>
#include <vector>

#include "src/standin/socket.h"

namespace {

using vanillalatch::standin::Socket;

constexpr std::uint32_t kLoopback = 0x7f000001;

// Returns a TCP port that stays bound until the program ends.
std::optional<std::uint16_t> ReserveTcpPort() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(kLoopback);
  socklen_t size = sizeof(address);
  if (fd < 0 ||
      bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    return std::nullopt;
  }
  return ntohs(address.sin_port);
}

}  // namespace

int main(int argc, char** argv) {
  const int wanted = argc == 2 ? std::atoi(argv[1]) : 0;
  constexpr int kMaxAttempts = 1000;
  std::vector<Socket> reserved;
  for (int i = 0; i < kMaxAttempts && std::ssize(reserved) < wanted; ++i) {
    const std::optional<std::uint16_t> port = ReserveTcpPort();
    if (!port) {
      continue;
    }
    auto udp = Socket::Bind({kLoopback, *port});
    if (udp.ok()) {
      reserved.push_back(std::move(*udp));
      std::cout << *port << "\n";
    }
  }
  return std::ssize(reserved) == wanted && wanted > 0 ? 0 : 1;
}
