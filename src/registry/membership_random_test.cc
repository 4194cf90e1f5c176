// Simulates small groups of VMs under random faults from fixed seeds. Checks
// invariants after every event, and that all VMs have equal members and
// endpoints within kConvergenceTimeout after the last fault.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>
#include <string>

#include "src/registry/testing/membership_world.h"

namespace vanillalatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSeeds = 1000;
constexpr int kFaultsPerRun = 12;
constexpr std::size_t kBackends = 4;
// Time from the last fault until all VMs must agree.
constexpr Duration kConvergenceTimeout = seconds(5);

// Checks that incarnations do not decrease, that an endpoint stays in its
// service, that a replaced endpoint does not return, and that an address has
// one endpoint. Compares the state of each VM with what it had since its start.
class InvariantChecker {
 public:
  // Discards what the VM had before its restart.
  void DiscardState(const std::string& vm) {
    incarnations_.erase(vm);
    removed_.erase(vm);
    shown_.erase(vm);
  }

  void Check(const FakeVm& vm) {
    CheckMembers(vm);
    std::set<EndpointId> shown;
    for (std::uint32_t n = 1; n <= 2; ++n) {
      CheckService(vm, ServiceId{n}, shown);
    }
    // A newer registration of a name or of an address replaces the older.
    for (const EndpointId& it : shown_[vm.name]) {
      if (!shown.contains(it) && replaced_.contains(it)) {
        removed_[vm.name].insert(it);
      }
    }
    shown_[vm.name] = shown;
  }

  // A replaced endpoint may not return on a VM that no longer lists it.
  void RecordReplacement(EndpointId id) { replaced_.insert(id); }
  void RecordRegistration(EndpointId id, ServiceId service) {
    services_.try_emplace(id, service);
  }

 private:
  void CheckMembers(const FakeVm& vm) {
    for (const Member& it : vm.list->members()) {
      std::uint64_t& highest = incarnations_[vm.name][it.id];
      if (it.incarnation < highest) {
        throw scenario::Failure(vm.name + ": incarnation of " + it.name +
                                " decreased");
      }
      highest = it.incarnation;
    }
  }

  void CheckService(const FakeVm& vm, ServiceId service,
                    std::set<EndpointId>& shown) {
    for (const Endpoint& it : vm.registry->EndpointsOf(service)) {
      const auto registered = services_.find(it.id);
      if (it.service != service ||
          (registered != services_.end() && registered->second != service)) {
        throw scenario::Failure(vm.name + ": " + it.name +
                                " is listed under another service");
      }
      if (removed_[vm.name].contains(it.id)) {
        throw scenario::Failure(vm.name + ": " + it.name +
                                " returned after it was replaced");
      }
      if (vm.registry->FindByAddress(it.address) != vm.registry->Find(it.id)) {
        throw scenario::Failure(vm.name + ": two endpoints have the address " +
                                it.address.ToString());
      }
      shown.insert(it.id);
    }
  }

  std::map<std::string, std::map<NodeId, std::uint64_t>> incarnations_;
  std::map<std::string, std::set<EndpointId>> shown_;
  std::map<std::string, std::set<EndpointId>> removed_;
  std::set<EndpointId> replaced_;
  std::map<EndpointId, ServiceId> services_;
};

class RandomRun {
 public:
  explicit RandomRun(std::uint64_t seed) : rng_(seed), world_(seed) {
    world_.SetQuiet();
    world_.SetObserver([this](FakeVm& vm) {
      for (const auto& [name, it] : world_.backends()) {
        if (it.id) {
          checker_.RecordRegistration(*it.id, it.registration.service);
        }
      }
      checker_.Check(vm);
    });
    world_.AddVms(3 + rng_() % 3);
    for (const auto& [name, vm] : world_.vms()) {
      world_.StartVm(name);
    }
    for (std::size_t n = 1; n <= kBackends; ++n) {
      world_.AddEndpoints(1, ServiceId{static_cast<std::uint32_t>(n % 2 + 1)});
    }
  }

  void Run() {
    world_.Run(seconds(1));
    for (int n = 0; n < kFaultsPerRun; ++n) {
      InjectFault();
      world_.Run(milliseconds(50 + rng_() % 600));
    }
    RepairAll();
    if (!world_.RunUntil(kConvergenceTimeout,
                         [this] { return AllVmsConverged(); })) {
      throw scenario::Failure(
          "the VMs did not converge after the faults stopped");
    }
  }

 private:
  std::string RandomVmName() {
    return "vm" + std::to_string(1 + rng_() % world_.vms().size());
  }
  std::string RandomBackendName() {
    return "e" + std::to_string(1 + rng_() % kBackends);
  }

  void InjectFault() {
    const std::string name = RandomVmName();
    FakeVm& vm = world_.Vm(name);
    const bool up = vm.list != nullptr && !vm.frozen;
    switch (rng_() % 10) {
      case 0:
        if (up) {
          world_.KillVm(name);
        }
        break;
      case 1:
        Recover(name);
        break;
      case 2:
        if (up) {
          world_.Freeze(name);
        }
        break;
      case 3:
        world_.network().Disconnect(vm.peer, world_.Vm(RandomVmName()).peer);
        break;
      case 4:
        world_.Split(1 + rng_() % world_.vms().size());
        break;
      case 5:
        world_.network().Heal();
        break;
      case 6:
        world_.network().SetLoss(rng_() % 40);
        world_.network().SetDuplicates(rng_() % 40);
        break;
      case 7:
        world_.network().SetDelay(milliseconds(0), milliseconds(rng_() % 300));
        break;
      case 8:
        Replace(RandomBackendName());
        break;
      default:
        world_.Backend(RandomBackendName()).leaving = true;
        break;
    }
  }

  void Recover(const std::string& name) {
    FakeVm& vm = world_.Vm(name);
    if (vm.frozen) {
      world_.Thaw(name);
    } else if (vm.list == nullptr) {
      checker_.DiscardState(name);
      world_.StartVm(name);
    }
  }

  // Restarts a backend server, sometimes at the address of another one.
  void Replace(const std::string& name) {
    FakeBackend& backend = world_.Backend(name);
    if (backend.id) {
      checker_.RecordReplacement(*backend.id);
    }
    if (rng_() % 3 == 0) {
      FakeBackend& other = world_.Backend(RandomBackendName());
      if (other.id) {
        checker_.RecordReplacement(*other.id);
      }
      other.running = other.registration.name == name;
      backend.registration.address = other.registration.address;
    }
    world_.RestartBackend(name);
  }

  void RepairAll() {
    world_.network().Heal();
    world_.network().SetLoss(0);
    world_.network().SetDuplicates(0);
    world_.network().SetDelay(milliseconds(0), milliseconds(1));
    for (auto& [name, vm] : world_.vms()) {
      Recover(name);
    }
  }

  bool AllVmsConverged() {
    return world_.HasConverged(false) &&
           world_.Running().front()->list->members().size() ==
               world_.vms().size();
  }

  std::mt19937_64 rng_;
  MembershipWorld world_;
  InvariantChecker checker_;
};

TEST_CASE("promises hold under random faults", "[membership][random]") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    CHECK_NOTHROW(RandomRun(seed).Run());
  }
}

}  // namespace
}  // namespace vanillalatch
