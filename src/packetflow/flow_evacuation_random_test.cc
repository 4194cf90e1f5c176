// Runs small fleets through random evacuation orders, failures of VMs, cuts and
// cold returns, from fixed seeds. The checker judges what arrives at the
// endpoints, summed over all VMs: no new flow at a data centre whose evacuation
// was acknowledged, and no more flows at a cold endpoint than it bears. Left
// out are flows from VMs that receive no message of any other.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "src/packetflow/flow_world.h"

namespace vanillalatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 1000;
constexpr int kSteps = 12;
constexpr std::size_t kVms = 3;
constexpr int kControl = -1;
constexpr Duration kWarmUp = seconds(2);
constexpr double kRate = 8;
// Flows that may arrive at a cold endpoint in any second.
constexpr double kMaxPerSecond = kRate * 1.5 + 5;
// From the acknowledgement of an order until it is in force.
constexpr Duration kOrderBound = seconds(1);

class RandomRun {
 public:
  explicit RandomRun(std::uint64_t seed) : random_(seed), world_(seed) {
    world_.AddVms(kVms);
    for (const char* it : {"a1", "a2"}) {
      world_.AddEndpoint(it, "records", "north");
    }
    for (const char* it : {"b1", "b2"}) {
      world_.AddEndpoint(it, "records", "south");
    }
    world_.SetRoutes(1, {"records"}, 250);
    world_.SetWarmUp("records", kWarmUp, kRate);
    world_.Publish();
    for (const char* it : {"a1", "a2", "b1", "b2"}) {
      cold_.push_back({it, world_.now(), world_.now() + kWarmUp});
    }
    Load(seconds(4));
  }

  void Run() {
    for (int i = 0; i < kSteps; ++i) {
      Step();
      Load(milliseconds(50 + Below(900)));
    }
    Load(seconds(1));
    CheckOrders();
    CheckCold();
  }

 private:
  // An endpoint that is cold, by its own heartbeat or by the stated time.
  struct Cold {
    std::string name;
    TimePoint from;
    TimePoint to;
  };
  // A data centre whose evacuation is acknowledged and not ended.
  struct Order {
    std::string data_center;
    TimePoint from;
    TimePoint to = kNever;
  };

  // Adds a step to the journal, which is printed when a check fails.
  void Note(const std::string& step) {
    journal_ +=
        std::to_string(ToMilliseconds(world_.now().time_since_epoch())) + " " +
        step + "\n";
  }
  std::uint64_t Below(std::uint64_t n) { return random_() % n; }

  void Step() {
    switch (Below(6)) {
      case 0:
      case 1:
        GiveOrder(Below(2) == 0 ? "north" : "south");
        break;
      case 2:
        Kill();
        break;
      case 3:
        Cut();
        break;
      case 4:
        Restart();
        break;
      default:
        Heal();
        break;
    }
  }

  // Starts or ends an evacuation. VMs that the control VM reaches receive the
  // catalog within half of the bound.
  void GiveOrder(const std::string& data_center) {
    const TimePoint now = world_.now();
    Note("order for " + data_center);
    if (evacuated_.erase(data_center) > 0) {
      for (Order& it : orders_) {
        it.to = it.data_center == data_center ? std::min(it.to, now) : it.to;
      }
      if (Below(2) == 0) {  // Its endpoints have become cold meanwhile.
        for (const char* it : {"a1", "a2", "b1", "b2"}) {
          if (world_.At(it).data_center == data_center) {
            MakeCold(it);
          }
        }
        // Their heartbeats say so before the end of the evacuation.
        world_.RegisterEndpoints();
      }
    } else {
      evacuated_.insert(data_center);
      orders_.push_back({data_center, now});
    }
    world_.SetEvacuated({evacuated_.begin(), evacuated_.end()});
    std::vector<std::size_t> vms;
    for (std::size_t n = 0; n < kVms; ++n) {
      vms.insert(
          vms.begin() + static_cast<std::ptrdiff_t>(Below(vms.size() + 1)), n);
    }
    for (const std::size_t it : vms) {
      Load(milliseconds(Below(150)));
      if (world_.IsRunning(it) && !cut_.contains(it)) {
        world_.Publish(it);
        Note("catalog to vm-" + std::to_string(it));
      }
    }
  }

  void MakeCold(const std::string& name) {
    Note(name + " is cold");
    world_.At(name).warm_at = world_.now() + kWarmUp;
    cold_.push_back({name, world_.now(), world_.now() + kWarmUp});
  }

  // Kills a VM, or starts the one that was killed.
  void Kill() {
    for (std::size_t n = 0; n < kVms; ++n) {
      if (!world_.IsRunning(n)) {
        Note("start vm-" + std::to_string(n));
        world_.StartVm(n);
        return;
      }
    }
    if (cut_.empty()) {
      const std::size_t vm = Below(kVms);
      Note("kill vm-" + std::to_string(vm));
      world_.KillVm(vm);
    }
  }

  // Cuts a VM off from the control VM, and in half of the cases from one or all
  // of the other VMs.
  void Cut() {
    if (!cut_.empty()) {
      return;
    }
    const std::size_t vm = Below(kVms);
    cut_.insert(vm);
    world_.Disconnect(kControl, static_cast<int>(vm));
    const std::uint64_t others = Below(4);
    for (std::uint64_t i = 1; i < kVms && others >= 2; ++i) {
      if (i == 1 || others == 3) {
        world_.Disconnect(static_cast<int>(vm),
                          static_cast<int>((vm + i) % kVms));
      }
    }
    Note("cut vm-" + std::to_string(vm) + " " + std::to_string(others));
    const bool third_runs = world_.IsRunning((vm + 2) % kVms);
    if (others == 3 || (others == 2 && !third_runs)) {
      isolated_.push_back({vm, world_.now(), kNever});
    }
  }

  void Heal() {
    Note("heal");
    world_.Heal();
    for (Isolated& it : isolated_) {
      it.to = std::min(it.to, world_.now() + kOrderBound);
    }
    for (const std::size_t it : cut_) {
      if (world_.IsRunning(it)) {
        world_.Publish(it);
      }
    }
    cut_.clear();
  }

  // An endpoint stops, and starts again with a cold cache. Its heartbeat may
  // lack the warm-up time.
  void Restart() {
    const std::string name =
        std::vector<std::string>{"a1", "a2", "b1", "b2"}[Below(4)];
    FlowWorld::FakeEndpoint& endpoint = world_.At(name);
    if (endpoint.silent) {
      return;
    }
    Note(name + " stops");
    endpoint.silent = true;
    Load(milliseconds(1000 + Below(500)));
    endpoint.silent = false;
    ++endpoint.epoch;
    MakeCold(name);
    if (Below(2) == 0) {
      endpoint.warm_at = {};
    }
    world_.RegisterEndpoints();
  }

  // Opens 80 flows per second through random VMs.
  void Load(Duration time) {
    const TimePoint end = world_.now() + time;
    while (world_.now() < end) {
      const std::size_t vm = Below(kVms);
      if (world_.IsRunning(vm)) {
        world_.Open("records", vm);
      }
      world_.Run(
          std::min<Duration>(milliseconds(5 + Below(15)), end - world_.now()));
    }
  }

  void CheckOrders() {
    for (const Order& order : orders_) {
      for (const char* name : {"a1", "a2", "b1", "b2"}) {
        const FlowWorld::FakeEndpoint& endpoint = world_.At(name);
        if (endpoint.data_center != order.data_center) {
          continue;
        }
        for (const auto& [at, vm] : endpoint.arrivals) {
          if (at > order.from + kOrderBound && at < order.to &&
              !IsIsolated(vm, at)) {
            INFO(journal_ << ToMilliseconds(at.time_since_epoch()));
            FAIL("a flow reached " << name << " after its evacuation, from vm-"
                                   << vm);
          }
        }
      }
    }
  }

  bool IsIsolated(std::size_t vm, TimePoint at) const {
    return std::any_of(isolated_.begin(), isolated_.end(),
                       [&](const Isolated& it) {
                         return it.vm == vm && at >= it.from && at < it.to;
                       });
  }

  void CheckCold() {
    for (const Cold& cold : cold_) {
      std::vector<TimePoint> all;
      std::string list;
      for (const auto& [at, vm] : world_.At(cold.name).arrivals) {
        // An isolated VM does not receive that the endpoint is cold.
        if (at >= cold.from && at < cold.to && !IsIsolated(vm, at)) {
          all.push_back(at);
          list += " " + std::to_string(ToMilliseconds(at.time_since_epoch())) +
                  "/" + std::to_string(vm);
        }
      }
      INFO(journal_ << "arrivals (ms/VM):" << list);
      for (auto it = all.begin(); it != all.end(); ++it) {
        const auto end = std::lower_bound(it, all.end(), *it + seconds(1));
        if (static_cast<double>(end - it) > kMaxPerSecond) {
          FAIL((end - it) << " flows reached the cold " << cold.name
                          << " in a second");
        }
      }
    }
  }

  // A VM that receives no messages, and until when it may be out of date.
  struct Isolated {
    std::size_t vm;
    TimePoint from;
    TimePoint to;
  };

  std::string journal_;
  std::mt19937_64 random_;
  FlowWorld world_;
  std::set<std::string> evacuated_;
  std::vector<Order> orders_;
  std::vector<Cold> cold_;
  std::set<std::size_t> cut_;
  std::vector<Isolated> isolated_;
};

void RunSeeds(std::uint64_t first, std::uint64_t last) {
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    INFO("seed " << seed);
    RandomRun run(seed);
    run.Run();
  }
}

// In parts, so that each stays within the time limit of a test.
TEST_CASE("evacuations and cold endpoints: random runs part 1") {
  RunSeeds(1, kSeeds / 4);
}
TEST_CASE("evacuations and cold endpoints: random runs part 2") {
  RunSeeds(kSeeds / 4 + 1, kSeeds / 2);
}
TEST_CASE("evacuations and cold endpoints: random runs part 3") {
  RunSeeds(kSeeds / 2 + 1, kSeeds / 4 * 3);
}
TEST_CASE("evacuations and cold endpoints: random runs part 4") {
  RunSeeds(kSeeds / 4 * 3 + 1, kSeeds);
}

}  // namespace
}  // namespace vanillalatch
