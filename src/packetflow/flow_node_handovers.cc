// Opening packets and waiting flows that FlowNodeImpl hands over to other VMs,
// and the answers of those.
#include <algorithm>
#include <utility>

#include "src/packetflow/flow_messages.h"
#include "src/packetflow/flow_node_impl.h"

namespace vanillalatch::internal {
namespace {

// A healthy dispatcher acknowledges within two hops of 0.5 ms each and the time
// until its VM gets a processor, which may take 75 ms.
constexpr Duration kHandoverTimeout = std::chrono::milliseconds(100);
// Limit of the timeout if the round trip is longer or this VM's link is late.
// Callers wait 1.4 s; the rest is left for placing the flow without the
// dispatcher, and for a retransmission.
constexpr Duration kMaxHandoverTimeout = std::chrono::milliseconds(400);
// How often a handover that is overdue while the link is late is examined.
constexpr Duration kLateCheckInterval = std::chrono::milliseconds(10);
// How long after a handover an acknowledgement counts for the round trip: a
// full link delays it by its queue, which holds a second at most.
constexpr Duration kLateHandoverRetention = std::chrono::seconds(2);

}  // namespace

FlowNodeImpl::PendingHandover& FlowNodeImpl::HandOver(
    TimePoint now, FlowOpening opening, NodeId to, pb::OpeningPurpose purpose) {
  ++counters_.handed_over;
  pb::FlowOpening& message =
      PendingMessageTo(to).AddOpening(opening.id.value());
  message = ToMessage(opening, revision_, FormOf(to));
  message.set_settled(settled_);
  message.set_may_redirect(HasShards(opening.service));
  message.set_purpose(purpose);
  message.set_stands_in(ShardDispatcherOf({opening.service, opening.shard},
                                          peers_->members().members(),
                                          0) != to);
  const FlowId id = opening.id;
  PendingHandover& pending = pending_handovers_[id];
  pending = {};
  pending.opening = std::move(opening);
  pending.dispatcher = to;
  pending.sent_at = now;
  pending.due = now + HandoverTimeout(to);
  pending.purpose = purpose;
  return pending;
}

void FlowNodeImpl::OnTaken(TimePoint now, NodeId from,
                           const pb::FlowTaken& message) {
  RecordRoundTrip(now, from, FlowId(message.id()));
  const auto it = pending_handovers_.find(FlowId(message.id()));
  if (it == pending_handovers_.end() || it->second.dispatcher != from) {
    return;
  }
  OnHandoverAnswered(now, it->second);
  FlowOpening opening = std::move(it->second.opening);
  opening.age += now - it->second.sent_at;
  const pb::OpeningPurpose purpose = it->second.purpose;
  Search search = std::move(it->second.search);
  pending_handovers_.erase(it);
  if (!message.try_data_center().empty()) {
    DispatchTo(now, std::move(opening), message.try_data_center(),
               purpose == pb::OPENING_IF_KNOWN ? pb::OPENING_FORWARDED
                                               : pb::OPENING_PLACE);
    return;
  }
  if (!message.declined()) {
    flow_tracker_.OnPlaced(opening.id, from);
    directory_.OnHandedOver(now, opening, from, IsPassedOn(opening));
    return;
  }
  if (message.holder() != 0) {
    search.hint = NodeId(message.holder());
  }
  search.unready += message.unready() ? 1 : 0;
  if (purpose == pb::OPENING_IF_KNOWN) {
    if (!MayBePlacedElsewhere(opening.copy, opening.age)) {
      ContinueSearch(now, std::move(opening), std::move(search));
    }
    return;
  }
  dispatcher_selector_.OnDeclined(now, from);
  AddEvent(IngressEvent::Kind::kDeclined, opening, from);
  if (search.hint && CanBeAsked(*search.hint, search)) {
    search.asked.push_back(from);
    search.tries_dispatcher = true;
    ContinueSearch(now, std::move(opening), std::move(search));
    return;
  }
  if (IsPassedOn(opening)) {
    const std::string data_center = opening.shard;
    DispatchTo(now, std::move(opening), data_center);
  } else {
    Dispatch(now, std::move(opening), from);
  }
}

Duration FlowNodeImpl::HandoverTimeout(NodeId to) const {
  const auto it = round_trips_.find(to);
  return it == round_trips_.end()
             ? kHandoverTimeout
             : std::clamp(it->second.Limit(), kHandoverTimeout,
                          kMaxHandoverTimeout);
}

void FlowNodeImpl::RecordRoundTrip(TimePoint now, NodeId from, FlowId id) {
  if (!link_meter_.enabled()) {
    return;
  }
  const auto pending = pending_handovers_.find(id);
  if (pending != pending_handovers_.end() &&
      pending->second.dispatcher == from) {
    round_trips_[from].Add(now - pending->second.sent_at);
    return;
  }
  const auto late = late_handovers_.find(id);
  if (late != late_handovers_.end() && late->second.dispatcher == from) {
    round_trips_[from].Add(now - late->second.sent_at);
    late_handovers_.erase(late);
  }
}

void FlowNodeImpl::PlaceTimedOutHandovers(TimePoint now) {
  std::erase_if(late_handovers_, [&](const auto& it) {
    return now >= it.second.sent_at + kLateHandoverRetention;
  });
  std::vector<PendingHandover> overdue;
  for (auto it = pending_handovers_.begin(); it != pending_handovers_.end();) {
    if (now < it->second.due) {
      ++it;
      continue;
    }
    PendingHandover& handover = it->second;
    const Duration age = handover.opening.age + (now - handover.sent_at);
    if (MayBePlacedElsewhere(handover.opening.copy, age)) {
      ++counters_.too_late;
      it = pending_handovers_.erase(it);
      continue;
    }
    const TimePoint due =
        handover.sent_at + HandoverTimeout(handover.dispatcher);
    if (IsLate() || now - receive_delay_ < due) {
      // The acknowledgement may wait unread in front of this VM.
      handover.due = now + kLateCheckInterval;
      ++it;
      continue;
    }
    const TimePoint limit = handover.sent_at + kMaxHandoverTimeout;
    if (link_late_ && now < limit) {
      // The acknowledgement may still wait in front of this VM's link.
      handover.due = std::min(now + kLateCheckInterval, limit);
      ++it;
      continue;
    }
    if (!link_late_) {
      dispatcher_selector_.OnTimeout(handover.dispatcher);
      AddEvent(IngressEvent::Kind::kDispatcherSilent, handover.opening,
               handover.dispatcher);
    }
    if (link_meter_.enabled()) {
      late_handovers_[it->first] = {handover.dispatcher, handover.sent_at};
    }
    handover.opening.age = age;
    overdue.push_back(std::move(handover));
    it = pending_handovers_.erase(it);
  }
  for (PendingHandover& it : overdue) {
    if (it.purpose != pb::OPENING_IF_KNOWN && IsPassedOn(it.opening)) {
      ReturnHome(now, std::move(it.opening));
      continue;
    }
    it.search.hint.reset();
    it.search.tries_dispatcher = false;
    if (MayBeCopy(it.opening) &&
        AskNext(now, it.opening, std::move(it.search))) {
      continue;
    }
    ++counters_.placed_alone;
    flow_tracker_.OnPlaced(it.opening.id, self());
    Place(now, std::move(it.opening));
  }
}

void FlowNodeImpl::MoveWaiting(TimePoint now) {
  const auto leads_elsewhere = [&](const FlowOpening& opening) {
    const FlowRoute* route = routes_.Find(opening.route);
    return route != nullptr && route->ServiceFor(opening.id) != opening.service;
  };
  for (FlowOpening& it : dispatcher_->TakeWaiting(now, leads_elsewhere)) {
    FollowRoute(it);
    SetShard(it);
    const NodeId to = DispatcherFor(now, {it.service, it.shard});
    if (to != self()) {
      HandOver(now, std::move(it), to, pb::OPENING_FORWARDED);
    } else if (const std::optional<std::string> other = PassOn(now, it)) {
      DispatchTo(now, std::move(it), *other, pb::OPENING_FORWARDED);
    } else {
      // If its ingress reported to another VM, it still does.
      const bool is_forwarded = !it.progress_reported;
      Place(now, std::move(it), is_forwarded);
    }
  }
}

void FlowNodeImpl::HandOverWaiting(TimePoint now) {
  for (const ServiceId service : routes_.services()) {
    for (const ShardId& it : ShardsOfService(service)) {
      const NodeId to = DispatcherFor(now, it);
      if (to == self()) {
        continue;
      }
      dispatcher_->StopSilenceDetection(it);
      for (FlowOpening& opening : dispatcher_->TakeWaiting(now, it)) {
        // A flow that waits in a queue is not passed on to another shard.
        opening.hops = HasShards(service) ? 1 : 0;
        HandOver(now, std::move(opening), to, pb::OPENING_FORWARDED);
      }
    }
  }
}

}  // namespace vanillalatch::internal
