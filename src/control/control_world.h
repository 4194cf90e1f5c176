// Simulates control VMs, entry VMs and operators over a fake network and fake
// disks, for tests. After every event it checks invariants, such as one leader
// per term. The first violation throws scenario::Failure.
#ifndef VANILLALATCH_SRC_CONTROL_CONTROL_WORLD_H_
#define VANILLALATCH_SRC_CONTROL_CONTROL_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/control/control_node_impl.h"
#include "src/control/fake_network.h"
#include "src/storage/fake_disk.h"
#include "vanillalatch/control/sync_plan.h"
#include "vanillalatch/scenario/scenario.h"

namespace vanillalatch {

struct ControlVm {
  std::string name;
  FakeDisk disk;
  std::unique_ptr<ControlNode> node;  // Null while the VM is down.
  std::uint64_t starts = 0;
  std::uint64_t identity = 0;
  std::uint64_t first_identity = 0;
  // True for the first start of the first VMs. Used only with seeds_.
  bool may_bootstrap = false;
  bool frozen = false;
  bool stopping = false;
  // A crash at a sync ends only the process; otherwise the VM loses power.
  bool is_killed_at_sync = false;
  bool is_reopening = false;  // After a disk error.
  // Of the build that the next start runs. Builds below kEvacuationLevel drop
  // evacuation orders of operators.
  FeatureLevel level = kCurrentLevel;
  std::vector<std::function<void()>> queued_events;  // Arrived while frozen.
  std::uint64_t checked_index = 0;  // Last log entry that was checked.
  std::uint64_t last_term = 0;
  TimePoint next_wake = kNever;
  std::uint64_t sent_bytes = 0;
};

// An entry VM. Its calls are those of a SyncPlan.
struct EntryVm {
  std::string name;
  std::string state = "serving";
  std::optional<SyncPlan> plan;
  std::uint64_t starts = 0;    // Answers to calls of an earlier start are lost.
  std::uint64_t revision = 0;  // In force.
  TimePoint next_wake = kNever;
};

// A change that an operator applies, with retries.
struct OperatorCall {
  std::string operator_name;
  pb::Change change;
  std::size_t control_index = 0;  // Index of the control VM that is asked.
  std::uint64_t attempt = 0;
  TimePoint deadline;
  std::optional<pb::ApplyReply> reply;  // The last final answer.
  unsigned answers_to_lose = 0;  // Number of coming answers that get lost.
  std::string first_answer;  // The outcome that every later answer must repeat.
  std::size_t order = 0;     // Index in orders_, for an evacuation order.
};

// What an operator has seen of an evacuation order.
struct ObservedOrder {
  pb::EvacuationOrder order;
  TimePoint sent;  // For the first time.
  // When it was acknowledged; otherwise the time after which no control VM may
  // propose it.
  TimePoint latest;
  bool acknowledged = false;
};

class ControlWorld {
 public:
  explicit ControlWorld(std::uint64_t seed);
  // Executes one step of a scenario. Throws scenario::Failure if the step is
  // unknown or if it expects something that does not hold.
  void Do(const scenario::Step& step);
  // The events so far with their times, one per line.
  std::string Journal() const { return journal_; }

  // Used by the scenario steps and by the randomized test.
  void AddControls(std::size_t count, std::uint64_t snapshot_every,
                   FeatureLevel level = kCurrentLevel);
  // The same for a fleet: its VMs know only the first three as seeds.
  void AddFleet(std::size_t count, std::uint64_t snapshot_every);
  void AddControl(const std::string& name);
  // Starts an entry VM, again if it runs, whose settings name these control
  // VMs.
  void AddEntry(const std::string& name,
                const std::vector<std::string>& controls);
  void Start(const std::string& name);
  // A loss of power.
  void Crash(const std::string& name, bool torn);
  // Ends the process; its files stay as they are.
  void Kill(const std::string& name);
  void LoseDisk(const std::string& name);  // Crashes the VM, too.
  // Crashes the VM if it is up, and starts it with a build of `level`.
  void ReplaceBuild(const std::string& name, FeatureLevel level);
  // The level that the fleet has committed, as the leader knows it.
  FeatureLevel FleetLevel() const;
  // True if the leader has committed a configuration in which all control VMs
  // are voters with their current identities.
  bool IsRepaired() const;
  // Leaves room for `bytes` more bytes.
  void FillDisk(const std::string& name, std::size_t bytes);
  void EmptyDisk(const std::string& name);
  void Freeze(const std::string& name);
  // Handles the queued events in the order of arrival or in reverse order.
  void Thaw(const std::string& name, bool newest_first);
  // Disconnects a control VM from the other control VMs.
  void Isolate(const std::string& name);
  // Applies a change with one service. The operator `author` calls `at` first,
  // retries at other control VMs and gives up after `within`.
  void Apply(const std::string& author, const std::string& id,
             std::uint64_t base, const std::string& service,
             const std::string& at, Duration within);
  // Sends an evacuation order in the same way.
  void Order(const std::string& author, const std::string& id,
             const std::string& data_center, bool end, const std::string& at,
             Duration within);
  // Reads the catalog at a control VM. The reply must be as new as the latest
  // revision that an operator had received before.
  void Get(const std::string& at);
  void Run(Duration duration);
  // Runs until `done` is true or `limit` has passed. Returns the value of
  // `done`.
  bool RunUntil(Duration limit, const std::function<bool()>& done);

  FakeNetwork& network() { return network_; }
  ControlVm& Control(const std::string& name);
  OperatorCall& Call(const std::string& id);
  // The leader with the highest term; empty if there is none.
  std::string Leader() const;
  std::vector<std::string> ControlNames() const;
  const std::vector<ObservedOrder>& orders() const { return orders_; }
  const std::optional<pb::GetReply>& last_get() const { return last_get_; }
  std::uint64_t accepted_revision() const { return accepted_revision_; }
  std::uint64_t RevisionOf(const std::string& entry) const {
    return entries_.at(entry).revision;
  }
  // Tells an entry VM that these control VMs are members of its fleet.
  void SetMembers(const std::string& entry,
                  const std::vector<std::string>& controls);
  // Passes the highest revision that an entry VM has in force to the others, as
  // their probes do.
  void StateRevisions();
  // True if `revision` is in force at every entry VM except `excluded`.
  bool IsInForceEverywhere(std::uint64_t revision,
                           const std::string& excluded = "") const;

 private:
  using Arguments = const scenario::Step&;
  void AppendJournal(const std::string& line);
  ControlOptions OptionsOf(const std::string& name) const;

  // Control VMs.
  // Runs `work` if the VM is up. Queues it while the VM is frozen.
  void Deliver(const std::string& name, std::function<void()> work);
  // Runs `work` on the VM's node, executes the resulting actions and checks the
  // node. A crash at a sync crashes the VM.
  void RunOnNode(ControlVm& vm, const std::function<void(ControlNode&)>& work);
  void ExecuteActions(ControlVm& vm, ControlActions actions);
  void SendProbe(const std::string& from, const ControlActions::Probe& probe);
  // The answer of a build from before evacuation orders.
  static pb::ApplyReply AnswerProbeAsOldBuild();
  void ScheduleTick(ControlVm& vm);
  void HandleDiskCrash(ControlVm& vm);
  // Destroys the node after a disk error and opens it again later.
  void Reopen(ControlVm& vm, const Error& error);
  std::string NameOfAddress(const std::string& address) const;

  // Entry VMs and operators.
  // Makes the calls that are due, and schedules the next time.
  void AdvanceEntry(const std::string& name);
  void SendSync(const std::string& name, const SyncStart& start);
  void HandleSyncReply(const std::string& name, SyncCallId call,
                       const pb::SyncReply& reply);
  void EndSync(const std::string& name, SyncCallId call,
               const SyncOutcome& outcome);
  void StartCall(OperatorCall& call, const std::string& at, Duration within);
  void SendApply(const std::string& id);
  void HandleApplyReply(const std::string& id, std::uint64_t attempt,
                        const pb::ApplyReply& reply);
  void RetryAtNextControl(OperatorCall& call);

  // Invariants, checked after events, and expectations of scenarios.
  void CheckAll();
  static const Replica& ReplicaOf(const ControlVm& vm);
  void CheckNode(ControlVm& vm);
  // Checks that the build of the VM can read the message.
  static void CheckReadable(const ControlVm& vm,
                            const pb::ConsensusMessage& message);
  void CheckCatalog(const pb::Catalog& catalog);
  // Checks the evacuations in a catalog that was read since `begin` against the
  // orders that operators saw acknowledged.
  void CheckEvacuations(TimePoint begin, const pb::Catalog& catalog) const;
  void CheckSync(const EntryVm& entry, const pb::SyncReply& reply) const;
  void CheckAnswer(OperatorCall& call, const pb::ApplyReply& reply);
  void Expect(Arguments step);
  void ExpectOutcome(Arguments step);
  void ExpectOneWins(Arguments step);
  void ExpectEvacuated(Arguments step);
  void ExpectReplica(Arguments step);
  void ExpectInForce(Arguments step);
  void ExpectLeader(Arguments step);
  void ExpectVoters(Arguments step);
  void ExpectGroup(Arguments step);
  void ExpectStatus(Arguments step);

  // Scenario steps. Each returns false if the verb is not one of its steps.
  bool DoControlStep(Arguments step);
  bool DoNetworkStep(Arguments step);
  bool DoCallerStep(Arguments step);

  FakeNetwork network_;
  std::uint64_t snapshot_every_ = 256;
  std::vector<std::string> data_centers_;  // As in the settings; empty: all.
  // The VMs that the settings list, for the control VMs that start from now on.
  // Other control VMs join through them. If empty, the settings list all VMs.
  std::vector<std::string> seeds_;
  std::map<std::string, ControlVm> controls_;
  std::map<std::string, EntryVm> entries_;
  std::map<std::string, OperatorCall> calls_;  // By change id.
  std::uint64_t next_ticket_ = 0;
  std::map<std::uint64_t, std::function<void(const pb::ApplyReply&)>> applies_;
  std::map<std::uint64_t, std::function<void(const pb::GetReply&)>> gets_;
  std::map<std::uint64_t, std::function<void(const pb::SyncReply&)>> syncs_;
  std::map<std::uint64_t, std::function<void(const pb::StatusReply&)>>
      statuses_;
  std::string journal_;

  // Observations that the checks compare with.
  std::map<std::uint64_t, std::string> leader_of_term_;
  std::map<std::uint64_t, std::string> committed_;  // Entry by log index.
  std::map<std::uint64_t, std::string> catalogs_;   // By revision.
  std::map<std::uint64_t, std::string> accepted_;   // Change id by revision.
  std::uint64_t accepted_revision_ = 0;             // Reported to an operator.
  std::vector<ObservedOrder> orders_;
  std::string last_leader_;
  std::optional<pb::GetReply> last_get_;
  std::optional<pb::StatusReply> last_status_;
  // Terms stored by the step mark-term.
  std::map<std::string, std::uint64_t> marked_terms_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_CONTROL_CONTROL_WORLD_H_
