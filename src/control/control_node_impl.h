// The one implementation of ControlNode. Its parts stand in three files:
// control_node.cc (events, the disk, the state machine), operator_calls.cc and
// entry_calls.cc.
#ifndef VANILLALATCH_SRC_CONTROL_CONTROL_NODE_IMPL_H_
#define VANILLALATCH_SRC_CONTROL_CONTROL_NODE_IMPL_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/control/entry_reports.h"
#include "vanillalatch/catalog/state_machine.h"
#include "vanillalatch/consensus/replica.h"
#include "vanillalatch/consensus/replica_store.h"
#include "vanillalatch/control/control_node.h"

namespace vanillalatch::internal {

// A change that waits for a leader (index zero) or for its entry to commit.
struct ApplyCall {
  Ticket ticket;
  pb::Change change;
  LogIndex index;
  TimePoint deadline;
};

enum class ReadKind : std::uint8_t { kGet, kHistory };

// A read that waits for a leader (round zero) or for its round to be
// confirmed.
struct ReadCall {
  Ticket ticket;
  ReadKind kind;
  std::uint32_t limit = 0;  // Of the history.
  ReadRound round;
  Term term;  // In which the round was begun.
  TimePoint deadline;
};

struct SyncCall {
  Ticket ticket;
  std::uint64_t revision = 0;
  bool from_quorum = false;  // When it was opened.
  TimePoint deadline;
};

// A status call that collects the other control VMs' parts.
struct StatusCall {
  Ticket ticket;
  std::uint64_t round = 0;
  std::set<std::uint64_t> missing;  // Replica ids.
  pb::StatusReply reply;
  TimePoint deadline;
};

class ControlNodeImpl final : public ControlNode {
 public:
  ControlNodeImpl(ControlOptions options, ReplicaStore store,
                  std::unique_ptr<Replica> replica);
  // Restores the state machine from a stored snapshot.
  void Restore(const pb::Snapshot& snapshot);

  void OnMessage(TimePoint now, const pb::ConsensusMessage& message) override;
  void OnTick(TimePoint now) override;
  TimePoint NextWake() const override;
  void OnApply(TimePoint now, Ticket ticket,
               const pb::ApplyRequest& request) override;
  void OnGet(TimePoint now, Ticket ticket) override;
  void OnHistory(TimePoint now, Ticket ticket,
                 const pb::HistoryRequest& request) override;
  void OnStatus(TimePoint now, Ticket ticket) override;
  void OnSync(TimePoint now, Ticket ticket,
              const pb::SyncRequest& request) override;
  bool BeginStop(TimePoint now) override;
  ControlActions TakeActions() override;
  pb::ControlStatus Status() const override;
  const Replica& replica() const { return *replica_; }

 private:
  bool IsLeader() const { return replica_->role() == ReplicaRole::kLeader; }

  // control_node.cc
  void Pump(TimePoint now);
  void CarryOut(ReplicaActions actions);
  void ApplyEntry(const pb::LogEntry& entry);
  void CompactIfDue();
  TimePoint CallDeadline(TimePoint now) const;
  std::string LeaderAddress() const;
  std::string NoQuorumReason(TimePoint now) const;

  // operator_calls.cc
  void AdvanceApplies(TimePoint now);
  bool AdvanceApply(TimePoint now, ApplyCall& call);
  bool AnswerIfApplied(ApplyCall& call);
  void ProposeChange(TimePoint now, ApplyCall& call);
  void AnswerApply(Ticket ticket, pb::ChangeOutcome outcome);
  void RefuseApply(const ApplyCall& call, ErrorKind kind,
                   const std::string& message);
  void AdvanceReads(TimePoint now);
  bool AdvanceRead(TimePoint now, ReadCall& call);
  void AnswerRead(const ReadCall& call);
  void RefuseRead(const ReadCall& call, ErrorKind kind);

  // entry_calls.cc
  void AdvanceSyncs(TimePoint now);
  void AdvanceStatuses(TimePoint now);
  void AnswerSync(TimePoint now, const SyncCall& call);
  bool HandleReport(TimePoint now, const pb::ConsensusMessage& message);
  void SendReport(TimePoint now, const pb::ConsensusMessage& request);
  void TakeReport(const pb::ConsensusMessage& message);
  void SendToReplica(std::uint64_t id, pb::ConsensusMessage message);

  const ControlOptions options_;
  ReplicaStore store_;
  std::unique_ptr<Replica> replica_;
  CatalogState state_;
  LogIndex applied_;  // The last entry in state_.
  Term applied_term_;
  LogIndex snapshot_index_;  // Of the last snapshot.
  EntryReports reports_;
  std::vector<ApplyCall> applies_;
  std::vector<ReadCall> reads_;
  std::vector<SyncCall> syncs_;
  std::vector<StatusCall> statuses_;
  std::uint64_t report_round_ = 0;
  bool failed_ = false;  // The disk refused; what is stored is unknown.
  ControlActions actions_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_CONTROL_CONTROL_NODE_IMPL_H_
