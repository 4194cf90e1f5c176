// Tests crashes at every sync of the disk, the time to recover after a VM has
// failed, and the amount of traffic.
#include <algorithm>
#include <catch2/catch.hpp>

#include "src/control/control_world.h"

namespace vanillalatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kChanges = 6;

// Applies changes one after the other and restarts every VM that crashes. With
// `crash_all`, one crash makes the other VMs crash, too. Returns true if the
// armed crash has happened.
bool ChangeThroughCrash(ControlWorld& world, bool crash_all) {
  bool crashed = false;
  for (int n = 1; n <= kChanges; ++n) {
    const std::string id = "change-" + std::to_string(n);
    world.Apply("alice", id, world.accepted_revision(), id, "c1", seconds(20));
    const bool accepted = world.RunUntil(seconds(20), [&] {
      for (const std::string& it : world.ControlNames()) {
        if (world.Control(it).node) {
          continue;
        }
        crashed = true;
        for (const std::string& other : world.ControlNames()) {
          if (crash_all && world.Control(other).node) {
            world.Crash(other, true);
          }
        }
        for (const std::string& other : world.ControlNames()) {
          if (!world.Control(other).node) {
            world.Start(other);
          }
        }
      }
      const auto& reply = world.Call(id).reply;
      return reply && reply->outcome().accepted();
    });
    if (!accepted) {
      throw scenario::Failure(id + " was not accepted");
    }
  }
  return crashed;
}

TEST_CASE("a crash at any sync point loses no accepted change",
          "[control][crash]") {
  const std::string victim = GENERATE("c1", "c2");
  const FakeDisk::CrashTiming timing =
      GENERATE(FakeDisk::CrashTiming::kBefore, FakeDisk::CrashTiming::kAfter);
  const bool crash_all = GENERATE(false, true);
  CAPTURE(victim, crash_all);
  int points = 0;
  for (std::uint64_t n = 1;; ++n) {
    ControlWorld world(n);
    world.AddControls(3, 4);
    world.AddEntry("e1", world.ControlNames());
    REQUIRE(
        world.RunUntil(seconds(3), [&] { return !world.Leader().empty(); }));
    world.Control(victim).disk.CrashAtSync(n, timing);
    try {
      const bool crashed = ChangeThroughCrash(world, crash_all);
      CHECK(world.RunUntil(
          seconds(3), [&] { return world.IsInForceEverywhere(kChanges); }));
      if (!crashed) {
        break;
      }
      ++points;
    } catch (const scenario::Failure& e) {
      FAIL("sync " << n << ": " << e.what() << "\n" << world.Journal());
    }
  }
  CHECK(points >= kChanges);
}

TEST_CASE("a new leader is found within 3 s of a loss", "[control]") {
  const bool isolate = GENERATE(false, true);
  CAPTURE(isolate);
  Duration slowest = Duration::zero();
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    ControlWorld world(seed);
    world.AddControls(seed % 2 == 0 ? 3 : 5, 256);
    REQUIRE(
        world.RunUntil(seconds(3), [&] { return !world.Leader().empty(); }));
    world.Run(milliseconds(1000 + seed * 7 % 500));
    const std::string failed_vm = world.Leader();
    const TimePoint begin = world.network().now();
    if (isolate) {
      world.Isolate(failed_vm);
    } else {
      world.Crash(failed_vm, false);
    }
    INFO("seed " << seed);
    REQUIRE(world.RunUntil(seconds(3), [&] {
      return !world.Leader().empty() && world.Leader() != failed_vm;
    }));
    slowest = std::max(slowest, world.network().now() - begin);
  }
  WARN("slowest of 300: " << slowest / milliseconds(1) << " ms");
}

TEST_CASE("an accepted change is in force everywhere within 3 s", "[control]") {
  const bool lose_leader = GENERATE(false, true);
  CAPTURE(lose_leader);
  Duration slowest = Duration::zero();
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    ControlWorld world(seed);
    world.AddControls(3, 256);
    for (int n = 0; n < 7; ++n) {
      std::vector<std::string> controls = world.ControlNames();
      std::rotate(controls.begin(), controls.begin() + n % 3, controls.end());
      world.AddEntry("e" + std::to_string(n), controls);
    }
    REQUIRE(
        world.RunUntil(seconds(3), [&] { return !world.Leader().empty(); }));
    world.Run(milliseconds(seed * 37 % 1000));
    world.Apply("alice", "records", 0, "records", world.Leader(), seconds(5));
    REQUIRE(world.RunUntil(seconds(5), [&] {
      return !world.Call("records").first_answer.empty();
    }));
    const TimePoint begin = world.network().now();
    if (lose_leader) {
      // The other control VMs don't learn from the leader that the change was
      // committed; only the operator has received the answer.
      world.Isolate(world.Leader());
      world.Crash(world.Leader(), false);
    }
    REQUIRE(world.RunUntil(seconds(3),
                           [&] { return world.IsInForceEverywhere(1); }));
    slowest = std::max(slowest, world.network().now() - begin);
  }
  WARN("slowest of 200: " << slowest / milliseconds(1) << " ms");
}

TEST_CASE("control traffic stays within 7 KB a second and node", "[control]") {
  constexpr std::uint64_t kBudgetBytes = 7000;  // Per second.
  constexpr std::uint64_t kSeconds = 60;
  const std::size_t controls = GENERATE(3, 5);
  ControlWorld world(1);
  world.AddControls(controls, 256);
  for (int n = 0; n < 7; ++n) {
    world.AddEntry("e" + std::to_string(n), world.ControlNames());
  }
  REQUIRE(world.RunUntil(seconds(3), [&] { return !world.Leader().empty(); }));
  for (std::uint64_t n = 0; n < kSeconds; ++n) {
    world.Apply("alice", "change-" + std::to_string(n), n, "records",
                world.Leader(), seconds(5));
    world.Run(seconds(1));
  }
  REQUIRE(world.accepted_revision() == kSeconds);
  for (const std::string& it : world.ControlNames()) {
    const std::uint64_t rate = world.Control(it).sent_bytes / kSeconds;
    WARN(controls << " control VMs, a change a second: " << it << " sends "
                  << rate << " bytes a second");
    CHECK(rate < kBudgetBytes);
  }
}

}  // namespace
}  // namespace vanillalatch
