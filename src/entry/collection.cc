// Collection: a new dispatcher collects the open requests of its service from
// the live members before it serves. See Collection in service_state.h.
#include <algorithm>
#include <utility>

#include "src/entry/entry_node_impl.h"

namespace vanillalatch::internal {

void EntryNodeImpl::BeginCollection(ServiceState& service) {
  Collection& collection = service.collection;
  collection = {};
  collection.sequence = next_sequence_++;
  collection.ends_at = now_ + kCollectionTimeout;
  for (const Member& it : members_->members()) {
    if (it.id != self_ && it.state != MemberState::kDead) {
      collection.missing_parts[it.id] = kUnknownPartCount;
    }
  }
  service.ready = false;
  service.all_collected = false;
  service.sources.clear();
  SendCollect(service);
}

void EntryNodeImpl::SendCollect(ServiceState& service) {
  for (const auto& [id, parts] : service.collection.missing_parts) {
    pb::RequestMessage message;
    message.mutable_collect()->set_sequence(service.collection.sequence);
    message.mutable_collect()->set_service_id(service.config.id());
    SendToPeer(id, message);
  }
  service.collection.resend_at = now_ + kPeerResendInterval;
}

void EntryNodeImpl::TickCollection(ServiceState& service) {
  Collection& collection = service.collection;
  std::erase_if(collection.missing_parts,
                [&](const auto& it) { return IsFailed(it.first); });
  if (!service.dispatches) {
    return;
  }
  if (service.ready) {
    RemindSources(service);
    return;
  }
  const bool all_replied =
      now_ >= collection.resend_at && collection.missing_parts.empty();
  if (all_replied || now_ >= collection.ends_at) {
    FinishCollection(service);
  } else if (now_ >= collection.resend_at) {
    SendCollect(service);
  }
}

// Asks the sources again for their states. A source that still counts this VM
// as failed, as it has just returned, ends its transfer.
void EntryNodeImpl::RemindSources(ServiceState& service) {
  if (service.complete || now_ < service.collection.resend_at) {
    return;
  }
  for (const NodeId it : service.sources) {
    pb::RequestMessage message;
    message.mutable_collect()->set_sequence(service.collection.sequence);
    message.mutable_collect()->set_service_id(service.config.id());
    SendToPeer(it, message);
  }
  service.collection.resend_at = now_ + kSourceReminderInterval;
}

// Selects the smallest set of VMs whose states, together with this VM's, are
// complete: a member that reports a complete state, or this VM if it retains
// one, and the later dispatchers that have served. All of these must be alive.
// Returns true if no other VM's state is needed.
bool EntryNodeImpl::SelectSources(ServiceState& service) {
  const Collection& collection = service.collection;
  service.sources.clear();
  std::map<NodeId, std::vector<std::uint64_t>> claims =
      collection.completeness_claims;
  if (!service.complete && now_ < service.complete_until) {
    claims[self_] = {};
    for (const auto& [id, instance] : service.later_dispatchers) {
      claims[self_].push_back(peer_instances_[id]);
    }
  }
  for (const auto& [id, later_dispatchers] : claims) {
    std::vector<NodeId> sources;
    if (id != self_) {
      sources.push_back(id);
    }
    const bool all_accounted_for =
        std::all_of(later_dispatchers.begin(), later_dispatchers.end(),
                    [&](std::uint64_t it) {
                      const auto served = collection.served_by.find(it);
                      if (served != collection.served_by.end()) {
                        sources.push_back(served->second);
                      }
                      return served != collection.served_by.end() ||
                             collection.never_served.contains(it);
                    });
    if (all_accounted_for && sources.empty()) {
      service.sources.clear();
      return true;
    }
    const bool is_smaller =
        service.sources.empty() || sources.size() < service.sources.size();
    if (all_accounted_for && is_smaller) {
      service.sources = std::move(sources);
    }
  }
  return false;
}

// True if this VM has just started and has no endpoint of the service. It can't
// tell yet whether there are none or whether gossip has not delivered them.
bool EntryNodeImpl::AwaitsEndpoints(const ServiceState& service) const {
  return now_ < started_ + kJoinTimeout && !options_.membership.seeds.empty() &&
         registry_->EndpointsOf(service.id()).empty();
}

// Evaluates the replies: decides whether this VM is complete, and whether there
// may be requests of which no live VM has a record.
void EntryNodeImpl::FinishCollection(ServiceState& service) {
  Collection& collection = service.collection;
  service.all_collected = collection.missing_parts.empty();
  if (SelectSources(service)) {
    MarkComplete(service, self_);
  }
  for (const auto& [instance, until] : service.recent_dispatchers) {
    collection.earlier_dispatchers.insert(instance);
  }
  collection.earlier_dispatchers.erase(instance_);
  const bool lacks_history = !service.complete && service.sources.empty();
  if (lacks_history && now_ < started_ + kMemberDiscoveryTime &&
      !options_.membership.seeds.empty()) {
    BeginCollection(service);  // It may not have all members yet.
    return;
  }
  service.sole_sender_since = now_;
  const bool no_earlier_dispatch =
      service.all_collected &&
      std::all_of(collection.earlier_dispatchers.begin(),
                  collection.earlier_dispatchers.end(), [&](std::uint64_t it) {
                    return collection.never_served.contains(it);
                  });
  if (lacks_history) {
    if (no_earlier_dispatch) {
      MarkComplete(service, self_);
      service.sole_sender_since = TimePoint::min();
      service.history_start =
          service.created_while_running ? TimePoint::min() : started_;
    } else {
      service.outcome_unknown_before = now_;
    }
  }
  // The states of several sources must be merged before this VM can serve.
  if (service.sources.size() <= 1 || now_ >= collection.ends_at) {
    StartServing(service);
  } else {
    collection.resend_at = collection.ends_at;
  }
}

void EntryNodeImpl::OnCollect(NodeId from, const pb::Collect& collect) {
  std::vector<pb::CollectReply> parts(1);
  std::size_t capacity = kPeerPayloadBytes;
  const auto make_room = [&](std::size_t size) {
    const bool is_empty =
        parts.back().open_size() + parts.back().finished_size() == 0;
    if (size > capacity && !is_empty) {
      parts.emplace_back();
      capacity = kPeerPayloadBytes;
    }
    capacity -= std::min(capacity, size);
  };
  records_.ForEach([&](const RequestRecord& record) {
    // True for a held record that the collecting VM needs. That includes
    // requests that an earlier incarnation of it may have sent.
    const bool is_reported_held =
        record.state == RequestState::kHeld &&
        (record.responsible_vm != from || record.possible_runs > 0);
    if (record.service.value() != collect.service_id()) {
      return;
    }
    // The collecting VM may be complete but for this answer.
    const bool is_undelivered = record.state == RequestState::kFinished &&
                                !record.idempotent && record.attempts > 0 &&
                                !record.answer_says_not_run &&
                                !record.done_recipients.empty();
    if (is_undelivered) {
      pb::Done done;
      FillDone(record, done);
      make_room(done.ByteSizeLong());
      *parts.back().add_finished() = std::move(done);
      return;
    }
    if (!is_reported_held && record.state != RequestState::kSent) {
      return;
    }
    pb::OpenRequest open;
    FillHandover(record, *open.mutable_request());
    open.set_duty(is_reported_held ? record.responsible_vm.value()
                                   : self_.value());
    open.set_endpoint(record.endpoint.value());
    make_room(open.ByteSizeLong());
    *parts.back().add_open() = std::move(open);
  });
  ServiceState* service = FindService(ServiceId{collect.service_id()});
  if (service == nullptr) {
    return;  // The dispatcher asks again, or serves without this reply.
  }
  service->fencing_dispatcher = from;
  service->fence_holds_until = now_ + kMemberDiscoveryTime;
  const bool complete = service->complete || now_ < service->complete_until;
  for (std::size_t n = 0; n < parts.size(); ++n) {
    pb::RequestMessage message;
    pb::CollectReply& reply = *message.mutable_collect_reply();
    reply.Swap(&parts[n]);
    reply.set_sequence(collect.sequence());
    reply.set_service_id(collect.service_id());
    reply.set_part(static_cast<std::uint32_t>(n));
    reply.set_parts(static_cast<std::uint32_t>(parts.size()));
    for (const auto& [instance, until] : service->recent_dispatchers) {
      reply.add_earlier(instance);
    }
    reply.set_served(service->has_served);
    reply.set_complete(complete);
    for (const auto& [id, instance] : service->later_dispatchers) {
      if (complete && !service->complete && id != from) {
        reply.add_unless_served(peer_instances_[id]);
      }
    }
    SendToPeer(from, message);
  }
  if ((complete || service->has_served) && service->transfer.to != from) {
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
  const auto it = collection.missing_parts.find(from);
  const std::uint64_t part_key = from.value() ^ reply.part();
  if (it == collection.missing_parts.end() ||
      !collection.received_parts.insert(part_key).second) {
    return;
  }
  if (it->second == kUnknownPartCount) {
    it->second = reply.parts();
  }
  collection.earlier_dispatchers.insert(reply.earlier().begin(),
                                        reply.earlier().end());
  const std::uint64_t instance = incoming_.request().instance();
  if (reply.served()) {
    collection.served_by[instance] = from;
  } else {
    collection.never_served.insert(instance);
  }
  if (reply.complete() && reply.part() == 0) {
    collection.completeness_claims[from] = {reply.unless_served().begin(),
                                            reply.unless_served().end()};
  }
  for (const pb::OpenRequest& open : reply.open()) {
    ImportOpenRequest(*service, open);
  }
  for (const pb::Done& done : reply.finished()) {
    MergeDone(from, done);
  }
  if (--it->second == 0) {
    collection.missing_parts.erase(it);
  }
  const bool can_finish =
      SelectSources(*service) || service->complete || !service->sources.empty();
  if (collection.missing_parts.empty() && can_finish) {
    FinishCollection(*service);
  }
}

// Imports an open request that another VM reported. If it occupies a slot of an
// endpoint, the scheduler counts that slot. If the VM responsible for it has
// failed, this VM takes it over.
void EntryNodeImpl::ImportOpenRequest(ServiceState& service,
                                      const pb::OpenRequest& open) {
  const NodeId responsible_vm{open.duty()};
  RequestRecord* record = records_.Find(RequestId{open.request().request_id()});
  if (record != nullptr && record->state != RequestState::kHeld) {
    if (IsResponsible(*record)) {
      MergeEarlierSend(*record, open.request());
    }
    return;
  }
  if (record == nullptr) {
    record = CreateRecord(open.request());
  }
  if (record == nullptr) {
    return;
  }
  if (open.endpoint() != 0) {
    // That VM may have sent the request.
    record->grant_holder = responsible_vm.value();
  }
  if (IsFailed(responsible_vm) || responsible_vm == self_) {
    record->responsible_vm = responsible_vm;
    record->responsible_incarnation = 0;
    OnResponsibleVmFailed(*record);
    return;
  }
  record->responsible_vm = responsible_vm;
  record->responsible_incarnation = 0;
  record->acknowledged = true;
  records_.WakeAt(*record, record->deadline);
  const EndpointId endpoint{open.endpoint()};
  if (endpoint != EndpointId{} && !record->adopted &&
      IsLiveEndpointOf(endpoint, service)) {
    record->adopted = true;
    Work work;
    work.request = record->id;
    work.work_class = record->work_class;
    work.deadline = record->deadline;
    service.scheduler->AddRunning(now_, work, endpoint);
  }
}

void EntryNodeImpl::StartServing(ServiceState& service) {
  service.ready = true;
  service.has_served = true;
  service.collection.resend_at = now_ + kSourceReminderInterval;
  service.collection.missing_parts.clear();
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
