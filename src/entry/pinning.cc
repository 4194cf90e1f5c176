// Requests that only one endpoint may serve: of a flow with a session, and the
// later blocks of an answer.
#include "src/entry/entry_node_impl.h"
#include "vanillalatch/base/hash.h"

namespace vanillalatch::internal {

// Sets the endpoint that must serve the request, if there is one. False if the
// request was answered or waits instead.
bool EntryNodeImpl::ChoosePin(ServiceState& service, RequestRecord& record,
                              Work& work) {
  if (record.block > 0 && !ChooseBlockPin(service, record, work)) {
    return false;
  }
  if (!service.has_sessions() || work.pinned) {
    return true;
  }
  const std::optional<EndpointId> known =
      service.pins.Touch(record.caller, now_);
  if (known && IsOfService(*known, service)) {
    work.pinned = known;
    return true;
  }
  if (known) {
    service.pins.Remove(record.caller);
    service.placer->Close(*known);
  } else if (AskAboutFlow(service, record)) {
    return false;
  }
  work.pinned = OpenFlow(service, record);
  return true;
}

// The flow's first request: on the endpoint with the fewest flows.
std::optional<EndpointId> EntryNodeImpl::OpenFlow(ServiceState& service,
                                                  RequestRecord& record) {
  const std::optional<EndpointId> chosen = service.placer->SelectEndpoint(now_);
  if (chosen && service.pins.Put(record.caller, *chosen, now_)) {
    service.placer->Open(*chosen);
    record.new_flow = true;
  }
  return chosen;
}

// A dispatcher that does not hold every flow yet asks the next VM in rank. True
// if it waits for the reply.
bool EntryNodeImpl::AskAboutFlow(ServiceState& service, RequestRecord& record) {
  const NodeId holder = HolderFor(service);
  if (service.complete || holder == NodeId{} ||
      record.pin_queries >= kMaxPinQueries) {
    return false;
  }
  ++record.pin_queries;
  pb::RequestMessage message;
  message.mutable_pin_query()->set_caller(record.caller.Packed());
  message.mutable_pin_query()->set_service_id(service.config.id());
  SendPeer(holder, message);
  Park(record, kParkedRetry);
  return true;
}

bool EntryNodeImpl::IsOfService(EndpointId endpoint,
                                const ServiceState& service) const {
  const Endpoint* it = registry_->Find(endpoint);
  return it != nullptr && it->service == service.id() &&
         it->state != EndpointState::kGone;
}

bool EntryNodeImpl::ChooseBlockPin(ServiceState& service, RequestRecord& record,
                                   Work& work) {
  const auto it = service.blocks.find(record.answer_key);
  const bool known = it != service.blocks.end();
  if (!known && !service.complete && !service.sources.empty() &&
      record.pin_queries < kMaxPinQueries) {
    // The VM that served the blocks before transfers what it knows just now.
    ++record.pin_queries;
    Park(record, kParkedRetry);
    return false;
  }
  if (!known || !IsOfService(it->second.endpoint, service)) {
    GiveUp(record, ErrorKind::kAnswerBroken, kRetryLater);
    return false;
  }
  work.pinned = it->second.endpoint;
  record.answer_tag = it->second.tag;
  return true;
}

// Follows an answer of many blocks. False if this block can't belong to the
// answer that the caller has begun to fetch.
bool EntryNodeImpl::CheckBlocks(ServiceState& service, RequestRecord& record,
                                const CoapMessage& message) {
  const std::optional<CoapBlock> block = message.Block(kOptionBlock2);
  std::uint64_t tag = 0;
  if (const std::optional<ByteSpan> it = message.Option(kOptionETag)) {
    tag = StableHash({reinterpret_cast<const char*>(it->data()), it->size()});
  }
  if (record.block > 0) {
    const bool same =
        block && block->number == record.block && tag == record.answer_tag;
    if (!same) {
      service.blocks.erase(record.answer_key);
      return false;
    }
  }
  if (block && block->more) {
    BlockPin& pin = service.blocks[record.answer_key];
    pin = {record.endpoint, tag, now_ + kBlockIdle, pin.told};
    TellBlockPin(service, record.answer_key);
  }
  return true;
}

}  // namespace vanillalatch::internal
