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

constexpr int kReceiveBufferBytes = 1 << 21;
constexpr std::size_t kMaxDatagramBytes = 65536;

sockaddr_in ToSockaddr(SocketAddress address) {
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_addr.s_addr = htonl(address.ip);
  native.sin_port = htons(address.port);
  return native;
}

}  // namespace

Result<Socket> Socket::Bind(SocketAddress address) {
  Socket bound(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  setsockopt(bound.fd_, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
             sizeof(kReceiveBufferBytes));
  const sockaddr_in native = ToSockaddr(address);
  if (bind(bound.fd_, reinterpret_cast<const sockaddr*>(&native),
           sizeof(native)) != 0) {
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
  const sockaddr_in native = ToSockaddr(to);
  sendto(fd_, bytes.data(), bytes.size(), 0,
         reinterpret_cast<const sockaddr*>(&native), sizeof(native));
}

void Socket::Receive(
    const std::function<void(SocketAddress from, ByteSpan)>& handler) const {
  std::array<std::uint8_t, kMaxDatagramBytes> buf{};
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

int PollTimeoutMs(TimePoint now, TimePoint at) {
  constexpr std::chrono::milliseconds kMaxTimeout{1000};
  if (at >= now + kMaxTimeout) {
    return static_cast<int>(kMaxTimeout.count());
  }
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(at - now);
  return static_cast<int>(std::max<std::int64_t>(0, left.count()));
}

}  // namespace vanillalatch::standin
