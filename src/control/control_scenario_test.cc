// Part of ControlWorld: the steps of the control scenarios; and the test that
// runs all of them.
#include <catch2/catch.hpp>
#include <sstream>
#include <utility>

#include "src/control/control_world.h"

namespace vanillalatch {

using scenario::Failure;
using scenario::Step;

namespace {

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> items;
  std::istringstream list(text);
  for (std::string it; std::getline(list, it, ',');) {
    items.push_back(it);
  }
  return items;
}

// The level of the builds of new VMs.
FeatureLevel LevelOf(const Step& step) {
  return FeatureLevel{static_cast<std::uint32_t>(
      step.NamedNumber("level", kCurrentLevel.value()))};
}

}  // namespace

void ControlWorld::Do(const Step& step) {
  if (!DoControlStep(step) && !DoNetworkStep(step) && !DoCallerStep(step)) {
    throw Failure("unknown step " + step.verb);
  }
}

bool ControlWorld::DoControlStep(Arguments step) {
  if (step.verb == "control") {
    AddControls(step.Number(0), step.NamedNumber("snapshot", 256),
                LevelOf(step));
  } else if (step.verb == "build") {
    ReplaceBuild(step.Word(0),
                 FeatureLevel{static_cast<std::uint32_t>(step.Number(1))});
  } else if (step.verb == "fleet") {
    seeds_ = SplitList(step.Named("seeds", "c1,c2,c3"));
    AddControls(step.Number(0), step.NamedNumber("snapshot", 256),
                LevelOf(step));
  } else if (step.verb == "seeds") {
    seeds_ = SplitList(step.Word(0));
  } else if (step.verb == "data-centers") {
    data_centers_ = SplitList(step.Word(0));
  } else if (step.verb == "add-control") {
    AddControl(step.Word(0));
  } else if (step.verb == "start") {
    Start(step.Word(0));
  } else if (step.verb == "crash") {
    const std::string name = step.Word(0) == "leader" ? Leader() : step.Word(0);
    last_leader_ = name;
    Crash(name, step.NamedNumber("torn", 0) != 0);
  } else if (step.verb == "start-crashed") {
    Start(last_leader_);
  } else if (step.verb == "lose-disk") {
    LoseDisk(step.Word(0));
  } else if (step.verb == "crash-at-sync") {
    Control(step.Word(0))
        .disk.CrashAtSync(step.Number(1),
                          step.Named("when", "before") == "before"
                              ? FakeDisk::CrashTiming::kBefore
                              : FakeDisk::CrashTiming::kAfter);
    Control(step.Word(0)).is_killed_at_sync = step.NamedNumber("kill", 0) != 0;
  } else if (step.verb == "kill") {
    Kill(step.Word(0));
  } else if (step.verb == "fill-disk") {
    FillDisk(step.Word(0), step.NamedNumber("room", 0));
  } else if (step.verb == "empty-disk") {
    EmptyDisk(step.Word(0));
  } else if (step.verb == "fail-sync") {
    Control(step.Word(0)).disk.FailNextSync();
  } else if (step.verb == "freeze") {
    Freeze(step.Word(0));
  } else if (step.verb == "thaw") {
    Thaw(step.Word(0), step.NamedNumber("newest-first", 0) != 0);
  } else if (step.verb == "stop") {
    ControlVm& vm = Control(step.Word(0));
    const bool done = RunUntil(step.NamedTime("within", Duration::zero()), [&] {
      bool stopped = false;
      RunOnNode(vm, [&](ControlNode& node) {
        stopped = node.BeginStop(network_.now());
      });
      return stopped;
    });
    if (!done) {
      throw Failure("the leadership was not handed over");
    }
    Crash(vm.name, false);
  } else if (step.verb == "mark-term") {
    marked_terms_[step.Word(1)] = Control(step.Word(0)).node->Status().term();
  } else {
    return false;
  }
  return true;
}

bool ControlWorld::DoNetworkStep(Arguments step) {
  if (step.verb == "net") {
    network_.SetFaults(static_cast<unsigned>(step.NamedNumber("loss", 0)),
                       static_cast<unsigned>(step.NamedNumber("duplicate", 0)),
                       step.NamedTime("delay", std::chrono::milliseconds(1)));
  } else if (step.verb == "cut") {
    network_.Disconnect(step.Word(0), step.Word(1));
    network_.Disconnect(step.Word(1), step.Word(0));
  } else if (step.verb == "cut-one-way") {
    network_.Disconnect(step.Word(0), step.Word(1));
  } else if (step.verb == "isolate") {
    const std::string name = step.Word(0) == "leader" ? Leader() : step.Word(0);
    last_leader_ = name;
    Isolate(name);
    AppendJournal(name + " is cut off");
  } else if (step.verb == "partition") {
    for (const std::string& it : SplitList(step.Word(0))) {
      for (const std::string& other : SplitList(step.Word(1))) {
        network_.Disconnect(it, other);
        network_.Disconnect(other, it);
      }
    }
    AppendJournal(step.Word(0) + " and " + step.Word(1) + " are cut off");
  } else if (step.verb == "heal") {
    network_.Heal();
    AppendJournal("the network heals");
  } else if (step.verb == "run") {
    Run(step.Time(0));
  } else {
    return false;
  }
  return true;
}

bool ControlWorld::DoCallerStep(Arguments step) {
  if (step.verb == "entry") {
    AddEntry(step.Word(0), SplitList(step.Named("via", "c1,c2,c3")));
  } else if (step.verb == "apply") {
    Apply(step.Word(0), step.Word(1), step.NamedNumber("base", 0),
          step.Named("service", step.Word(1)), step.Named("at", Leader()),
          step.NamedTime("within", std::chrono::seconds(10)));
  } else if (step.verb == "evacuate") {
    Order(step.Word(0), step.Word(1), step.Word(2),
          step.NamedNumber("end", 0) != 0, step.Named("at", Leader()),
          step.NamedTime("within", std::chrono::seconds(10)));
  } else if (step.verb == "changes") {
    for (std::uint64_t n = 0; n < step.Number(0); ++n) {
      const std::string id = "change-" + std::to_string(accepted_revision_ + 1);
      Apply("alice", id, accepted_revision_, id, Leader(),
            std::chrono::seconds(10));
      if (!RunUntil(std::chrono::seconds(10), [&] {
            return Call(id).reply && Call(id).reply->outcome().accepted();
          })) {
        throw Failure(id + " was not accepted");
      }
    }
  } else if (step.verb == "lose-answers") {
    Call(step.Word(0)).answers_to_lose = static_cast<unsigned>(step.Number(1));
  } else if (step.verb == "get") {
    Get(step.Named("at", Leader()));
  } else if (step.verb == "expect") {
    Expect(step);
  } else {
    return false;
  }
  return true;
}

TEST_CASE("control scenarios", "[control][scenario]") {
  const std::string script =
      GENERATE(from_range(scenario::ListScripts("scenarios/control")));
  CAPTURE(script);
  CHECK_NOTHROW(scenario::RunFile<ControlWorld>(script));
}

}  // namespace vanillalatch
