// Everything that a dispatcher keeps of a service, sent to the next VM in rank
// or to a new dispatcher a part at a time.
#include <algorithm>

#include "src/entry/entry_node_impl.h"

namespace vanillalatch::internal {
namespace {

constexpr std::size_t kPinsInPart = 32;
constexpr std::size_t kPinBytes = 24;
constexpr std::size_t kBlockPinBytes = 32;
// Times that a block pin is told within the time after which it is forgotten.
constexpr int kTellsInIdle = 3;
constexpr std::size_t kDoneOverhead = 48;  // Bytes without the answer.

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
  for (const auto& [answer, pin] : service.blocks) {
    transfer.blocks.push_back(answer);
  }
  SendTransferPart(service);
}

void EntryNodeImpl::TickTransfer(ServiceState& service) {
  if (service.transfer.to == NodeId{}) {
    return;
  }
  if (IsGone(service.transfer.to)) {
    EndTransfer(service);
  } else if (now_ >= service.transfer.resend) {
    SendTransferPart(service);
  }
}

void EntryNodeImpl::EndTransfer(ServiceState& service) {
  service.transfer = {};
}

// Sends the part that starts at the transfer's place. Its place moves on with
// the acknowledgement.
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
  std::size_t room = kPeerPayload;
  std::size_t at = transfer.finished_at;
  for (; at < transfer.finished.size(); ++at) {
    const RequestRecord* record = records_.Find(transfer.finished[at]);
    if (record == nullptr) {
      continue;
    }
    const std::size_t size = kDoneOverhead + record->answer.size();
    if (size > room && part.finished_size() > 0) {
      break;
    }
    FillDone(*record, *part.add_finished());
    room -= std::min(room, size);
  }
  transfer.finished_next = at;
  const bool all_finished = at == transfer.finished.size();
  std::size_t block = transfer.blocks_at;
  for (; all_finished && block < transfer.blocks.size(); ++block) {
    if (room < kBlockPinBytes) {
      break;
    }
    const auto it = service.blocks.find(transfer.blocks[block]);
    if (it != service.blocks.end()) {
      FillBlockPin(it->first, it->second, *part.add_blocks());
      room -= kBlockPinBytes;
    }
  }
  transfer.blocks_next = block;
  transfer.pins_next = transfer.pins_at;
  if (all_finished && block == transfer.blocks.size() &&
      room > kPinsInPart * kPinBytes) {
    transfer.pins_next =
        service.pins.VisitSome(transfer.pins_at, kPinsInPart,
                               [&](SocketAddress caller, EndpointId endpoint) {
                                 pb::Pin& pin = *part.add_pins();
                                 pin.set_caller(caller.Packed());
                                 pin.set_endpoint(endpoint.value());
                               });
    part.set_last(transfer.pins_next == 0 && !renewals_due_ &&
                  !HasUnsettledOrphan(service));
  }
  transfer.last = part.last();
  transfer.resend = now_ + kPeerResend;
  SendPeer(transfer.to, message);
}

// True while this VM alone knows that a lost dispatcher may have sent a
// request: whoever believed to know everything without it could have it run
// again.
bool EntryNodeImpl::HasUnsettledOrphan(const ServiceState& service) const {
  bool found = false;
  records_.ForEach([&](const RequestRecord& record) {
    found |= record.service == service.id() && !record.idempotent &&
             record.state != RequestState::kFinished &&
             (record.unsettled > 0 || record.grantee != 0) &&
             (record.orphaned || IsGone(record.next));
  });
  return found;
}

// A final answer that the second holder was not asked to confirm reaches the
// next VM in rank with the transfer that is under way, or by itself.
void EntryNodeImpl::CopyFinished(RequestRecord& record) {
  ServiceState* service = FindService(record.service);
  if (service == nullptr || record.idempotent) {
    return;
  }
  if (service->transfer.to != NodeId{}) {
    service->transfer.finished.push_back(record.id);
  } else if (service->dispatches && service->successor != NodeId{} &&
             record.holder == NodeId{}) {
    record.holder = service->successor;
    Tell(record, record.holder);
  }
}

void EntryNodeImpl::FillBlockPin(std::uint64_t answer, const BlockPin& from,
                                 pb::BlockPin& pin) {
  pin.set_answer(answer);
  pin.set_endpoint(from.endpoint.value());
  pin.set_tag(from.tag);
}

// Whoever dispatches next serves the later blocks: the VM that takes over, the
// next in rank, or the one that dispatches while this VM stops.
void EntryNodeImpl::TellBlockPin(ServiceState& service, std::uint64_t answer) {
  BlockPin& pin = service.blocks.at(answer);
  const bool taken_over =
      !service.dispatches || service.transfer.to != NodeId{};
  if (!taken_over && pin.told && now_ < *pin.told + kBlockIdle / kTellsInIdle) {
    return;
  }
  const NodeId to = !service.dispatches               ? service.dispatcher
                    : service.transfer.to != NodeId{} ? service.transfer.to
                                                      : service.successor;
  if (to == NodeId{}) {
    return;
  }
  pin.told = now_;
  pb::RequestMessage message;
  pb::Transfer& part = *message.mutable_transfer();
  part.set_service_id(service.config.id());
  FillBlockPin(answer, pin, *part.add_blocks());
  SendPeer(to, message);
}

void EntryNodeImpl::OnTransfer(NodeId from, const pb::Transfer& part) {
  ServiceState* service = FindService(ServiceId{part.service_id()});
  if (service == nullptr) {
    return;  // Sent again until the catalog is here.
  }
  for (const pb::Done& it : part.finished()) {
    TakeDone(from, it);
  }
  for (const pb::Pin& it : part.pins()) {
    const SocketAddress caller = SocketAddress::FromPacked(it.caller());
    if (!service->pins.Touch(caller, now_)) {
      PutPin(*service, caller, EndpointId{it.endpoint()});
    }
  }
  for (const pb::BlockPin& it : part.blocks()) {
    BlockPin& pin = service->blocks[it.answer()];
    pin = {EndpointId{it.endpoint()}, it.tag(), now_ + kBlockIdle, pin.told};
  }
  if (part.sequence() == 0) {
    return;
  }
  if (part.last()) {
    EndOfTransfer(*service, from, part.partial());
  }
  pb::RequestMessage message;
  message.mutable_transfer_ack()->set_sequence(part.sequence());
  SendPeer(from, message);
}

// A dispatcher is complete when all that it waits for have told everything.
void EntryNodeImpl::EndOfTransfer(ServiceState& service, NodeId from,
                                  bool partial) {
  const bool awaited = std::erase(service.sources, from) > 0;
  const bool told_all =
      service.dispatches ? awaited && service.sources.empty() : !partial;
  if (told_all) {
    BecomeComplete(service);
  }
}

void EntryNodeImpl::OnTransferAck(NodeId from, const pb::TransferAck& ack) {
  for (auto& [id, service] : services_) {
    TransferState& transfer = service.transfer;
    if (transfer.to != from || transfer.sequence != ack.sequence()) {
      continue;
    }
    if (transfer.last) {
      EndTransfer(service);
      return;
    }
    transfer.finished_at = transfer.finished_next;
    transfer.blocks_at = transfer.blocks_next;
    transfer.pins_at = transfer.pins_next;
    transfer.sequence = 0;
    SendTransferPart(service);
    return;
  }
}

// Pins a flow whose endpoint another VM chose.
void EntryNodeImpl::PutPin(ServiceState& service, SocketAddress caller,
                           EndpointId endpoint) {
  const std::optional<EndpointId> known = service.pins.Touch(caller, now_);
  if (known == endpoint) {
    return;
  }
  if (known) {
    service.placer->Close(*known);
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
  const std::optional<EndpointId> known =
      service->pins.Touch(SocketAddress::FromPacked(query.caller()), now_);
  pb::RequestMessage message;
  message.mutable_pin_reply()->set_caller(query.caller());
  message.mutable_pin_reply()->set_service_id(query.service_id());
  message.mutable_pin_reply()->set_endpoint(
      known.value_or(EndpointId{}).value());
  SendPeer(from, message);
}

// Goes on with the flow's requests that waited for this.
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
