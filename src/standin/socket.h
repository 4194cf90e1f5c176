// A UDP socket of the stand-ins, and their clock.
#ifndef VANILLALATCH_SRC_STANDIN_SOCKET_H_
#define VANILLALATCH_SRC_STANDIN_SOCKET_H_

#include <cstdint>
#include <functional>

#include "vanillalatch/base/address.h"
#include "vanillalatch/base/outbox.h"
#include "vanillalatch/base/result.h"
#include "vanillalatch/base/time.h"

namespace vanillalatch::standin {

class Socket {
 public:
  // Port zero: any free port. Error: kInvalidArgument if it can't be bound.
  static Result<Socket> Bind(SocketAddress address);

  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) = delete;
  ~Socket();

  int fd() const { return fd_; }
  // Lost if the kernel has no room.
  void Send(SocketAddress to, ByteSpan bytes) const;
  // Hands over every datagram that waits.
  void Receive(
      const std::function<void(SocketAddress from, ByteSpan)>& handler) const;

 private:
  explicit Socket(int fd) : fd_(fd) {}

  int fd_;
};

// Time since the start of the machine.
TimePoint Now();

// Milliseconds since 1970.
std::int64_t UnixMs();

// Milliseconds until `at` for poll(), rounded up, at least 0.
int PollTimeout(TimePoint now, TimePoint at);

}  // namespace vanillalatch::standin

#endif  // VANILLALATCH_SRC_STANDIN_SOCKET_H_
