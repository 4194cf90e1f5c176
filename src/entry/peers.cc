// Messages between the entry VMs of one data centre: the handover of a request
// to the VM that becomes responsible for it, and the notification of its
// answer.
#include <algorithm>
#include <utility>

#include "src/entry/entry_node_impl.h"

namespace vanillalatch::internal {
namespace {

Duration Backoff(std::uint8_t sends) {
  return kPeerResendInterval * (1 << std::min<int>(sends, kMaxResendDoublings));
}

template <typename List, typename Predicate>
void EraseIf(List& list, Predicate predicate) {
  list.erase(std::remove_if(list.begin(), list.end(), predicate), list.end());
}

}  // namespace

void EntryNodeImpl::OnPeerDatagram(const Datagram& datagram) {
  incoming_.Clear();
  if (!incoming_.ParseFromArray(datagram.bytes.data(),
                                static_cast<int>(datagram.bytes.size()))) {
    ++counters_.malformed;
    return;
  }
  const NodeId from{incoming_.from()};
  if (incoming_.has_membership()) {
    members_->OnMessage(now_, datagram.from, from, incoming_.membership(),
                        *registry_, *out_);
    return;
  }
  if (!incoming_.has_request() || from == self_) {
    ++counters_.malformed;
    return;
  }
  peer_sender_ = datagram.from;
  TrackInstance(from, incoming_.request().instance());
  OnRequestMessage(from, incoming_.request());
}

void EntryNodeImpl::OnRequestMessage(NodeId from,
                                     const pb::RequestMessage& message) {
  switch (message.body_case()) {
    case pb::RequestMessage::kHandover:
      return OnHandover(from, message.handover());
    case pb::RequestMessage::kHandoverAck:
      return OnHandoverAck(from, message.handover_ack());
    case pb::RequestMessage::kHold:
      return OnHold(from, message.hold());
    case pb::RequestMessage::kHoldReply:
      return OnHoldReply(from, message.hold_reply());
    case pb::RequestMessage::kDone:
      return OnDone(from, message.done());
    case pb::RequestMessage::kDoneAck:
      return OnDoneAck(from, message.done_ack());
    case pb::RequestMessage::kCollect:
      return OnCollect(from, message.collect());
    case pb::RequestMessage::kCollectReply:
      return OnCollectReply(from, message.collect_reply());
    case pb::RequestMessage::kCancel:
      return OnCancel(message.cancel());
    case pb::RequestMessage::kTransfer:
      return OnTransfer(from, message.transfer());
    case pb::RequestMessage::kTransferAck:
      return OnTransferAck(from, message.transfer_ack());
    case pb::RequestMessage::kTransferQuery:
      return OnTransferQuery(from, message.transfer_query());
    case pb::RequestMessage::kPinQuery:
      return OnPinQuery(from, message.pin_query());
    case pb::RequestMessage::kPinReply:
      return OnPinReply(from, message.pin_reply());
    case pb::RequestMessage::kHello:
      return OnHello(from, message.hello());
    case pb::RequestMessage::BODY_NOT_SET:
      ++counters_.malformed;
  }
}

// Tracks the instance of a peer. A changed instance means that the peer
// restarted and has lost its records and pins.
void EntryNodeImpl::TrackInstance(NodeId from, std::uint64_t instance) {
  std::uint64_t& tracked = peer_instances_[from];
  const bool restarted = tracked != 0 && tracked != instance;
  tracked = instance;
  TrackDispatchers();
  if (!restarted) {
    return;
  }
  previous_failure_ = std::exchange(last_failure_, now_);
  hello_acknowledged_.erase(from);
  ReevaluateRecords(from);
  for (auto& [id, service] : services_) {
    DropRetainedState(service, from, instance);
    if (service.complete && service.dispatcher == from) {
      BecomeSuccessorOf(service, from);
    }
    if (service.dispatches && service.complete && service.successor == from) {
      BeginTransfer(service, from);
    }
  }
}

// Sends this VM's instance to each live member that has not acknowledged it, so
// that the members detect a restart and can report which instance dispatched.
void EntryNodeImpl::SendHellos() {
  for (const Member& it : members_->members()) {
    if (it.state == MemberState::kDead) {
      hello_acknowledged_.erase(it.id);
    } else if (it.id != self_ && !hello_acknowledged_.contains(it.id)) {
      pb::RequestMessage message;
      message.mutable_hello();
      SendToPeer(it.id, message);
    }
  }
}

void EntryNodeImpl::OnHello(NodeId from, const pb::Hello& hello) {
  if (hello.acknowledged()) {
    hello_acknowledged_.insert(from);
    return;
  }
  pb::RequestMessage message;
  message.mutable_hello()->set_acknowledged(true);
  SendToPeer(from, message);
}

const Member* EntryNodeImpl::FindMember(NodeId id) const {
  for (const Member& it : members_->members()) {
    if (it.id == id) {
      return &it;
    }
  }
  return nullptr;
}

bool EntryNodeImpl::IsFailed(NodeId id) const {
  const Member* it = FindMember(id);
  return it == nullptr || it->state == MemberState::kDead;
}

bool EntryNodeImpl::IsLeavingOrFailed(NodeId id) const {
  const Member* it = FindMember(id);
  return IsFailed(id) || it->state == MemberState::kLeaving;
}

void EntryNodeImpl::SendToPeer(NodeId to, pb::RequestMessage& message) {
  const Member* member = FindMember(to);
  const SocketAddress address = member == nullptr ? peer_sender_ : member->peer;
  message.set_instance(instance_);
  outgoing_.Clear();
  outgoing_.set_from(self_.value());
  outgoing_.set_incarnation(options_.membership.incarnation);
  outgoing_.mutable_request()->Swap(&message);
  const std::size_t size = outgoing_.ByteSizeLong();
  const std::span<std::uint8_t> space =
      out_->Reserve(SocketRole::kPeer, address, size);
  outgoing_.SerializeToArray(space.data(), static_cast<int>(size));
}

void EntryNodeImpl::FillHandover(const RequestRecord& record,
                                 pb::Handover& handover) const {
  handover.set_request_id(record.id.value());
  handover.set_caller(record.caller.Packed());
  handover.set_service_id(record.service.value());
  handover.set_datagram(record.request.data(), record.request.size());
  handover.set_hops(record.hops);
  handover.set_maybe_sent(record.possible_runs > 0);
  handover.set_orphaned(record.orphaned);
  const auto remaining = std::chrono::duration_cast<std::chrono::microseconds>(
      std::max(record.deadline - now_, Duration::zero()));
  handover.set_left_us(static_cast<std::uint32_t>(remaining.count()));
}

void EntryNodeImpl::SendHandover(RequestRecord& record) {
  pb::RequestMessage message;
  FillHandover(record, *message.mutable_handover());
  SendToPeer(record.responsible_vm, message);
  records_.WakeAt(record, std::min(now_ + Backoff(record.peer_sends++),
                                   std::max(record.deadline, now_)));
}

// Adds the record that a peer's message describes. Returns nullptr if the
// catalog in force lacks its service, its datagram is malformed or the table is
// full.
RequestRecord* EntryNodeImpl::CreateRecord(const pb::Handover& handover) {
  const ServiceState* service = FindService(ServiceId{handover.service_id()});
  const std::string& text = handover.datagram();
  const ByteSpan bytes(reinterpret_cast<const std::uint8_t*>(text.data()),
                       text.size());
  const CoapMessage* message = parsers_.stored.Parse(bytes);
  if (service == nullptr || message == nullptr || !message->IsRequest()) {
    return nullptr;
  }
  RequestRecord* record =
      records_.Insert(RequestId{handover.request_id()}, now_);
  if (record == nullptr) {
    return nullptr;
  }
  record->caller = SocketAddress::FromPacked(handover.caller());
  FillFromDatagram(*record, *service, *message, bytes);
  record->deadline = now_ + std::chrono::microseconds(handover.left_us());
  record->hops = handover.hops();
  record->possible_runs = handover.maybe_sent() ? 1 : 0;
  record->orphaned = handover.orphaned();
  return record;
}

void EntryNodeImpl::AddDoneRecipient(RequestRecord& record, NodeId id) {
  if (std::find(record.done_recipients.begin(), record.done_recipients.end(),
                id) == record.done_recipients.end()) {
    record.done_recipients.push_back(id);
  }
}

void EntryNodeImpl::OnHandover(NodeId from, const pb::Handover& handover) {
  RequestRecord* record = records_.Find(RequestId{handover.request_id()});
  const bool exists = record != nullptr;
  if (!exists) {
    record = CreateRecord(handover);
  }
  if (record == nullptr) {
    return;  // The sender resends it, and answers at the deadline.
  }
  pb::RequestMessage message;
  message.mutable_handover_ack()->set_request_id(handover.request_id());
  message.mutable_handover_ack()->set_hops(handover.hops());
  SendToPeer(from, message);
  AddDoneRecipient(*record, from);
  if (exists) {
    OnRepeatedHandover(from, handover, *record);
  } else {
    Route(*record);
  }
}

// Handles the handover of a request that this VM has a record of: either the VM
// that it handed the request to returns it, or the caller's resend arrived at
// another VM.
void EntryNodeImpl::OnRepeatedHandover(NodeId from,
                                       const pb::Handover& handover,
                                       RequestRecord& record) {
  const bool is_returned = record.state == RequestState::kHeld &&
                           record.responsible_vm == from &&
                           handover.hops() > record.hops;
  if (record.state != RequestState::kFinished) {
    MergeEarlierSend(record, handover);
  }
  if (is_returned) {
    record.hops = handover.hops();
    if (record.grant_holder != 0 && !record.idempotent) {
      // The VM may have restarted and lost its record of a send.
      record.possible_runs = std::max<std::uint8_t>(record.possible_runs, 1);
    }
    Route(record);
    return;
  }
  const std::string& text = handover.datagram();
  const Datagram datagram{
      SocketRole::kCaller, SocketAddress::FromPacked(handover.caller()),
      ByteSpan(reinterpret_cast<const std::uint8_t*>(text.data()),
               text.size())};
  const CoapMessage* message = parsers_.incoming.Parse(datagram.bytes);
  if (message == nullptr || !message->IsRequest()) {
    ++counters_.malformed;
    return;
  }
  if (record.state == RequestState::kFinished ||
      record.fingerprint != ComputeFingerprint(*message)) {
    record.peer_sends = 0;
    OnResend(record, *message, datagram);
    SendDone(record);
  } else if (IsResponsible(record)) {
    OnResend(record, *message, datagram);
  }
}

void EntryNodeImpl::OnHandoverAck(NodeId from, const pb::HandoverAck& ack) {
  RequestRecord* record = records_.Find(RequestId{ack.request_id()});
  if (record != nullptr && record->state == RequestState::kHeld &&
      record->responsible_vm == from && record->hops == ack.hops()) {
    record->acknowledged = true;
    records_.WakeAt(*record, record->received + options_.exchange_lifetime);
  }
}

// Notifies the VMs that have a record of the request that it is finished, and
// resends until all of them have acknowledged it.
void EntryNodeImpl::SendDone(RequestRecord& record) {
  if (record.state != RequestState::kFinished) {
    return;
  }
  const std::size_t recipients_before = record.done_recipients.size();
  EraseIf(record.done_recipients, [&](NodeId it) { return IsFailed(it); });
  const bool recipient_failed =
      record.done_recipients.size() < recipients_before;
  if (record.answer_deferred && recipient_failed) {
    RetractRefusal(record);
  }
  const bool is_former_dispatcher = IsAnswerOfFormerDispatcher(record);
  if (is_former_dispatcher && recipient_failed) {
    AddPresentDispatchers(record);
  }
  for (const NodeId it : record.done_recipients) {
    pb::RequestMessage message;
    FillDone(record, *message.mutable_done());
    if (it != record.holder && !is_former_dispatcher) {
      message.mutable_done()->clear_answer();
    }
    SendToPeer(it, message);
  }
  records_.WakeAt(record, record.done_recipients.empty()
                              ? kNever
                              : now_ + Backoff(record.peer_sends++));
}

// Replaces a deferred "not run" answer by one that leaves open whether the
// request ran, and sends it. A VM that should have acknowledged the refusal
// counts as failed, but it may be alive and run the request.
void EntryNodeImpl::RetractRefusal(RequestRecord& record) {
  record.answer_deferred = false;
  record.possible_runs = 1;
  records_.ReplaceAnswer(
      record, BuildErrorAnswer(TimeoutErrorKind(record), kRetryAfter));
  AnswerCaller(record);
}

void EntryNodeImpl::FillDone(const RequestRecord& record,
                             pb::Done& done) const {
  done.set_request_id(record.id.value());
  done.set_caller(record.caller.Packed());
  done.set_service_id(record.service.value());
  done.set_answer(record.answer.data(), record.answer.size());
  done.set_not_idempotent(!record.idempotent);
  done.set_fingerprint(record.fingerprint);
  done.set_may_have_run(!record.answer_says_not_run);
}

void EntryNodeImpl::OnDone(NodeId from, const pb::Done& done) {
  const bool superseded = MergeDone(from, done);
  pb::RequestMessage message;
  message.mutable_done_ack()->set_request_id(done.request_id());
  message.mutable_done_ack()->set_superseded(superseded);
  SendToPeer(from, message);
}

// Stores the final answer of a VM. If another VM is responsible for the request
// by now, an answer that says "not run" is void; any other one means that the
// request may have run, so that it must not be sent again.
bool EntryNodeImpl::MergeDone(NodeId from, const pb::Done& done) {
  RequestRecord* record = records_.Find(RequestId{done.request_id()});
  const bool superseded = record != nullptr && (IsResponsible(*record) ||
                                                record->responsible_vm != from);
  const bool may_have_run = done.not_idempotent() && done.may_have_run();
  if (superseded && record->state == RequestState::kSent && may_have_run) {
    record->possible_runs = std::max<std::uint8_t>(record->possible_runs, 2);
  } else if (!superseded || may_have_run) {
    StoreDone(from, done);
  }
  return superseded;
}

// Stores the final answer of a request that another VM answered.
void EntryNodeImpl::StoreDone(NodeId from, const pb::Done& done) {
  RequestRecord* record = records_.Find(RequestId{done.request_id()});
  if (record == nullptr) {
    if (!done.not_idempotent()) {
      return;
    }
    record = records_.Insert(RequestId{done.request_id()}, now_);
    if (record == nullptr) {
      return;
    }
    record->caller = SocketAddress::FromPacked(done.caller());
    record->service = ServiceId{done.service_id()};
    record->idempotent = false;
    record->fingerprint = done.fingerprint();
    record->responsible_vm = from;
  }
  if (IsResponsible(*record) && record->state != RequestState::kSent) {
    FinishWithAnswerOfPeer(*record, done.answer());
    return;
  }
  if (record->state != RequestState::kHeld) {
    return;
  }
  ReleaseAdoptedSlot(*record);
  record->peer_sends = 0;
  const ServiceState* service = FindService(record->service);
  if (service != nullptr && service->complete && done.may_have_run()) {
    ReplicateFinished(*record);
  }
  records_.Finish(*record, now_, {done.answer().begin(), done.answer().end()});
  SendDone(*record);
}

// Finishes a request that this VM has not sent with the answer of another VM,
// which was responsible for it as well. An empty answer is one that the other
// VM no longer stores.
void EntryNodeImpl::FinishWithAnswerOfPeer(RequestRecord& record,
                                           const std::string& answer) {
  if (answer.empty()) {
    record.possible_runs = 1;
    GiveUp(record, ErrorKind::kOutcomeUnknown, kRetryAfter);
    return;
  }
  if (ServiceState* service = FindService(record.service)) {
    ReleaseFromScheduler(*service, record, WorkOutcome::kCancelled);
  }
  ++counters_.replayed;
  RecordHop(record.id, HopEvent::kReplayed,
            static_cast<std::uint8_t>(answer[1]));
  FinishAndAnswer(record, {answer.begin(), answer.end()});
}

void EntryNodeImpl::OnDoneAck(NodeId from, const pb::DoneAck& ack) {
  RequestRecord* record = records_.Find(RequestId{ack.request_id()});
  if (record == nullptr || record->state != RequestState::kFinished) {
    return;
  }
  EraseIf(record->done_recipients, [&](NodeId it) { return it == from; });
  if (ack.superseded()) {
    record->answer_deferred = false;  // The VM now responsible answers.
  }
  if (!record->done_recipients.empty()) {
    return;
  }
  records_.WakeAt(*record, kNever);
  if (std::exchange(record->answer_deferred, false)) {
    AnswerCaller(*record);
  }
}

void EntryNodeImpl::OnCancel(const pb::Cancel& cancel) {
  RequestRecord* record =
      records_.FindByMessage(SocketAddress::FromPacked(cancel.caller()),
                             static_cast<std::uint16_t>(cancel.message_id()));
  if (record != nullptr && IsResponsible(*record)) {
    CancelRequest(*record);
  }
}

}  // namespace vanillalatch::internal
