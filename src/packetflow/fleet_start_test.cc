// Tests that callers are served while every VM of a fleet restarts at the same
// time. The endpoints are loaded to half of their capacity, plus a backlog of
// callers that waited during the restart. The packets of a flow reach different
// VMs, since routers change their paths while VMs start.
#include <catch2/catch.hpp>
#include <random>

#include "src/packetflow/flow_world.h"

namespace vanillalatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kVms = 10;
constexpr std::size_t kEndpoints = 14;
// Flows opened between two queries to the control VM; with 2 ms per flow, VMs
// query it every 0.1 s.
constexpr int kFlowsPerQuery = 50;

class RestartedFleet {
 public:
  // `complete`: the control VM has stored all endpoints. Otherwise it reports
  // those that have registered so far whenever it is queried.
  explicit RestartedFleet(std::uint64_t seed, bool complete = true)
      : world_(seed), random_(seed) {
    world_.AddVms(kVms);
    for (std::size_t n = 0; n < kEndpoints; ++n) {
      world_
          .AddEndpoint("a" + std::to_string(n), "records",
                       n % 2 == 0 ? "north" : "south")
          .slots = 2;
    }
    world_.SetRoutes(1, {"records"}, 100);
    world_.Publish();
    world_.Run(seconds(6));
    for (std::size_t n = 0; n < kVms; ++n) {
      world_.KillVm(n);
    }
    world_.Run(seconds(1));
    // The VMs start within 0.2 s on average and receive the endpoints then.
    for (std::size_t n = 0; n < kVms; ++n) {
      world_.StartVm(n);
      world_.SendEndpoints(n, complete);
      world_.Run(milliseconds(random_() % 40));
    }
  }

  // Opens flows at a constant rate. Packets after the opening packet reach
  // another VM, selected at random.
  void OpenFlows(int flows, Duration gap) {
    for (int n = 0; n < flows; ++n) {
      const int flow = world_.Open("records", random_() % kVms);
      for (std::size_t vm = 0; n % kFlowsPerQuery == 0 && vm < kVms; ++vm) {
        if (!world_.Vm(vm).Ready()) {
          world_.SendEndpoints(vm, false);
        }
      }
      world_.Run(gap);
      world_.Reroute(flow, random_() % kVms);
    }
  }

  std::uint64_t EndpointsFoundSilent() {
    std::uint64_t n = 0;
    for (std::size_t it = 0; it < kVms; ++it) {
      n += world_.Vm(it).dispatcher_counters().endpoints_found_silent;
    }
    return n;
  }

  FlowWorld& world() { return world_; }

 private:
  FlowWorld world_;
  std::mt19937_64 random_;
};

TEST_CASE("endpoints that answer are not taken for silent after a start",
          "[packetflow]") {
  const auto seed = GENERATE(range<std::uint64_t>(1, 41));
  RestartedFleet fleet(seed);
  fleet.OpenFlows(60, Duration::zero());
  fleet.OpenFlows(400, milliseconds(2));
  fleet.world().Run(seconds(2));
  CHECK(fleet.EndpointsFoundSilent() == 0);
  int in_time = 0;
  int refused = 0;
  for (const auto& [id, it] : fleet.world().flows()) {
    in_time += it.answered && *it.answered <= it.opened + milliseconds(100);
    refused += it.reset;
  }
  CAPTURE(seed, in_time, refused);
  CHECK(refused == 0);
  // The slots suffice for the load, so that nearly all flows can be answered
  // within the target of 100 ms.
  CHECK(in_time >= 0.95 * 460);
}

TEST_CASE("without stored endpoints a fleet serves before it knows them all",
          "[packetflow]") {
  const auto seed = GENERATE(range<std::uint64_t>(1, 11));
  RestartedFleet fleet(seed, false);
  fleet.OpenFlows(500, milliseconds(2));
  fleet.world().Run(seconds(2));
  int answered = 0;
  int refused = 0;
  for (const auto& [id, it] : fleet.world().flows()) {
    answered += it.answered ? 1 : 0;
    refused += it.reset ? 1 : 0;
  }
  CAPTURE(seed, answered, refused, fleet.EndpointsFoundSilent());
  CHECK(refused == 0);
  CHECK(answered >= 0.99 * 500);
}

}  // namespace
}  // namespace vanillalatch
