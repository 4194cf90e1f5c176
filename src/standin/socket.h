// A non-blocking UDP socket and the clocks of the simulated callers and backend
// servers.
#ifndef VANILLALATCH_SRC_STANDIN_SOCKET_H_
#define VANILLALATCH_SRC_STANDIN_SOCKET_H_

#include <cstdint>
#include <functional>

#include "vanillalatch/base/address.h"
#include "vanillalatch/base/outbox.h"
#include "vanillalatch/base/result.h"
#include "vanillalatch/base/time.h"

namespace vanillalatch::standin {

// Owns a bound UDP socket and closes it on destruction.
class Socket {
 public:
  // Binds a socket to `address`; port 0 selects any free port. Error:
  // kInvalidArgument if the address can't be bound.
  static Result<Socket> Bind(SocketAddress address);

  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) = delete;
  ~Socket();

  int fd() const { return fd_; }
  // Sends one datagram. It is dropped if the kernel's send buffer is full.
  void Send(SocketAddress to, ByteSpan bytes) const;
  // Calls `handler` with each datagram in the receive buffer. Does not block.
  void Receive(
      const std::function<void(SocketAddress from, ByteSpan)>& handler) const;

 private:
  explicit Socket(int fd) : fd_(fd) {}

  int fd_;
};

// Returns the monotonic time since the start of the machine.
TimePoint Now();

// Returns the wall-clock time in milliseconds since 1970.
std::int64_t UnixMs();

// Returns the milliseconds from `now` until `at` as a timeout for poll():
// rounded up, from 0 to 1,000.
int PollTimeoutMs(TimePoint now, TimePoint at);

}  // namespace vanillalatch::standin

#endif  // VANILLALATCH_SRC_STANDIN_SOCKET_H_
