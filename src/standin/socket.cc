#include "src/standin/socket.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace vanillalatch::standin {
namespace {

constexpr int kBufferBytes = 1 << 21;
constexpr std::size_t kMaxDatagram = 65536;

sockaddr_in ToKernel(SocketAddress address) {
  sockaddr_in kernel{};
  kernel.sin_family = AF_INET;
  kernel.sin_addr.s_addr = htonl(address.ip);
  kernel.sin_port = htons(address.port);
  return kernel;
}

}  // namespace

Result<Socket> Socket::Bind(SocketAddress address) {
  Socket bound(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  setsockopt(bound.fd_, SOL_SOCKET, SO_RCVBUF, &kBufferBytes,
             sizeof(kBufferBytes));
  const sockaddr_in kernel = ToKernel(address);
  if (bind(bound.fd_, reinterpret_cast<const sockaddr*>(&kernel),
           sizeof(kernel)) != 0) {
    return Error(ErrorKind::kInvalidArgument,
                 address.ToString() + " can't be bound");
  }
  return bound;
}

Socket::Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}

Socket::~Socket() {
  if (fd_ >= 0) {
    close(fd_);
  }
}

void Socket::Send(SocketAddress to, ByteSpan bytes) const {
  const sockaddr_in kernel = ToKernel(to);
  sendto(fd_, bytes.data(), bytes.size(), 0,
         reinterpret_cast<const sockaddr*>(&kernel), sizeof(kernel));
}

void Socket::Receive(
    const std::function<void(SocketAddress from, ByteSpan)>& handler) const {
  std::array<std::uint8_t, kMaxDatagram> buf{};
  for (;;) {
    sockaddr_in from{};
    socklen_t from_size = sizeof(from);
    const ssize_t n = recvfrom(fd_, buf.data(), buf.size(), 0,
                               reinterpret_cast<sockaddr*>(&from), &from_size);
    if (n < 0) {
      return;
    }
    handler({ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)},
            ByteSpan(buf).first(static_cast<std::size_t>(n)));
  }
}

TimePoint Now() {
  return TimePoint(std::chrono::steady_clock::now().time_since_epoch());
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

int PollTimeout(TimePoint now, TimePoint at) {
  constexpr std::chrono::milliseconds kLongest{1000};
  if (at >= now + kLongest) {
    return static_cast<int>(kLongest.count());
  }
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(at - now);
  return static_cast<int>(std::max<std::int64_t>(0, left.count()));
}

}  // namespace vanillalatch::standin
