// Plays SyncPlan against control VMs that answer, freeze, refuse or lag.
#include "vanillalatch/control/sync_plan.h"

#include <catch2/catch.hpp>
#include <functional>
#include <limits>
#include <memory>
#include <set>

namespace vanillalatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kRoundTrip = milliseconds(2);
constexpr Duration kHold = seconds(1);  // As ControlOptions::sync_hold.

enum class Answers { kFromQuorum, kWithoutQuorum, kNever, kRefused };

struct StandIn {
  Answers answers = Answers::kFromQuorum;
  std::uint64_t revision = 1;
  std::vector<std::string> group;  // As it states it.
};

// One VM with a plan, and the control VMs by address.
class PlanWorld {
 public:
  PlanWorld(std::string vm, std::vector<std::string> seeds)
      : plan({.vm = std::move(vm), .seeds = std::move(seeds)}, now) {}

  void Run(Duration duration) {
    const TimePoint end = now + duration;
    while (now < end) {
      Advance();
      now += milliseconds(1);
    }
  }
  // Runs until the revision is in force. Returns how long that took; nullopt
  // after ten seconds.
  std::optional<Duration> TimeUntil(std::uint64_t expected) {
    const TimePoint begin = now;
    while (revision < expected && now < begin + seconds(10)) {
      Run(milliseconds(1));
    }
    return revision < expected ? std::nullopt : std::optional(now - begin);
  }
  std::set<std::string> Open() const {
    const std::vector<std::string> open = plan.OpenAddresses();
    return {open.begin(), open.end()};
  }

  TimePoint now{seconds(100)};
  std::map<std::string, StandIn> controls;
  std::uint64_t revision = 0;
  std::uint64_t stated_newer = 0;  // By peers.
  std::size_t calls = 0;
  SyncPlan plan;

 private:
  struct OpenCall {
    SyncStart start;
    TimePoint began;
  };

  void Advance() {
    plan.SetRevisions(now, revision,
                      stated_newer > revision ? stated_newer : 0);
    std::erase_if(open_, [&](const OpenCall& it) { return EndIfDue(it); });
    plan.SetStarting(revision == 0);
    if (now < plan.NextWake()) {
      return;
    }
    for (SyncStart& it : plan.TakeCalls(now)) {
      ++calls;
      open_.push_back({std::move(it), now});
    }
    REQUIRE(open_.size() <= SyncPlan::kMaxOpenCalls);
    REQUIRE(plan.NextWake() > now);  // No busy loop.
  }

  bool EndIfDue(const OpenCall& call) {
    const StandIn& control = controls[call.start.address];
    const Duration age = now - call.began;
    SyncOutcome outcome;
    if (control.answers == Answers::kRefused) {
      if (age < kRoundTrip) {
        return false;
      }
    } else if (control.answers == Answers::kNever || age < kRoundTrip) {
      if (age < call.start.timeout) {
        return false;
      }
    } else {
      const bool newer = control.revision > revision;
      if (!newer && age < kHold) {
        return false;
      }
      revision = std::max(revision, control.revision);
      outcome = {true, control.answers == Answers::kFromQuorum,
                 control.revision, control.group};
    }
    plan.OnOutcome(now, call.start.id, outcome);
    return true;
  }

  std::vector<OpenCall> open_;
};

// A group of three in which the VM has run for a while.
PlanWorld SettledInGroup(const std::string& vm = "e1") {
  const std::vector<std::string> group = {"c1", "c2", "c3"};
  PlanWorld world(vm, group);
  for (const std::string& it : group) {
    world.controls[it].group = group;
  }
  world.Run(seconds(5));
  return world;
}

// Each row guards against a catalog that is delayed because of the control VMs
// that a VM happens to follow.
TEST_CASE("lost, frozen and lagging control VMs delay no catalog for long",
          "[sync-plan]") {
  struct Row {
    const char* name;
    // How the control VMs that are polled answer, and the others.
    Answers polled;
    Answers others;
    bool polled_lag;
    bool only_one;  // Of the polled ones; the other one is like `others`.
    std::uint64_t stated;
    Duration limit;
  };
  const Answers ok = Answers::kFromQuorum;
  const Row row = GENERATE_REF(values<Row>({
      {"nothing happens", ok, ok, false, false, 0, milliseconds(10)},
      {"one freezes", Answers::kNever, ok, false, true, 0, milliseconds(10)},
      {"one lags", ok, ok, true, true, 0, milliseconds(10)},
      {"one refuses", Answers::kRefused, ok, false, true, 0, milliseconds(10)},
      {"two freeze", Answers::kNever, ok, false, false, 0,
       SyncPlan::kOverdueAfter},
      {"two freeze, a peer has it", Answers::kNever, ok, false, false, 2,
       2 * SyncPlan::kFirstExtraDelay},
      {"two lag, a peer has it", ok, ok, true, false, 2,
       2 * SyncPlan::kFirstExtraDelay},
      {"two refuse", Answers::kRefused, ok, false, false, 0,
       2 * SyncPlan::kRetryDelay},
  }));
  CAPTURE(row.name);
  PlanWorld world = SettledInGroup();
  const std::set<std::string> polled = world.Open();
  REQUIRE(polled.size() == 2);
  std::size_t disturbed = 0;
  for (auto& [address, it] : world.controls) {
    const bool is_hit =
        polled.contains(address) && !(row.only_one && disturbed > 0);
    disturbed += is_hit ? 1 : 0;
    it.answers = is_hit ? row.polled : row.others;
    it.revision = is_hit && row.polled_lag ? 1 : 2;
  }
  world.stated_newer = row.stated;
  const std::optional<Duration> taken = world.TimeUntil(2);
  REQUIRE(taken);
  CHECK(*taken <= row.limit + 3 * kRoundTrip);
}

// Guards against a VM that starts with settings which name only control VMs
// that are gone or cut off, and stays without the group or with an old catalog.
TEST_CASE("a VM that starts finds the group however it hears of it",
          "[sync-plan]") {
  struct Row {
    const char* name;
    Answers seeds;
    std::vector<std::string> group;    // As the seeds state it.
    std::vector<std::string> members;  // As the neighbours do.
    Duration limit;
  };
  const Row row = GENERATE_REF(values<Row>({
      {"by a seed without a majority",
       Answers::kWithoutQuorum,
       {"old", "c1"},
       {},
       milliseconds(200)},
      {"by its neighbours, the seeds refuse",
       Answers::kRefused,
       {},
       {"c1"},
       milliseconds(500)},
      {"by its neighbours, the seeds are silent",
       Answers::kNever,
       {},
       {"c1"},
       3 * SyncPlan::kStartTimeout},
  }));
  CAPTURE(row.name);
  PlanWorld world("e1", {"old", "older", "oldest"});
  for (const char* it : {"old", "older", "oldest"}) {
    world.controls[it] = {row.seeds, 1, row.group};
  }
  world.controls["c1"] = {Answers::kFromQuorum, 2, {"c1"}};
  world.plan.SetMembers(row.members);
  const std::optional<Duration> taken = world.TimeUntil(2);
  REQUIRE(taken);
  CHECK(*taken <= row.limit);
  world.Run(seconds(5));
  CHECK(world.plan.connected() == true);
  CHECK(world.plan.followed() == "c1");
}

// Guards against a loss that is never reported, as there was no contact before.
TEST_CASE("a VM without a group says so once every control VM has failed",
          "[sync-plan]") {
  PlanWorld world("e1", {"c1", "c2", "c3"});
  for (const char* it : {"c1", "c2", "c3"}) {
    world.controls[it].answers = Answers::kRefused;
  }
  world.Run(kRoundTrip + milliseconds(5));
  CHECK(!world.plan.connected());
  world.Run(seconds(1));
  CHECK(world.plan.connected() == false);
  CHECK(world.plan.followed().empty());
}

// Guards against load by a foreign writer that states a catalog nobody has.
TEST_CASE("a revision that no control VM has costs a bounded number of calls",
          "[sync-plan]") {
  PlanWorld world = SettledInGroup();
  world.calls = 0;
  world.Run(seconds(20));
  const std::size_t usual = world.calls;
  world.calls = 0;
  world.stated_newer = std::numeric_limits<std::uint64_t>::max();
  world.Run(seconds(20));
  CHECK(world.calls <= 3 * usual);
  CHECK(world.plan.connected() == true);
  world.controls["c1"].revision = 2;
  CHECK(world.TimeUntil(2).has_value());
}

// Guards against a fleet that follows one and the same control VM after the
// others were replaced.
TEST_CASE("the VMs are distributed over the control VMs, also over new ones",
          "[sync-plan]") {
  constexpr int kVms = 60;
  std::map<std::string, int> polls;
  for (int n = 0; n < kVms; ++n) {
    PlanWorld world = SettledInGroup("e" + std::to_string(n));
    world.controls["c1"].answers = Answers::kNever;
    world.controls["c2"].answers = Answers::kNever;
    world.controls["c3"].group = {"c3", "c4", "c5"};
    world.controls["c4"].group = world.controls["c5"].group =
        world.controls["c3"].group;
    world.Run(seconds(10));
    REQUIRE(world.Open().size() == 2);
    for (const std::string& it : world.Open()) {
      ++polls[it];
    }
  }
  CHECK(polls.size() == 3);
  for (const char* it : {"c3", "c4", "c5"}) {
    CHECK(polls[it] >= kVms / 2);
    CHECK(polls[it] <= kVms * 5 / 6);
  }
}

}  // namespace
}  // namespace vanillalatch
