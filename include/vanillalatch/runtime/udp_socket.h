// A UDP socket that receives and sends in batches.
//
//   UdpSocket socket = UdpSocket::Bind(address).value();
//   while (socket.Receive(handle)) {}     // until the kernel has no more
//   socket.Queue(to, bytes); socket.Flush();
#ifndef VANILLALATCH_RUNTIME_UDP_SOCKET_H_
#define VANILLALATCH_RUNTIME_UDP_SOCKET_H_

#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>
#include <memory>
#include <vector>

#include "vanillalatch/base/outbox.h"
#include "vanillalatch/base/result.h"

namespace vanillalatch {

class UdpSocket {
 public:
  static constexpr std::size_t kBatch = 64;          // Datagrams a call.
  static constexpr std::size_t kBufferBytes = 2048;  // For one datagram.
  // A handler may write to this many bytes in front of a received datagram.
  static constexpr std::size_t kHeadroomBytes = 8;

  // A non-blocking socket bound to `address`. Error: kInvalidArgument if the
  // address can't be bound.
  static Result<UdpSocket> Bind(SocketAddress address);

  UdpSocket(UdpSocket&& other) noexcept;
  UdpSocket& operator=(UdpSocket&&) = delete;
  ~UdpSocket();

  int fd() const { return fd_; }

  // Receives up to a batch and calls handle(SocketAddress,
  // std::span<std::uint8_t>) for each datagram. Returns how many came.
  template <typename Handler>
  std::size_t Receive(Handler&& handle) {
    const std::size_t n = ReceiveBatch();
    for (std::size_t i = 0; i < n; ++i) {
      handle(
          AddressOf(receive_.names[i]),
          std::span(receive_.bytes.data() + i * kBufferBytes + kHeadroomBytes,
                    receive_.messages[i].msg_len));
    }
    return n;
  }

  // Adds to the batch; `bytes` must stay valid until Flush(). Sends at once
  // when the batch is full.
  void Queue(SocketAddress to, ByteSpan bytes);
  // Sends everything that waits in the outbox, and empties it.
  void SendAll(Outbox& out);
  // Sends what was queued. What the kernel has no room for is dropped, as any
  // network may.
  void Flush();

  std::uint64_t send_drops() const { return send_drops_; }

 private:
  struct Batch {
    std::vector<mmsghdr> messages;
    std::vector<iovec> pieces;
    std::vector<sockaddr_in> names;
    std::vector<std::uint8_t> bytes;
  };

  explicit UdpSocket(int fd);
  std::size_t ReceiveBatch();
  static SocketAddress AddressOf(const sockaddr_in& name);

  int fd_;
  Batch receive_;
  Batch send_;
  std::size_t queued_ = 0;
  std::uint64_t send_drops_ = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_RUNTIME_UDP_SOCKET_H_
