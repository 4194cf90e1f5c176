// One replica of the replicated log: elections, replication, snapshots and
// changes of the group, without I/O. Whoever owns it carries out the actions
// of each event in order: first make everything durable, then send, then
// apply.
//
//   Replica replica = Replica::Create(options, stored, now, seed).value();
//   replica.OnMessage(now, message);
//   ReplicaActions actions = replica.TakeActions();
//   store.Save(actions);               // Synced before anything leaves.
//   for (const auto& it : actions.sends) transport.Send(it);
//   for (const pb::LogEntry& it : actions.committed) state.Apply(it);
#ifndef VANILLALATCH_CONSENSUS_REPLICA_H_
#define VANILLALATCH_CONSENSUS_REPLICA_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "consensus.pb.h"
#include "vanillalatch/base/result.h"
#include "vanillalatch/base/strong.h"
#include "vanillalatch/base/time.h"
#include "vanillalatch/consensus/replicated_log.h"

namespace vanillalatch {

// One replica: its VM's name and the identity of its disk.
using ReplicaId = Strong<struct ReplicaIdTag, std::uint64_t>;
// A broadcast of a leader that a majority has to answer before a read.
using ReadRound = Strong<struct ReadRoundTag, std::uint64_t>;

enum class ReplicaRole : std::uint8_t {
  kJoining,  // In no configuration.
  kLearner,  // Receives the log; its acknowledgements don't count.
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader,
};

// Stable name in status reports.
std::string_view ReplicaRoleName(ReplicaRole role);

struct ReplicaOptions {
  pb::Replica self;
  // Name and address of every control VM of the settings, this one included.
  std::vector<pb::Replica> initial;
  // The group of `initial` may be founded, if all of them have empty logs.
  bool may_found = true;
  // Any VM may join, also one that is not among `initial`; those are then the
  // first voters and the addresses to join through.
  bool open = false;
  Duration heartbeat = std::chrono::milliseconds(200);
  Duration election_timeout = std::chrono::milliseconds(1000);
};

// What a replica finds on its disk.
struct StoredReplica {
  pb::Vote vote;
  std::optional<pb::Snapshot> snapshot;
  ReplicatedLog log;
  std::uint64_t commit = 0;  // Entries known to be committed, at least.
};

struct ReplicaActions {
  struct Send {
    std::string address;
    pb::ConsensusMessage message;
  };
  // To be made durable, in this order.
  std::optional<pb::Snapshot> install;  // Replaces the log up to its index.
  std::optional<pb::Vote> vote;
  // Replace the stored log from the first's index on.
  std::vector<pb::LogEntry> append;
  // Grew to this. To be stored, without a sync: it only saves a VM that starts
  // from waiting for a leader.
  std::optional<std::uint64_t> commit;
  // After that.
  std::vector<Send> sends;
  std::vector<pb::LogEntry> committed;

  bool NeedsSync() const {
    return install.has_value() || vote.has_value() || !append.empty();
  }
};

class Replica {
 public:
  // Error: kInvalidArgument for times that are not positive or if this VM is
  // not among the initial ones; kInternal if the role chart does not match.
  static Result<std::unique_ptr<Replica>> Create(ReplicaOptions options,
                                                 StoredReplica stored,
                                                 TimePoint now,
                                                 std::uint64_t seed);
  virtual ~Replica() = default;

  virtual void OnMessage(TimePoint now,
                         const pb::ConsensusMessage& message) = 0;
  virtual void OnTick(TimePoint now) = 0;
  virtual TimePoint NextWake() const = 0;
  virtual ReplicaActions TakeActions() = 0;

  // Appends a change. The index that it gets; nullopt if this replica does
  // not lead or is handing over.
  virtual std::optional<LogIndex> Propose(TimePoint now,
                                          const pb::Change& change) = 0;

  // Starts to confirm that this replica still leads. What was committed
  // before may be read once ReadConfirmed() holds for the round returned.
  // nullopt if this replica does not lead.
  virtual std::optional<ReadRound> BeginRead(TimePoint now) = 0;
  virtual bool ReadConfirmed(ReadRound round) const = 0;

  // Hands leadership to an up-to-date voter. True when this replica does not
  // lead (any more); it never campaigns again.
  virtual bool BeginStop(TimePoint now) = 0;

  // Takes a snapshot of the applied state; drops entries up to `keep_after`.
  virtual void Compact(const pb::Snapshot& snapshot, LogIndex keep_after) = 0;

  virtual ReplicaId id() const = 0;
  virtual ReplicaRole role() const = 0;
  virtual Term term() const = 0;
  virtual LogIndex commit_index() const = 0;
  virtual const ReplicatedLog& log() const = 0;
  virtual const pb::Configuration& configuration() const = 0;
  // The configuration in force at `index`.
  virtual pb::Configuration ConfigurationAt(LogIndex index) const = 0;
  virtual std::optional<pb::Replica> leader() const = 0;
  // True if this replica leads a majority, or has heard from a leader within
  // two election timeouts: an ordinary election takes no longer.
  virtual bool FromQuorum(TimePoint now) const = 0;
  // When a message of this VM came last; nullopt: never.
  virtual std::optional<TimePoint> LastHeard(std::string_view vm) const = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_CONSENSUS_REPLICA_H_
