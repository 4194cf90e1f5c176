// Disturbs one control VM at every step of a series of changes, and restarts an
// entry VM at every step beside it. An acknowledged change must be in force at
// every entry VM in time.
#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

#include "src/control/control_world.h"

namespace vanillalatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The time within which an acknowledged change has to be in force.
constexpr Duration kPropagationBound = seconds(3);
constexpr Duration kStep = milliseconds(20);
constexpr Duration kChangeInterval = milliseconds(400);
// Neighbours hear of a VM that has started, and it of them, within this time.
constexpr Duration kJoinTime = milliseconds(500);
const std::vector<std::string> kControls = {"c1", "c2", "c3"};
const std::vector<std::string> kEntries = {"e1", "e2", "e3"};

struct Disturbance {
  std::string name;
  std::function<void(ControlWorld&, const std::string&)> begin;
  std::function<void(ControlWorld&, const std::string&)> end;
};

void CutFromControls(ControlWorld& world, const std::string& vm) {
  for (const std::string& it : kControls) {
    world.network().Disconnect(vm, it);
    world.network().Disconnect(it, vm);
  }
}

void CutFromEntries(ControlWorld& world, const std::string& vm) {
  for (const std::string& it : kEntries) {
    world.network().Disconnect(vm, it);
  }
}

void Heal(ControlWorld& world, const std::string&) { world.network().Heal(); }

void StartIfDown(ControlWorld& world, const std::string& vm) {
  if (!world.Control(vm).node) {
    world.Start(vm);
  }
}

const std::vector<Disturbance>& Disturbances() {
  static const auto thaw = [](ControlWorld& world, const std::string& vm) {
    world.Thaw(vm, false);
  };
  static const std::vector<Disturbance> all = {
      {"is killed and starts again",
       [](ControlWorld& world, const std::string& vm) { world.Kill(vm); },
       StartIfDown},
      {"loses power",
       [](ControlWorld& world, const std::string& vm) {
         world.Crash(vm, true);
       },
       StartIfDown},
      {"loses its disk",
       [](ControlWorld& world, const std::string& vm) { world.LoseDisk(vm); },
       StartIfDown},
      {"freezes",
       [](ControlWorld& world, const std::string& vm) { world.Freeze(vm); },
       thaw},
      {"is cut off from the control VMs", CutFromControls, Heal},
      {"hears the entry VMs, which do not hear it", CutFromEntries, Heal},
      {"has a full disk",
       [](ControlWorld& world, const std::string& vm) {
         world.FillDisk(vm, 0);
       },
       [](ControlWorld& world, const std::string& vm) { world.EmptyDisk(vm); }},
  };
  return all;
}

// Applies changes and follows since when each has been acknowledged.
class Run {
 public:
  explicit Run(std::uint64_t seed) : world_(seed) {
    world_.AddFleet(kControls.size(), 8);
    if (!world_.RunUntil(seconds(5), [&] { return world_.IsRepaired(); })) {
      throw scenario::Failure("the group is not complete");
    }
    for (const std::string& it : kEntries) {
      StartEntry(it, kControls);
    }
  }

  ControlWorld& world() { return world_; }
  // From an acknowledgement, or the start of the entry VM if that is later, to
  // the last step at which the revision was not in force.
  Duration longest_lag() const { return longest_lag_; }

  void StartEntry(const std::string& name,
                  const std::vector<std::string>& settings) {
    world_.AddEntry(name, settings);
    started_[name] = world_.network().now();
  }

  // Runs for `duration` and checks after every step.
  void Advance(Duration duration) {
    const TimePoint end = world_.network().now() + duration;
    while (world_.network().now() < end) {
      ApplyNext();
      world_.Run(kStep);
      HearNeighbours();
      for (const std::string& it : kEntries) {
        CheckInTime(it);
      }
    }
  }

 private:
  void ApplyNext() {
    const TimePoint now = world_.network().now();
    if (!open_.empty()) {
      const auto& reply = world_.Call(open_).reply;
      if (reply && reply->outcome().accepted()) {
        acknowledged_[reply->outcome().revision()] = now;
        open_.clear();
      } else if (now >= give_up_at_) {
        throw scenario::Failure(open_ + " was not accepted");
      }
    }
    if (open_.empty() && now >= next_change_) {
      next_change_ = now + kChangeInterval;
      give_up_at_ = now + seconds(10);
      open_ = "change-" + std::to_string(++changes_);
      world_.Apply("alice", open_, world_.accepted_revision(), open_,
                   kControls[changes_ % kControls.size()], seconds(10));
    }
  }

  // What membership tells the entry VMs.
  void HearNeighbours() {
    const TimePoint now = world_.network().now();
    if (now < next_probe_) {
      return;
    }
    next_probe_ = now + milliseconds(200);
    for (const std::string& it : kEntries) {
      if (now >= started_[it] + kJoinTime) {
        world_.SetMembers(it, kControls);
      }
    }
    world_.StateRevisions();
  }

  void CheckInTime(const std::string& entry) {
    const TimePoint now = world_.network().now();
    for (const auto& [revision, at] : acknowledged_) {
      if (world_.RevisionOf(entry) >= revision) {
        continue;
      }
      const Duration lag = now - std::max(at, started_[entry]);
      longest_lag_ = std::max(longest_lag_, lag);
      if (lag > kPropagationBound) {
        throw scenario::Failure(entry + " has revision " +
                                std::to_string(world_.RevisionOf(entry)) +
                                ", not " + std::to_string(revision) + "\n" +
                                world_.Journal());
      }
    }
  }

  ControlWorld world_;
  std::map<std::string, TimePoint> started_;
  std::map<std::uint64_t, TimePoint> acknowledged_;  // By revision.
  std::string open_;
  std::uint64_t changes_ = 0;
  TimePoint next_change_{};
  TimePoint give_up_at_{};
  TimePoint next_probe_{};
  Duration longest_lag_{};
};

// Guards against an entry VM that uses an older catalog for longer than the
// bound, because of the one control VM that it follows or that its settings
// name.
TEST_CASE("a change is in force in time beside a disturbance and a restart",
          "[control][catalog-in-time]") {
  const std::string victim = GENERATE("c1", "c2", "c3");
  const bool names_only_victim = GENERATE(true, false);
  const bool ends = GENERATE(true, false);
  for (const Disturbance& it : Disturbances()) {
    Duration longest_lag{};
    for (int step = -4; step <= 8; ++step) {
      CAPTURE(it.name, victim, step, names_only_victim, ends);
      Run run(1);
      run.Advance(seconds(2));
      const auto restart = [&] {
        run.StartEntry("e1", names_only_victim
                                 ? std::vector<std::string>{victim}
                                 : kControls);
      };
      const Duration offset = step * milliseconds(250);
      if (step < 0) {
        restart();
        run.Advance(-offset);
      }
      it.begin(run.world(), victim);
      run.Advance(std::clamp(offset, Duration::zero(), Duration(seconds(1))));
      if (step >= 0 && step <= 4) {
        restart();
      }
      run.Advance(seconds(1));
      if (ends) {
        it.end(run.world(), victim);
      }
      if (step > 4) {
        run.Advance(offset - seconds(1));
        restart();
      }
      CHECK_NOTHROW(run.Advance(seconds(5)));
      longest_lag = std::max(longest_lag, run.longest_lag());
    }
    WARN(victim << " " << it.name << (ends ? "" : " for good")
                << (names_only_victim ? ", settings name only it" : "") << ": "
                << ToMilliseconds(longest_lag) << " ms");
  }
}

}  // namespace
}  // namespace vanillalatch
