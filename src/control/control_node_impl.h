// The implementation of ControlNode. It is split into four files:
// control_node.cc (events, disk, state machine), operator_calls.cc (Apply, Get,
// History), evacuation_calls.cc (Apply with an evacuation order) and
// entry_calls.cc (Sync, Status).
#ifndef VANILLALATCH_SRC_CONTROL_CONTROL_NODE_IMPL_H_
#define VANILLALATCH_SRC_CONTROL_CONTROL_NODE_IMPL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/control/entry_reports.h"
#include "src/control/probed_levels.h"
#include "vanillalatch/catalog/catalog_feed.h"
#include "vanillalatch/catalog/state_machine.h"
#include "vanillalatch/consensus/replica.h"
#include "vanillalatch/consensus/replica_store.h"
#include "vanillalatch/control/control_node.h"

namespace vanillalatch::internal {

// An open Apply call. It waits for a leader while `index` is zero, then for the
// entry at `index` to be committed.
struct ApplyCall {
  Ticket ticket;
  pb::Change change;
  LogIndex index;
  TimePoint deadline;
  // Only for evacuation orders: the term of the entry at `index`, and the
  // outcome once that entry is applied.
  Term term;
  std::optional<pb::ChangeOutcome> outcome;
  std::function<bool()> is_abandoned;  // As in CallOrigin.
  // Until then the order is not proposed; nullopt once that time has passed.
  std::optional<TimePoint> settles_at;
};

// Why a call is refused.
struct Refusal {
  ErrorKind kind;
  std::string message;
};

// Whether every replica applies evacuation orders.
struct OrderSupport {
  std::string unsupported;  // VM that does not; empty: none is known.
  std::string unknown;      // VM of which that is not known; empty: none.
};

enum class ReadKind : std::uint8_t { kGet, kHistory };

// An open Get or History call. It waits for a leader while `round` is zero,
// then for `round` to be confirmed.
struct ReadCall {
  Ticket ticket;
  ReadKind kind;
  std::uint32_t limit = 0;  // Number of outcomes in a History reply.
  ReadRound round;
  Term term;  // The term in which the round was started.
  TimePoint deadline;
};

// An open Sync call of an entry VM.
struct SyncCall {
  Ticket ticket;
  std::string vm;  // That called.
  bool accepts_packed = false;
  std::uint64_t revision = 0;  // In force at the entry VM.
  bool had_quorum = false;     // When the call arrived.
  TimePoint deadline;
};

// An open Status call. It collects the statuses of the other control VMs.
struct StatusCall {
  Ticket ticket;
  std::uint64_t round = 0;  // Identifies the call; replicas echo it.
  std::set<std::uint64_t> awaited_replicas;  // Replica ids.
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
  void OnProbeAnswered(TimePoint now, std::uint64_t replica,
                       FeatureLevel level) override;
  void OnTick(TimePoint now) override;
  TimePoint NextWake() const override;
  void OnApply(TimePoint now, Ticket ticket, const pb::ApplyRequest& request,
               CallOrigin origin) override;
  void OnGet(TimePoint now, Ticket ticket) override;
  void OnHistory(TimePoint now, Ticket ticket,
                 const pb::HistoryRequest& request) override;
  void OnStatus(TimePoint now, Ticket ticket) override;
  void OnSync(TimePoint now, Ticket ticket,
              const pb::SyncRequest& request) override;
  bool BeginStop(TimePoint now) override;
  ControlActions TakeActions() override;
  pb::ControlStatus Status() const override;
  // Adds what only the leader knows: which voters answer it.
  void AddGroupStatus(pb::ControlStatus& status) const;
  const pb::Catalog& catalog() const override { return state_.catalog(); }
  const LogFileSummary& log_file() const override { return store_.log_file(); }
  const Replica& replica() const { return *replica_; }

 private:
  bool IsLeader() const { return replica_->role() == ReplicaRole::kLeader; }

  // Events, disk and state machine (control_node.cc).
  void ProcessPending(TimePoint now);
  bool MayJoin(TimePoint now, const pb::Introduce& newcomer);
  void ExecuteReplicaActions(ReplicaActions actions);
  void ApplyEntry(const pb::LogEntry& entry);
  void CompactIfDue();
  LogIndex LastDroppedEntry(LogIndex index) const;
  TimePoint CallDeadline(TimePoint now) const;
  std::string LeaderAddress() const;
  std::string DescribeMissingQuorum(TimePoint now) const;

  // Apply calls with an evacuation order (evacuation_calls.cc).
  bool AdvanceOrder(TimePoint now, ApplyCall& call);
  std::optional<Refusal> FindOrderRefusal(TimePoint now,
                                          const ApplyCall& call) const;
  std::optional<Refusal> FindNameRefusal(
      const pb::EvacuationOrder& order) const;
  OrderSupport FindOrderSupport(TimePoint now);

  // Apply, Get and History calls (operator_calls.cc).
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

  // Sync and Status calls (entry_calls.cc).
  void AdvanceSyncs(TimePoint now);
  bool IsSyncDue(TimePoint now, const SyncCall& call) const;
  void ReleaseEarlierSync(const std::string& vm);
  void AdvanceStatuses(TimePoint now);
  void AnswerSync(TimePoint now, const SyncCall& call);
  bool HandleReportMessage(TimePoint now, const pb::ConsensusMessage& message);
  void SendReport(TimePoint now, const pb::ConsensusMessage& request);
  void MergeReport(const pb::ConsensusMessage& message);
  void SendToReplica(std::uint64_t id, pb::ConsensusMessage message);

  const ControlOptions options_;
  ReplicaStore store_;
  std::unique_ptr<Replica> replica_;
  CatalogState state_;
  LogIndex applied_index_;  // The last entry applied to state_.
  Term applied_term_;
  LogIndex snapshot_index_;  // The last entry in the last snapshot.
  std::size_t bytes_since_snapshot_ = 0;  // Of the entries applied since.
  ProbedLevels probed_levels_;
  EntryReports reports_;
  std::vector<ApplyCall> applies_;
  std::vector<ReadCall> reads_;
  std::vector<SyncCall> syncs_;
  CatalogFeed feed_;
  // When further Sync calls may be answered; kNever while none is due.
  TimePoint next_syncs_ = kNever;
  std::vector<StatusCall> statuses_;
  std::uint64_t report_round_ = 0;  // Round of the last Status call.
  // When this VM expects to run next. If it runs much later, it was frozen.
  TimePoint expected_wake_ = kNever;
  TimePoint last_event_{};  // Of the last event that was processed.
  TimePoint orders_from_ = TimePoint::min();  // Earlier orders are refused.
  // Set during each write, so it stays set if the write throws. It is then
  // unknown what is stored.
  bool disk_failed_ = false;
  ControlActions actions_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_CONTROL_CONTROL_NODE_IMPL_H_
