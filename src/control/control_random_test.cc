// Injects random faults with many fixed seeds. ControlWorld checks its
// invariants after every event. At the end of each run all faults are removed
// and no accepted change may be missing.
#include <algorithm>
#include <catch2/catch.hpp>

#include "src/control/control_world.h"

namespace vanillalatch {
namespace {

constexpr int kSteps = 40;
constexpr Duration kRecoveryLimit = std::chrono::seconds(10);

enum class Group : std::uint8_t {
  kListed,              // The settings list all control VMs.
  kFleet,               // Membership is open.
  kFleetWithFullDisks,  // One disk at a time may be full.
};

class RandomRun {
 public:
  // With `with_orders`, operators also order evacuations. The VMs start with
  // builds of `first_level` and get other ones meanwhile if it is not the
  // current level.
  explicit RandomRun(std::uint64_t seed, bool with_orders = false,
                     FeatureLevel first_level = kCurrentLevel,
                     Group group = Group::kListed)
      : world_(seed),
        random_(world_.network().random()),
        with_orders_(with_orders),
        first_level_(first_level),
        with_full_disks_(group == Group::kFleetWithFullDisks) {
    if (group == Group::kFleet) {
      world_.AddFleet(3 + seed % 3, 8);
    } else if (with_full_disks_) {
      world_.AddFleet(3 + seed % 3, 1 + seed % 16);
    } else {
      world_.AddControls(seed % 5 == 0 ? 5 : 3, 8, first_level);
    }
    names_ = world_.ControlNames();
    world_.AddEntry("e1", names_);
    world_.AddEntry("e2", {names_.rbegin(), names_.rend()});
    world_.RunUntil(std::chrono::seconds(3),
                    [&] { return !world_.Leader().empty(); });
  }

  void Execute() {
    for (int n = 0; n < kSteps; ++n) {
      TakeRandomStep();
      world_.Run(std::chrono::milliseconds(random_() % 400));
    }
    RecoverAndCheck();
  }

  const ControlWorld& world() const { return world_; }

 private:
  const std::string& RandomControl() {
    return names_[random_() % names_.size()];
  }

  void TakeRandomStep() {
    if (first_level_ != kCurrentLevel && random_() % 4 == 0) {
      return ReplaceBuild(RandomControl());
    }
    if (with_orders_ && random_() % 2 == 0) {
      return GiveOrder();
    }
    if (with_full_disks_ && random_() % 3 == 0) {
      return FillOneDisk();
    }
    switch (random_() % 14) {
      case 0:
        return CrashOrStart(RandomControl());
      case 1:
        return FreezeOrThaw(RandomControl());
      case 2:
        return world_.Isolate(RandomControl());
      case 3:
        return world_.network().Disconnect(RandomControl(), RandomControl());
      case 4:
        return world_.network().Heal();
      case 5:
        return world_.network().SetFaults(
            random_() % 20, random_() % 20,
            std::chrono::milliseconds(random_() % 60));
      case 6:
        return CrashAtSync(world_.Control(RandomControl()));
      case 7:
        return LoseDisk(RandomControl());
      case 8:
        return world_.Get(RandomControl());
      case 9:
        return ResendRandomChange();
      case 10:
        return world_.Control(RandomControl()).disk.FailNextSync();
      default:
        return RaceChanges();
    }
  }

  // Leaves at most one disk full.
  void FillOneDisk() {
    for (const std::string& it : names_) {
      world_.EmptyDisk(it);
    }
    if (random_() % 3 != 0) {
      world_.FillDisk(RandomControl(), random_() % 400);
    }
  }

  void CrashOrStart(const std::string& name) {
    if (!world_.Control(name).node) {
      world_.Start(name);
    } else if (random_() % 3 == 0) {
      world_.Kill(name);
    } else {
      world_.Crash(name, random_() % 2 == 0);
    }
  }

  void CrashAtSync(ControlVm& vm) {
    vm.is_killed_at_sync = random_() % 2 == 0;
    vm.disk.CrashAtSync(1 + random_() % 4, random_() % 2 == 0
                                               ? FakeDisk::CrashTiming::kBefore
                                               : FakeDisk::CrashTiming::kAfter);
  }

  void FreezeOrThaw(const std::string& name) {
    if (world_.Control(name).frozen) {
      world_.Thaw(name, random_() % 2 == 0);
    } else {
      world_.Freeze(name);
    }
  }

  // Loses a disk only if every VM is a voter with its current identity: the
  // group does not tolerate a second lost disk before that.
  void LoseDisk(const std::string& name) {
    if (world_.IsRepaired()) {
      world_.LoseDisk(name);
      world_.Start(name);
    }
  }

  // Replaces a build by the current one. Goes back to the first one only if
  // that reads what a fleet of the current level writes.
  void ReplaceBuild(const std::string& name) {
    const bool may_go_back = first_level_ >= OldestReaderOf(kCurrentLevel);
    const bool goes_back = may_go_back && random_() % 4 == 0;
    world_.ReplaceBuild(name, goes_back ? first_level_ : kCurrentLevel);
  }

  // Gives a new order, or an earlier one again with its change id.
  void GiveOrder() {
    const bool again = !world_.orders().empty() && random_() % 4 == 0;
    const std::size_t n =
        again ? random_() % world_.orders().size() : world_.orders().size();
    pb::EvacuationOrder order;
    if (again) {
      order = world_.orders()[n].order;
    } else {
      order.set_data_center("d" + std::to_string(random_() % 2));
      order.set_end(random_() % 2 == 0);
    }
    world_.Order("operator-" + std::to_string(random_() % 2),
                 "order-" + std::to_string(n), order.data_center(), order.end(),
                 RandomControl(), std::chrono::seconds(4));
  }

  void RaceChanges() {
    const std::string leader = world_.Leader();
    // The answer to an accepted change may have been lost with the disk.
    const std::uint64_t base =
        with_full_disks_ && !leader.empty()
            ? world_.Control(leader).node->Status().revision()
            : world_.accepted_revision();
    const auto racers = 1 + random_() % 2;
    for (std::uint64_t n = 0; n < racers; ++n) {
      const std::string id = "change-" + std::to_string(++changes_);
      world_.Apply("operator-" + std::to_string(n), id, base, id,
                   RandomControl(), std::chrono::seconds(4));
    }
  }

  void ResendRandomChange() {
    if (changes_ > 0) {
      SendAgain("change-" + std::to_string(1 + random_() % changes_));
    }
  }

  void SendAgain(const std::string& id) {
    const OperatorCall& call = world_.Call(id);
    world_.Apply(call.operator_name, id, call.change.base_revision(), id,
                 RandomControl(), kRecoveryLimit);
  }

  // Removes all faults, restarts all VMs and sends every change again. Each
  // must get its final answer.
  void RecoverAndCheck() {
    world_.network().Heal();
    world_.network().SetFaults(0, 0, std::chrono::milliseconds(1));
    for (const std::string& it : names_) {
      world_.Control(it).disk.CancelCrash();
      world_.Control(it).disk.CancelSyncFailure();
      world_.EmptyDisk(it);
      if (world_.Control(it).level != kCurrentLevel) {
        world_.ReplaceBuild(it, kCurrentLevel);
      }
      if (!world_.Control(it).node) {
        world_.Start(it);
      }
      if (world_.Control(it).frozen) {
        world_.Thaw(it, false);
      }
    }
    for (std::uint64_t n = 1; n <= changes_; ++n) {
      SendAgain("change-" + std::to_string(n));
    }
    // Orders that are still held have no effect after this time.
    world_.Run(with_orders_ ? std::chrono::seconds(7)
                            : std::chrono::seconds(0));
    const bool answered = world_.RunUntil(kRecoveryLimit, [&] {
      return AllAnswered() &&
             world_.IsInForceEverywhere(world_.accepted_revision());
    });
    if (!answered) {
      throw scenario::Failure("not settled in time");
    }
    if (!world_.RunUntil(kRecoveryLimit, [&] {
          return world_.FleetLevel() == kCurrentLevel;
        })) {
      throw scenario::Failure("the level of the fleet was not raised");
    }
    if (with_orders_) {
      CheckFinalEvacuations();
    }
  }

  // A read that takes place after all orders; the world compares its answer
  // with the orders. An order without faults is acknowledged then.
  void CheckFinalEvacuations() {
    for (const bool end : {false, true}) {
      const std::string id = end ? "last-end" : "last-start";
      world_.Get(world_.Leader());
      const bool read = world_.RunUntil(std::chrono::seconds(1), [&] {
        return world_.last_get() && world_.last_get()->error_kind().empty();
      });
      if (!read) {
        throw scenario::Failure("no read in time");
      }
      world_.Order("operator-0", id, "d0", end, world_.Leader(),
                   std::chrono::seconds(1));
      if (!world_.RunUntil(std::chrono::seconds(1), [&] {
            return world_.orders().back().acknowledged;
          })) {
        throw scenario::Failure(id + " is not acknowledged within 1 s");
      }
    }
  }

  bool AllAnswered() {
    for (std::uint64_t n = 1; n <= changes_; ++n) {
      const auto& reply = world_.Call("change-" + std::to_string(n)).reply;
      if (!reply || (!reply->outcome().accepted() &&
                     reply->outcome().error_kind() != "conflict")) {
        return false;
      }
    }
    return true;
  }

  ControlWorld world_;
  std::mt19937_64& random_;
  const bool with_orders_;
  const FeatureLevel first_level_;
  const bool with_full_disks_;
  std::vector<std::string> names_;
  std::uint64_t changes_ = 0;
};

// Plays 1,000 seeds and returns the number of accepted changes.
std::uint64_t PlaySeeds(Group group) {
  std::uint64_t accepted = 0;
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    RandomRun run(seed, false, kCurrentLevel, group);
    INFO("seed " << seed);
    try {
      run.Execute();
    } catch (const std::exception& e) {
      FAIL(e.what() << "\n" << run.world().Journal());
    }
    accepted += run.world().accepted_revision();
  }
  return accepted;
}

TEST_CASE("random faults never lose or revert an accepted change",
          "[control][random]") {
  const Group group = GENERATE(Group::kListed, Group::kFleet);
  CAPTURE(static_cast<int>(group));
  CHECK(PlaySeeds(group) > 1000);
}

TEST_CASE("random faults and full disks leave a fleet that accepts changes",
          "[control][random][disk]") {
  CHECK(PlaySeeds(Group::kFleetWithFullDisks) > 1000);
}

// Guards against an acknowledged evacuation order that is lost, or reverted by
// an earlier order that a frozen or partitioned control VM still held.
TEST_CASE("random faults never lose or revert an acknowledged evacuation",
          "[control][random]") {
  constexpr std::uint64_t kSeeds = 1000;
  std::uint64_t acknowledged = 0;
  std::uint64_t orders = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RandomRun run(seed, true);
    INFO("seed " << seed);
    try {
      run.Execute();
    } catch (const std::exception& e) {
      FAIL(e.what() << "\n" << run.world().Journal());
    }
    for (const ObservedOrder& it : run.world().orders()) {
      ++orders;
      acknowledged += it.acknowledged ? 1 : 0;
    }
  }
  WARN(acknowledged << " of " << orders << " orders acknowledged");
  CHECK(acknowledged > 5 * kSeeds);
}

// Guards against replicas of two builds that apply the same log differently,
// against an order that is lost or reverted by the replacement of builds, and
// against a level of the fleet that never rises.
TEST_CASE("builds of two levels side by side never lose an order",
          "[control][random][levels]") {
  constexpr std::uint64_t kSeeds = 1000;
  const FeatureLevel first_level =
      GENERATE(FeatureLevel{2}, FeatureLevel{3}, FeatureLevel{4});
  std::uint64_t acknowledged = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RandomRun run(seed, true, first_level);
    INFO("seed " << seed << ", first level " << first_level.value());
    try {
      run.Execute();
    } catch (const std::exception& e) {
      FAIL(e.what() << "\n" << run.world().Journal());
    }
    for (const ObservedOrder& it : run.world().orders()) {
      acknowledged += it.acknowledged ? 1 : 0;
    }
  }
  WARN(acknowledged << " orders acknowledged");
  CHECK(acknowledged > 2 * kSeeds);
}

}  // namespace
}  // namespace vanillalatch
