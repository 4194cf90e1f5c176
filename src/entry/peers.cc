// Messages between the entry VMs of one data centre: the hand-over of the duty
// to answer a request, and the news that it is answered.
#include <algorithm>
#include <utility>

#include "src/entry/entry_node_impl.h"

namespace vanillalatch::internal {
namespace {

Duration Backoff(std::uint8_t sends) {
  return kPeerResend * (1 << std::min<int>(sends, kMaxResendDoublings));
}

template <typename List, typename Predicate>
void EraseIf(List& list, Predicate predicate) {
  list.erase(std::remove_if(list.begin(), list.end(), predicate), list.end());
}

}  // namespace

void EntryNodeImpl::OnPeer(const Datagram& datagram) {
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
  peer_from_ = datagram.from;
  NoteInstance(from, incoming_.request().instance());
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

// A peer that was started anew has lost what it had.
void EntryNodeImpl::NoteInstance(NodeId from, std::uint64_t instance) {
  std::uint64_t& known = instances_[from];
  const bool restarted = known != 0 && known != instance;
  known = instance;
  NoteDispatchers();
  if (!restarted) {
    return;
  }
  lost_before_ = std::exchange(lost_at_, now_);
  greeted_.erase(from);
  ReviewRecords(from);
  for (auto& [id, service] : services_) {
    if (!service.complete && service.followers.contains(from)) {
      service.complete_until = TimePoint::min();
    }
    if (service.dispatches && service.complete && service.successor == from) {
      BeginTransfer(service, from);
    }
  }
}

void EntryNodeImpl::GreetMembers() {
  for (const Member& it : members_->members()) {
    if (it.state == MemberState::kDead) {
      greeted_.erase(it.id);
    } else if (it.id != self_ && !greeted_.contains(it.id)) {
      pb::RequestMessage message;
      message.mutable_hello();
      SendPeer(it.id, message);
    }
  }
}

void EntryNodeImpl::OnHello(NodeId from, const pb::Hello& hello) {
  if (hello.acknowledged()) {
    greeted_.insert(from);
    return;
  }
  pb::RequestMessage message;
  message.mutable_hello()->set_acknowledged(true);
  SendPeer(from, message);
}

const Member* EntryNodeImpl::FindMember(NodeId id) const {
  for (const Member& it : members_->members()) {
    if (it.id == id) {
      return &it;
    }
  }
  return nullptr;
}

bool EntryNodeImpl::IsGone(NodeId id) const {
  const Member* it = FindMember(id);
  return it == nullptr || it->state == MemberState::kDead;
}

bool EntryNodeImpl::IsLeavingOrGone(NodeId id) const {
  const Member* it = FindMember(id);
  return IsGone(id) || it->state == MemberState::kLeaving;
}

void EntryNodeImpl::SendPeer(NodeId to, pb::RequestMessage& message) {
  const Member* member = FindMember(to);
  const SocketAddress address = member == nullptr ? peer_from_ : member->peer;
  message.set_instance(instance_);
  outgoing_.Clear();
  outgoing_.set_from(self_.value());
  outgoing_.set_incarnation(options_.membership.incarnation);
  outgoing_.mutable_request()->Swap(&message);
  const std::size_t size = outgoing_.ByteSizeLong();
  const std::span<std::uint8_t> room =
      out_->Reserve(SocketRole::kPeer, address, size);
  outgoing_.SerializeToArray(room.data(), static_cast<int>(size));
}

void EntryNodeImpl::FillHandover(const RequestRecord& record,
                                 pb::Handover& handover) const {
  handover.set_request_id(record.id.value());
  handover.set_caller(record.caller.Packed());
  handover.set_service_id(record.service.value());
  handover.set_datagram(record.request.data(), record.request.size());
  handover.set_hops(record.hops);
  handover.set_maybe_sent(record.unsettled > 0);
  handover.set_orphaned(record.orphaned);
  const auto left = std::chrono::duration_cast<std::chrono::microseconds>(
      std::max(record.deadline - now_, Duration::zero()));
  handover.set_left_us(static_cast<std::uint32_t>(left.count()));
}

void EntryNodeImpl::SendHandover(RequestRecord& record) {
  pb::RequestMessage message;
  FillHandover(record, *message.mutable_handover());
  SendPeer(record.next, message);
  records_.WakeAt(record, std::min(now_ + Backoff(record.sends++),
                                   std::max(record.deadline, now_)));
}

// The record that a peer's message describes; nullptr if its service is not
// known here, its datagram is malformed or the table is full.
RequestRecord* EntryNodeImpl::RecordOf(const pb::Handover& handover) {
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
  Describe(*record, *service, *message, bytes);
  record->deadline = now_ + std::chrono::microseconds(handover.left_us());
  record->hops = handover.hops();
  record->unsettled = handover.maybe_sent() ? 1 : 0;
  record->orphaned = handover.orphaned();
  return record;
}

void EntryNodeImpl::Tell(RequestRecord& record, NodeId id) {
  if (std::find(record.tell.begin(), record.tell.end(), id) ==
      record.tell.end()) {
    record.tell.push_back(id);
  }
}

void EntryNodeImpl::OnHandover(NodeId from, const pb::Handover& handover) {
  RequestRecord* record = records_.Find(RequestId{handover.request_id()});
  const bool known = record != nullptr;
  if (!known) {
    record = RecordOf(handover);
  }
  if (record == nullptr) {
    return;  // The sender offers it again, and answers at the deadline.
  }
  pb::RequestMessage message;
  message.mutable_handover_ack()->set_request_id(handover.request_id());
  message.mutable_handover_ack()->set_hops(handover.hops());
  SendPeer(from, message);
  Tell(*record, from);
  if (known) {
    OnKnownHandover(from, handover, *record);
  } else {
    Route(*record);
  }
}

// The duty comes back, or the caller's resend came over another VM.
void EntryNodeImpl::OnKnownHandover(NodeId from, const pb::Handover& handover,
                                    RequestRecord& record) {
  const bool comes_back = record.state == RequestState::kHeld &&
                          record.next == from && handover.hops() > record.hops;
  if (comes_back) {
    record.hops = handover.hops();
    record.unsettled =
        std::max<std::uint8_t>(record.unsettled, handover.maybe_sent() ? 1 : 0);
    Route(record);
    return;
  }
  if (HasDuty(record)) {
    NoteEarlierSend(record, handover);
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
      record.fingerprint != FingerprintOf(*message)) {
    record.sends = 0;
    OnResend(record, *message, datagram);
    SendDone(record);
  } else if (HasDuty(record)) {
    OnResend(record, *message, datagram);
  }
}

void EntryNodeImpl::OnHandoverAck(NodeId from, const pb::HandoverAck& ack) {
  RequestRecord* record = records_.Find(RequestId{ack.request_id()});
  if (record != nullptr && record->state == RequestState::kHeld &&
      record->next == from && record->hops == ack.hops()) {
    record->acknowledged = true;
    records_.WakeAt(*record, record->received + options_.exchange_lifetime);
  }
}

// Tells the VMs that hold a record of the request, until all have heard.
void EntryNodeImpl::SendDone(RequestRecord& record) {
  if (record.state != RequestState::kFinished) {
    return;
  }
  const std::size_t told = record.tell.size();
  EraseIf(record.tell, [&](NodeId it) { return IsGone(it); });
  if (record.answer_due && record.tell.size() < told) {
    DoubtRefusal(record);
  }
  for (const NodeId it : record.tell) {
    pb::RequestMessage message;
    FillDone(record, *message.mutable_done());
    if (it != record.holder) {
      message.mutable_done()->clear_answer();
    }
    SendPeer(it, message);
  }
  records_.WakeAt(
      record, record.tell.empty() ? kNever : now_ + Backoff(record.sends++));
}

// A VM that was to hear of the refusal can't be reached: it may be alive, and
// have the request run elsewhere.
void EntryNodeImpl::DoubtRefusal(RequestRecord& record) {
  record.answer_due = false;
  record.unsettled = 1;
  records_.ReplaceAnswer(record, ErrorMessage(LateKind(record), kRetryLater));
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
}

void EntryNodeImpl::OnDone(NodeId from, const pb::Done& done) {
  const RequestRecord* record = records_.Find(RequestId{done.request_id()});
  const bool superseded =
      record != nullptr && (HasDuty(*record) || record->next != from);
  if (!superseded) {
    TakeDone(from, done);
  }
  pb::RequestMessage message;
  message.mutable_done_ack()->set_request_id(done.request_id());
  message.mutable_done_ack()->set_superseded(superseded);
  SendPeer(from, message);
}

// Keeps the final answer of a request that another VM answered.
void EntryNodeImpl::TakeDone(NodeId from, const pb::Done& done) {
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
    record->next = from;
  }
  if (record->state != RequestState::kHeld) {
    return;
  }
  ReleaseAdopted(*record);
  record->sends = 0;
  records_.Finish(*record, now_, {done.answer().begin(), done.answer().end()});
  SendDone(*record);
}

void EntryNodeImpl::OnDoneAck(NodeId from, const pb::DoneAck& ack) {
  RequestRecord* record = records_.Find(RequestId{ack.request_id()});
  if (record == nullptr || record->state != RequestState::kFinished) {
    return;
  }
  EraseIf(record->tell, [&](NodeId it) { return it == from; });
  if (ack.superseded()) {
    record->answer_due = false;  // The VM with the duty answers.
  }
  if (!record->tell.empty()) {
    return;
  }
  records_.WakeAt(*record, kNever);
  if (std::exchange(record->answer_due, false)) {
    AnswerCaller(*record);
  }
}

void EntryNodeImpl::OnCancel(const pb::Cancel& cancel) {
  RequestRecord* record =
      records_.FindByMessage(SocketAddress::FromPacked(cancel.caller()),
                             static_cast<std::uint16_t>(cancel.message_id()));
  if (record != nullptr && HasDuty(*record)) {
    CancelRecord(*record);
  }
}

}  // namespace vanillalatch::internal
