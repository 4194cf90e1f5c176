// MembershipWorld: a simulation of entry VMs, each with a MemberList and a
// Registry, and of backend servers that register with any of them, over a
// simulated network in virtual time.
//
//   MembershipWorld world(seed);
//   world.AddVms(7);
//   world.AddEndpoints(19, ServiceId{1});
//   world.Run(std::chrono::seconds(3));
//
// Scenarios run in it with the steps listed in world_steps.cc.
#ifndef VANILLALATCH_SRC_REGISTRY_TESTING_MEMBERSHIP_WORLD_H_
#define VANILLALATCH_SRC_REGISTRY_TESTING_MEMBERSHIP_WORLD_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "src/registry/testing/fake_network.h"
#include "vanillalatch/membership/member_list.h"
#include "vanillalatch/registry/registry.h"
#include "vanillalatch/scenario/scenario.h"

namespace vanillalatch {

// An entry VM. `list` and `registry` are null while it is down.
struct FakeVm {
  std::string name;
  std::string data_center = "north";
  SocketAddress peer;
  std::uint64_t incarnation = 0;
  std::unique_ptr<MemberList> list;
  std::unique_ptr<Registry> registry;
  bool frozen = false;
  std::vector<FakeNetwork::Packet> socket;  // Received while frozen.
  TimePoint next_tick;
  std::uint64_t recorded_version = 0;
  std::map<NodeId, Member> recorded_members;  // As last written to the journal.
  std::deque<std::pair<TimePoint, std::size_t>> sends;  // In the last second.
  std::size_t sent_in_second = 0;
  std::size_t busiest_second = 0;  // Bytes with IP and UDP headers.
  std::size_t sent_total = 0;      // Bytes with IP and UDP headers.
};

// A backend server.
struct FakeBackend {
  Registration registration;
  bool running = true;
  bool leaving = false;  // Set until a VM accepted that it leaves.
  Duration renew_interval = std::chrono::seconds(3);
  TimePoint next_renewal;
  std::optional<EndpointId> id;
  std::string last_error;
};

class MembershipWorld {
 public:
  explicit MembershipWorld(std::uint64_t seed);

  // Executes one step of a scenario. Throws scenario::Failure if the step is
  // invalid or its condition does not hold.
  void Do(const scenario::Step& step);
  // The log of the steps and of the changes that they cause, one per line.
  std::string Journal() const { return journal_; }

  // Adds VMs with the next names of vm1, vm2, ..., which are not running yet.
  void AddVms(std::size_t count);
  // Starts the VM with a higher incarnation, also if it is running.
  void StartVm(const std::string& name);
  void KillVm(const std::string& name);
  // The VM handles nothing until Thaw(); datagrams wait in its socket.
  void Freeze(const std::string& name);
  void Thaw(const std::string& name);
  // Adds backend servers with the next names of e1, e2, ...
  void AddEndpoints(std::size_t count, ServiceId service);
  FakeBackend& AddBackend(const std::string& name, Registration registration);
  // Registers the backend server with a higher epoch, as after a restart.
  void RestartBackend(const std::string& name);
  // Partitions the first `first` VMs from the others.
  void Split(std::size_t first);
  // Partitions the VM from all others.
  void Isolate(const std::string& name);
  // Simulates `duration` of virtual time.
  void Run(Duration duration);
  // Runs until holds() is true, for at most `limit`. Returns the time that it
  // took, or nullopt if the limit was reached.
  std::optional<Duration> RunUntil(Duration limit,
                                   const std::function<bool()>& holds);

  // Both throw scenario::Failure if there is nothing of this name.
  FakeVm& Vm(const std::string& name);
  FakeBackend& Backend(const std::string& name);
  FakeNetwork& network() { return network_; }
  std::map<std::string, FakeVm>& vms() { return vms_; }
  std::map<std::string, FakeBackend>& backends() { return backends_; }
  TimePoint now() const { return now_; }
  // True if all running VMs have the same members that are not dead and, unless
  // `members_only`, the same endpoints.
  bool HasConverged(bool members_only);
  // VMs that are up and not frozen.
  std::vector<FakeVm*> Running();
  // Stops writing to the journal.
  void SetQuiet() { quiet_ = true; }
  // Sets a function to be called after each event with the VM that handled it.
  void SetObserver(std::function<void(FakeVm&)> observer) {
    observer_ = std::move(observer);
  }

 private:
  using Handler = void (MembershipWorld::*)(const scenario::Step&);

  void DoVms(const scenario::Step& step);
  void DoVm(const scenario::Step& step);
  void DoNetwork(const scenario::Step& step);
  void DoCut(const scenario::Step& step);
  void DoBackend(const scenario::Step& step);
  void DoEndpoint(const scenario::Step& step);
  void DoRun(const scenario::Step& step);
  void DoWithin(const scenario::Step& step);
  void DoExpect(const scenario::Step& step);
  // Parses the condition in the words of `step` from index `n` on.
  std::function<bool()> Condition(const scenario::Step& step, std::size_t n);
  std::function<bool()> EndpointCondition(const scenario::Step& step,
                                          std::size_t n);
  // Bytes sent by all VMs, with IP and UDP headers.
  std::size_t SentTotal() const;
  // Bytes sent per second and VM since the last `mark` step.
  std::size_t MeanRate() const;
  // The VMs on which a condition must hold: see world_steps.cc.
  std::vector<FakeVm*> ObservingVms(const scenario::Step& step);

  TimePoint NextEvent();
  void StepOnce(TimePoint until);
  void Deliver(const FakeNetwork::Packet& packet);
  void Receive(FakeVm& vm, const FakeNetwork::Packet& packet);
  void Tick(FakeVm& vm);
  void Flush(FakeVm& vm, Outbox& out);
  void CountSend(FakeVm& vm, std::size_t bytes);
  void RegisterOrRenew(FakeBackend& backend);
  void RecordMemberChanges(FakeVm& vm);
  void AppendToJournal(const std::string& text);

  std::mt19937_64 rng_;
  FakeNetwork network_;
  TimePoint now_{std::chrono::seconds(1)};
  std::map<std::string, FakeVm> vms_;
  std::map<std::uint64_t, FakeVm*> by_peer_;  // By packed peer address.
  std::map<NodeId, std::string> names_;
  std::map<std::string, FakeBackend> backends_;
  std::vector<SocketAddress> seeds_;
  // VMs and the states in which any VM listed them since the last `mark` step.
  std::set<std::pair<std::string, MemberState>> observed_states_;
  std::function<void(FakeVm&)> observer_;  // See SetObserver().
  TimePoint marked_at_ = now_;
  std::size_t marked_total_ = 0;  // Bytes sent by all VMs up to the mark.
  bool quiet_ = false;
  std::string journal_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_REGISTRY_TESTING_MEMBERSHIP_WORLD_H_
