#include "vanillalatch/runtime/udp_socket.h"

#include <unistd.h>

#include <cerrno>
#include <utility>

namespace vanillalatch {
namespace {

constexpr int kKernelBufferBytes = 4 << 20;

sockaddr_in ToKernel(SocketAddress address) {
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_addr.s_addr = htonl(address.ip);
  name.sin_port = htons(address.port);
  return name;
}

}  // namespace

Result<UdpSocket> UdpSocket::Bind(SocketAddress address) {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return Error(ErrorKind::kInternal, "the kernel refuses a socket");
  }
  UdpSocket result(fd);
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kKernelBufferBytes,
             sizeof(kKernelBufferBytes));
  setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &kKernelBufferBytes,
             sizeof(kKernelBufferBytes));
  const sockaddr_in name = ToKernel(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) != 0) {
    return Error(ErrorKind::kInvalidArgument,
                 "can't listen on " + address.ToString());
  }
  return result;
}

UdpSocket::UdpSocket(int fd) : fd_(fd) {
  for (Batch* it : {&receive_, &send_}) {
    it->messages.resize(kBatch);
    it->pieces.resize(kBatch);
    it->names.resize(kBatch);
  }
  receive_.bytes.resize(kBatch * kBufferBytes);
}

UdpSocket::UdpSocket(UdpSocket&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)),
      receive_(std::move(other.receive_)),
      send_(std::move(other.send_)),
      queued_(std::exchange(other.queued_, 0)),
      send_drops_(other.send_drops_) {}

UdpSocket::~UdpSocket() {
  if (fd_ >= 0) {
    close(fd_);
  }
}

std::size_t UdpSocket::ReceiveBatch() {
  for (std::size_t i = 0; i < kBatch; ++i) {
    receive_.pieces[i] = {
        receive_.bytes.data() + i * kBufferBytes + kHeadroomBytes,
        kBufferBytes - kHeadroomBytes};
    msghdr& header = receive_.messages[i].msg_hdr;
    header = {};
    header.msg_iov = &receive_.pieces[i];
    header.msg_iovlen = 1;
    header.msg_name = &receive_.names[i];
    header.msg_namelen = sizeof(sockaddr_in);
  }
  const int n =
      recvmmsg(fd_, receive_.messages.data(), kBatch, MSG_DONTWAIT, nullptr);
  return n > 0 ? static_cast<std::size_t>(n) : 0;
}

SocketAddress UdpSocket::AddressOf(const sockaddr_in& name) {
  return {ntohl(name.sin_addr.s_addr), ntohs(name.sin_port)};
}

void UdpSocket::Queue(SocketAddress to, ByteSpan bytes) {
  if (queued_ == kBatch) {
    Flush();
  }
  send_.names[queued_] = ToKernel(to);
  send_.pieces[queued_] = {const_cast<std::uint8_t*>(bytes.data()),
                           bytes.size()};
  msghdr& header = send_.messages[queued_].msg_hdr;
  header = {};
  header.msg_iov = &send_.pieces[queued_];
  header.msg_iovlen = 1;
  header.msg_name = &send_.names[queued_];
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
      sent += static_cast<std::size_t>(n);
      continue;
    }
    if (errno != EINTR) {
      // The first datagram of the rest was refused; the others may still go.
      ++sent;
      ++send_drops_;
    }
  }
  queued_ = 0;
}

}  // namespace vanillalatch
