// Control VMs, entry VMs and operators over a fake network and fake disks.
// Every event is followed by checks of what must always hold; the first that
// fails throws scenario::Failure.
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
#include "vanillalatch/scenario/scenario.h"

namespace vanillalatch {

struct ControlVm {
  std::string name;
  FakeDisk disk;
  std::unique_ptr<ControlNode> node;  // Empty while it is down.
  std::uint64_t starts = 0;
  std::uint64_t identity = 0;
  std::uint64_t first_identity = 0;
  bool founds = false;  // In a fleet: the whole of it starts first.
  bool frozen = false;
  bool stopping = false;
  std::vector<std::function<void()>> held;  // Arrived while frozen.
  std::uint64_t checked = 0;                // Log index.
  std::uint64_t last_term = 0;
  TimePoint wake = kNever;
  std::uint64_t sent_bytes = 0;
};

// An entry VM keeps one Sync call open, at one control VM after the other.
struct EntryVm {
  std::string name;
  std::string state = "serving";
  std::vector<std::string> controls;
  std::size_t at = 0;  // Index of the control VM in use.
  std::uint64_t revision = 0;
  std::uint64_t call = 0;  // Running number of the open call.
};

struct OperatorCall {
  std::string name;
  pb::Change change;
  std::size_t at = 0;  // Control VM asked.
  std::uint64_t attempt = 0;
  TimePoint give_up;
  std::optional<pb::ApplyReply> reply;  // The last final answer.
  unsigned lose_answers = 0;
  std::string first_answer;  // Of the change id; the same for ever.
};

class ControlWorld {
 public:
  explicit ControlWorld(std::uint64_t seed);
  void Do(const scenario::Step& step);
  std::string Journal() const { return journal_; }

  // Used by the steps and by the randomized run.
  void AddControls(std::size_t count, std::uint64_t snapshot_every);
  void AddControl(const std::string& name);
  void AddEntry(const std::string& name, std::vector<std::string> controls);
  void Start(const std::string& name);
  void Crash(const std::string& name, bool torn);
  void LoseDisk(const std::string& name);  // And crash.
  // True if some leader has committed a group of all VMs as voters with their
  // present identities.
  bool Repaired() const;
  void Freeze(const std::string& name);
  // What arrived meanwhile is handled in order, or the newest first.
  void Thaw(const std::string& name, bool newest_first);
  void Isolate(const std::string& name);
  void Apply(const std::string& author, const std::string& id,
             std::uint64_t base, const std::string& service,
             const std::string& at, Duration within);
  void Get(const std::string& at);
  void Run(Duration duration);
  bool RunUntil(Duration limit, const std::function<bool()>& done);

  FakeNetwork& network() { return network_; }
  ControlVm& Control(const std::string& name);
  OperatorCall& Call(const std::string& id);
  std::string Leader() const;  // The one with the highest term, or empty.
  std::vector<std::string> ControlNames() const;
  std::uint64_t accepted_revision() const { return accepted_revision_; }
  // At every entry VM but `skipped`.
  bool AllInForce(std::uint64_t revision,
                  const std::string& skipped = "") const;

 private:
  using Arguments = const scenario::Step&;
  void Note(const std::string& line);
  ControlOptions OptionsOf(const std::string& name) const;

  // Control VMs.
  void Deliver(const std::string& name, std::function<void()> work);
  void Use(ControlVm& vm, const std::function<void(ControlNode&)>& work);
  void Carry(ControlVm& vm, ControlActions actions);
  void ScheduleTick(ControlVm& vm);
  std::string NameOfAddress(const std::string& address) const;

  // Callers.
  void SyncNext(const std::string& name);
  void TakeSync(const std::string& name, std::uint64_t call,
                const pb::SyncReply& reply);
  void Ask(const std::string& id);
  void TakeApply(const std::string& id, std::uint64_t attempt,
                 const pb::ApplyReply& reply);
  void AskNextControl(OperatorCall& call);

  // Checks.
  void CheckAll();
  static const Replica& ReplicaOf(const ControlVm& vm);
  void CheckNode(ControlVm& vm);
  void CheckCatalog(const pb::Catalog& catalog);
  void CheckSync(const EntryVm& entry, const pb::SyncReply& reply) const;
  void CheckAnswer(OperatorCall& call, const pb::ApplyReply& reply);
  void Expect(Arguments step);
  void ExpectOutcome(Arguments step);
  void ExpectOneWins(Arguments step);
  void ExpectReplica(Arguments step);
  void ExpectInForce(Arguments step);
  void ExpectLeader(Arguments step);
  void ExpectVoters(Arguments step);
  void ExpectStatus(Arguments step);

  // Steps.
  bool DoControlStep(Arguments step);
  bool DoNetworkStep(Arguments step);
  bool DoCallerStep(Arguments step);

  FakeNetwork network_;
  std::uint64_t snapshot_every_ = 256;
  std::vector<std::string> seeds_;  // Of a fleet, for whoever starts next.
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

  // What has been seen, for the checks.
  std::map<std::uint64_t, std::string> leader_of_term_;
  std::map<std::uint64_t, std::string> committed_;  // Entry by log index.
  std::map<std::uint64_t, std::string> catalogs_;   // By revision.
  std::map<std::uint64_t, std::string> accepted_;   // Change id by revision.
  std::uint64_t accepted_revision_ = 0;             // Told to an operator.
  std::string last_leader_;
  std::optional<pb::GetReply> last_get_;
  std::optional<pb::StatusReply> last_status_;
  std::map<std::string, std::uint64_t> marks_;  // Remembered terms.
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_CONTROL_CONTROL_WORLD_H_
