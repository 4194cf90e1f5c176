// Second records: before a request that needs one (see NeedsHold()) is sent,
// the holder (see SelectHolder()) confirms that it stores the second record.
// For a request that is not idempotent, this also confirms that the holder has
// granted it to no other dispatcher.
#include <algorithm>

#include "src/entry/entry_node_impl.h"

namespace vanillalatch::internal {

// Asks the holder to store a second record, and repeats that until it replies.
// If there is no holder, this is the only entry VM of the data centre and sends
// the request without a second record.
void EntryNodeImpl::SendHold(RequestRecord& record) {
  const ServiceState& service = *FindService(record.service);
  const NodeId holder = SelectHolder(service);
  if (holder == NodeId{}) {
    // Another VM that has a record of the request may be alive but partitioned
    // from this one, perhaps in one direction only, and may run it as well.
    if (record.state == RequestState::kPlaced && !record.idempotent &&
        (MayRunElsewhere(record) || !record.done_recipients.empty())) {
      record.possible_runs = 1;
      GiveUp(record, ErrorKind::kOutcomeUnknown, kRetryAfter);
    } else if (record.state == RequestState::kPlaced) {
      SendToBackend(record);
    }
    return;
  }
  record.holder = holder;
  AddDoneRecipient(record, record.holder);
  pb::RequestMessage message;
  pb::Hold& hold = *message.mutable_hold();
  FillHandover(record, *hold.mutable_request());
  hold.set_endpoint(record.endpoint.value());
  SendToPeer(record.holder, message);
  if (record.state == RequestState::kPlaced) {
    const Duration pause =
        kPeerResendInterval *
        (1 << std::min<int>(record.peer_sends++, kMaxResendDoublings));
    records_.WakeAt(record, std::min(now_ + pause, record.deadline));
  }
}

// Decides whether the dispatcher `from` may send the request. For a request
// that is not idempotent, grants this to at most one dispatcher.
pb::HoldReply::Verdict EntryNodeImpl::EvaluateHold(
    NodeId from, const pb::Hold& hold, const RequestRecord* record) const {
  const auto service = services_.find(ServiceId{hold.request().service_id()});
  if (service == services_.end()) {
    return pb::HoldReply::NOT_DISPATCHER;
  }
  const std::uint64_t asking_instance = incoming_.request().instance();
  if (record != nullptr) {
    if (record->grant_holder == asking_instance &&
        record->state == RequestState::kHeld) {
      return pb::HoldReply::GRANTED;
    }
    if (record->state == RequestState::kFinished) {
      return !record->answer.empty() ? pb::HoldReply::FINISHED
             : record->idempotent    ? pb::HoldReply::GRANTED
                                     : pb::HoldReply::TAKEN;
    }
    const bool may_run = record->grant_holder != 0 || record->possible_runs > 0;
    if (!record->idempotent && may_run) {
      return pb::HoldReply::TAKEN;
    }
  }
  const NodeId fencing_dispatcher = service->second.fencing_dispatcher;
  const bool is_fenced_off = fencing_dispatcher != NodeId{} &&
                             fencing_dispatcher != from &&
                             (!IsFailed(fencing_dispatcher) ||
                              now_ < service->second.fence_holds_until);
  if (service->second.dispatcher != from || is_fenced_off ||
      (record != nullptr && IsResponsible(*record))) {
    return pb::HoldReply::NOT_DISPATCHER;
  }
  return pb::HoldReply::GRANTED;
}

void EntryNodeImpl::OnHold(NodeId from, const pb::Hold& hold) {
  RequestRecord* record = records_.Find(RequestId{hold.request().request_id()});
  pb::HoldReply::Verdict verdict = EvaluateHold(from, hold, record);
  if (verdict == pb::HoldReply::GRANTED && !StoreHold(from, hold, record)) {
    return;  // The record table is full; the dispatcher asks again.
  }
  pb::RequestMessage message;
  pb::HoldReply& reply = *message.mutable_hold_reply();
  reply.set_request_id(hold.request().request_id());
  reply.set_dispatcher(incoming_.request().instance());
  reply.set_verdict(verdict);
  if (verdict == pb::HoldReply::FINISHED) {
    reply.set_answer(record->answer.data(), record->answer.size());
  }
  SendToPeer(from, message);
}

// Stores the second record and the pin of the flow. Returns false if the record
// table is full or the request is malformed.
bool EntryNodeImpl::StoreHold(NodeId from, const pb::Hold& hold,
                              RequestRecord* record) {
  if (record == nullptr) {
    record = CreateRecord(hold.request());
  }
  if (record == nullptr) {
    return false;
  }
  if (record->state == RequestState::kFinished) {
    return true;
  }
  record->grant_holder = incoming_.request().instance();
  record->endpoint = EndpointId{hold.endpoint()};
  record->responsible_vm = from;
  record->responsible_incarnation = 0;
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
    record->hold_granted |= reply.verdict() == pb::HoldReply::GRANTED;
  }
  if (record->state != RequestState::kPlaced) {
    return;
  }
  ServiceState& service = *FindService(record->service);
  switch (reply.verdict()) {
    case pb::HoldReply::GRANTED:
      record->hold_granted = from == SelectHolder(service);
      hold_renewals_due_ |= !record->hold_granted;
      SendToBackend(*record);
      return;
    case pb::HoldReply::FINISHED:
      FinishWithAnswerOfPeer(*record, reply.answer());
      return;
    case pb::HoldReply::TAKEN:
      record->possible_runs = 1;
      ReleaseFromScheduler(service, *record, WorkOutcome::kCancelled);
      Advance(*record, RequestEvent::kPark);
      GiveUp(*record, ErrorKind::kOutcomeUnknown, kRetryAfter);
      return;
    default:
      ReleaseFromScheduler(service, *record, WorkOutcome::kCancelled);
      Park(*record, kParkedRetryInterval);
      ApplyVerdicts();
  }
}

}  // namespace vanillalatch::internal
