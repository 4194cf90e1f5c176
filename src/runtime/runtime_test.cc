#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "src/runtime/control_shell.h"
#include "vanillalatch/rpc/control_client.h"
#include "vanillalatch/runtime/reactor.h"
#include "vanillalatch/runtime/udp_socket.h"
#include "vanillalatch/telemetry/log_rate_limiter.h"

namespace vanillalatch {
namespace {

SocketAddress BoundAddress(const UdpSocket& socket) {
  sockaddr_in name{};
  socklen_t size = sizeof(name);
  getsockname(socket.fd(), reinterpret_cast<sockaddr*>(&name), &size);
  return {ntohl(name.sin_addr.s_addr), ntohs(name.sin_port)};
}

constexpr SocketAddress kAnyLoopbackPort{0x7f000001, 0};

// Runs `body` on a new thread that schedules its fibers over epoll.
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

// gRPC listens on TCP. A free UDP port may be in use there, also by a closed
// connection in TIME_WAIT.
std::uint16_t FreeTcpPort() {
  using boost::asio::ip::tcp;
  boost::asio::io_context io;
  const tcp::acceptor acceptor(
      io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  return acceptor.local_endpoint().port();
}

// Settings of a control VM that is the only one in its group, on a free port.
Settings OneControlVm(const std::string& folder) {
  Settings settings;
  settings.vm = "c1";
  settings.data_center = "north";
  settings.control.emplace();
  const SocketAddress listen{kAnyLoopbackPort.ip, FreeTcpPort()};
  settings.control->listen = listen;
  settings.control->data_folder = folder;
  settings.control->voters = {{"c1", listen, "north"}};
  return settings;
}

// Reads the catalog. Returns "read", or the kind of the error in the reply.
std::string ReadCatalog(ControlShell& shell) {
  std::promise<std::string> answer;
  shell.Get([&](const pb::GetReply& reply) {
    answer.set_value(reply.error_kind().empty() ? "read" : reply.error_kind());
  });
  return answer.get_future().get();
}

TEST_CASE("a control VM goes on when its disk takes writes again",
          "[runtime]") {
  const std::filesystem::path folder = "build/test-data/control-shell";
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder.parent_path());
  // A file where the data folder should be makes every disk operation fail.
  std::ofstream(folder) << "in the way";
  OnReactorThread([&](Reactor&) {
    const auto shell = ControlShell::Create(OneControlVm(folder)).value();
    shell->Start();
    CHECK(ReadCatalog(*shell) == "storage");
    CHECK(shell->Status().role() == kClosedRole);
    std::filesystem::remove(folder);
    std::string kind;
    for (int n = 0; n < 50 && kind != "read"; ++n) {
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
      kind = ReadCatalog(*shell);
    }
    CHECK(kind == "read");
    pb::ApplyRequest request;
    request.mutable_change()->set_change_id("a");
    std::promise<bool> accepted;
    shell->Apply(request, [&](const pb::ApplyReply& reply) {
      accepted.set_value(reply.outcome().accepted());
    });
    CHECK(accepted.get_future().get());
    CHECK(shell->Status().role() == "leader");
    shell->Stop();
  });
}

TEST_CASE("a note that can't be read does not end a control VM", "[runtime]") {
  const std::filesystem::path folder = "build/test-data/control-note";
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder / "note");
  OnReactorThread([&](Reactor&) {
    const auto shell = ControlShell::Create(OneControlVm(folder)).value();
    std::promise<std::string> note;
    shell->SetOnNoteRead([&](const std::string& it) { note.set_value(it); });
    shell->Start();
    CHECK(note.get_future().get().empty());
    CHECK(ReadCatalog(*shell) == "read");
    shell->Stop();
  });
}

// Orders the evacuation of a data centre over gRPC. Returns true if the order
// is acknowledged in time.
bool OrderEvacuation(const SocketAddress& control,
                     std::chrono::milliseconds timeout) {
  const auto stub = pb::Control::NewStub(OpenChannel(control.ToString()));
  grpc::ClientContext context;
  context.set_wait_for_ready(true);
  context.set_deadline(std::chrono::system_clock::now() + timeout);
  pb::ApplyRequest request;
  request.mutable_change()->set_change_id("order");
  request.mutable_change()->mutable_evacuation()->set_data_center("north");
  pb::ApplyReply reply;
  return stub->Apply(&context, request, &reply).ok() &&
         reply.outcome().accepted();
}

int CountEvacuations(ControlShell& shell) {
  std::promise<int> count;
  shell.Get([&](const pb::GetReply& reply) {
    count.set_value(reply.catalog().evacuations_size());
  });
  return count.get_future().get();
}

// Guards against an order that is carried out after its caller has given it up.
TEST_CASE("an order changes nothing once its caller has given up",
          "[runtime]") {
  const std::filesystem::path folder = "build/test-data/control-order";
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  OnReactorThread([&](Reactor&) {
    const Settings settings = OneControlVm(folder);
    const auto shell = ControlShell::Create(settings).value();
    shell->Start();
    REQUIRE(ReadCatalog(*shell) == "read");
    CHECK(!OrderEvacuation(settings.control->listen,
                           std::chrono::milliseconds(125)));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    CHECK(CountEvacuations(*shell) == 0);
    CHECK(OrderEvacuation(settings.control->listen, std::chrono::seconds(5)));
    CHECK(CountEvacuations(*shell) == 1);
    shell->Stop();
  });
}

// Keeps Sync calls open that the control VM holds until it has a newer catalog.
// Each thread starts another call when one ends, whatever its result.
class OpenCallers {
 public:
  explicit OpenCallers(SocketAddress control)
      : stub_(pb::Control::NewStub(OpenChannel(control.ToString()))) {
    for (int n = 0; n < 8; ++n) {
      threads_.emplace_back([this] {
        while (!ended_) {
          grpc::ClientContext context;
          context.set_deadline(std::chrono::system_clock::now() +
                               std::chrono::seconds(1));
          pb::SyncRequest request;
          request.set_revision(100);
          pb::SyncReply reply;
          stub_->Sync(&context, request, &reply);
        }
      });
    }
  }
  ~OpenCallers() {
    ended_ = true;
    for (std::thread& it : threads_) {
      it.join();
    }
  }

 private:
  std::unique_ptr<pb::Control::Stub> stub_;
  std::atomic<bool> ended_ = false;
  std::vector<std::thread> threads_;
};

TEST_CASE("a control VM stops while calls keep coming", "[runtime]") {
  const std::filesystem::path folder = "build/test-data/control-stop";
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  std::promise<void> stopped;
  std::future<void> end = stopped.get_future();
  std::thread control([&] {
    Reactor::StartOnThisThread();
    for (int n = 0; n < 5; ++n) {
      const Settings settings = OneControlVm(folder);
      const auto shell = ControlShell::Create(settings).value();
      shell->Start();
      CHECK(ReadCatalog(*shell) == "read");
      const OpenCallers callers(settings.control->listen);
      boost::this_fiber::sleep_for(std::chrono::milliseconds(100));
      shell->Stop();
    }
    stopped.set_value();
  });
  // Five stops without another voter to take the leadership; the limit of each
  // is 3 s.
  REQUIRE(end.wait_for(std::chrono::seconds(20)) == std::future_status::ready);
  control.join();
}

TEST_CASE("a rate limiter bounds how often an event is logged", "[runtime]") {
  LogRateLimiter limiter(10);
  TimePoint now(std::chrono::seconds(1));
  int lines = 0;
  for (int n = 0; n < 2000; ++n) {
    now += std::chrono::milliseconds(1);
    lines += limiter.TryAcquire(now) ? 1 : 0;
  }
  CHECK(lines >= 28);  // Ten immediately, then ten per second for two seconds.
  CHECK(lines <= 31);
  CHECK(limiter.TakeLeftOutCount() == static_cast<std::uint64_t>(2000 - lines));
  CHECK(limiter.TakeLeftOutCount() == 0);
}

}  // namespace
}  // namespace vanillalatch
