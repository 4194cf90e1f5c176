// The decisions of one control VM: the replicated log, the catalog state
// machine over it, and the answers to operators and entry VMs. No I/O but the
// disk that is passed in.
//
//   auto node = ControlNode::Create(options, disk, now, seed).value();
//   node->OnApply(now, ticket, request);
//   ControlActions actions = node->TakeActions();
#ifndef VANILLALATCH_CONTROL_CONTROL_NODE_H_
#define VANILLALATCH_CONTROL_CONTROL_NODE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "consensus.pb.h"
#include "control.pb.h"
#include "vanillalatch/base/result.h"
#include "vanillalatch/base/strong.h"
#include "vanillalatch/base/time.h"
#include "vanillalatch/storage/disk.h"

namespace vanillalatch {

// Names one open call of an operator or entry VM; chosen by the shell.
using Ticket = Strong<struct TicketTag, std::uint64_t>;

// A control VM as the settings name it.
struct ControlPeer {
  std::string vm;
  std::string address;  // gRPC.
  std::string data_center;
};

struct ControlOptions {
  std::string vm;
  std::vector<ControlPeer> initial;  // The first voters, this VM included.
  // Any VM may join through those of `initial`; this one then need not be
  // among them, and is reached at `address`.
  bool open = false;
  bool may_found = true;  // The first voters may found the group.
  std::string address;
  std::string data_center;
  Duration heartbeat = std::chrono::milliseconds(200);
  Duration election_timeout = std::chrono::milliseconds(1000);
  // A Sync call with nothing newer is answered after this time.
  Duration sync_hold = std::chrono::milliseconds(1000);
  std::uint64_t snapshot_every = 256;  // Log entries.
};

// What the shell has to carry out, in this order.
struct ControlActions {
  struct Send {
    std::string address;  // gRPC address of the receiver.
    pb::ConsensusMessage message;
  };
  std::vector<Send> sends;
  std::vector<std::pair<Ticket, pb::ApplyReply>> applies;
  std::vector<std::pair<Ticket, pb::GetReply>> gets;
  std::vector<std::pair<Ticket, pb::HistoryReply>> histories;
  std::vector<std::pair<Ticket, pb::StatusReply>> statuses;
  std::vector<std::pair<Ticket, pb::SyncReply>> syncs;
};

class ControlNode {
 public:
  // Opens the stored state, or starts with a new identity on an empty disk.
  // Errors: kCorrupt, kStorage, kInvalidArgument.
  static Result<std::unique_ptr<ControlNode>> Create(ControlOptions options,
                                                     Disk& disk, TimePoint now,
                                                     std::uint64_t seed);
  virtual ~ControlNode() = default;

  virtual void OnMessage(TimePoint now,
                         const pb::ConsensusMessage& message) = 0;
  virtual void OnTick(TimePoint now) = 0;
  virtual TimePoint NextWake() const = 0;

  // Each ticket gets exactly one reply, in the actions of this or a later
  // event. A reply names the leader if this VM does not lead.
  virtual void OnApply(TimePoint now, Ticket ticket,
                       const pb::ApplyRequest& request) = 0;
  virtual void OnGet(TimePoint now, Ticket ticket) = 0;
  virtual void OnHistory(TimePoint now, Ticket ticket,
                         const pb::HistoryRequest& request) = 0;
  virtual void OnStatus(TimePoint now, Ticket ticket) = 0;
  virtual void OnSync(TimePoint now, Ticket ticket,
                      const pb::SyncRequest& request) = 0;

  // Hands leadership to another voter before a planned stop and answers every
  // open call. True when both are done; call it again until then.
  virtual bool BeginStop(TimePoint now) = 0;

  virtual ControlActions TakeActions() = 0;
  virtual pb::ControlStatus Status() const = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_CONTROL_CONTROL_NODE_H_
