// Second records: before a side effect, the next VM in rank confirms that it
// holds one, and that it knows of no other dispatcher of the request.
#include <algorithm>

#include "src/entry/entry_node_impl.h"

namespace vanillalatch::internal {

// Asks the next VM in rank, again and again until it replies. Without one, the
// only entry VM of the data centre goes ahead.
void EntryNodeImpl::SendHold(RequestRecord& record) {
  const ServiceState& service = *FindService(record.service);
  const NodeId holder = HolderFor(service);
  if (holder == NodeId{}) {
    // Another VM that knows of the request may only be cut off from this one,
    // in one direction, and have it run as well.
    if (record.state == RequestState::kPlaced && !record.idempotent &&
        (MayRunElsewhere(record) || !record.tell.empty())) {
      record.unsettled = 1;
      GiveUp(record, ErrorKind::kOutcomeUnknown, kRetryLater);
    } else if (record.state == RequestState::kPlaced) {
      SendToBackend(record);
    }
    return;
  }
  record.holder = holder;
  Tell(record, record.holder);
  pb::RequestMessage message;
  pb::Hold& hold = *message.mutable_hold();
  FillHandover(record, *hold.mutable_request());
  hold.set_endpoint(record.endpoint.value());
  SendPeer(record.holder, message);
  if (record.state == RequestState::kPlaced) {
    const Duration pause =
        kPeerResend * (1 << std::min<int>(record.sends++, kMaxResendDoublings));
    records_.WakeAt(record, std::min(now_ + pause, record.deadline));
  }
}

// Grants at most one dispatcher the sending of a request that may not be
// repeated.
pb::HoldReply::Verdict EntryNodeImpl::JudgeHold(
    NodeId from, const pb::Hold& hold, const RequestRecord* record) const {
  const auto service = services_.find(ServiceId{hold.request().service_id()});
  if (service == services_.end()) {
    return pb::HoldReply::NOT_DISPATCHER;
  }
  const std::uint64_t asker = incoming_.request().instance();
  if (record != nullptr) {
    if (record->grantee == asker && record->state == RequestState::kHeld) {
      return pb::HoldReply::GRANTED;
    }
    if (record->state == RequestState::kFinished) {
      return !record->answer.empty() ? pb::HoldReply::FINISHED
             : record->idempotent    ? pb::HoldReply::GRANTED
                                     : pb::HoldReply::TAKEN;
    }
    const bool may_run = record->grantee != 0 || record->unsettled > 0;
    if (!record->idempotent && may_run) {
      return pb::HoldReply::TAKEN;
    }
  }
  const NodeId fence = service->second.fence;
  const bool overruled = fence != NodeId{} && fence != from && !IsGone(fence);
  if (service->second.dispatcher != from || overruled ||
      (record != nullptr && HasDuty(*record))) {
    return pb::HoldReply::NOT_DISPATCHER;
  }
  return pb::HoldReply::GRANTED;
}

void EntryNodeImpl::OnHold(NodeId from, const pb::Hold& hold) {
  RequestRecord* record = records_.Find(RequestId{hold.request().request_id()});
  pb::HoldReply::Verdict verdict = JudgeHold(from, hold, record);
  if (verdict == pb::HoldReply::GRANTED && !KeepHold(from, hold, record)) {
    return;  // No room; asked again later.
  }
  pb::RequestMessage message;
  pb::HoldReply& reply = *message.mutable_hold_reply();
  reply.set_request_id(hold.request().request_id());
  reply.set_dispatcher(incoming_.request().instance());
  reply.set_verdict(verdict);
  if (verdict == pb::HoldReply::FINISHED) {
    reply.set_answer(record->answer.data(), record->answer.size());
  }
  SendPeer(from, message);
}

// Writes the second record, and the pin of the flow.
bool EntryNodeImpl::KeepHold(NodeId from, const pb::Hold& hold,
                             RequestRecord* record) {
  if (record == nullptr) {
    record = RecordOf(hold.request());
  }
  if (record == nullptr) {
    return false;
  }
  if (record->state == RequestState::kFinished) {
    return true;
  }
  record->grantee = incoming_.request().instance();
  record->endpoint = EndpointId{hold.endpoint()};
  record->next = from;
  record->next_incarnation = 0;
  record->acknowledged = true;
  records_.WakeAt(*record, record->received + options_.exchange_lifetime);
  ServiceState& service = *FindService(record->service);
  if (service.has_sessions()) {
    PutPin(service, record->caller, record->endpoint);
  }
  return true;
}

void EntryNodeImpl::OnHoldReply(NodeId from, const pb::HoldReply& reply) {
  RequestRecord* record = records_.Find(RequestId{reply.request_id()});
  if (record == nullptr || record->holder != from ||
      reply.dispatcher() != instance_) {
    return;
  }
  if (record->state == RequestState::kSent) {
    record->granted |= reply.verdict() == pb::HoldReply::GRANTED;
  }
  if (record->state != RequestState::kPlaced) {
    return;
  }
  ServiceState& service = *FindService(record->service);
  switch (reply.verdict()) {
    case pb::HoldReply::GRANTED:
      record->granted = true;
      SendToBackend(*record);
      return;
    case pb::HoldReply::FINISHED:
      LeaveScheduler(service, *record, WorkOutcome::kCancelled);
      ++counters_.replayed;
      Note(record->id, HopEvent::kReplayed,
           static_cast<std::uint8_t>(reply.answer()[1]));
      Conclude(*record, {reply.answer().begin(), reply.answer().end()});
      return;
    case pb::HoldReply::TAKEN:
      record->unsettled = 1;
      LeaveScheduler(service, *record, WorkOutcome::kCancelled);
      Advance(*record, RequestEvent::kPark);
      GiveUp(*record, ErrorKind::kOutcomeUnknown, kRetryLater);
      return;
    default:
      LeaveScheduler(service, *record, WorkOutcome::kCancelled);
      Park(*record, kParkedRetry);
      RunVerdicts();
  }
}

}  // namespace vanillalatch::internal
