// The implementation of Replica. It is split into five files: replica.cc
// (events and actions), election.cc (votes and roles), replication.cc (log and
// reads), group_change.cc (bootstrap, joining, leadership transfer) and
// fleet_level.cc (feature levels).
#ifndef VANILLALATCH_SRC_CONSENSUS_REPLICA_IMPL_H_
#define VANILLALATCH_SRC_CONSENSUS_REPLICA_IMPL_H_

#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/consensus/role_machine.h"
#include "vanillalatch/consensus/replica.h"

namespace vanillalatch::internal {

// What a leader tracks about another replica.
struct Peer {
  std::uint64_t next_index = 1;   // The next entry to send.
  std::uint64_t match_index = 0;  // Last entry known to be on its synced disk.
  std::uint64_t acked_round = 0;
  // Time of its last acknowledgement. Set to the current time when this replica
  // becomes the leader.
  TimePoint last_ack = TimePoint::min();
  bool has_answered = false;  // Since this replica became the leader.
  bool leaving = false;       // As stated by its last acknowledgement.
  TimePoint snapshot_sent_at = TimePoint::min();
};

// A request of a replica to join the group.
struct Introduction {
  pb::Replica replica;
  bool empty_log = false;
  std::uint64_t term = 0;  // The current term of the sender.
  FeatureLevel level;      // Stated by the sender.
  TimePoint received_at;
};

class ReplicaImpl final : public Replica {
 public:
  ReplicaImpl(ReplicaOptions options, StoredReplica stored, RoleMachine roles,
              TimePoint now, std::uint64_t seed);

  void OnMessage(TimePoint now, const pb::ConsensusMessage& message) override;
  void OnTick(TimePoint now) override;
  TimePoint NextWake() const override;
  ReplicaActions TakeActions() override;
  std::optional<LogIndex> Propose(TimePoint now,
                                  const pb::Change& change) override;
  std::optional<ReadRound> BeginRead(TimePoint now) override;
  bool ReadConfirmed(ReadRound round) const override;
  bool BeginStop(TimePoint now) override;
  void Compact(const pb::Snapshot& snapshot, LogIndex retain_after) override;

  ReplicaId id() const override { return ReplicaId(self()); }
  ReplicaRole role() const override { return roles_.role(); }
  Term term() const override { return Term(vote_.term()); }
  LogIndex commit_index() const override { return LogIndex(commit_index_); }
  const ReplicatedLog& log() const override { return log_; }
  const pb::Configuration& configuration() const override {
    return configuration_;
  }
  pb::Configuration ConfigurationAt(LogIndex index) const override;
  std::optional<pb::Replica> leader() const override;
  bool HasQuorumContact(TimePoint now) const override;
  std::optional<TimePoint> LastContact(std::string_view vm) const override;
  const pb::FleetLevel& fleet_level() const override { return fleet_level_; }
  FeatureLevel LevelOf(ReplicaId id) const override;
  FeatureLevel newest_level() const override { return newest_level_; }
  std::optional<FeatureLevel> missing_level() const override {
    return missing_level_;
  }
  bool IsReachable(ReplicaId id, TimePoint now) const override {
    return IsActive(id.value(), now);
  }

 private:
  bool IsLeader() const { return role() == ReplicaRole::kLeader; }
  bool IsVoter() const;
  std::uint64_t self() const { return options_.self.id(); }
  std::uint64_t current_term() const { return vote_.term(); }

  // Events, sending and storing (replica.cc).
  void Dispatch(TimePoint now, const pb::ConsensusMessage& message);
  void RecordContact(TimePoint now, std::uint64_t from);
  void Send(const pb::Replica& to, pb::ConsensusMessage message);
  void SendTo(std::uint64_t id, pb::ConsensusMessage message);
  void Reply(const pb::ConsensusMessage& request, pb::ConsensusMessage reply);
  void SetVote(std::uint64_t term, std::uint64_t candidate);
  void AppendEntry(pb::LogEntry entry);
  void MarkUnsaved(std::uint64_t index);
  void ReloadConfiguration(TimePoint now);

  // Elections (election.cc).
  bool AcceptTerm(TimePoint now, const pb::ConsensusMessage& message);
  bool HasRecentLeader(TimePoint now) const;
  void ScheduleElection(TimePoint now);
  void ScheduleElectionRetry(TimePoint now);
  void ScheduleFirstElection(TimePoint now);
  void BecomeFollower(TimePoint now, std::uint64_t term,
                      std::uint64_t leader_id);
  void Campaign(TimePoint now, bool pre_vote, bool transfer);
  void HandleElectionTimeout(TimePoint now);
  void HandleVoteRequest(TimePoint now, const pb::ConsensusMessage& message);
  void HandleVoteReply(TimePoint now, const pb::ConsensusMessage& message);
  void HandleCampaignNow(TimePoint now);
  void CheckVotes(TimePoint now);
  void BecomeLeader(TimePoint now);
  void AnswerOldTerm(const pb::ConsensusMessage& message);
  bool IsLogUpToDate(const pb::VoteRequest& request) const;

  // Log replication and reads (replication.cc).
  void RunLeaderTick(TimePoint now);
  void Broadcast(TimePoint now);
  void Replicate(TimePoint now);
  void SendAppend(TimePoint now, std::uint64_t id);
  bool SendSnapshot(TimePoint now, std::uint64_t id, Peer& peer);
  void HandleAppendRequest(TimePoint now, const pb::ConsensusMessage& message);
  bool HasPreviousEntry(const pb::AppendRequest& request) const;
  std::uint64_t FindLastPossibleMatch(const pb::AppendRequest& request) const;
  void StoreReceivedEntries(TimePoint now, const pb::AppendRequest& request);
  void HandleAppendReply(TimePoint now, const pb::ConsensusMessage& message);
  void HandleInstallSnapshot(TimePoint now,
                             const pb::ConsensusMessage& message);
  void ReplyAppend(const pb::ConsensusMessage& request, bool success,
                   std::uint64_t match, std::uint64_t round);
  void AdvanceCommit(TimePoint now);
  std::uint64_t MatchIndexOf(std::uint64_t id) const;
  bool IsActive(std::uint64_t id, TimePoint now) const;

  // Membership changes and leadership transfer (group_change.cc).
  void HandleIntroduce(TimePoint now, const pb::ConsensusMessage& message);
  void IntroduceIfLeaderless(TimePoint now);
  void TryBootstrap(TimePoint now);
  bool AllLogsAreEmpty(TimePoint now, std::uint64_t& highest_term) const;
  void MaintainGroup(TimePoint now);
  bool AdmitLearner(TimePoint now);
  bool PromoteLearner(TimePoint now);
  void ProposeConfiguration(TimePoint now, pb::Configuration configuration);
  bool IsConfiguredVm(std::string_view vm) const;
  void RemoveUnneededVoter(TimePoint now);
  const pb::Replica* FindUnneededVoter(TimePoint now) const;
  bool AllVotersActive(TimePoint now) const;
  bool IsLeaving(std::uint64_t id) const;
  const pb::Replica* FindLeavingVoter() const;
  const pb::Replica* FindSilentVoter(TimePoint now, Duration timeout) const;
  void TransferLeadership(TimePoint now);
  bool LeaveGroup(TimePoint now);
  void HandleLeft();

  // Feature levels (fleet_level.cc).
  bool StatesLevel() const { return options_.level >= kStatedLevel; }
  void RecordLevel(const pb::ConsensusMessage& message);
  bool CanRead(const pb::ConsensusMessage& message);
  bool CanReadFleet(const Introduction& newcomer) const;
  void AddLevel(pb::ConsensusMessage& message) const;
  void AdoptFleetLevel(const pb::FleetLevel& level);
  void RaiseFleetLevel(TimePoint now);

  const ReplicaOptions options_;
  RoleMachine roles_;
  std::mt19937_64 random_;
  pb::Vote vote_;
  ReplicatedLog log_;
  std::optional<pb::Snapshot> snapshot_;
  std::uint64_t commit_index_ = 0;
  // The last entry passed on in ReplicaActions::committed.
  std::uint64_t delivered_index_ = 0;
  // The last value passed on in ReplicaActions::commit_index.
  std::uint64_t reported_commit_index_ = 0;
  pb::Configuration configuration_;
  // The log entry that contains configuration_; zero if it is from the
  // snapshot or empty.
  std::uint64_t configuration_index_ = 0;

  std::uint64_t leader_id_ = 0;  // Zero: unknown.
  TimePoint last_leader_contact_ = TimePoint::min();
  TimePoint election_deadline_;
  // Ids of the replicas that have granted a vote or pre-vote in this campaign.
  std::set<std::uint64_t> votes_;

  // Used while this replica is the leader.
  std::map<std::uint64_t, Peer> peers_;
  std::uint64_t term_start_index_ = 0;  // The no-op that starts the term.
  std::uint64_t round_ = 0;             // Number of the last broadcast.
  TimePoint heartbeat_due_;
  TimePoint last_broadcast_ = TimePoint::min();
  bool stopping_ = false;
  TimePoint stop_began_;  // Valid if stopping_.
  TimePoint leave_due_;   // When the leader is told again that it is leaving.
  bool left_ = false;     // The committed configuration does not contain it.

  std::map<std::string, Introduction, std::less<>> introductions_;  // By VM.
  TimePoint introduce_due_;
  std::map<std::string, TimePoint, std::less<>> last_contact_;  // By VM.

  pb::FleetLevel fleet_level_;           // The highest one that is committed.
  std::uint64_t fleet_level_index_ = 0;  // Of the last entry proposed for it.
  std::map<std::uint64_t, FeatureLevel> stated_levels_;  // By replica id.
  FeatureLevel newest_level_;
  std::optional<FeatureLevel> missing_level_;

  // To be returned by the next TakeActions().
  std::optional<std::uint64_t> first_unsaved_index_;
  bool has_unsaved_vote_ = false;
  std::optional<pb::Snapshot> installed_snapshot_;
  std::vector<ReplicaActions::Send> sends_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_CONSENSUS_REPLICA_IMPL_H_
