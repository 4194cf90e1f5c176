// Transfer: sends a service's finished requests, block pins and pins of flows
// to the successor or to a new dispatcher, one part at a time.
#include <algorithm>

#include "src/entry/entry_node_impl.h"

namespace vanillalatch::internal {
namespace {

constexpr std::size_t kMaxPinsPerPart = 32;
constexpr std::size_t kPinBytes = 24;
constexpr std::size_t kBlockPinBytes = 32;
// A block pin in use is sent again at most this often per kBlockPinIdleTimeout,
// so that it does not expire at the receiver.
constexpr int kBlockPinSendsPerIdleTimeout = 3;
constexpr std::size_t kDoneOverheadBytes = 48;  // Without the answer.

}  // namespace

void EntryNodeImpl::BeginTransfer(ServiceState& service, NodeId to) {
  service.transfer = {};
  TransferState& transfer = service.transfer;
  transfer.to = to;
  records_.ForEach([&](const RequestRecord& record) {
    if (record.state == RequestState::kFinished && !record.idempotent &&
        record.service == service.id()) {
      transfer.finished.push_back(record.id);
    }
  });
  if (service.dispatches && to == service.successor) {
    RequestHoldsFrom(service, to);
  }
  for (const auto& [answer_key, pin] : service.blocks) {
    transfer.blocks.push_back(answer_key);
  }
  SendTransferPart(service);
}

// Has a new successor store second records of the requests that are sent, which
// the transfer does not contain. The transfer does not end before.
void EntryNodeImpl::RequestHoldsFrom(const ServiceState& service,
                                     NodeId successor) {
  records_.ForEach([&](RequestRecord& record) {
    if (record.state == RequestState::kSent && !record.idempotent &&
        record.service == service.id() && record.holder != successor) {
      record.hold_granted = false;
      hold_renewals_due_ = true;
    }
  });
}

void EntryNodeImpl::TickTransfer(ServiceState& service) {
  if (service.transfer.to == NodeId{}) {
    return;
  }
  if (IsFailed(service.transfer.to)) {
    EndTransfer(service);
  } else if (now_ >= service.transfer.resend_at) {
    SendTransferPart(service);
  }
}

void EntryNodeImpl::EndTransfer(ServiceState& service) {
  service.transfer = {};
}

// Sends the part that starts at the transfer's begin positions. The
// acknowledgement of the part moves these to the end positions.
void EntryNodeImpl::SendTransferPart(ServiceState& service) {
  TransferState& transfer = service.transfer;
  if (transfer.sequence == 0) {
    transfer.sequence = next_sequence_++;
  }
  pb::RequestMessage message;
  pb::Transfer& part = *message.mutable_transfer();
  part.set_sequence(transfer.sequence);
  part.set_partial(!service.complete && now_ >= service.complete_until);
  part.set_service_id(service.config.id());
  std::size_t capacity = kPeerPayloadBytes;
  std::size_t at = transfer.finished_begin;
  for (; at < transfer.finished.size(); ++at) {
    const RequestRecord* record = records_.Find(transfer.finished[at]);
    if (record == nullptr) {
      continue;
    }
    const std::size_t size = kDoneOverheadBytes + record->answer.size();
    if (size > capacity && part.finished_size() > 0) {
      break;
    }
    FillDone(*record, *part.add_finished());
    capacity -= std::min(capacity, size);
  }
  transfer.finished_end = at;
  const bool all_finished = at == transfer.finished.size();
  std::size_t block = transfer.blocks_begin;
  for (; all_finished && block < transfer.blocks.size(); ++block) {
    if (capacity < kBlockPinBytes) {
      break;
    }
    const auto it = service.blocks.find(transfer.blocks[block]);
    if (it != service.blocks.end()) {
      FillBlockPin(it->first, it->second, *part.add_blocks());
      capacity -= kBlockPinBytes;
    }
  }
  transfer.blocks_end = block;
  transfer.pins_end = transfer.pins_begin;
  if (all_finished && block == transfer.blocks.size() &&
      capacity > kMaxPinsPerPart * kPinBytes) {
    transfer.pins_end =
        service.pins.VisitSome(transfer.pins_begin, kMaxPinsPerPart,
                               [&](SocketAddress caller, EndpointId endpoint) {
                                 pb::Pin& pin = *part.add_pins();
                                 pin.set_caller(caller.Packed());
                                 pin.set_endpoint(endpoint.value());
                               });
    part.set_last(transfer.pins_end == 0 && !hold_renewals_due_ &&
                  !HasOrphanThatMayHaveRun(service));
  }
  transfer.last_part_sent = part.last();
  transfer.resend_at = now_ + kPeerResendInterval;
  SendToPeer(transfer.to, message);
}

// True while only this VM may have a record of a request that a failed
// dispatcher may have sent. The transfer must not end before: a VM that became
// complete without this record could run the request again.
bool EntryNodeImpl::HasOrphanThatMayHaveRun(const ServiceState& service) const {
  bool found = false;
  records_.ForEach([&](const RequestRecord& record) {
    found |= record.service == service.id() && !record.idempotent &&
             record.state != RequestState::kFinished &&
             (record.possible_runs > 0 || record.grant_holder != 0) &&
             (record.orphaned || IsFailed(record.responsible_vm));
  });
  return found;
}

// Sends the final answer of a non-idempotent request to the successor, with the
// current transfer or, if the request has no holder, with a Done message. If
// this VM no longer dispatches, its holder may be any VM and may have failed:
// then the present dispatcher and its successor get the answer.
void EntryNodeImpl::ReplicateFinished(RequestRecord& record) {
  ServiceState* service = FindService(record.service);
  if (service == nullptr || record.idempotent) {
    return;
  }
  if (service->transfer.to != NodeId{}) {
    service->transfer.finished.push_back(record.id);
  } else if (service->dispatches && service->successor != NodeId{} &&
             record.holder == NodeId{}) {
    record.holder = service->successor;
    AddDoneRecipient(record, record.holder);
  }
  if (IsAnswerOfFormerDispatcher(record)) {
    AddPresentDispatchers(record);
  }
}

bool EntryNodeImpl::IsAnswerOfFormerDispatcher(const RequestRecord& record) {
  const ServiceState* service = FindService(record.service);
  return service != nullptr && !service->dispatches && !record.idempotent &&
         record.attempts > 0 && !record.answer_says_not_run;
}

void EntryNodeImpl::AddPresentDispatchers(RequestRecord& record) {
  const ServiceState& service = *FindService(record.service);
  for (const NodeId it : {service.dispatcher, service.successor}) {
    if (it != NodeId{} && it != self_ && !IsFailed(it)) {
      AddDoneRecipient(record, it);
    }
  }
}

void EntryNodeImpl::FillBlockPin(std::uint64_t answer_key, const BlockPin& from,
                                 pb::BlockPin& pin) {
  pin.set_answer(answer_key);
  pin.set_endpoint(from.endpoint.value());
  pin.set_tag(from.etag_hash);
}

// Sends a block pin to the VM that may serve the later blocks: the receiver of
// a transfer, the successor, or the present dispatcher if this VM no longer
// dispatches.
void EntryNodeImpl::SendBlockPin(ServiceState& service,
                                 std::uint64_t answer_key) {
  BlockPin& pin = service.blocks.at(answer_key);
  const bool needs_update_now =
      !service.dispatches || service.transfer.to != NodeId{};
  if (!needs_update_now && pin.sent_at &&
      now_ <
          *pin.sent_at + kBlockPinIdleTimeout / kBlockPinSendsPerIdleTimeout) {
    return;
  }
  const NodeId to = !service.dispatches               ? service.dispatcher
                    : service.transfer.to != NodeId{} ? service.transfer.to
                                                      : service.successor;
  if (to == NodeId{}) {
    return;
  }
  pin.sent_at = now_;
  pb::RequestMessage message;
  pb::Transfer& part = *message.mutable_transfer();
  part.set_service_id(service.config.id());
  FillBlockPin(answer_key, pin, *part.add_blocks());
  SendToPeer(to, message);
}

void EntryNodeImpl::OnTransfer(NodeId from, const pb::Transfer& part) {
  ServiceState* service = FindService(ServiceId{part.service_id()});
  if (service == nullptr) {
    return;  // The sender resends it until this VM has the catalog.
  }
  for (const pb::Done& it : part.finished()) {
    StoreDone(from, it);
  }
  for (const pb::Pin& it : part.pins()) {
    const SocketAddress caller = SocketAddress::FromPacked(it.caller());
    if (!service->pins.Touch(caller, now_)) {
      PutPin(*service, caller, EndpointId{it.endpoint()});
    }
  }
  for (const pb::BlockPin& it : part.blocks()) {
    BlockPin& pin = service->blocks[it.answer()];
    pin = {EndpointId{it.endpoint()}, it.tag(), now_ + kBlockPinIdleTimeout,
           pin.sent_at};
  }
  if (part.sequence() == 0) {
    return;
  }
  if (part.last()) {
    OnLastTransferPart(*service, from, part.partial());
  }
  pb::RequestMessage message;
  message.mutable_transfer_ack()->set_sequence(part.sequence());
  SendToPeer(from, message);
}

// Handles the end of a transfer from `from`. A dispatcher is complete when all
// of its sources have ended their transfers; another VM needs one that is not
// partial.
void EntryNodeImpl::OnLastTransferPart(ServiceState& service, NodeId from,
                                       bool partial) {
  const bool was_awaited = std::erase(service.sources, from) > 0;
  const bool has_all_parts =
      service.dispatches ? was_awaited && service.sources.empty() : !partial;
  if (has_all_parts) {
    MarkComplete(service, from);
  }
}

void EntryNodeImpl::SendTransferQueries() {
  for (auto& [id, service] : services_) {
    const bool lacks_state = !service.complete && !service.dispatches &&
                             service.successor == self_ &&
                             service.dispatcher != NodeId{};
    if (lacks_state && now_ >= service.transfer_query_at) {
      service.transfer_query_at = now_ + kTransferQueryInterval;
      pb::RequestMessage message;
      message.mutable_transfer_query()->set_service_id(service.config.id());
      SendToPeer(service.dispatcher, message);
    }
  }
}

void EntryNodeImpl::OnTransferQuery(NodeId from,
                                    const pb::TransferQuery& query) {
  ServiceState* service = FindService(ServiceId{query.service_id()});
  if (service != nullptr && service->dispatches && service->complete &&
      service->successor == from && service->transfer.to == NodeId{}) {
    BeginTransfer(*service, from);
  }
}

void EntryNodeImpl::OnTransferAck(NodeId from, const pb::TransferAck& ack) {
  for (auto& [id, service] : services_) {
    TransferState& transfer = service.transfer;
    if (transfer.to != from || transfer.sequence != ack.sequence()) {
      continue;
    }
    if (transfer.last_part_sent) {
      EndTransfer(service);
      return;
    }
    transfer.finished_begin = transfer.finished_end;
    transfer.blocks_begin = transfer.blocks_end;
    transfer.pins_begin = transfer.pins_end;
    transfer.sequence = 0;
    SendTransferPart(service);
    return;
  }
}

// Pins a flow to an endpoint that another VM selected.
void EntryNodeImpl::PutPin(ServiceState& service, SocketAddress caller,
                           EndpointId endpoint) {
  const std::optional<EndpointId> pinned = service.pins.Touch(caller, now_);
  if (pinned == endpoint) {
    return;
  }
  if (pinned) {
    service.placer->Close(*pinned);
  }
  if (service.pins.Put(caller, endpoint, now_)) {
    service.placer->Open(endpoint);
  }
}

void EntryNodeImpl::OnPinQuery(NodeId from, const pb::PinQuery& query) {
  ServiceState* service = FindService(ServiceId{query.service_id()});
  if (service == nullptr) {
    return;
  }
  const std::optional<EndpointId> pinned =
      service->pins.Touch(SocketAddress::FromPacked(query.caller()), now_);
  pb::RequestMessage message;
  message.mutable_pin_reply()->set_caller(query.caller());
  message.mutable_pin_reply()->set_service_id(query.service_id());
  message.mutable_pin_reply()->set_endpoint(
      pinned.value_or(EndpointId{}).value());
  SendToPeer(from, message);
}

// Routes the parked requests of the flow, which waited for this reply.
void EntryNodeImpl::OnPinReply(NodeId from, const pb::PinReply& reply) {
  ServiceState* service = FindService(ServiceId{reply.service_id()});
  if (service == nullptr) {
    return;
  }
  const SocketAddress caller = SocketAddress::FromPacked(reply.caller());
  if (reply.endpoint() != 0 && !service->pins.Touch(caller, now_)) {
    PutPin(*service, caller, EndpointId{reply.endpoint()});
  }
  std::vector<RequestId> waiting;
  records_.ForEach([&](RequestRecord& record) {
    if (record.state == RequestState::kParked && record.caller == caller &&
        record.service == service->id() && record.pin_queries > 0) {
      record.pin_queries = kMaxPinQueries;
      waiting.push_back(record.id);
    }
  });
  for (const RequestId it : waiting) {
    RequestRecord* record = records_.Find(it);
    if (record != nullptr && record->state == RequestState::kParked) {
      Route(*record);
    }
  }
}

}  // namespace vanillalatch::internal
