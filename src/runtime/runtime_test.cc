#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "vanillalatch/runtime/reactor.h"
#include "vanillalatch/runtime/udp_socket.h"

namespace vanillalatch {
namespace {

SocketAddress BoundAddress(const UdpSocket& socket) {
  sockaddr_in name{};
  socklen_t size = sizeof(name);
  getsockname(socket.fd(), reinterpret_cast<sockaddr*>(&name), &size);
  return {ntohl(name.sin_addr.s_addr), ntohs(name.sin_port)};
}

constexpr SocketAddress kAnyLoopbackPort{0x7f000001, 0};

// Runs `body` on a thread of its own, whose fibers run over epoll.
template <typename Body>
void OnReactorThread(Body body) {
  std::thread([&] { body(Reactor::StartOnThisThread()); }).join();
}

TEST_CASE("a fiber that waits for a socket lets others send to it",
          "[runtime]") {
  OnReactorThread([](Reactor& reactor) {
    UdpSocket a = UdpSocket::Bind(kAnyLoopbackPort).value();
    UdpSocket b = UdpSocket::Bind(kAnyLoopbackPort).value();
    FdWaiter& waiter = reactor.Watch(b.fd());
    std::vector<std::string> got;
    boost::fibers::fiber receiver([&] {
      while (got.size() < 200) {
        waiter.WaitReadable();
        while (b.Receive([&](SocketAddress, ByteSpan bytes) {
          got.emplace_back(bytes.begin(), bytes.end());
        }) > 0) {
        }
      }
    });
    const std::string text = "datagram";
    for (int n = 0; n < 200; ++n) {
      a.Queue(BoundAddress(b),
              ByteSpan(reinterpret_cast<const std::uint8_t*>(text.data()),
                       text.size()));
    }
    a.Flush();
    receiver.join();
    CHECK(got.size() == 200);
    CHECK(got.front() == text);
    CHECK(a.send_drops() == 0);
  });
}

TEST_CASE("a value set by another thread wakes a waiting fiber", "[runtime]") {
  OnReactorThread([](Reactor&) {
    boost::fibers::promise<int> promise;
    boost::fibers::future<int> future = promise.get_future();
    std::thread other([&] { promise.set_value(7); });
    CHECK(future.get() == 7);
    other.join();
  });
}

TEST_CASE("an address in use is refused", "[runtime]") {
  UdpSocket a = UdpSocket::Bind(kAnyLoopbackPort).value();
  CHECK(UdpSocket::Bind(BoundAddress(a)).error().kind() ==
        ErrorKind::kInvalidArgument);
}

}  // namespace
}  // namespace vanillalatch
