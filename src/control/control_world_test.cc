// Part of ControlWorld: control VMs, their disks and the simulated time.
#include "src/control/control_world.h"

#include <algorithm>
#include <utility>

#include "vanillalatch/base/hash.h"

namespace vanillalatch {
namespace {

// Minimum time between two ticks of a control VM.
constexpr Duration kMinTickInterval = std::chrono::microseconds(100);
constexpr std::string_view kPort = ":7400";
// As in the shell.
constexpr Duration kReopenDelay = std::chrono::milliseconds(500);

std::string FormatTime(TimePoint at) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                      at.time_since_epoch())
                      .count();
  std::string fraction = std::to_string(ms % 1000);
  fraction.insert(0, 3 - fraction.size(), '0');
  return std::to_string(ms / 1000) + "." + fraction + "s ";
}

}  // namespace

ControlWorld::ControlWorld(std::uint64_t seed) : network_(seed) {}

void ControlWorld::AppendJournal(const std::string& line) {
  journal_ += FormatTime(network_.now()) + line + "\n";
}

void ControlWorld::AddControls(std::size_t count, std::uint64_t snapshot_every,
                               FeatureLevel level) {
  snapshot_every_ = snapshot_every;
  for (std::size_t n = 1; n <= count; ++n) {
    const std::string name = "c" + std::to_string(n);
    controls_[name].name = name;
    controls_[name].may_bootstrap = true;
    controls_[name].level = level;
  }
  for (const std::string& it : ControlNames()) {
    Start(it);
  }
}

void ControlWorld::AddFleet(std::size_t count, std::uint64_t snapshot_every) {
  seeds_ = {"c1", "c2", "c3"};
  AddControls(count, snapshot_every);
}

void ControlWorld::AddControl(const std::string& name) {
  controls_[name].name = name;
  Start(name);
}

std::vector<std::string> ControlWorld::ControlNames() const {
  std::vector<std::string> names;
  for (const auto& [name, vm] : controls_) {
    names.push_back(name);
  }
  return names;
}

ControlOptions ControlWorld::OptionsOf(const std::string& name) const {
  ControlOptions options;
  options.vm = name;
  options.snapshot_every = snapshot_every_;
  options.data_centers = data_centers_;
  options.level = controls_.at(name).level;
  if (!seeds_.empty()) {
    options.open_membership = true;
    options.may_bootstrap = controls_.at(name).may_bootstrap;
    options.address = name + std::string(kPort);
    for (const std::string& it : seeds_) {
      options.configured_vms.push_back({it, it + std::string(kPort), ""});
    }
    return options;
  }
  for (const auto& [vm, unused] : controls_) {
    options.configured_vms.push_back(
        {vm, vm + std::string(kPort), "d" + vm.substr(1)});
  }
  return options;
}

ControlVm& ControlWorld::Control(const std::string& name) {
  const auto it = controls_.find(name);
  if (it == controls_.end()) {
    throw scenario::Failure("no control VM " + name);
  }
  return it->second;
}

std::string ControlWorld::NameOfAddress(const std::string& address) const {
  return address.substr(0, address.find(':'));
}

void ControlWorld::Start(const std::string& name) {
  ControlVm& vm = Control(name);
  const std::uint64_t seed = StableHash(network_.random()(), ++vm.starts);
  vm.may_bootstrap = vm.may_bootstrap && vm.starts == 1;
  vm.checked_index = 0;
  vm.next_wake = kNever;
  vm.frozen = false;
  vm.is_reopening = false;
  vm.queued_events.clear();
  try {
    Result<std::unique_ptr<ControlNode>> node =
        ControlNode::Create(OptionsOf(name), vm.disk, network_.now(), seed);
    if (!node.ok() && node.error().kind() == ErrorKind::kUnsupported) {
      AppendJournal(name + " does not start: " + node.error().what());
      return;
    }
    if (!node.ok() && node.error().kind() == ErrorKind::kStorage) {
      return Reopen(vm, node.error());
    }
    vm.node = std::move(node).value();
    vm.identity = ReplicaOf(vm).id().value();
    vm.first_identity = vm.starts == 1 ? vm.identity : vm.first_identity;
    AppendJournal(name + " starts at revision " +
                  std::to_string(vm.node->Status().revision()));
    RunOnNode(vm, [&](ControlNode& node) { node.OnTick(network_.now()); });
  } catch (const DiskCrash&) {
    HandleDiskCrash(vm);
  }
}

void ControlWorld::HandleDiskCrash(ControlVm& vm) {
  if (vm.is_killed_at_sync) {
    Kill(vm.name);
  } else {
    Crash(vm.name, true);
  }
}

void ControlWorld::Reopen(ControlVm& vm, const Error& error) {
  AppendJournal(vm.name + " closes its disk: " + error.what());
  vm.node.reset();
  vm.is_reopening = true;
  network_.Schedule(network_.now() + kReopenDelay,
                    [this, name = vm.name, starts = vm.starts] {
                      const ControlVm& vm = Control(name);
                      if (vm.is_reopening && vm.starts == starts) {
                        Start(name);
                      }
                    });
}

void ControlWorld::Kill(const std::string& name) {
  ControlVm& vm = Control(name);
  vm.node.reset();
  vm.queued_events.clear();
  vm.is_reopening = false;
  vm.disk.CancelCrash();
  AppendJournal(name + " is killed");
}

void ControlWorld::Crash(const std::string& name, bool torn) {
  ControlVm& vm = Control(name);
  vm.node.reset();
  vm.queued_events.clear();
  vm.is_reopening = false;
  vm.disk.Crash(network_.random(), torn);
  AppendJournal(name + " crashes");
}

void ControlWorld::LoseDisk(const std::string& name) {
  Crash(name, false);
  ControlVm& vm = Control(name);
  vm.disk.Wipe();
  vm.last_term = 0;
  vm.identity = 0;
  AppendJournal(name + " loses its disk");
}

bool ControlWorld::IsRepaired() const {
  const std::string leader = Leader();
  if (leader.empty()) {
    return false;
  }
  const Replica& replica = ReplicaOf(controls_.at(leader));
  const pb::Configuration group =
      replica.ConfigurationAt(replica.commit_index());
  std::size_t voters = 0;
  for (const pb::Replica& it : group.replicas()) {
    const bool present = it.id() == controls_.at(it.vm()).identity;
    voters += present && !it.learner() ? 1 : 0;
  }
  return voters == controls_.size() &&
         group.replicas_size() == static_cast<int>(voters) &&
         replica.HasQuorumContact(network_.now());
}

const Replica& ControlWorld::ReplicaOf(const ControlVm& vm) {
  return static_cast<const internal::ControlNodeImpl&>(*vm.node).replica();
}

void ControlWorld::FillDisk(const std::string& name, std::size_t bytes) {
  Control(name).disk.SetRoom(bytes);
  AppendJournal("the disk of " + name + " has room for " +
                std::to_string(bytes) + " bytes");
}

void ControlWorld::EmptyDisk(const std::string& name) {
  Control(name).disk.SetRoom(FakeDisk::kUnlimited);
  AppendJournal("the disk of " + name + " has room");
}

void ControlWorld::Freeze(const std::string& name) {
  Control(name).frozen = true;
  AppendJournal(name + " freezes");
}

void ControlWorld::Thaw(const std::string& name, bool newest_first) {
  ControlVm& vm = Control(name);
  vm.frozen = false;
  AppendJournal(name + " thaws");
  auto queued = std::exchange(vm.queued_events, {});
  if (newest_first) {
    std::reverse(queued.begin(), queued.end());
  }
  for (const auto& it : queued) {
    it();
  }
}

void ControlWorld::Isolate(const std::string& name) {
  for (const auto& [other, vm] : controls_) {
    if (other != name) {
      network_.Disconnect(name, other);
      network_.Disconnect(other, name);
    }
  }
}

void ControlWorld::Deliver(const std::string& name,
                           std::function<void()> work) {
  ControlVm& vm = Control(name);
  if (vm.frozen) {
    vm.queued_events.push_back(std::move(work));
  } else if (vm.node) {
    work();
  }
}

void ControlWorld::RunOnNode(ControlVm& vm,
                             const std::function<void(ControlNode&)>& work) {
  if (!vm.node) {
    return;
  }
  try {
    work(*vm.node);
  } catch (const DiskCrash&) {
    return HandleDiskCrash(vm);
  } catch (const Error& e) {
    if (e.kind() != ErrorKind::kStorage) {
      throw;
    }
    return Reopen(vm, e);
  }
  ExecuteActions(vm, vm.node->TakeActions());
  ScheduleTick(vm);
  CheckNode(vm);
}

void ControlWorld::ScheduleTick(ControlVm& vm) {
  const TimePoint wake =
      std::max(vm.node->NextWake(), network_.now() + kMinTickInterval);
  if (wake >= vm.next_wake) {
    return;
  }
  vm.next_wake = wake;
  const std::string name = vm.name;
  network_.Schedule(wake, [this, name, wake] {
    if (Control(name).next_wake == wake) {
      Control(name).next_wake = kNever;
    }
    Deliver(name, [this, name] {
      RunOnNode(Control(name),
                [&](ControlNode& node) { node.OnTick(network_.now()); });
    });
  });
}

void ControlWorld::ExecuteActions(ControlVm& vm, ControlActions actions) {
  for (ControlActions::Send& it : actions.sends) {
    const std::string to = NameOfAddress(it.address);
    vm.sent_bytes += it.message.ByteSizeLong();
    network_.Send(vm.name, to, [this, to, message = it.message] {
      Deliver(to, [this, to, message] {
        CheckReadable(Control(to), message);
        RunOnNode(Control(to), [&](ControlNode& node) {
          node.OnMessage(network_.now(), message);
        });
      });
    });
  }
  for (const ControlActions::Probe& it : actions.probes) {
    SendProbe(vm.name, it);
  }
  const auto answer = [&](auto& replies, auto& callers) {
    for (auto& [ticket, reply] : replies) {
      auto caller = callers.extract(ticket.value());
      if (!caller) {
        throw scenario::Failure("a ticket of " + vm.name +
                                " is answered twice");
      }
      caller.mapped()(reply);
    }
  };
  answer(actions.applies, applies_);
  answer(actions.gets, gets_);
  answer(actions.syncs, syncs_);
  answer(actions.statuses, statuses_);
}

void ControlWorld::SendProbe(const std::string& from,
                             const ControlActions::Probe& probe) {
  const std::string to = NameOfAddress(probe.address);
  const auto answer = [this, from, to,
                       id = probe.replica](const pb::ApplyReply& reply) {
    network_.Send(to, from, [this, from, id, level = LevelFromProbe(reply)] {
      Deliver(from, [this, from, id, level] {
        RunOnNode(Control(from), [&](ControlNode& node) {
          node.OnProbeAnswered(network_.now(), id, level);
        });
      });
    });
  };
  network_.Send(from, to, [this, to, answer] {
    Deliver(to, [this, to, answer] {
      if (Control(to).level < kEvacuationLevel) {
        return answer(AnswerProbeAsOldBuild());
      }
      const std::uint64_t ticket = ++next_ticket_;
      applies_[ticket] = answer;
      RunOnNode(Control(to), [&](ControlNode& node) {
        node.OnApply(network_.now(), Ticket{ticket}, MakeLevelProbe());
      });
    });
  });
}

pb::ApplyReply ControlWorld::AnswerProbeAsOldBuild() {
  pb::ApplyReply reply;
  reply.mutable_outcome()->set_message("a service has no name");
  return reply;
}

void ControlWorld::ReplaceBuild(const std::string& name, FeatureLevel level) {
  if (Control(name).node) {
    Crash(name, false);
  }
  Control(name).level = level;
  AppendJournal(name + " gets a build of level " +
                std::to_string(level.value()));
  Start(name);
}

FeatureLevel ControlWorld::FleetLevel() const {
  const std::string leader = Leader();
  return leader.empty()
             ? kUnstatedLevel
             : FeatureLevel{controls_.at(leader).node->Status().fleet_level()};
}

void ControlWorld::Run(Duration duration) {
  const TimePoint end = network_.now() + duration;
  while (network_.Step(end)) {
  }
}

bool ControlWorld::RunUntil(Duration limit, const std::function<bool()>& done) {
  const TimePoint end = network_.now() + limit;
  while (!done()) {
    if (!network_.Step(end)) {
      return done();
    }
  }
  return true;
}

std::string ControlWorld::Leader() const {
  std::string leader;
  std::uint64_t term = 0;
  for (const auto& [name, vm] : controls_) {
    if (vm.node && !vm.frozen && vm.node->Status().role() == "leader" &&
        vm.node->Status().term() > term) {
      leader = name;
      term = vm.node->Status().term();
    }
  }
  return leader;
}

}  // namespace vanillalatch
