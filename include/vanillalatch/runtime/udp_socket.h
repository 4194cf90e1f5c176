// A UDP socket that receives and sends in batches.
//
//   UdpSocket socket = UdpSocket::Bind(address).value();
//   while (socket.Receive(handle) > 0) {}  // Until the kernel has no more.
//   socket.Queue(to, bytes);
//   socket.Flush();
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
  static constexpr std::size_t kBatchDatagrams = 64;  // Per system call.
  // Per received datagram, including its headroom. Longer datagrams are
  // truncated.
  static constexpr std::size_t kDatagramBufferBytes = 2048;
  // Space in front of each received datagram that the handler may overwrite.
  static constexpr std::size_t kHeadroomBytes = 8;
  // IPv4 and UDP headers of a datagram.
  static constexpr std::size_t kHeaderBytes = 28;

  // Creates a non-blocking socket bound to `address`. Errors: kInvalidArgument
  // if the address can't be bound, kInternal if no socket can be created.
  static Result<UdpSocket> Bind(SocketAddress address);

  UdpSocket(UdpSocket&& other) noexcept;
  UdpSocket& operator=(UdpSocket&&) = delete;
  ~UdpSocket();

  int fd() const { return fd_; }

  // Receives one batch at most and calls handle(SocketAddress from,
  // std::span<std::uint8_t> bytes) for each datagram. Returns the number of
  // datagrams, 0 if none is waiting.
  template <typename Handler>
  std::size_t Receive(Handler&& handle) {
    const std::size_t n = ReceiveBatch();
    for (std::size_t i = 0; i < n; ++i) {
      handle(ToSocketAddress(receive_.addresses[i]),
             std::span(receive_.bytes.data() + i * kDatagramBufferBytes +
                           kHeadroomBytes,
                       receive_.messages[i].msg_len));
    }
    return n;
  }

  // Adds a datagram to the batch; `bytes` must stay valid until Flush(). If the
  // batch is already full, sends it first.
  void Queue(SocketAddress to, ByteSpan bytes);
  // Sends every datagram in the outbox and empties it.
  void SendAll(Outbox& out);
  // Sends the queued datagrams. A datagram that the kernel refuses, for example
  // because its send buffer is full, is dropped and counted: UDP doesn't
  // guarantee delivery.
  void Flush();

  // Totals in bytes, with the headers of the datagrams.
  std::uint64_t bytes_received() const { return bytes_received_; }
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  // The number of datagrams that the kernel refused to send.
  std::uint64_t send_drops() const { return send_drops_; }

 private:
  struct Batch {
    std::vector<mmsghdr> messages;
    std::vector<iovec> iovecs;
    std::vector<sockaddr_in> addresses;
    std::vector<std::uint8_t> bytes;
  };

  explicit UdpSocket(int fd);
  std::size_t ReceiveBatch();
  static SocketAddress ToSocketAddress(const sockaddr_in& address);

  int fd_;
  Batch receive_;
  Batch send_;
  std::size_t queued_ = 0;
  std::uint64_t bytes_received_ = 0;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t send_drops_ = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_RUNTIME_UDP_SOCKET_H_
