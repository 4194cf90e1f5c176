#include <algorithm>
#include <utility>

#include "src/control/control_node_impl.h"

namespace vanillalatch::internal {
namespace {

// Maximum size of a change.
constexpr std::size_t kMaxChangeBytes = std::size_t{512} * 1024;

// Values of a change without a log entry and of a read without a round.
constexpr LogIndex kNotProposed{};
constexpr ReadRound kNotBegun{};

// True if `change` needs no log entry of its own once `logged` is committed. An
// evacuation order always needs one, and covers no other change.
bool Covers(const pb::Change& logged, const pb::Change& change) {
  if (logged.has_evacuation() || change.has_evacuation() ||
      logged.has_flows() != change.has_flows()) {
    return false;
  }
  return change.has_flows()
             ? logged.flows().version() >= change.flows().version()
             : logged.change_id() == change.change_id();
}

std::string KindName(ErrorKind kind) {
  return std::string(AnswerFor(kind).name);
}

}  // namespace

void ControlNodeImpl::OnApply(TimePoint now, Ticket ticket,
                              const pb::ApplyRequest& request,
                              CallOrigin origin) {
  ApplyCall call;
  call.ticket = ticket;
  call.change = request.change();
  call.deadline = CallDeadline(now);
  if (request.change().has_evacuation()) {
    call.change.Clear();
    call.change.set_change_id(request.change().change_id());
    call.change.set_author(request.change().author());
    call.change.set_unix_ms(request.change().unix_ms());
    *call.change.mutable_evacuation() = request.change().evacuation();
    call.deadline = CallDeadline(origin.received);
    if (origin.is_abandoned) {
      call.is_abandoned = std::move(origin.is_abandoned);
      call.settles_at = origin.received + kOrderSettleTime;
    }
  }
  const std::string error = call.change.change_id().empty()
                                ? "the change has no change id"
                                : FindCatalogError(call.change);
  if (!error.empty()) {
    RefuseApply(call, ErrorKind::kInvalidArgument, error);
  } else if (call.change.ByteSizeLong() > kMaxChangeBytes) {
    RefuseApply(
        call, ErrorKind::kTooLarge,
        "a change may have " + std::to_string(kMaxChangeBytes) + " bytes");
  } else {
    applies_.push_back(std::move(call));
  }
  ProcessPending(now);
}

void ControlNodeImpl::AdvanceApplies(TimePoint now) {
  std::vector<ApplyCall> pending = std::exchange(applies_, {});
  for (ApplyCall& it : pending) {
    if (!AdvanceApply(now, it)) {
      applies_.push_back(std::move(it));
    }
  }
}

// Advances one Apply call. Returns true once the call is answered.
bool ControlNodeImpl::AdvanceApply(TimePoint now, ApplyCall& call) {
  if (call.change.has_evacuation()) {
    return AdvanceOrder(now, call);
  }
  if (call.index != kNotProposed && applied_index_ >= call.index) {
    if (AnswerIfApplied(call)) {
      return true;
    }
    call.index = kNotProposed;  // Another leader's entry replaced it.
  }
  if (call.index == kNotProposed && call.change.has_flows() &&
      AnswerIfApplied(call)) {
    return true;  // This VM has applied it, so a majority has stored it.
  }
  if (call.index == kNotProposed && IsLeader()) {
    if (AnswerIfApplied(call)) {
      return true;
    }
    ProposeChange(now, call);
  } else if (call.index == kNotProposed && !LeaderAddress().empty()) {
    RefuseApply(call, ErrorKind::kNotLeader, "another control VM leads");
    return true;
  }
  if (now < call.deadline) {
    return false;
  }
  if (call.index == kNotProposed) {
    RefuseApply(call, ErrorKind::kNoQuorum,
                DescribeMissingQuorum(now) + "; the change was not taken");
  } else {
    RefuseApply(call, ErrorKind::kOutcomeUnknown,
                "no majority has confirmed the change yet; send it again with "
                "the same change id. " +
                    DescribeMissingQuorum(now));
  }
  return true;
}

// Answers the call and returns true if its change has been applied. A flow
// table also counts as applied if a newer version has been.
bool ControlNodeImpl::AnswerIfApplied(ApplyCall& call) {
  if (call.change.has_flows()) {
    if (call.change.flows().version() > state_.catalog().flows().version()) {
      return false;
    }
    pb::ChangeOutcome outcome;
    outcome.set_change_id(call.change.change_id());
    outcome.set_accepted(true);
    outcome.set_revision(state_.catalog().revision());
    AnswerApply(call.ticket, std::move(outcome));
    return true;
  }
  std::optional<pb::ChangeOutcome> outcome =
      state_.FindOutcome(call.change.change_id());
  if (!outcome) {
    return false;
  }
  AnswerApply(call.ticket, std::move(*outcome));
  return true;
}

// Proposes the change. If the log contains an uncommitted entry of the same
// change, the call waits for that entry instead.
void ControlNodeImpl::ProposeChange(TimePoint now, ApplyCall& call) {
  const ReplicatedLog& log = replica_->log();
  for (std::uint64_t n = log.last_index(); n > applied_index_.value(); --n) {
    if (log.At(n).has_change() && Covers(log.At(n).change(), call.change)) {
      call.index = LogIndex(n);
      return;
    }
  }
  call.index = replica_->Propose(now, call.change).value_or(kNotProposed);
}

void ControlNodeImpl::AnswerApply(Ticket ticket, pb::ChangeOutcome outcome) {
  pb::ApplyReply reply;
  *reply.mutable_outcome() = std::move(outcome);
  *reply.mutable_catalog() = state_.catalog();
  reply.mutable_catalog()->clear_flows();
  reply.set_leader_address(LeaderAddress());
  actions_.applies.emplace_back(ticket, std::move(reply));
}

void ControlNodeImpl::RefuseApply(const ApplyCall& call, ErrorKind kind,
                                  const std::string& message) {
  pb::ChangeOutcome outcome;
  outcome.set_change_id(call.change.change_id());
  outcome.set_author(call.change.author());
  outcome.set_base_revision(call.change.base_revision());
  outcome.set_unix_ms(call.change.unix_ms());
  outcome.set_revision(state_.catalog().revision());
  outcome.set_error_kind(KindName(kind));
  outcome.set_message(message);
  AnswerApply(call.ticket, std::move(outcome));
}

void ControlNodeImpl::OnGet(TimePoint now, Ticket ticket) {
  reads_.push_back(
      {ticket, ReadKind::kGet, 0, kNotBegun, Term(), CallDeadline(now)});
  ProcessPending(now);
}

void ControlNodeImpl::OnHistory(TimePoint now, Ticket ticket,
                                const pb::HistoryRequest& request) {
  reads_.push_back({ticket, ReadKind::kHistory, request.limit(), kNotBegun,
                    Term(), CallDeadline(now)});
  ProcessPending(now);
}

void ControlNodeImpl::AdvanceReads(TimePoint now) {
  std::vector<ReadCall> pending = std::exchange(reads_, {});
  for (ReadCall& it : pending) {
    if (!AdvanceRead(now, it)) {
      reads_.push_back(it);
    }
  }
}

// Advances one read call. Returns true once the call is answered.
bool ControlNodeImpl::AdvanceRead(TimePoint now, ReadCall& call) {
  if (IsLeader()) {
    if (call.round == kNotBegun || call.term != replica_->term()) {
      call.round = replica_->BeginRead(now).value_or(kNotBegun);
      call.term = replica_->term();
    }
    if (replica_->ReadConfirmed(call.round)) {
      AnswerRead(call);
      return true;
    }
  } else if (!LeaderAddress().empty()) {
    RefuseRead(call, ErrorKind::kNotLeader);
    return true;
  }
  if (now < call.deadline) {
    return false;
  }
  RefuseRead(call, ErrorKind::kNoQuorum);
  return true;
}

void ControlNodeImpl::AnswerRead(const ReadCall& call) {
  if (call.kind == ReadKind::kGet) {
    pb::GetReply reply;
    *reply.mutable_catalog() = state_.catalog();
    actions_.gets.emplace_back(call.ticket, std::move(reply));
    return;
  }
  pb::HistoryReply reply;
  const auto& outcomes = state_.outcomes();
  for (auto it = outcomes.rbegin(); it != outcomes.rend(); ++it) {
    if (static_cast<std::uint32_t>(reply.outcomes_size()) == call.limit) {
      break;
    }
    *reply.add_outcomes() = *it;
  }
  actions_.histories.emplace_back(call.ticket, std::move(reply));
}

void ControlNodeImpl::RefuseRead(const ReadCall& call, ErrorKind kind) {
  if (call.kind == ReadKind::kGet) {
    pb::GetReply reply;
    reply.set_error_kind(KindName(kind));
    reply.set_leader_address(LeaderAddress());
    actions_.gets.emplace_back(call.ticket, std::move(reply));
    return;
  }
  pb::HistoryReply reply;
  reply.set_error_kind(KindName(kind));
  reply.set_leader_address(LeaderAddress());
  actions_.histories.emplace_back(call.ticket, std::move(reply));
}

}  // namespace vanillalatch::internal
