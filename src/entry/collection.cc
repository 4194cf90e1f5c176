// A new dispatcher collects the open requests of its service from the living
// VMs before it serves.
#include <algorithm>
#include <utility>

#include "src/entry/entry_node_impl.h"

namespace vanillalatch::internal {

void EntryNodeImpl::BeginCollection(ServiceState& service) {
  Collection& collection = service.collection;
  collection = {};
  collection.sequence = next_sequence_++;
  collection.ends = now_ + kCollectLimit;
  for (const Member& it : members_->members()) {
    if (it.id != self_ && it.state != MemberState::kDead) {
      collection.missing[it.id] = kUnknownParts;
    }
  }
  service.ready = false;
  service.all_collected = false;
  service.sources.clear();
  SendCollect(service);
}

void EntryNodeImpl::SendCollect(ServiceState& service) {
  for (const auto& [id, parts] : service.collection.missing) {
    pb::RequestMessage message;
    message.mutable_collect()->set_sequence(service.collection.sequence);
    message.mutable_collect()->set_service_id(service.config.id());
    SendPeer(id, message);
  }
  service.collection.resend = now_ + kPeerResend;
}

void EntryNodeImpl::TickCollection(ServiceState& service) {
  Collection& collection = service.collection;
  std::erase_if(collection.missing,
                [&](const auto& it) { return IsGone(it.first); });
  if (!service.dispatches || service.ready) {
    return;
  }
  const bool all_replied =
      now_ >= collection.resend && collection.missing.empty();
  if (all_replied || now_ >= collection.ends) {
    FinishCollection(service);
  } else if (now_ >= collection.resend) {
    SendCollect(service);
  }
}

// One that knew everything, with every later dispatcher alive to tell the rest,
// makes a set of sources.
void EntryNodeImpl::ReviewClaims(ServiceState& service) {
  const Collection& collection = service.collection;
  service.sources.clear();
  for (const auto& [id, followers] : collection.claims) {
    std::vector<NodeId> sources = {id};
    const bool holds =
        std::all_of(followers.begin(), followers.end(), [&](std::uint64_t it) {
          const auto served = collection.served.find(it);
          if (served != collection.served.end()) {
            sources.push_back(served->second);
          }
          return served != collection.served.end() ||
                 collection.unserved.contains(it);
        });
    const bool better =
        service.sources.empty() || sources.size() < service.sources.size();
    if (holds && better) {
      service.sources = std::move(sources);
    }
  }
}

// A VM that has just started may not have heard of the endpoints yet: it can't
// tell an empty service from its own ignorance.
bool EntryNodeImpl::AwaitsEndpoints(const ServiceState& service) const {
  return now_ < started_ + kJoinLimit && !options_.membership.seeds.empty() &&
         registry_->EndpointsOf(service.id()).empty();
}

// What the replies say about requests that no living VM may know of.
void EntryNodeImpl::FinishCollection(ServiceState& service) {
  Collection& collection = service.collection;
  service.all_collected = collection.missing.empty();
  ReviewClaims(service);
  for (const auto& [instance, until] : service.known_dispatchers) {
    collection.earlier.insert(instance);
  }
  collection.earlier.erase(instance_);
  const bool ignorant = !service.complete && service.sources.empty();
  if (ignorant && now_ < started_ + kJoinSettle &&
      !options_.membership.seeds.empty()) {
    BeginCollection(service);  // There may be members that it has not seen.
    return;
  }
  service.knows_since = now_;
  const bool nothing_before =
      service.all_collected &&
      std::all_of(
          collection.earlier.begin(), collection.earlier.end(),
          [&](std::uint64_t it) { return collection.unserved.contains(it); });
  if (ignorant) {
    if (nothing_before) {
      BecomeComplete(service);
      service.knows_since = TimePoint::min();
      service.born = service.is_new ? TimePoint::min() : started_;
    } else {
      service.unsure_before = now_;
    }
  }
  // What several VMs know must be joined before it can be used.
  if (service.sources.size() <= 1 || now_ >= collection.ends) {
    StartServing(service);
  } else {
    collection.resend = collection.ends;
  }
}

void EntryNodeImpl::OnCollect(NodeId from, const pb::Collect& collect) {
  std::vector<pb::CollectReply> parts(1);
  std::size_t room = kPeerPayload;
  records_.ForEach([&](const RequestRecord& record) {
    // What was granted to an earlier life of the VM that asks counts too.
    const bool held_elsewhere = record.state == RequestState::kHeld &&
                                (record.next != from || record.unsettled > 0);
    if (record.service.value() != collect.service_id() ||
        (!held_elsewhere && record.state != RequestState::kSent)) {
      return;
    }
    pb::OpenRequest open;
    FillHandover(record, *open.mutable_request());
    open.set_duty(held_elsewhere ? record.next.value() : self_.value());
    open.set_endpoint(record.endpoint.value());
    const std::size_t size = open.ByteSizeLong();
    if (size > room && parts.back().open_size() > 0) {
      parts.emplace_back();
      room = kPeerPayload;
    }
    room -= std::min(room, size);
    *parts.back().add_open() = std::move(open);
  });
  ServiceState* service = FindService(ServiceId{collect.service_id()});
  if (service == nullptr) {
    return;  // Asked again, or done without.
  }
  service->fence = from;
  const bool complete = service->complete || now_ < service->complete_until;
  for (std::size_t n = 0; n < parts.size(); ++n) {
    pb::RequestMessage message;
    pb::CollectReply& reply = *message.mutable_collect_reply();
    reply.Swap(&parts[n]);
    reply.set_sequence(collect.sequence());
    reply.set_service_id(collect.service_id());
    reply.set_part(static_cast<std::uint32_t>(n));
    reply.set_parts(static_cast<std::uint32_t>(parts.size()));
    for (const auto& [instance, until] : service->known_dispatchers) {
      reply.add_earlier(instance);
    }
    reply.set_served(service->served);
    reply.set_complete(complete);
    for (const NodeId it : service->followers) {
      if (complete && !service->complete && it != from) {
        reply.add_unless_served(instances_[it]);
      }
    }
    SendPeer(from, message);
  }
  if ((complete || service->served) && service->transfer.to != from) {
    BeginTransfer(*service, from);
  }
}

void EntryNodeImpl::OnCollectReply(NodeId from, const pb::CollectReply& reply) {
  ServiceState* service = FindService(ServiceId{reply.service_id()});
  if (service == nullptr || service->ready ||
      service->collection.sequence != reply.sequence()) {
    return;
  }
  Collection& collection = service->collection;
  const auto it = collection.missing.find(from);
  const std::uint64_t part_key = from.value() ^ reply.part();
  if (it == collection.missing.end() ||
      !collection.seen.insert(part_key).second) {
    return;
  }
  if (it->second == kUnknownParts) {
    it->second = reply.parts();
  }
  collection.earlier.insert(reply.earlier().begin(), reply.earlier().end());
  const std::uint64_t instance = incoming_.request().instance();
  if (reply.served()) {
    collection.served[instance] = from;
  } else {
    collection.unserved.insert(instance);
  }
  if (reply.complete() && reply.part() == 0) {
    collection.claims[from] = {reply.unless_served().begin(),
                               reply.unless_served().end()};
  }
  for (const pb::OpenRequest& open : reply.open()) {
    TakeOpenRequest(*service, open);
  }
  if (--it->second == 0) {
    collection.missing.erase(it);
  }
  ReviewClaims(*service);
  const bool informed = service->complete || !service->sources.empty();
  if (collection.missing.empty() && informed) {
    FinishCollection(*service);
  }
}

// An open request of another VM: the slot that it has is counted, and the duty
// of a lost VM is taken.
void EntryNodeImpl::TakeOpenRequest(ServiceState& service,
                                    const pb::OpenRequest& open) {
  const NodeId duty{open.duty()};
  RequestRecord* record = records_.Find(RequestId{open.request().request_id()});
  if (record != nullptr && record->state != RequestState::kHeld) {
    if (HasDuty(*record)) {
      NoteEarlierSend(*record, open.request());
    }
    return;
  }
  if (record == nullptr) {
    record = RecordOf(open.request());
  }
  if (record == nullptr) {
    return;
  }
  if (IsGone(duty) || duty == self_) {
    record->next = duty;
    record->next_incarnation = 0;
    ReviewHeld(*record);
    return;
  }
  record->next = duty;
  record->next_incarnation = 0;
  record->acknowledged = true;
  if (open.endpoint() != 0) {
    record->grantee = duty.value();  // Whoever it is, it may have sent it.
  }
  records_.WakeAt(*record, record->deadline);
  const EndpointId endpoint{open.endpoint()};
  if (endpoint != EndpointId{} && !record->adopted &&
      IsOfService(endpoint, service)) {
    record->adopted = true;
    service.scheduler->AddRunning(
        now_, Work{record->id, record->work_class, record->deadline, {}, {}},
        endpoint);
  }
}

void EntryNodeImpl::StartServing(ServiceState& service) {
  service.ready = true;
  service.served = true;
  service.collection.missing.clear();
  std::vector<RequestId> parked;
  records_.ForEach([&](const RequestRecord& record) {
    if (record.state == RequestState::kParked &&
        record.service == service.id()) {
      parked.push_back(record.id);
    }
  });
  std::sort(parked.begin(), parked.end());
  for (const RequestId it : parked) {
    RequestRecord* record = records_.Find(it);
    if (record != nullptr && record->state == RequestState::kParked) {
      Route(*record);
    }
  }
}

}  // namespace vanillalatch::internal
