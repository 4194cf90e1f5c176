#include <algorithm>
#include <utility>

#include "src/control/control_node_impl.h"

namespace vanillalatch::internal {
namespace {

// Maximum time that a Sync call is held if it asks for endpoints. An entry VM
// that has just started then asks again.
constexpr Duration kEndpointsSyncHold = std::chrono::milliseconds(100);
// Load: all entry VMs ask for the catalog at once. Between two turns, messages
// of the log and calls of operators are processed.
constexpr std::size_t kMaxSyncsPerTurn = 8;
constexpr Duration kSyncTurnInterval = std::chrono::milliseconds(5);
// Time after which a Status call no longer waits for other control VMs.
constexpr Duration kStatusTimeout = std::chrono::milliseconds(500);

const pb::Replica* ReplicaById(const pb::Configuration& configuration,
                               std::uint64_t id) {
  const auto it = std::find_if(
      configuration.replicas().begin(), configuration.replicas().end(),
      [&](const pb::Replica& replica) { return replica.id() == id; });
  return it == configuration.replicas().end() ? nullptr : &*it;
}

}  // namespace

void ControlNodeImpl::OnSync(TimePoint now, Ticket ticket,
                             const pb::SyncRequest& request) {
  reports_.Record(now, request);
  ReleaseEarlierSync(request.vm());
  const Duration hold =
      request.wants_endpoints()
          ? std::min<Duration>(options_.sync_hold, kEndpointsSyncHold)
          : options_.sync_hold;
  syncs_.push_back({ticket, request.vm(), request.accepts_packed(),
                    request.revision(), replica_->HasQuorumContact(now),
                    now + hold});
  ProcessPending(now);
}

// Answers an open call of a VM that calls again: it no longer waits for the
// reply, so the reply has no catalog.
void ControlNodeImpl::ReleaseEarlierSync(const std::string& vm) {
  std::erase_if(syncs_, [&](const SyncCall& it) {
    if (vm.empty() || it.vm != vm) {
      return false;
    }
    actions_.syncs.emplace_back(it.ticket, pb::SyncReply());
    return true;
  });
}

bool ControlNodeImpl::IsSyncDue(TimePoint now, const SyncCall& call) const {
  const bool newer = state_.catalog().revision() > call.revision;
  const bool lost_quorum = call.had_quorum && !replica_->HasQuorumContact(now);
  return newer || lost_quorum || now >= call.deadline;
}

// Answers the calls that are due, at most kMaxSyncsPerTurn at a time: after a
// restart of the fleet every VM asks for the catalog at once, and the messages
// of the log must not wait behind the replies. A call is also answered when
// this VM loses contact with a quorum, so that the entry VM can use another
// control VM.
void ControlNodeImpl::AdvanceSyncs(TimePoint now) {
  if (next_syncs_ != kNever && now < next_syncs_) {
    return;
  }
  next_syncs_ = kNever;
  std::size_t answered = 0;
  std::erase_if(syncs_, [&](const SyncCall& it) {
    if (!IsSyncDue(now, it)) {
      return false;
    }
    if (answered == kMaxSyncsPerTurn) {
      next_syncs_ = now + kSyncTurnInterval;
      return false;
    }
    ++answered;
    AnswerSync(now, it);
    return true;
  });
}

void ControlNodeImpl::AnswerSync(TimePoint now, const SyncCall& call) {
  pb::SyncReply reply;
  if (state_.catalog().revision() > call.revision) {
    feed_.Update(state_.catalog());
    if (call.accepts_packed) {
      feed_.AddDeltas(call.revision, *reply.mutable_deltas());
    } else {
      // Leaves out the operator's document, which entry VMs don't use.
      *reply.mutable_catalog() = state_.catalog();
      if (reply.catalog().has_flows()) {
        reply.mutable_catalog()->mutable_flows()->clear_document();
        reply.mutable_catalog()->mutable_flows()->clear_packed_document();
      }
    }
  }
  for (const pb::Replica& it : replica_->configuration().replicas()) {
    reply.add_control_addresses(it.address());
  }
  reply.set_committed_revision(state_.catalog().revision());
  reply.set_from_quorum(replica_->HasQuorumContact(now));
  actions_.syncs.emplace_back(call.ticket, std::move(reply));
}

// The reports of entry VMs stay at the control VM that received them. The
// leader collects them for a Status call, so they cause no traffic between
// control VMs otherwise.
void ControlNodeImpl::OnStatus(TimePoint now, Ticket ticket) {
  StatusCall call;
  call.ticket = ticket;
  call.round = ++report_round_;
  call.deadline = now + kStatusTimeout;
  *call.reply.mutable_catalog() = state_.catalog();
  reports_.AddTo(now, call.reply);
  *call.reply.add_controls() = Status();
  if (!IsLeader() || !replica_->HasQuorumContact(now)) {
    const std::string address = LeaderAddress();
    call.reply.set_error_kind(
        std::string(AnswerFor(address.empty() ? ErrorKind::kNoQuorum
                                              : ErrorKind::kNotLeader)
                        .name));
    call.reply.set_leader_address(address);
  } else {
    for (const pb::Replica& it : replica_->configuration().replicas()) {
      if (it.vm() == options_.vm) {
        continue;
      }
      call.awaited_replicas.insert(it.id());
      pb::ConsensusMessage message;
      message.mutable_report_request()->set_round(call.round);
      SendToReplica(it.id(), std::move(message));
    }
  }
  statuses_.push_back(std::move(call));
  ProcessPending(now);
}

void ControlNodeImpl::AdvanceStatuses(TimePoint now) {
  std::erase_if(statuses_, [&](StatusCall& it) {
    if (!it.awaited_replicas.empty() && now < it.deadline) {
      return false;
    }
    actions_.statuses.emplace_back(it.ticket, std::move(it.reply));
    return true;
  });
}

// Handles the messages that collect statuses. Returns false for other messages.
bool ControlNodeImpl::HandleReportMessage(TimePoint now,
                                          const pb::ConsensusMessage& message) {
  if (message.has_report_request()) {
    SendReport(now, message);
    return true;
  }
  if (message.has_report_reply()) {
    MergeReport(message);
    return true;
  }
  return false;
}

void ControlNodeImpl::SendReport(TimePoint now,
                                 const pb::ConsensusMessage& request) {
  if (request.to() != store_.id()) {
    return;
  }
  pb::StatusReply partial_status;
  reports_.AddTo(now, partial_status);
  *partial_status.add_controls() = Status();
  pb::ConsensusMessage message;
  pb::ReportReply& reply = *message.mutable_report_reply();
  reply.set_round(request.report_request().round());
  reply.set_status(partial_status.SerializeAsString());
  SendToReplica(request.from(), std::move(message));
}

void ControlNodeImpl::MergeReport(const pb::ConsensusMessage& message) {
  for (StatusCall& it : statuses_) {
    pb::StatusReply partial_status;
    if (it.round != message.report_reply().round() ||
        it.awaited_replicas.erase(message.from()) == 0 ||
        !partial_status.ParseFromString(message.report_reply().status())) {
      continue;
    }
    MergeStatus(partial_status, it.reply);
  }
}

void ControlNodeImpl::SendToReplica(std::uint64_t id,
                                    pb::ConsensusMessage message) {
  if (const pb::Replica* to = ReplicaById(replica_->configuration(), id)) {
    message.set_from(store_.id());
    message.set_to(id);
    message.set_term(replica_->term().value());
    actions_.sends.push_back({to->address(), std::move(message)});
  }
}

}  // namespace vanillalatch::internal
