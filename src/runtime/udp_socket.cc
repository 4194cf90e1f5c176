#include "vanillalatch/runtime/udp_socket.h"

#include <unistd.h>

#include <cerrno>
#include <utility>

namespace vanillalatch {
namespace {

// The requested size of the kernel's receive and send buffers.
constexpr int kSocketBufferBytes = 4 << 20;

sockaddr_in ToSockaddr(SocketAddress address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_addr.s_addr = htonl(address.ip);
  result.sin_port = htons(address.port);
  return result;
}

}  // namespace

Result<UdpSocket> UdpSocket::Bind(SocketAddress address) {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return Error(ErrorKind::kInternal, "can't create a UDP socket");
  }
  UdpSocket result(fd);
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kSocketBufferBytes,
             sizeof(kSocketBufferBytes));
  setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &kSocketBufferBytes,
             sizeof(kSocketBufferBytes));
  const sockaddr_in bound = ToSockaddr(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) != 0) {
    return Error(ErrorKind::kInvalidArgument,
                 "can't listen on " + address.ToString());
  }
  return result;
}

UdpSocket::UdpSocket(int fd) : fd_(fd) {
  for (Batch* it : {&receive_, &send_}) {
    it->messages.resize(kBatchDatagrams);
    it->iovecs.resize(kBatchDatagrams);
    it->addresses.resize(kBatchDatagrams);
  }
  receive_.bytes.resize(kBatchDatagrams * kDatagramBufferBytes);
}

UdpSocket::UdpSocket(UdpSocket&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)),
      receive_(std::move(other.receive_)),
      send_(std::move(other.send_)),
      queued_(std::exchange(other.queued_, 0)),
      bytes_received_(other.bytes_received_),
      bytes_sent_(other.bytes_sent_),
      send_drops_(other.send_drops_) {}

UdpSocket::~UdpSocket() {
  if (fd_ >= 0) {
    close(fd_);
  }
}

std::size_t UdpSocket::ReceiveBatch() {
  for (std::size_t i = 0; i < kBatchDatagrams; ++i) {
    receive_.iovecs[i] = {
        receive_.bytes.data() + i * kDatagramBufferBytes + kHeadroomBytes,
        kDatagramBufferBytes - kHeadroomBytes};
    msghdr& header = receive_.messages[i].msg_hdr;
    header = {};
    header.msg_iov = &receive_.iovecs[i];
    header.msg_iovlen = 1;
    header.msg_name = &receive_.addresses[i];
    header.msg_namelen = sizeof(sockaddr_in);
  }
  const int n = recvmmsg(fd_, receive_.messages.data(), kBatchDatagrams,
                         MSG_DONTWAIT, nullptr);
  for (int i = 0; i < n; ++i) {
    bytes_received_ +=
        receive_.messages[static_cast<std::size_t>(i)].msg_len + kHeaderBytes;
  }
  return n > 0 ? static_cast<std::size_t>(n) : 0;
}

SocketAddress UdpSocket::ToSocketAddress(const sockaddr_in& address) {
  return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

void UdpSocket::Queue(SocketAddress to, ByteSpan bytes) {
  if (queued_ == kBatchDatagrams) {
    Flush();
  }
  send_.addresses[queued_] = ToSockaddr(to);
  send_.iovecs[queued_] = {const_cast<std::uint8_t*>(bytes.data()),
                           bytes.size()};
  msghdr& header = send_.messages[queued_].msg_hdr;
  header = {};
  header.msg_iov = &send_.iovecs[queued_];
  header.msg_iovlen = 1;
  header.msg_name = &send_.addresses[queued_];
  header.msg_namelen = sizeof(sockaddr_in);
  ++queued_;
}

void UdpSocket::SendAll(Outbox& out) {
  for (const Outbox::Item& it : out.items()) {
    Queue(it.to, out.Bytes(it));
  }
  Flush();
  out.Clear();
}

void UdpSocket::Flush() {
  std::size_t sent = 0;
  while (sent < queued_) {
    const int n = sendmmsg(fd_, send_.messages.data() + sent,
                           static_cast<unsigned>(queued_ - sent), 0);
    if (n > 0) {
      for (const std::size_t end = sent + static_cast<std::size_t>(n);
           sent < end; ++sent) {
        bytes_sent_ += send_.iovecs[sent].iov_len + kHeaderBytes;
      }
      continue;
    }
    if (errno != EINTR) {
      // The kernel refused the first of the remaining datagrams. It is dropped;
      // the others may still be sent.
      ++sent;
      ++send_drops_;
    }
  }
  queued_ = 0;
}

}  // namespace vanillalatch
