// One control VM: a replica of the log, the catalog state machine that the log
// drives, and the answers to operators and entry VMs. The class does no I/O
// except to the disk that is passed in, and reads no clock. Its owner, the
// shell (src/runtime/control_shell.h), passes it events and carries out the
// resulting actions.
//
// A catalog revision is "committed" when a majority of control VMs has stored
// it, and "in force" at an entry VM once that VM has received it.
//
//   auto node = ControlNode::Create(options, disk, now, seed).value();
//   node->OnApply(now, ticket, request);
//   ControlActions actions = node->TakeActions();
#ifndef VANILLALATCH_CONTROL_CONTROL_NODE_H_
#define VANILLALATCH_CONTROL_CONTROL_NODE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "catalog.pb.h"
#include "consensus.pb.h"
#include "control.pb.h"
#include "vanillalatch/base/result.h"
#include "vanillalatch/base/strong.h"
#include "vanillalatch/base/time.h"
#include "vanillalatch/consensus/replica_store.h"
#include "vanillalatch/feature/feature_level.h"
#include "vanillalatch/storage/disk.h"

namespace vanillalatch {

// A call that every build refuses without an effect, but builds that apply
// evacuation orders for another reason than earlier ones: an order inside a
// change that is invalid otherwise.
pb::ApplyRequest MakeLevelProbe();
// The lowest level that a VM with this answer to the probe can have.
FeatureLevel LevelFromProbe(const pb::ApplyReply& reply);

// Identifies one open call of an operator or entry VM. Assigned by the shell.
using Ticket = Strong<struct TicketTag, std::uint64_t>;

// A control VM as listed in the settings.
struct ControlPeer {
  std::string vm;
  std::string address;  // gRPC address.
  std::string data_center;
};

struct ControlOptions {
  std::string vm;                           // Name of this VM.
  std::vector<ControlPeer> configured_vms;  // The control VMs of the settings.
  // If true, any VM may join through one of `configured_vms`. This VM need not
  // be among them and is then reached at `address`.
  bool open_membership = false;
  bool may_bootstrap = true;  // May create the group if no VM has a log.
  // gRPC address and data centre of this VM. Used only if it is not among
  // `configured_vms`.
  std::string address;
  std::string data_center;
  // Interval between the broadcasts of a leader.
  Duration heartbeat = std::chrono::milliseconds(200);
  // Time without a leader's message after which a voter starts an election. See
  // ReplicaOptions.
  Duration election_timeout = std::chrono::milliseconds(1000);
  // A Sync call is a long poll: if no newer catalog appears, it is answered
  // after this time.
  Duration sync_hold = std::chrono::milliseconds(1000);
  // A snapshot is taken after this many log entries or bytes of them, whichever
  // comes first. A change contains the whole flow table, so a few changes of a
  // large one take as much as many small ones, and a start reads all of them.
  std::uint64_t snapshot_every = 256;
  std::size_t snapshot_bytes = std::size_t{1} << 20;
  // The data centres that may be evacuated; empty: all.
  std::vector<std::string> data_centers;
  // The level of this build. See ReplicaOptions.
  FeatureLevel level = kCurrentLevel;
};

// What the process knows about a call besides its content.
struct CallOrigin {
  TimePoint received;  // When the process received the call.
  // True once the sender no longer waits for the answer. Must answer from the
  // present state of the connection. Empty if that can't be known.
  std::function<bool()> is_abandoned;
};

// What the shell has to carry out, in this order. Each reply belongs to the
// call with its ticket.
struct ControlActions {
  struct Send {
    std::string address;  // gRPC address of the receiver.
    pb::ConsensusMessage message;
  };
  // Asks a control VM that states no feature level for it, by the Apply call
  // MakeLevelProbe(). The answer goes to OnProbeAnswered().
  struct Probe {
    std::uint64_t replica = 0;  // Id.
    std::string address;        // gRPC address of the receiver.
  };
  std::vector<Send> sends;
  std::vector<Probe> probes;
  std::vector<std::pair<Ticket, pb::ApplyReply>> applies;
  std::vector<std::pair<Ticket, pb::GetReply>> gets;
  std::vector<std::pair<Ticket, pb::HistoryReply>> histories;
  std::vector<std::pair<Ticket, pb::StatusReply>> statuses;
  std::vector<std::pair<Ticket, pb::SyncReply>> syncs;
};

// The role in the status of a control VM whose log is not open.
inline constexpr const char* kClosedRole = "closed";

class ControlNode {
 public:
  // The end of a connection follows the bytes that were held up with it within
  // a round trip, or within TCP's minimum retransmission timeout of 200 ms.
  static constexpr Duration kOrderSettleTime = std::chrono::milliseconds(250);

  // Opens the stored state, or starts with a new identity on an empty disk.
  // `seed` must differ at every start. Errors: kCorrupt if a file is damaged,
  // kStorage if the disk fails, kInvalidArgument for options out of range.
  static Result<std::unique_ptr<ControlNode>> Create(ControlOptions options,
                                                     Disk& disk, TimePoint now,
                                                     std::uint64_t seed);
  virtual ~ControlNode() = default;

  // Each event function may throw Error(kStorage) if the disk fails. The node
  // is then unusable, as it is unknown what was stored.

  // Handles a message from another control VM.
  virtual void OnMessage(TimePoint now,
                         const pb::ConsensusMessage& message) = 0;
  // Handles the answer to a probe. `level` is that of LevelFromProbe().
  virtual void OnProbeAnswered(TimePoint now, std::uint64_t replica,
                               FeatureLevel level) = 0;
  // Handles timeouts that are due. To be called at NextWake().
  virtual void OnTick(TimePoint now) = 0;
  virtual TimePoint NextWake() const = 0;

  // Each starts one call. The call's ticket gets exactly one reply, in the
  // actions of this or a later event. If this VM is not the leader, the reply
  // names the leader where it is known.
  void OnApply(TimePoint now, Ticket ticket, const pb::ApplyRequest& request) {
    OnApply(now, ticket, request, {now, {}});
  }
  // An evacuation order changes nothing if it has waited since it was received
  // for the deadline of a call, or if its sender has abandoned it: the sender
  // may have sent the opposite order since. With `is_abandoned`, the order is
  // therefore proposed kOrderSettleTime after it was received.
  virtual void OnApply(TimePoint now, Ticket ticket,
                       const pb::ApplyRequest& request, CallOrigin origin) = 0;
  virtual void OnGet(TimePoint now, Ticket ticket) = 0;
  virtual void OnHistory(TimePoint now, Ticket ticket,
                         const pb::HistoryRequest& request) = 0;
  virtual void OnStatus(TimePoint now, Ticket ticket) = 0;
  virtual void OnSync(TimePoint now, Ticket ticket,
                      const pb::SyncRequest& request) = 0;

  // Transfers leadership to another voter before a planned stop and answers
  // every open call. Returns true when both are done; the caller repeats the
  // call until then.
  virtual bool BeginStop(TimePoint now) = 0;

  // Returns and clears the actions that resulted since the last call.
  virtual ControlActions TakeActions() = 0;
  // The role, term, commit index and catalog revision of this VM.
  virtual pb::ControlStatus Status() const = 0;
  // The catalog as far as this VM knows that it is committed.
  virtual const pb::Catalog& catalog() const = 0;
  // What Create() has found in the log file.
  virtual const LogFileSummary& log_file() const = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_CONTROL_CONTROL_NODE_H_
