// The one implementation of Replica. Its parts stand in four files: replica.cc
// (events and actions), election.cc, replication.cc and group_change.cc.
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

// What a leader knows of another replica.
struct Peer {
  std::uint64_t next = 1;   // The next entry to send.
  std::uint64_t match = 0;  // Held on its synced disk, as far as known.
  std::uint64_t acked_round = 0;
  // For this long at least, taken as now when leading begins.
  TimePoint last_ack = TimePoint::min();
  bool answered = false;  // Since leading began.
  TimePoint snapshot_sent = TimePoint::min();
};

// A replica that asked to be let in.
struct Introduction {
  pb::Replica replica;
  bool empty_log = false;
  std::uint64_t term = 0;
  TimePoint at;
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
  void Compact(const pb::Snapshot& snapshot, LogIndex keep_after) override;

  ReplicaId id() const override { return ReplicaId(self()); }
  ReplicaRole role() const override { return roles_.role(); }
  Term term() const override { return Term(vote_.term()); }
  LogIndex commit_index() const override { return LogIndex(commit_); }
  const ReplicatedLog& log() const override { return log_; }
  const pb::Configuration& configuration() const override {
    return configuration_;
  }
  pb::Configuration ConfigurationAt(LogIndex index) const override;
  std::optional<pb::Replica> leader() const override;
  bool FromQuorum(TimePoint now) const override;
  std::optional<TimePoint> LastHeard(std::string_view vm) const override;

 private:
  bool IsLeader() const { return role() == ReplicaRole::kLeader; }
  bool IsVoter() const;
  std::uint64_t self() const { return options_.self.id(); }
  std::uint64_t current_term() const { return vote_.term(); }

  // replica.cc
  void Dispatch(TimePoint now, const pb::ConsensusMessage& message);
  void NoteHeard(TimePoint now, std::uint64_t from);
  void Send(const pb::Replica& to, pb::ConsensusMessage message);
  void SendTo(std::uint64_t id, pb::ConsensusMessage message);
  void Reply(const pb::ConsensusMessage& request, pb::ConsensusMessage reply);
  void SetVote(std::uint64_t term, std::uint64_t candidate);
  void AppendEntry(pb::LogEntry entry);
  void MarkUnsaved(std::uint64_t index);
  void ReloadConfiguration(TimePoint now);

  // election.cc
  bool AcceptTerm(TimePoint now, const pb::ConsensusMessage& message);
  bool HearsLeader(TimePoint now) const;
  void ResetElection(TimePoint now);
  void RetryElection(TimePoint now);
  void FirstElection(TimePoint now);
  void BecomeFollower(TimePoint now, std::uint64_t term,
                      std::uint64_t leader_id);
  void Campaign(TimePoint now, bool pre_vote, bool transfer);
  void HandleElectionTimeout(TimePoint now);
  void HandleVoteRequest(TimePoint now, const pb::ConsensusMessage& message);
  void HandleVoteReply(TimePoint now, const pb::ConsensusMessage& message);
  void HandleCampaignNow(TimePoint now);
  void CheckVotes(TimePoint now);
  void BecomeLeader(TimePoint now);
  void RefuseOldTerm(const pb::ConsensusMessage& message);
  bool LogIsCurrent(const pb::VoteRequest& request) const;

  // replication.cc
  void Lead(TimePoint now);
  void Broadcast(TimePoint now);
  void Replicate(TimePoint now);
  void SendAppend(TimePoint now, std::uint64_t id);
  bool SendSnapshot(TimePoint now, std::uint64_t id, Peer& peer);
  void HandleAppendRequest(TimePoint now, const pb::ConsensusMessage& message);
  bool MatchesPrevious(const pb::AppendRequest& request) const;
  std::uint64_t MismatchHint(const pb::AppendRequest& request) const;
  void TakeEntries(TimePoint now, const pb::AppendRequest& request);
  void HandleAppendReply(TimePoint now, const pb::ConsensusMessage& message);
  void HandleInstallSnapshot(TimePoint now,
                             const pb::ConsensusMessage& message);
  void ReplyAppend(const pb::ConsensusMessage& request, bool success,
                   std::uint64_t match, std::uint64_t round);
  void AdvanceCommit(TimePoint now);
  std::uint64_t MatchOf(std::uint64_t id) const;
  bool IsActive(std::uint64_t id, TimePoint now) const;

  // group_change.cc
  void HandleIntroduce(TimePoint now, const pb::ConsensusMessage& message);
  void IntroduceIfAlone(TimePoint now);
  void TryForm(TimePoint now);
  bool AllAreEmpty(TimePoint now, std::uint64_t& highest_term) const;
  void MaintainGroup(TimePoint now);
  bool AdmitLearner(TimePoint now);
  bool AdvanceLearner(TimePoint now);
  void ProposeConfiguration(TimePoint now, pb::Configuration configuration);
  bool NamedInSettings(std::string_view vm) const;
  void DropSilentVoter(TimePoint now);
  bool AllVotersActive(TimePoint now) const;
  const pb::Replica* SilentVoter(TimePoint now) const;
  void HandOver(TimePoint now);

  const ReplicaOptions options_;
  RoleMachine roles_;
  std::mt19937_64 random_;
  pb::Vote vote_;
  ReplicatedLog log_;
  std::optional<pb::Snapshot> snapshot_;
  std::uint64_t commit_ = 0;
  std::uint64_t handed_out_ = 0;   // Committed entries given to the owner.
  std::uint64_t commit_told_ = 0;  // Given to the owner to be stored.
  pb::Configuration configuration_;
  std::uint64_t configuration_index_ = 0;

  std::uint64_t leader_id_ = 0;  // Zero: unknown.
  TimePoint leader_contact_ = TimePoint::min();
  TimePoint election_deadline_;
  std::set<std::uint64_t> votes_;

  // While leading.
  std::map<std::uint64_t, Peer> peers_;
  std::uint64_t term_start_ = 0;  // Index of the no-op that opens the term.
  std::uint64_t round_ = 0;       // Of the last broadcast.
  TimePoint heartbeat_due_;
  TimePoint last_broadcast_ = TimePoint::min();
  bool stopping_ = false;

  std::map<std::string, Introduction, std::less<>> introductions_;
  TimePoint introduce_due_;
  std::map<std::string, TimePoint, std::less<>> last_heard_;

  // Waiting for TakeActions().
  std::optional<std::uint64_t> unsaved_from_;
  bool vote_unsaved_ = false;
  std::optional<pb::Snapshot> install_;
  std::vector<ReplicaActions::Send> sends_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_CONSENSUS_REPLICA_IMPL_H_
