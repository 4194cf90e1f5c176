// Opening packets of an entry VM: which VM places each, and those that this one
// is asked to place.
#include <utility>

#include "src/packetflow/flow_messages.h"
#include "src/packetflow/flow_node_impl.h"

namespace vanillalatch::internal {
namespace {

// A dispatcher that is well answers within a hop of 0.5 ms each way and its
// own share of a processor, which may be withheld for 75 ms.
constexpr Duration kTakenTimeout = std::chrono::milliseconds(100);
// Openings that come before the endpoints are known wait this long, or half of
// the time that their callers have. Callers wait 1.4 s for an answer, and a
// good part of it is left to an endpoint.
constexpr Duration kParkTime = std::chrono::milliseconds(800);

}  // namespace

void FlowNodeImpl::OpenFlow(TimePoint now, const FlowRoute& route,
                            const FlowPacket& packet, ByteSpan bytes) {
  FlowOpening opening;
  opening.id = packet.id();
  opening.caller = packet.caller;
  opening.route = packet.route;
  opening.service = route.ServiceFor(opening.id);
  opening.work_class = route.work_class;
  opening.timeout = route.timeout;
  opening.sequence = packet.sequence;
  opening.copy = packet.copy;
  opening.data_center = data_center_;
  opening.packet.assign(bytes.begin(), bytes.end());
  if (dispatcher_->Knows(opening.id)) {
    Place(now, std::move(opening));
    return;
  }
  if (asked_.contains(opening.id) || parked_.contains(opening.id)) {
    return;  // The answer to the packet before decides for its copies too.
  }
  if (!settled_) {
    ++counters_.parked;
    Note(IngressNote::Kind::kParked, opening, NodeId{});
    const FlowId id = opening.id;
    const Duration wait = std::min(kParkTime, opening.timeout / 2);
    parked_[id] = {std::move(opening), now + wait};
    return;
  }
  Direct(now, std::move(opening));
}

void FlowNodeImpl::Direct(TimePoint now, FlowOpening opening) {
  const NodeId to = DispatcherFor(now, opening.service);
  if (to == self()) {
    watch_.OnPlaced(opening.id, to);
    Place(now, std::move(opening));
  } else {
    HandOver(now, std::move(opening), to);
  }
}

void FlowNodeImpl::ReleaseParked(TimePoint now) {
  for (auto it = parked_.begin(); it != parked_.end();) {
    if (!settled_ && now < it->second.due) {
      ++it;
      continue;
    }
    FlowOpening opening = std::move(it->second.opening);
    it = parked_.erase(it);
    Direct(now, std::move(opening));
  }
}

void FlowNodeImpl::HandOver(TimePoint now, FlowOpening opening, NodeId to) {
  ++counters_.handed_over;
  pb::FlowOpening& message = *MessageTo(to).add_openings();
  message = ToMessage(opening, revision_);
  message.set_settled(settled_);
  const FlowId id = opening.id;
  asked_[id] = {std::move(opening), to, now + kTakenTimeout};
}

void FlowNodeImpl::Place(TimePoint now, FlowOpening opening) {
  opening.watched = DispatcherFor(now, opening.service) == self();
  dispatcher_->Open(now, std::move(opening), actions_);
}

void FlowNodeImpl::OnOpening(TimePoint now, NodeId from,
                             const pb::FlowOpening& message) {
  // Placing it by an older catalog than its ingress has could undo what callers
  // have seen already.
  const bool stale = message.revision() > revision_;
  pb::FlowTaken& taken = *MessageTo(from).add_taken();
  taken.set_id(message.id());
  // Of VMs that all know too little, one that places for all does better than
  // each for itself.
  const bool knows_less =
      !settled_ && (message.settled() || endpoints_.size() == 0);
  if (stale || knows_less) {
    ++counters_.declined;
    taken.set_declined(true);
    return;
  }
  std::optional<FlowOpening> opening = Reviewed(message);
  if (opening) {
    Place(now, *std::move(opening));
  } else {
    actions_.refusals.push_back(
        {FlowId(message.id()), ErrorKind::kNotFound, message.packet(), {}});
  }
}

void FlowNodeImpl::OnTaken(TimePoint now, NodeId from,
                           const pb::FlowTaken& message) {
  const auto it = asked_.find(FlowId(message.id()));
  if (it == asked_.end()) {
    return;
  }
  FlowOpening opening = std::move(it->second.opening);
  asked_.erase(it);
  if (!message.declined()) {
    watch_.OnPlaced(opening.id, from);
    return;
  }
  choice_.OnDeclined(now, from);
  Note(IngressNote::Kind::kDeclined, opening, from);
  Direct(now, std::move(opening));
}

std::optional<FlowOpening> FlowNodeImpl::Reviewed(
    const pb::FlowOpening& message) {
  FlowOpening opening = FromMessage(message);
  if (message.revision() < revision_) {
    const FlowRoute* route = routes_.Find(opening.route);
    if (route == nullptr) {
      return std::nullopt;
    }
    opening.service = route->ServiceFor(opening.id);
    opening.work_class = route->work_class;
    opening.timeout = route->timeout;
  }
  return opening;
}

void FlowNodeImpl::RetryAsked(TimePoint now) {
  std::vector<FlowOpening> overdue;
  for (auto it = asked_.begin(); it != asked_.end();) {
    if (now < it->second.due) {
      ++it;
      continue;
    }
    choice_.OnSilent(it->second.dispatcher);
    Note(IngressNote::Kind::kDispatcherSilent, it->second.opening,
         it->second.dispatcher);
    overdue.push_back(std::move(it->second.opening));
    it = asked_.erase(it);
  }
  for (FlowOpening& it : overdue) {
    ++counters_.placed_alone;
    watch_.OnPlaced(it.id, self());
    Place(now, std::move(it));
  }
}

void FlowNodeImpl::MoveWaiting(TimePoint now) {
  for (const ServiceId it : routes_.services()) {
    const NodeId to = DispatcherFor(now, it);
    if (to == self()) {
      continue;
    }
    dispatcher_->Unwatch(it);
    for (FlowOpening& opening : dispatcher_->TakeWaiting(now, it)) {
      HandOver(now, std::move(opening), to);
    }
  }
}

}  // namespace vanillalatch::internal
