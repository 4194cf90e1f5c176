// Pins: requests that only one endpoint may serve, because they belong to a
// flow with a session or ask for a later block of a blockwise answer.
#include "src/entry/entry_node_impl.h"
#include "vanillalatch/base/hash.h"

namespace vanillalatch::internal {

// Sets work.pinned to the endpoint that must serve the request, if there is
// one. Returns false if the request was given up or parked instead.
bool EntryNodeImpl::SelectPin(ServiceState& service, RequestRecord& record,
                              Work& work) {
  if (record.block_number > 0 && !SelectBlockPin(service, record, work)) {
    return false;
  }
  if (!service.has_sessions() || work.pinned) {
    return true;
  }
  const std::optional<EndpointId> pinned_to =
      service.pins.Touch(record.caller, now_);
  const bool live = pinned_to && IsLiveEndpointOf(*pinned_to, service);
  if (live && !IsEvacuated(*pinned_to)) {
    work.pinned = pinned_to;
    return true;
  }
  if (live && !service.placer->SelectEndpoint(now_)) {
    // The session continues at its endpoint after the evacuation.
    GiveUp(record, ErrorKind::kNoEndpoint, kRetryAfter);
    return false;
  }
  if (pinned_to) {
    service.pins.Remove(record.caller);
    service.placer->Close(*pinned_to);
  } else if (QueryPin(service, record)) {
    return false;
  }
  work.pinned = PinNewFlow(service, record);
  return true;
}

// Pins a new flow to the endpoint with the fewest flows.
std::optional<EndpointId> EntryNodeImpl::PinNewFlow(ServiceState& service,
                                                    RequestRecord& record) {
  const std::optional<EndpointId> selected =
      service.placer->SelectEndpoint(now_);
  if (selected && service.pins.Put(record.caller, *selected, now_)) {
    service.placer->Open(*selected);
    record.opens_flow = true;
  }
  return selected;
}

// Asks the holder about the flow if this dispatcher is not complete. Returns
// true if the request is parked until the reply.
bool EntryNodeImpl::QueryPin(ServiceState& service, RequestRecord& record) {
  const NodeId holder = SelectHolder(service);
  if (service.complete || holder == NodeId{} ||
      record.pin_queries >= kMaxPinQueries) {
    return false;
  }
  ++record.pin_queries;
  pb::RequestMessage message;
  message.mutable_pin_query()->set_caller(record.caller.Packed());
  message.mutable_pin_query()->set_service_id(service.config.id());
  SendToPeer(holder, message);
  Park(record, kParkedRetryInterval);
  return true;
}

bool EntryNodeImpl::IsLiveEndpointOf(EndpointId endpoint,
                                     const ServiceState& service) const {
  const Endpoint* it = registry_->Find(endpoint);
  return it != nullptr && it->service == service.id() &&
         it->state != EndpointState::kGone;
}

bool EntryNodeImpl::SelectBlockPin(ServiceState& service, RequestRecord& record,
                                   Work& work) {
  const auto it = service.blocks.find(record.answer_key);
  const bool found = it != service.blocks.end();
  if (!found && !service.complete && !service.sources.empty() &&
      record.pin_queries < kMaxPinQueries) {
    // The earlier dispatcher is transferring its block pins.
    ++record.pin_queries;
    Park(record, kParkedRetryInterval);
    return false;
  }
  if (!found || !IsLiveEndpointOf(it->second.endpoint, service) ||
      IsEvacuated(it->second.endpoint)) {
    GiveUp(record, ErrorKind::kAnswerBroken, kRetryAfter);
    return false;
  }
  work.pinned = it->second.endpoint;
  record.expected_etag_hash = it->second.etag_hash;
  return true;
}

// Pins a blockwise answer to its endpoint while blocks are missing. Returns
// false if this block has another number or ETag than the answer that the
// caller has begun to fetch.
bool EntryNodeImpl::TrackBlocks(ServiceState& service, RequestRecord& record,
                                const CoapMessage& message) {
  const std::optional<CoapBlock> block = message.Block(kOptionBlock2);
  std::uint64_t etag_hash = 0;
  if (const std::optional<ByteSpan> it = message.Option(kOptionETag)) {
    etag_hash =
        StableHash({reinterpret_cast<const char*>(it->data()), it->size()});
  }
  if (record.block_number > 0) {
    const bool same = block && block->number == record.block_number &&
                      etag_hash == record.expected_etag_hash;
    if (!same) {
      service.blocks.erase(record.answer_key);
      return false;
    }
  }
  if (block && block->more) {
    BlockPin& pin = service.blocks[record.answer_key];
    pin = {record.endpoint, etag_hash, now_ + kBlockPinIdleTimeout,
           pin.sent_at};
    SendBlockPin(service, record.answer_key);
  }
  return true;
}

}  // namespace vanillalatch::internal
