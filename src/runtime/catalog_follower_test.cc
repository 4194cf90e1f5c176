// Tests with stand-ins for control VMs that are reached over gRPC.
#include "src/runtime/catalog_follower.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/fiber/operations.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "control.grpc.pb.h"
#include "vanillalatch/runtime/reactor.h"

namespace vanillalatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The time within which a change has to be in force on every VM.
constexpr Duration kPropagationBound = seconds(3);

std::uint16_t FreePort() {
  using boost::asio::ip::tcp;
  boost::asio::io_context io;
  const tcp::acceptor acceptor(
      io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  return acceptor.local_endpoint().port();
}

// A control VM that answers Sync calls as the test tells it to.
class StandInControl final : public pb::Control::Service {
 public:
  StandInControl(std::uint64_t revision, bool from_quorum)
      : address_{0x7f000001, FreePort()},
        revision_(revision),
        from_quorum_(from_quorum) {
    grpc::ServerBuilder builder;
    builder.AddListeningPort(address_.ToString(),
                             grpc::InsecureServerCredentials());
    builder.RegisterService(this);
    server_ = builder.BuildAndStart();
  }
  ~StandInControl() override { End(); }

  // Ends the process: later connections are refused.
  void End() {
    ended_ = true;
    server_->Shutdown(std::chrono::system_clock::now() + milliseconds(100));
  }
  void SetRevision(std::uint64_t revision) { revision_ = revision; }
  // The control VMs of the group, as this one states them. To be called before
  // the first Sync call.
  void SetGroup(std::vector<std::string> addresses) {
    group_ = std::move(addresses);
  }
  const SocketAddress& address() const { return address_; }
  int calls() const { return calls_; }

  grpc::Status Sync(grpc::ServerContext* context,
                    const pb::SyncRequest* request,
                    pb::SyncReply* reply) override {
    ++calls_;
    const auto deadline = std::chrono::steady_clock::now() + seconds(1);
    while (revision_ <= request->revision() && !ended_ &&
           !context->IsCancelled() &&
           std::chrono::steady_clock::now() < deadline) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    if (revision_ > request->revision()) {
      reply->mutable_catalog()->set_revision(revision_);
    }
    reply->set_committed_revision(revision_);
    reply->set_from_quorum(from_quorum_);
    for (const std::string& it : group_) {
      reply->add_control_addresses(it);
    }
    return grpc::Status::OK;
  }

 private:
  SocketAddress address_;
  std::atomic<std::uint64_t> revision_;
  const bool from_quorum_;
  std::vector<std::string> group_;
  std::atomic<bool> ended_ = false;
  std::atomic<int> calls_ = 0;
  std::unique_ptr<grpc::Server> server_;
};

// Runs a follower that starts with the addresses in `seeds`, and `during`
// beside it with the revision that the follower has in force.
template <typename During>
void Follow(const std::vector<SocketAddress>& seeds, During during) {
  std::thread([&] {
    Reactor::StartOnThisThread();
    CatalogFollower follower("e1", seeds);
    std::uint64_t revision = 0;
    boost::fibers::fiber run([&] {
      follower.Run(
          [&] {
            pb::SyncRequest request;
            request.set_vm("e1");
            request.set_revision(revision);
            return request;
          },
          [&](const CatalogNews& news) {
            revision =
                news.catalog == nullptr ? revision : news.catalog->revision();
          });
    });
    during(revision);
    follower.Stop();
    run.join();
  }).join();
}

// Waits until the revision is in force, for kPropagationBound at most.
bool IsInForceInTime(const std::uint64_t& revision, std::uint64_t expected) {
  const TimePoint limit = Now() + kPropagationBound;
  while (revision < expected && Now() < limit) {
    boost::this_fiber::sleep_for(milliseconds(5));
  }
  return revision >= expected;
}

TEST_CASE("a VM that starts at a control VM without a majority finds the group",
          "[runtime]") {
  StandInControl majority(2, true);
  StandInControl cut_off(1, false);
  cut_off.SetGroup({cut_off.address().ToString(),  //
                    majority.address().ToString()});
  Follow({cut_off.address()}, [&](const std::uint64_t& revision) {
    CHECK(IsInForceInTime(revision, 1));
    cut_off.End();
    CHECK(IsInForceInTime(revision, 2));
  });
}

TEST_CASE("a control VM that lags behind its group keeps no VM behind",
          "[runtime]") {
  StandInControl first(1, true);
  StandInControl second(1, true);
  for (StandInControl* it : {&first, &second}) {
    it->SetGroup({first.address().ToString(), second.address().ToString()});
  }
  Follow({first.address(), second.address()},
         [&](const std::uint64_t& revision) {
           CHECK(IsInForceInTime(revision, 1));
           StandInControl& followed =
               first.calls() > second.calls() ? first : second;
           (&followed == &first ? second : first).SetRevision(2);
           CHECK(IsInForceInTime(revision, 2));
         });
}

}  // namespace
}  // namespace vanillalatch
