// What callers get when every VM of a fleet starts at the same moment. The
// load: half of what the endpoints can do, with a backlog of callers that
// waited, and routers that spread the packets of a flow over VMs that are just
// coming back.
#include <catch2/catch.hpp>
#include <random>

#include "src/packetflow/flow_world.h"

namespace vanillalatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kVms = 10;
constexpr std::size_t kEndpoints = 14;
// Flows between two questions to a control VM, 0.1 s.
constexpr int kAskedEvery = 50;

class RestartedFleet {
 public:
  // `told`: control VMs have stored all endpoints; else they say what they have
  // heard up to now, as often as they are asked.
  explicit RestartedFleet(std::uint64_t seed, bool told = true)
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
    // The VMs come back within 0.2 s, and learn the endpoints as they do.
    for (std::size_t n = 0; n < kVms; ++n) {
      world_.StartVm(n);
      world_.GiveEndpoints(n, told);
      world_.Run(milliseconds(random_() % 40));
    }
  }

  // Opens flows at an even rate; packets behind the first reach another VM.
  void Load(int flows, Duration gap) {
    for (int n = 0; n < flows; ++n) {
      const int flow = world_.Open("records", random_() % kVms);
      for (std::size_t vm = 0; n % kAskedEvery == 0 && vm < kVms; ++vm) {
        if (!world_.Vm(vm).Ready()) {
          world_.GiveEndpoints(vm, false);
        }
      }
      world_.Run(gap);
      world_.Reroute(flow, random_() % kVms);
    }
  }

  std::uint64_t Silenced() {
    std::uint64_t n = 0;
    for (std::size_t it = 0; it < kVms; ++it) {
      n += world_.Vm(it).dispatcher_counters().silenced;
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
  fleet.Load(60, Duration::zero());
  fleet.Load(400, milliseconds(2));
  fleet.world().Run(seconds(2));
  CHECK(fleet.Silenced() == 0);
  int in_time = 0;
  int refused = 0;
  for (const auto& [id, it] : fleet.world().flows()) {
    in_time += it.answered && *it.answered <= it.opened + milliseconds(100);
    refused += it.reset;
  }
  CAPTURE(seed, in_time, refused);
  CHECK(refused == 0);
  // The whole load fits the slots, so nearly all can be in time.
  CHECK(in_time >= 0.95 * 460);
}

TEST_CASE("without stored endpoints a fleet serves before it knows them all",
          "[packetflow]") {
  const auto seed = GENERATE(range<std::uint64_t>(1, 11));
  RestartedFleet fleet(seed, false);
  fleet.Load(500, milliseconds(2));
  fleet.world().Run(seconds(2));
  int answered = 0;
  int refused = 0;
  for (const auto& [id, it] : fleet.world().flows()) {
    answered += it.answered ? 1 : 0;
    refused += it.reset ? 1 : 0;
  }
  CAPTURE(seed, answered, refused, fleet.Silenced());
  CHECK(refused == 0);
  CHECK(answered >= 0.99 * 500);
}

}  // namespace
}  // namespace vanillalatch
