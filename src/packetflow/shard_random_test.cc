// Random runs of a sharded service: random load, and one random fault.
#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "src/packetflow/flow_world.h"

namespace vanillalatch {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

const std::vector<std::string> kDataCenters = {"a", "b", "c"};
constexpr std::size_t kVms = 6;
constexpr std::size_t kEndpoints = 6;  // Two in each data centre.
constexpr std::size_t kSlots = 11;  // Four endpoints exceed a link of 2 Mbit/s.
constexpr std::size_t kMaxFlows = 17;  // Of an endpoint, by overlap.

enum class Fault : std::uint8_t {
  kNone,
  kLeaving,      // Endpoints leave.
  kReportsLost,  // Reports of load are lost.
  kVmLost,       // A VM fails and starts again.
  kCutOff        // A data centre is cut off for a while.
};

class RandomRun {
 public:
  RandomRun(Fault fault, std::uint64_t seed)
      : fault_(fault), world_(seed), random_(seed) {
    world_.SetDataCenters(kDataCenters, microseconds(Random(0, 10'000)), 2);
    world_.AddVms(kVms);
    for (std::size_t n = 0; n < kEndpoints; ++n) {
      auto& endpoint =
          world_.AddEndpoint(NameOf(n), "records", kDataCenters[n % 3]);
      endpoint.slots = kSlots;
      endpoint.work = milliseconds(Random(10, 60));
    }
    world_.SetRoutes(1, {"records", "urgent"}, 250);
    world_.Publish();
    world_.Run(milliseconds(1300));
    for (std::size_t n = 0; n < kVms; ++n) {
      world_.SendEndpoints(n);
    }
    world_.Run(milliseconds(300));
  }

  void Run() {
    const int ms = 1000;
    const int fault_at = Random(100, 400);
    const int end_at = fault_at + Random(50, 500);
    const std::size_t target = random_() % 3;
    double rates[3];
    for (double& it : rates) {
      it = 0.05 * Random(0, 24);  // Flows per millisecond.
    }
    for (int at = 0; at < ms; ++at) {
      if (at == fault_at) {
        Begin(target);
      }
      if (at == end_at) {
        End(target);
      }
      for (std::size_t dc = 0; dc < 3; ++dc) {
        std::poisson_distribution<int> arrivals(rates[dc]);
        for (int n = arrivals(random_); n > 0; --n) {
          const std::size_t vm = dc + 3 * (random_() % 2);
          if (world_.IsRunning(vm) && world_.Vm(vm).Ready()) {
            flows_.push_back(
                world_.Open(random_() % 4 == 0 ? "urgent" : "records", vm));
          }
        }
      }
      world_.Run(milliseconds(1));
    }
    world_.Run(milliseconds(1600));
  }

  std::size_t flows() const { return flows_.size(); }
  // Flows that were neither accepted nor refused, except those whose VM failed.
  std::size_t Lost() {
    return static_cast<std::size_t>(
        std::count_if(flows_.begin(), flows_.end(), [&](int it) {
          return world_.FlowOf(it).failed &&
                 !(fault_ == Fault::kVmLost && world_.FlowOf(it).vm == lost_);
        }));
  }
  std::size_t MostFlowsOfAnEndpoint() {
    std::size_t most = 0;
    for (std::size_t n = 0; n < kEndpoints; ++n) {
      most = std::max(most, world_.At(NameOf(n)).peak);
    }
    return most;
  }

 private:
  static std::string NameOf(std::size_t n) { return "e" + std::to_string(n); }
  int Random(int min, int max) {
    return std::uniform_int_distribution<int>(min, max)(random_);
  }
  void Begin(std::size_t target) {
    switch (fault_) {
      case Fault::kLeaving:
        world_.Leave(NameOf(target));
        world_.Leave(NameOf(target + 3));
        break;
      case Fault::kReportsLost:
        world_.set_drop_loads(true);
        break;
      case Fault::kVmLost:
        lost_ = target;
        world_.KillVm(target);
        break;
      case Fault::kCutOff:
        world_.CutOff(kDataCenters[target]);
        break;
      default:
        break;
    }
  }
  void End(std::size_t target) {
    world_.set_drop_loads(false);
    world_.Heal();
    if (fault_ == Fault::kVmLost) {
      world_.StartVm(target);
    }
  }

  Fault fault_;
  FlowWorld world_;
  std::mt19937_64 random_;
  std::vector<int> flows_;
  std::size_t lost_ = 0;  // The VM that failed.
};

// No fault may make two shards use the same slot, or lose an opening. Flows
// that were on their way to or from a data centre that is cut off may be lost:
// at most those of the time until membership has noticed.
void RunSeeds(Fault fault) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    RandomRun run(fault, seed);
    run.Run();
    CAPTURE(seed, run.flows());
    // While VMs disagree about the members, two of them may dispatch a shard.
    if (fault != Fault::kVmLost && fault != Fault::kCutOff) {
      CHECK(run.MostFlowsOfAnEndpoint() <= kMaxFlows);
    }
    if (fault == Fault::kCutOff) {
      CHECK(static_cast<double>(run.Lost()) <=
            0.1 * static_cast<double>(run.flows()));
    } else {
      CHECK(run.Lost() == 0);
    }
  }
}

// One test case for each fault, so that none takes long.
TEST_CASE("random runs of a sharded service", "[shards]") {
  RunSeeds(Fault::kNone);
}
TEST_CASE("random runs while endpoints leave", "[shards]") {
  RunSeeds(Fault::kLeaving);
}
TEST_CASE("random runs while reports of load are lost", "[shards]") {
  RunSeeds(Fault::kReportsLost);
}
TEST_CASE("random runs while a VM fails and returns", "[shards]") {
  RunSeeds(Fault::kVmLost);
}
TEST_CASE("random runs while a data centre is cut off", "[shards]") {
  RunSeeds(Fault::kCutOff);
}

}  // namespace
}  // namespace vanillalatch
