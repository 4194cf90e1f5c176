// The steps of a membership scenario:
//   vms N [in=DC]                  adds N entry VMs and starts them
//   start|restart|kill|freeze|thaw VM
//   stop VM                        the VM announces that it leaves
//   loss P | duplicates P          P in percent
//   delay MIN MAX
//   cut A B | cut_one_way A B      drops datagrams both ways, or from A to B
//   isolate VM                     disconnects it from all other VMs
//   split N                        separates the first N VMs from the others
//   heal                           ends every cut, isolate and split
//   endpoints N service=S [lifetime=T] [renew=T] [over=T]
//                                  N backend servers; they start within `over`
//   endpoint NAME service=S address=A:P
//   drain|crash|restart_backend NAME
//   run T
//   quiet                          writes no journal from now on
//   mark                           start of the period of `never`, `mean_rate`
//   within T CONDITION [by=VM]     runs until it holds, at most T
//   expect CONDITION [by=VM]       fails if it does not hold now
// The conditions member, ready and endpoint must be true on every running VM,
// or only on the VM given by `by=`.
// Conditions:
//   member VM STATE                alive, suspect, leaving, dead; up (alive or
//                                  suspect), down (leaving, dead, not listed)
//   ready N                        number of endpoints that take work
//   endpoint NAME ready|not_ready|absent
//   converged [members]            all VMs have equal members (and endpoints)
//   never VM STATE                 no VM listed it so since the mark
//   busiest_second N               at most N bytes sent in any second by any VM
//   mean_rate N                    at most N bytes per second and VM since mark
#include <algorithm>
#include <cstdio>
#include <numeric>
#include <tuple>

#include "src/registry/testing/membership_world.h"
#include "vanillalatch/base/hash.h"

namespace vanillalatch {
namespace {

using scenario::Failure;
using scenario::Step;

bool TakesWork(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

bool Matches(MemberState state, const std::string& name) {
  static const std::map<std::string, MemberState> kStates = {
      {"alive", MemberState::kAlive},
      {"suspect", MemberState::kSuspect},
      {"leaving", MemberState::kLeaving},
      {"dead", MemberState::kDead}};
  if (name == "up" || name == "down") {
    return TakesWork(state) == (name == "up");
  }
  const auto it = kStates.find(name);
  if (it == kStates.end()) {
    throw Failure("unknown member state " + name);
  }
  return state == it->second;
}

bool MemberStateMatches(const FakeVm& vm, const std::string& name,
                        const std::string& state) {
  const NodeId id{StableHash(name)};
  const auto members = vm.list->members();
  const auto it = std::find_if(members.begin(), members.end(),
                               [&](const Member& m) { return m.id == id; });
  return it == members.end() ? state == "down" : Matches(it->state, state);
}

std::vector<Endpoint> EndpointsOf(const FakeVm& vm) {
  std::vector<Endpoint> all;
  for (std::uint32_t n = 1; n < 5; ++n) {
    const auto some = vm.registry->EndpointsOf(ServiceId{n});
    all.insert(all.end(), some.begin(), some.end());
  }
  return all;
}

std::size_t ReadyCount(const FakeVm& vm) {
  const std::vector<Endpoint> all = EndpointsOf(vm);
  return static_cast<std::size_t>(std::count_if(
      all.begin(), all.end(),
      [](const Endpoint& it) { return it.state == EndpointState::kReady; }));
}

// The members and endpoints that must be equal on two VMs for convergence.
auto ViewOf(const FakeVm& vm) {
  std::vector<std::tuple<NodeId, bool, std::uint64_t>> members;
  for (const Member& it : vm.list->members()) {
    if (it.state != MemberState::kDead) {
      members.emplace_back(it.id, TakesWork(it.state), it.incarnation);
    }
  }
  std::vector<std::tuple<EndpointId, EndpointState, std::uint64_t>> endpoints;
  for (const Endpoint& it : EndpointsOf(vm)) {
    endpoints.emplace_back(it.id, it.state, it.version);
  }
  return std::pair(members, endpoints);
}

std::string Milliseconds(Duration d) {
  return std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(d).count()) +
         "ms";
}

}  // namespace

void MembershipWorld::Do(const Step& step) {
  static const std::map<std::string, Handler> kHandlers = {
      {"vms", &MembershipWorld::DoVms},
      {"start", &MembershipWorld::DoVm},
      {"restart", &MembershipWorld::DoVm},
      {"kill", &MembershipWorld::DoVm},
      {"freeze", &MembershipWorld::DoVm},
      {"thaw", &MembershipWorld::DoVm},
      {"stop", &MembershipWorld::DoVm},
      {"loss", &MembershipWorld::DoNetwork},
      {"duplicates", &MembershipWorld::DoNetwork},
      {"delay", &MembershipWorld::DoNetwork},
      {"cut", &MembershipWorld::DoCut},
      {"cut_one_way", &MembershipWorld::DoCut},
      {"isolate", &MembershipWorld::DoCut},
      {"split", &MembershipWorld::DoCut},
      {"heal", &MembershipWorld::DoCut},
      {"endpoints", &MembershipWorld::DoEndpoint},
      {"endpoint", &MembershipWorld::DoEndpoint},
      {"drain", &MembershipWorld::DoBackend},
      {"crash", &MembershipWorld::DoBackend},
      {"restart_backend", &MembershipWorld::DoBackend},
      {"run", &MembershipWorld::DoRun},
      {"quiet", &MembershipWorld::DoRun},
      {"mark", &MembershipWorld::DoRun},
      {"within", &MembershipWorld::DoWithin},
      {"expect", &MembershipWorld::DoExpect},
  };
  const auto it = kHandlers.find(step.verb);
  if (it == kHandlers.end()) {
    throw Failure("unknown step " + step.verb);
  }
  (this->*it->second)(step);
}

void MembershipWorld::DoVms(const Step& step) {
  const std::size_t first = vms_.size() + 1;
  AddVms(step.Number(0));
  for (std::size_t n = first; n <= vms_.size(); ++n) {
    Vm("vm" + std::to_string(n)).data_center = step.Named("in", "north");
    StartVm("vm" + std::to_string(n));
  }
}

void MembershipWorld::DoVm(const Step& step) {
  const std::string& name = step.Word(0);
  if (step.verb == "kill") {
    KillVm(name);
  } else if (step.verb == "freeze") {
    Freeze(name);
  } else if (step.verb == "thaw") {
    Thaw(name);
  } else if (step.verb == "stop") {
    FakeVm& vm = Vm(name);
    Outbox out;
    AppendToJournal(name + " announces its stop");
    vm.list->Leave(now_, *vm.registry, out);
    Flush(vm, out);
  } else {
    StartVm(name);
  }
}

void MembershipWorld::DoNetwork(const Step& step) {
  AppendToJournal(step.text);
  if (step.verb == "loss") {
    network_.SetLoss(step.Number(0));
  } else if (step.verb == "duplicates") {
    network_.SetDuplicates(step.Number(0));
  } else {
    network_.SetDelay(step.Time(0), step.Time(1));
  }
}

void MembershipWorld::DoCut(const Step& step) {
  AppendToJournal(step.text);
  if (step.verb == "heal") {
    network_.Heal();
  } else if (step.verb == "split") {
    Split(step.Number(0));
  } else if (step.verb == "isolate") {
    Isolate(step.Word(0));
  } else {
    const SocketAddress a = Vm(step.Word(0)).peer;
    const SocketAddress b = Vm(step.Word(1)).peer;
    network_.Disconnect(a, b);
    if (step.verb == "cut") {
      network_.Disconnect(b, a);
    }
  }
}

void MembershipWorld::DoEndpoint(const Step& step) {
  const ServiceId service{
      static_cast<std::uint32_t>(step.NamedNumber("service", 1))};
  if (step.verb == "endpoint") {
    Registration registration;
    registration.service = service;
    registration.address =
        SocketAddress::Parse(step.Named("address", "")).value();
    AddBackend(step.Word(0), registration);
    return;
  }
  const std::size_t first = backends_.size() + 1;
  AddEndpoints(step.Number(0), service);
  for (std::size_t n = first; n <= backends_.size(); ++n) {
    FakeBackend& it = Backend("e" + std::to_string(n));
    it.registration.lifetime =
        step.NamedTime("lifetime", it.registration.lifetime);
    it.renew_interval = step.NamedTime("renew", it.renew_interval);
    it.next_renewal += step.NamedTime("over", std::chrono::milliseconds(500)) *
                       (n - first) / step.Number(0);
  }
}

void MembershipWorld::DoBackend(const Step& step) {
  AppendToJournal(step.text);
  if (step.verb == "restart_backend") {
    RestartBackend(step.Word(0));
    return;
  }
  FakeBackend& backend = Backend(step.Word(0));
  if (step.verb == "drain") {
    backend.leaving = true;
    RegisterOrRenew(backend);
  } else {
    backend.running = false;
  }
}

void MembershipWorld::DoRun(const Step& step) {
  if (step.verb == "run") {
    Run(step.Time(0));
  } else if (step.verb == "quiet") {
    SetQuiet();
  } else {
    observed_states_.clear();
    marked_at_ = now_;
    marked_total_ = SentTotal();
  }
}

std::size_t MembershipWorld::SentTotal() const {
  return std::accumulate(vms_.begin(), vms_.end(), std::size_t{0},
                         [](std::size_t sum, const auto& it) {
                           return sum + it.second.sent_total;
                         });
}

std::size_t MembershipWorld::MeanRate() const {
  const auto elapsed =
      static_cast<std::size_t>((now_ - marked_at_) / std::chrono::seconds(1));
  return (SentTotal() - marked_total_) / elapsed / vms_.size();
}

void MembershipWorld::DoWithin(const Step& step) {
  const std::optional<Duration> took =
      RunUntil(step.Time(0), Condition(step, 1));
  if (!took) {
    throw Failure("the condition did not become true in time");
  }
  AppendToJournal("reached after " + Milliseconds(*took) + ": " + step.text);
  if (std::getenv("VANILLALATCH_SHOW_TIMES") != nullptr) {
    std::printf("%s: %s\n", step.text.c_str(), Milliseconds(*took).c_str());
  }
}

void MembershipWorld::DoExpect(const Step& step) {
  if (!Condition(step, 0)()) {
    throw Failure("the condition is false");
  }
}

std::vector<FakeVm*> MembershipWorld::ObservingVms(const Step& step) {
  const std::string by = step.Named("by", "all");
  return by == "all" ? Running() : std::vector<FakeVm*>{&Vm(by)};
}

bool MembershipWorld::HasConverged(bool members_only) {
  const auto observers = Running();
  return std::all_of(observers.begin(), observers.end(), [&](FakeVm* it) {
    const auto [members, endpoints] = ViewOf(*it);
    const auto [first_members, first_endpoints] = ViewOf(*observers.front());
    return members == first_members &&
           (members_only || endpoints == first_endpoints);
  });
}

std::function<bool()> MembershipWorld::Condition(const Step& step,
                                                 std::size_t n) {
  const std::string& kind = step.Word(n);
  if (kind == "member") {
    const std::string& name = step.Word(n + 1);
    const std::string& state = step.Word(n + 2);
    return [=, this] {
      const auto observers = ObservingVms(step);
      return std::all_of(observers.begin(), observers.end(), [&](FakeVm* it) {
        return it->name == name || MemberStateMatches(*it, name, state);
      });
    };
  }
  if (kind == "ready") {
    const std::size_t count = step.Number(n + 1);
    return [=, this] {
      const auto observers = ObservingVms(step);
      return std::all_of(observers.begin(), observers.end(),
                         [&](FakeVm* it) { return ReadyCount(*it) == count; });
    };
  }
  if (kind == "endpoint") {
    return EndpointCondition(step, n + 1);
  }
  if (kind == "converged") {
    const bool members_only = step.words.size() > n + 1;
    return [=, this] { return HasConverged(members_only); };
  }
  if (kind == "never") {
    return [=, this] {
      const std::string& name = step.Word(n + 1);
      return std::none_of(observed_states_.begin(), observed_states_.end(),
                          [&](const auto& it) {
                            return it.first == name &&
                                   Matches(it.second, step.Word(n + 2));
                          });
    };
  }
  if (kind == "busiest_second") {
    return [=, this] {
      const auto it = std::max_element(
          vms_.begin(), vms_.end(), [](const auto& a, const auto& b) {
            return a.second.busiest_second < b.second.busiest_second;
          });
      const std::size_t bytes = it->second.busiest_second;
      if (std::getenv("VANILLALATCH_SHOW_TIMES") != nullptr) {
        std::printf("busiest second: %zu bytes\n", bytes);
      }
      AppendToJournal("busiest second: " + std::to_string(bytes) + " bytes");
      return bytes <= step.Number(n + 1);
    };
  }
  if (kind == "mean_rate") {
    return [=, this] {
      if (std::getenv("VANILLALATCH_SHOW_TIMES") != nullptr) {
        std::printf("mean rate: %zu bytes a second\n", MeanRate());
      }
      return MeanRate() <= step.Number(n + 1);
    };
  }
  throw Failure("unknown condition " + kind);
}

std::function<bool()> MembershipWorld::EndpointCondition(const Step& step,
                                                         std::size_t n) {
  const std::string& name = step.Word(n);
  const std::string& want = step.Word(n + 1);
  return [=, this] {
    const auto observers = ObservingVms(step);
    return std::all_of(observers.begin(), observers.end(), [&](FakeVm* vm) {
      const std::vector<Endpoint> all = EndpointsOf(*vm);
      const auto it =
          std::find_if(all.begin(), all.end(),
                       [&](const Endpoint& e) { return e.name == name; });
      const bool ready = it != all.end() && it->state == EndpointState::kReady;
      return want == "absent" ? it == all.end() : ready == (want == "ready");
    });
  };
}

}  // namespace vanillalatch
