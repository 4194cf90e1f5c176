// One replica of a Raft-style replicated log: leader election, log
// replication, snapshots and membership changes. The class does no I/O and
// reads no clock. After each event the owner takes the resulting actions and
// carries them out in this order: make everything durable, send the messages,
// apply the committed entries.
//
// Terms used in this library:
//   group          The replicas of the current configuration.
//   term           The number of an election. A term has at most one leader.
//   voter          A replica whose acknowledgements and votes count towards a
//                  majority.
//   learner        A replica that receives the log but does not count.
//   committed      An entry is committed once a majority of voters has stored
//                  it and an entry of the current leader's term. No later
//                  leader replaces a committed entry.
//   round          The number of a leader's broadcast. Followers echo it, which
//                  shows the leader that it still has a majority.
//
//   Replica replica = Replica::Create(options, stored, now, seed).value();
//   replica.OnMessage(now, message);
//   ReplicaActions actions = replica.TakeActions();
//   store.Save(actions);               // Must be durable before sending.
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
#include "vanillalatch/feature/feature_level.h"

namespace vanillalatch {

// Identifies one replica. It is a hash of the VM's name and of the identity of
// its disk, so a VM that loses its disk returns as a new replica.
using ReplicaId = Strong<struct ReplicaIdTag, std::uint64_t>;
// The broadcast that a majority has to acknowledge before a read is answered.
using ReadRound = Strong<struct ReadRoundTag, std::uint64_t>;

enum class ReplicaRole : std::uint8_t {
  kJoining,  // Is in no configuration.
  kLearner,  // Receives the log; does not count towards a majority.
  kFollower,
  kPreCandidate,  // Asks whether it would win, without raising its term.
  kCandidate,     // Asks for votes in a new term.
  kLeader,
};

// The role's name in status reports. It is stable across versions.
std::string_view ReplicaRoleName(ReplicaRole role);

struct ReplicaOptions {
  pb::Replica self;  // Its id is that of the ReplicaStore.
  // Name and address of every control VM in the settings. This VM may be
  // missing only if `open_membership` is set.
  std::vector<pb::Replica> configured_vms;
  // Allows this replica to bootstrap the group from `configured_vms` if all of
  // them have empty logs.
  bool may_bootstrap = true;
  // If true, a VM that is not in `configured_vms` may join too. The configured
  // VMs are then the first voters and the addresses to join through.
  bool open_membership = false;
  // Interval between the broadcasts of a leader.
  Duration heartbeat = std::chrono::milliseconds(200);
  // Time without a leader's message after which a voter starts an election. A
  // random part of up to half of it is added, so that voters rarely start at
  // the same time. The first election after a start, and a repeated one, come
  // sooner.
  Duration election_timeout = std::chrono::milliseconds(1000);
  // The level of this build. Below kStatedLevel the replica behaves as a build
  // that states no level; only tests use that.
  FeatureLevel level = kCurrentLevel;
};

// The state of a replica as read from its disk.
struct StoredReplica {
  pb::Vote vote;
  std::optional<pb::Snapshot> snapshot;
  ReplicatedLog log;
  std::uint64_t commit_index = 0;  // A lower bound of what is committed.
};

// What the owner has to carry out after an event.
struct ReplicaActions {
  struct Send {
    std::string address;
    pb::ConsensusMessage message;
  };
  // First: make these durable, in this order.
  // Replaces the log up to its index.
  std::optional<pb::Snapshot> installed_snapshot;
  std::optional<pb::Vote> vote;
  // These entries replace the stored log from the first one's index on.
  std::vector<pb::LogEntry> append;
  // The new commit index, if it has grown. It needs no sync: losing it only
  // means that a VM waits for a leader after a restart.
  std::optional<std::uint64_t> commit_index;
  // Second: send the messages, then apply the committed entries in order.
  std::vector<Send> sends;
  std::vector<pb::LogEntry> committed;

  // True if something has to be synced to disk before anything is sent.
  bool NeedsSync() const {
    return installed_snapshot.has_value() || vote.has_value() ||
           !append.empty();
  }
};

class Replica {
 public:
  // Creates a replica that continues from `stored`. `seed` is that of the
  // random parts of its election times.
  //
  // Errors: kInvalidArgument if a time is not positive, if the election timeout
  // is not above the heartbeat interval, if this VM is not configured and
  // membership is not open, or if the role chart does not match ReplicaRole.
  // kUnsupported if `stored` has forms that need a build of a higher level;
  // nothing is changed then.
  static Result<std::unique_ptr<Replica>> Create(ReplicaOptions options,
                                                 StoredReplica stored,
                                                 TimePoint now,
                                                 std::uint64_t seed);
  virtual ~Replica() = default;

  // Handles a message from another replica.
  virtual void OnMessage(TimePoint now,
                         const pb::ConsensusMessage& message) = 0;
  // Handles timeouts that are due. To be called at NextWake().
  virtual void OnTick(TimePoint now) = 0;
  virtual TimePoint NextWake() const = 0;
  // Returns and clears the actions that resulted since the last call.
  virtual ReplicaActions TakeActions() = 0;

  // Appends a change to the log and returns its index. Returns nullopt if this
  // replica is not the leader or is transferring leadership.
  virtual std::optional<LogIndex> Propose(TimePoint now,
                                          const pb::Change& change) = 0;

  // Starts a linearizable read: a check that this replica is still the leader.
  // Once ReadConfirmed() is true for the returned round, the owner may read the
  // state that was committed before this call. Returns nullopt if this replica
  // is not the leader.
  virtual std::optional<ReadRound> BeginRead(TimePoint now) = 0;
  virtual bool ReadConfirmed(ReadRound round) const = 0;

  // Transfers leadership to an up-to-date voter before a planned stop, and
  // leaves the group if the group tolerates as many failures without this
  // replica. Returns true once both are done, after two seconds without an
  // answer, or if this replica is the only voter. After the first call this
  // replica never campaigns again. The caller repeats the call until it returns
  // true.
  virtual bool BeginStop(TimePoint now) = 0;

  // Records a snapshot of the applied state and drops the log entries up to
  // `retain_after`, or up to the snapshot's index if that is lower. The caller
  // then stores both with ReplicaStore::Compact().
  virtual void Compact(const pb::Snapshot& snapshot, LogIndex retain_after) = 0;

  virtual ReplicaId id() const = 0;
  virtual ReplicaRole role() const = 0;
  virtual Term term() const = 0;
  virtual LogIndex commit_index() const = 0;
  virtual const ReplicatedLog& log() const = 0;
  virtual const pb::Configuration& configuration() const = 0;
  // The configuration in force at `index`.
  virtual pb::Configuration ConfigurationAt(LogIndex index) const = 0;
  // The current leader; nullopt if unknown.
  virtual std::optional<pb::Replica> leader() const = 0;
  // True if this replica is the leader and a majority answers it, or if it has
  // received a leader's message within two election timeouts: an ordinary
  // election takes no longer.
  virtual bool HasQuorumContact(TimePoint now) const = 0;
  // The level that the fleet has committed; zero before the first one.
  virtual const pb::FleetLevel& fleet_level() const = 0;
  // The level that a replica has stated with its last message; kUnstatedLevel
  // if it has stated none. For the own id, the level of this build.
  virtual FeatureLevel LevelOf(ReplicaId id) const = 0;
  // The highest level that any replica has stated to this one.
  virtual FeatureLevel newest_level() const = 0;
  // The level that a build needs to take part in the fleet, as stated by
  // another replica, if it is above the level of this build; nullopt otherwise.
  // This replica then handles no message of the fleet.
  virtual std::optional<FeatureLevel> missing_level() const = 0;
  // True if `id` has answered this leader within the last election timeout.
  virtual bool IsReachable(ReplicaId id, TimePoint now) const = 0;
  // When the last message from `vm` was received; nullopt if none was.
  virtual std::optional<TimePoint> LastContact(std::string_view vm) const = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_CONSENSUS_REPLICA_H_
