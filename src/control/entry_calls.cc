#include <algorithm>
#include <utility>

#include "src/control/control_node_impl.h"

namespace vanillalatch::internal {
namespace {

// An entry VM that has just started asks for endpoints this often.
constexpr Duration kEndpointsHold = std::chrono::milliseconds(100);
// How long a status call waits for the other control VMs.
constexpr Duration kStatusWait = std::chrono::milliseconds(500);

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
  reports_.Note(now, request);
  const Duration hold =
      request.wants_endpoints()
          ? std::min<Duration>(options_.sync_hold, kEndpointsHold)
          : options_.sync_hold;
  syncs_.push_back(
      {ticket, request.revision(), replica_->FromQuorum(now), now + hold});
  Pump(now);
}

// A call is also answered once this VM seems cut off, so that the entry VM can
// turn to another one.
void ControlNodeImpl::AdvanceSyncs(TimePoint now) {
  std::erase_if(syncs_, [&](const SyncCall& it) {
    const bool newer = state_.catalog().revision() > it.revision;
    const bool cut_off = it.from_quorum && !replica_->FromQuorum(now);
    if (newer || cut_off || now >= it.deadline) {
      AnswerSync(now, it);
      return true;
    }
    return false;
  });
}

void ControlNodeImpl::AnswerSync(TimePoint now, const SyncCall& call) {
  pb::SyncReply reply;
  if (state_.catalog().revision() > call.revision) {
    // Entry VMs never read the operator's document.
    *reply.mutable_catalog() = state_.catalog();
    if (reply.catalog().has_flows()) {
      reply.mutable_catalog()->mutable_flows()->clear_document();
    }
  }
  for (const pb::Replica& it : replica_->configuration().replicas()) {
    reply.add_control_addresses(it.address());
  }
  reply.set_committed_revision(state_.catalog().revision());
  reply.set_from_quorum(replica_->FromQuorum(now));
  actions_.syncs.emplace_back(call.ticket, std::move(reply));
}

// The entry VMs' reports stay where they arrived until somebody asks: the
// leader then collects them, so that reports cost nothing between status
// calls.
void ControlNodeImpl::OnStatus(TimePoint now, Ticket ticket) {
  StatusCall call;
  call.ticket = ticket;
  call.round = ++report_round_;
  call.deadline = now + kStatusWait;
  *call.reply.mutable_catalog() = state_.catalog();
  reports_.AddTo(now, call.reply);
  *call.reply.add_controls() = Status();
  if (!IsLeader() || !replica_->FromQuorum(now)) {
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
      call.missing.insert(it.id());
      pb::ConsensusMessage message;
      message.mutable_report_request()->set_round(call.round);
      SendToReplica(it.id(), std::move(message));
    }
  }
  statuses_.push_back(std::move(call));
  Pump(now);
}

void ControlNodeImpl::AdvanceStatuses(TimePoint now) {
  std::erase_if(statuses_, [&](StatusCall& it) {
    if (!it.missing.empty() && now < it.deadline) {
      return false;
    }
    actions_.statuses.emplace_back(it.ticket, std::move(it.reply));
    return true;
  });
}

// True if the message was about reports.
bool ControlNodeImpl::HandleReport(TimePoint now,
                                   const pb::ConsensusMessage& message) {
  if (message.has_report_request()) {
    SendReport(now, message);
    return true;
  }
  if (message.has_report_reply()) {
    TakeReport(message);
    return true;
  }
  return false;
}

void ControlNodeImpl::SendReport(TimePoint now,
                                 const pb::ConsensusMessage& request) {
  if (request.to() != store_.id()) {
    return;
  }
  pb::StatusReply part;
  reports_.AddTo(now, part);
  *part.add_controls() = Status();
  pb::ConsensusMessage message;
  pb::ReportReply& reply = *message.mutable_report_reply();
  reply.set_round(request.report_request().round());
  reply.set_status(part.SerializeAsString());
  SendToReplica(request.from(), std::move(message));
}

void ControlNodeImpl::TakeReport(const pb::ConsensusMessage& message) {
  for (StatusCall& it : statuses_) {
    pb::StatusReply part;
    if (it.round != message.report_reply().round() ||
        it.missing.erase(message.from()) == 0 ||
        !part.ParseFromString(message.report_reply().status())) {
      continue;
    }
    MergeStatus(part, it.reply);
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
