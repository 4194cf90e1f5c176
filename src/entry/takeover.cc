// Changes of members: who dispatches each service, and what becomes of the
// requests of a VM that left or died.
#include <algorithm>
#include <utility>

#include "src/entry/entry_node_impl.h"
#include "vanillalatch/placement/rendezvous.h"

namespace vanillalatch::internal {

// A VM with seeds first waits to hear from another member: it may have
// dispatched under its name before, and others know what it did.
bool EntryNodeImpl::Joined() const {
  return options_.membership.seeds.empty() || members_->members().size() > 1 ||
         now_ >= started_ + kJoinLimit;
}

void EntryNodeImpl::OnMembersChanged() {
  joined_ = joined_ || Joined();
  NoteLosses();
  for (auto& [id, service] : services_) {
    ReviewService(service);
    ReviewSources(service);
  }
  ReviewRecords(NodeId{});
}

void EntryNodeImpl::NoteLosses() {
  for (const Member& it : members_->members()) {
    MemberState& known = member_states_[it.id];
    const bool lost = it.state == MemberState::kDead &&
                      known != MemberState::kDead &&
                      known != MemberState::kLeaving;
    known = it.state;
    if (it.state == MemberState::kDead) {
      instances_.erase(it.id);  // Whatever comes back has a life of its own.
    }
    if (lost) {
      lost_before_ = std::exchange(lost_at_, now_);
      lost_members_[it.id] = now_;
    } else if (it.state != MemberState::kDead) {
      lost_members_.erase(it.id);
    }
  }
}

bool EntryNodeImpl::InMinority() const {
  const auto recent = [&](const auto& it) {
    return it.second + options_.exchange_lifetime > now_;
  };
  const auto lost = static_cast<std::size_t>(
      std::count_if(lost_members_.begin(), lost_members_.end(), recent));
  const auto members = members_->members();
  const auto alive = static_cast<std::size_t>(std::count_if(
      members.begin(), members.end(),
      [](const Member& it) { return it.state != MemberState::kDead; }));
  if (alive != lost || alive + lost < kTieBreakMembers) {
    return alive < lost;
  }
  // Equal parts: the one with the smallest id counts as the larger.
  const NodeId first = std::min_element(members.begin(), members.end(),
                                        [](const Member& a, const Member& b) {
                                          return a.id < b.id;
                                        })
                           ->id;
  return lost_members_.contains(first);
}

// Remembers who dispatches now, for those who ask later.
void EntryNodeImpl::NoteDispatchers() {
  for (auto& [id, service] : services_) {
    const auto it = instances_.find(service.dispatcher);
    if (it != instances_.end()) {
      service.known_dispatchers[it->second] = now_ + options_.exchange_lifetime;
    }
    std::erase_if(service.known_dispatchers,
                  [&](const auto& known) { return known.second <= now_; });
  }
}

void EntryNodeImpl::ReviewService(ServiceState& service) {
  if (!joined_) {
    return;
  }
  const auto members = members_->members();
  const NodeId old_dispatcher = service.dispatcher;
  const NodeId old_successor = service.successor;
  service.dispatcher =
      DispatcherOf(service.id(), members, 0).value_or(NodeId{});
  service.successor = DispatcherOf(service.id(), members, 1).value_or(NodeId{});
  if (service.dispatcher == old_dispatcher &&
      service.successor == old_successor &&
      (!service.dispatches || service.ready)) {
    return;
  }
  const bool dispatched =
      std::exchange(service.dispatches, service.dispatcher == self_);
  ReviewKnowledge(service, old_successor);
  if (service.dispatches && (!dispatched || !service.ready)) {
    BeginCollection(service);
  } else if (!service.dispatches) {
    service.ready = false;
    service.collection = {};
  }
}

// Who knows everything, and who must be told it.
void EntryNodeImpl::ReviewKnowledge(ServiceState& service,
                                    NodeId old_successor) {
  if (service.dispatches) {
    service.followers.clear();
  } else if (service.dispatcher != NodeId{}) {
    service.followers.insert(service.dispatcher);
  }
  const bool holds = service.dispatches || service.successor == self_;
  if (service.complete && !holds) {
    service.complete = false;
    service.complete_until = now_ + kKnowledgeKept;
  }
  if (service.dispatches && service.complete &&
      service.successor != old_successor && service.successor != NodeId{}) {
    BeginTransfer(service, service.successor);
  }
}

// A dispatcher that does not know everything, and has lost every VM that did,
// can't tell a resend from a new request.
void EntryNodeImpl::ReviewSources(ServiceState& service) {
  if (service.sources.empty()) {
    return;
  }
  const auto lost =
      std::erase_if(service.sources, [&](NodeId it) { return IsGone(it); });
  if (lost > 0 && service.dispatches && !service.complete) {
    service.sources.clear();
    service.unsure_before = now_;
  }
}

// The whole knowledge has arrived, or there was none to be had.
void EntryNodeImpl::BecomeComplete(ServiceState& service) {
  service.complete = true;
  service.followers.clear();
  if (!service.dispatches) {
    service.followers.insert(service.dispatcher);
  }
  service.unsure_before = TimePoint::min();
  service.sources.clear();
  if (service.dispatches && !service.ready) {
    StartServing(service);
  }
  if (service.dispatches && service.successor != NodeId{} &&
      service.transfer.to != service.successor) {
    BeginTransfer(service, service.successor);
  }
}

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

// What the replies say about requests that no living VM may know of.
// A VM that has just started may not have heard of the endpoints yet: it can't
// tell an empty service from its own ignorance.
bool EntryNodeImpl::AwaitsEndpoints(const ServiceState& service) const {
  return now_ < started_ + kJoinLimit && !options_.membership.seeds.empty() &&
         registry_->EndpointsOf(service.id()).empty();
}

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
    const bool held_elsewhere =
        record.state == RequestState::kHeld && record.next != from;
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
    ReviewHeld(*record);
    return;
  }
  record->next = duty;
  record->acknowledged = true;
  if (open.endpoint() != 0) {
    record->grantee = duty.value();  // Whoever it is, it may have sent it.
  }
  records_.WakeAt(*record, record->deadline);
  const EndpointId endpoint{open.endpoint()};
  if (endpoint != EndpointId{} && !record->adopted &&
      IsOfService(endpoint, service)) {
    record->adopted = true;
    service.scheduler->Adopt(
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

void EntryNodeImpl::ReviewRecords(NodeId restarted) {
  std::vector<RequestId> open;
  records_.ForEach([&](const RequestRecord& record) {
    if (record.state != RequestState::kFinished) {
      open.push_back(record.id);
    }
  });
  // In order, so that the same events give the same actions.
  std::sort(open.begin(), open.end());
  for (const RequestId it : open) {
    RequestRecord* record = records_.Find(it);
    if (record == nullptr || FindService(record->service) == nullptr) {
      continue;
    }
    if (HasDuty(*record)) {
      ReviewDuty(*record, restarted);
    } else if (record->state == RequestState::kHeld &&
               record->next != NodeId{} &&
               (IsGone(record->next) || record->next == restarted)) {
      ReviewHeld(*record);
    }
  }
}

// The VM with the duty is lost. It may have sent the request if it was granted
// that.
void EntryNodeImpl::ReviewHeld(RequestRecord& record) {
  ReleaseAdopted(record);
  record.orphaned = true;
  if (record.grantee != 0) {
    record.unsettled = 1;
  }
  record.acknowledged = false;
  const ServiceState& service = *FindService(record.service);
  if (service.dispatches) {
    ++counters_.taken_over;
    Note(record.id, HopEvent::kTakenOver, record.next.value());
  }
  Route(record);
}

// Hands on what waits here when another VM dispatches, and renews the second
// record when its holder is lost.
void EntryNodeImpl::ReviewDuty(RequestRecord& record, NodeId restarted) {
  ServiceState& service = *FindService(record.service);
  const bool elsewhere = service.dispatcher != NodeId{} && !service.dispatches;
  if (elsewhere && record.state == RequestState::kQueued) {
    LeaveScheduler(service, record, WorkOutcome::kCancelled);
    Park(record, kParkedRetry);
  }
  if (elsewhere && record.state == RequestState::kParked) {
    Route(record);
    return;
  }
  const bool holder_lost =
      record.holder != NodeId{} &&
      (IsLeavingOrGone(record.holder) || record.holder == restarted);
  if (!holder_lost) {
    return;
  }
  record.granted = false;
  record.holder = NodeId{};
  renewals_due_ = true;
  if (record.state == RequestState::kPlaced) {
    record.sends = 0;
    SendHold(record);
  }
}

// Asks again for the second records of requests that are being run, until a
// VM has confirmed each.
void EntryNodeImpl::RenewHolds() {
  if (!renewals_due_) {
    return;
  }
  renewals_due_ = false;
  records_.ForEach([&](RequestRecord& record) {
    if (record.state == RequestState::kSent && !record.granted &&
        !record.idempotent && FindService(record.service) != nullptr) {
      renewals_due_ = true;
      SendHold(record);
    }
  });
}

}  // namespace vanillalatch::internal
