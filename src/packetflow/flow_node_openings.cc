// Opening packets in FlowNodeImpl: selects the VM that places each one, and
// processes those that other VMs hand over.
#include <algorithm>
#include <utility>

#include "src/packetflow/flow_messages.h"
#include "src/packetflow/flow_node_impl.h"

namespace vanillalatch::internal {
namespace {

// A healthy dispatcher acknowledges within two hops of 0.5 ms each and the time
// until its VM gets a processor, which may take 75 ms.
constexpr Duration kHandoverTimeout = std::chrono::milliseconds(100);
// An opening packet that may have waited for longer than this in front of the
// VM that it was handed over to is not placed there: its ingress places it
// after kHandoverTimeout, which the ways to and from that VM shorten.
constexpr Duration kMaxOpeningWait = std::chrono::milliseconds(90);
// Limit of the timeout if the round trip is longer or this VM's link is late.
// Callers wait 1.4 s; the rest is left for placing the flow without the
// dispatcher, and for a retransmission.
constexpr Duration kMaxHandoverTimeout = std::chrono::milliseconds(400);
// How often a handover that is overdue while the link is late is examined.
constexpr Duration kLateCheckInterval = std::chrono::milliseconds(10);
// How long after a handover an acknowledgement counts for the round trip: a
// full link delays it by its queue, which holds a second at most.
constexpr Duration kLateHandoverRetention = std::chrono::seconds(2);
// An opening packet that arrives before the endpoints are known waits for this
// time or half of its caller's timeout, whichever is shorter. Callers wait
// 1.4 s for an answer; the rest of that time is left for the endpoint.
constexpr Duration kMaxParkTime = std::chrono::milliseconds(800);
// A copy is asked for at so many VMs at most: each question takes a round trip.
constexpr std::size_t kMaxAskedVms = 12;

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
  constexpr auto& kTimes = FlowDispatcher::kTransmissionTimes;
  opening.age = kTimes[std::min<std::size_t>(packet.copy, kTimes.size() - 1)];
  opening.data_center = data_center_;
  SetShard(opening);
  opening.packet.assign(bytes.begin(), bytes.end());
  if (dispatcher_->Contains(opening.id)) {
    Place(now, std::move(opening));
    return;
  }
  if (pending_handovers_.contains(opening.id) || parked_.contains(opening.id)) {
    // A retransmission: the decision on the earlier packet applies to it, too.
    return;
  }
  if (!settled_) {
    ++counters_.parked;
    AddEvent(IngressEvent::Kind::kParked, opening, NodeId{});
    const FlowId id = opening.id;
    const Duration wait = std::min(kMaxParkTime, opening.timeout / 2);
    parked_[id] = {std::move(opening), now, now + wait};
    return;
  }
  Dispatch(now, std::move(opening));
}

bool FlowNodeImpl::IsLate() const { return receive_delay_ > kMaxOpeningWait; }

bool FlowNodeImpl::IsSuperseded(const FlowPacket& packet) const {
  constexpr auto& kTimes = FlowDispatcher::kTransmissionTimes;
  const std::size_t copy =
      std::min<std::size_t>(packet.copy, kTimes.size() - 1);
  const Duration next = copy + 1 < kTimes.size()
                            ? kTimes[copy + 1]
                            : FlowDispatcher::kOpeningTimeout;
  return receive_delay_ >= next - kTimes[copy];
}

void FlowNodeImpl::SetReceiveDelay(TimePoint now, Duration bound) {
  const bool was_late = IsLate();
  receive_delay_ = bound;
  if (!IsLate()) {
    return;
  }
  // Reports of progress may wait unread as well.
  dispatcher_->OnLinkLate(now);
  if (!was_late) {
    // For a while, other VMs report to the one that stood in for this one.
    for (const ServiceId it : routes_.services()) {
      dispatcher_->OnDispatcherChanged(now, it);
    }
    counters_.too_late +=
        dispatcher_->DropWaiting(now, [this](const FlowOpening& opening) {
          return MayBePlacedElsewhere(opening.copy, opening.age);
        });
  }
}

bool FlowNodeImpl::MayBePlacedElsewhere(std::uint32_t copy,
                                        Duration age) const {
  if (age >= FlowDispatcher::kOpeningTimeout) {
    return true;
  }
  if (!IsLate()) {
    return false;
  }
  // An ingress that has found this VM silent turns to another one at once.
  constexpr auto& kTimes = FlowDispatcher::kTransmissionTimes;
  const std::size_t next = std::min(std::size_t{copy} + 1, kTimes.size());
  return std::any_of(kTimes.begin() + static_cast<std::ptrdiff_t>(next),
                     kTimes.end(), [&](Duration sent) {
                       return age - receive_delay_ <= sent && sent <= age;
                     });
}

void FlowNodeImpl::Dispatch(TimePoint now, FlowOpening opening,
                            std::optional<NodeId> declined) {
  if (MayBePlacedElsewhere(opening.copy, opening.age)) {
    ++counters_.too_late;
    return;
  }
  FollowRoute(opening);
  SetShard(opening);
  const NodeId to = DispatcherFor(now, {opening.service, opening.shard});
  if (to == self()) {
    if (!HandOverIfUnknown(now, opening)) {
      PassOnOrPlace(now, std::move(opening), pb::OPENING_PLACE);
    }
    return;
  }
  const std::optional<NodeId> holder = UsableHolder(now, opening);
  if (MayBeCopy(opening) && holder && holder != to && holder != declined) {
    Search search;
    search.hint = holder;
    search.tries_dispatcher = true;
    ContinueSearch(now, std::move(opening), std::move(search));
    return;
  }
  HandOver(now, std::move(opening), to);
}

void FlowNodeImpl::FollowRoute(FlowOpening& opening) const {
  const FlowRoute* route = routes_.Find(opening.route);
  if (route == nullptr || route->ServiceFor(opening.id) == opening.service) {
    return;
  }
  opening.service = route->ServiceFor(opening.id);
  opening.work_class = route->work_class;
  opening.timeout = route->timeout;
  opening.hops = 0;
  opening.shard = opening.data_center;
}

bool FlowNodeImpl::MayBeCopy(const FlowOpening& opening) {
  return opening.copy > 0 ||
         opening.age >= FlowDispatcher::kTransmissionTimes[1];
}

bool FlowNodeImpl::CanBeAsked(NodeId vm, const Search& search) const {
  return vm != self() && !HasFailed(vm) && !dispatcher_selector_.IsSilent(vm) &&
         std::find(search.asked.begin(), search.asked.end(), vm) ==
             search.asked.end();
}

std::optional<NodeId> FlowNodeImpl::UsableHolder(
    TimePoint now, const FlowOpening& opening) const {
  const std::optional<NodeId> holder =
      directory_.RecordedHolder(now, opening, HasShards(opening.service));
  return holder && CanBeAsked(*holder, {}) ? holder : std::nullopt;
}

bool FlowNodeImpl::HandOverIfUnknown(TimePoint now, FlowOpening& opening,
                                     std::optional<NodeId> forwarder) {
  if (!MayBeCopy(opening) || dispatcher_->IsKnown(now, opening) ||
      (HasShards(opening.service) &&
       directory_.PassedOnTo(now, opening) != nullptr)) {
    return false;
  }
  const NodeId dispatcher =
      DispatcherFor(now, {opening.service, opening.shard});
  Search search;
  search.hint = UsableHolder(now, opening);
  if (forwarder) {
    search.asked.push_back(*forwarder);
  } else if (dispatcher != self()) {
    search.tries_dispatcher = true;
    ContinueSearch(now, std::move(opening), std::move(search));
    return true;
  }
  return AskNext(now, opening, std::move(search));
}

bool FlowNodeImpl::AskNext(TimePoint now, FlowOpening& opening, Search search) {
  if (search.asked.size() >= kMaxAskedVms) {
    return false;
  }
  std::vector<NodeId> candidates;
  if (search.hint) {
    candidates.push_back(*search.hint);
  }
  if (!search.tries_dispatcher) {
    const ShardId shard{opening.service, opening.shard};
    const auto first = ShardDispatcherOf(shard, peers_->members().members(), 0);
    OpeningDirectory::Fleet fleet;
    fleet.self = self();
    fleet.members = peers_->members().members();
    fleet.shard_of = [&](ServiceId it) {
      return ShardId{it, HasShards(it) ? opening.data_center : ""};
    };
    if (HasShards(shard.service) && first &&
        dispatcher_selector_.IsSilent(*first)) {
      fleet.other_shards = ShardsOfService(shard.service);
    }
    for (const NodeId it :
         directory_.MayHold(now, opening, fleet, search.unready)) {
      candidates.push_back(it);
    }
  }
  const auto next =
      std::find_if(candidates.begin(), candidates.end(),
                   [&](NodeId vm) { return CanBeAsked(vm, search); });
  if (next == candidates.end()) {
    return false;
  }
  search.asked.push_back(*next);
  search.hint.reset();
  HandOver(now, std::move(opening), *next, pb::OPENING_IF_KNOWN).search =
      std::move(search);
  return true;
}

void FlowNodeImpl::ContinueSearch(TimePoint now, FlowOpening opening,
                                  Search search) {
  if (AskNext(now, opening, search)) {
    return;
  }
  const NodeId to = DispatcherFor(now, {opening.service, opening.shard});
  if (search.tries_dispatcher && to != self()) {
    HandOver(now, std::move(opening), to, pb::OPENING_FORWARDED);
    return;
  }
  if (std::exchange(search.tries_dispatcher, false) &&
      AskNext(now, opening, std::move(search))) {
    return;
  }
  PassOnOrPlace(now, std::move(opening), pb::OPENING_FORWARDED);
}

void FlowNodeImpl::PassOnOrPlace(TimePoint now, FlowOpening opening,
                                 pb::OpeningPurpose purpose) {
  if (const std::optional<std::string> it = PassOn(now, opening)) {
    DispatchTo(now, std::move(opening), *it, purpose);
    return;
  }
  flow_tracker_.OnPlaced(opening.id, self());
  Place(now, std::move(opening));
}

bool FlowNodeImpl::ProcessIfKnown(TimePoint now, NodeId from,
                                  FlowOpening opening) {
  const auto pending = pending_handovers_.find(opening.id);
  if (pending != pending_handovers_.end() &&
      pending->second.opening.sequence == opening.sequence) {
    if (pending->second.dispatcher == from) {
      // The handover may be lost; the VM that asks places the flow.
      pending_handovers_.erase(pending);
      return false;
    }
    // If the VM that asks has got this very transmission, by way of others,
    // this VM does not hold another one.
    return pending->second.opening.copy != opening.copy;
  }
  if (parked_.contains(opening.id)) {
    return true;
  }
  if (!dispatcher_->IsKnown(now, opening)) {
    return false;
  }
  if (IsLate()) {
    ++counters_.too_late;
    return true;
  }
  SetShard(opening);
  Place(now, std::move(opening), true);
  return true;
}

void FlowNodeImpl::DispatchParked(TimePoint now) {
  for (auto it = parked_.begin(); it != parked_.end();) {
    if (!settled_ && now < it->second.due) {
      ++it;
      continue;
    }
    FlowOpening opening = std::move(it->second.opening);
    opening.age += now - it->second.since;
    it = parked_.erase(it);
    Dispatch(now, std::move(opening));
  }
}

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

void FlowNodeImpl::Place(TimePoint now, FlowOpening opening,
                         bool is_forwarded) {
  opening.shard = LocalShardFor(now, opening);
  // Of a forwarded flow the ingress reports the progress to the VM to which it
  // handed the flow over.
  opening.progress_reported =
      !is_forwarded && IsFirstDispatcher({opening.service, opening.shard});
  dispatcher_->Open(now, std::move(opening), actions_);
}

void FlowNodeImpl::OnOpening(TimePoint now, NodeId from,
                             const pb::FlowOpening& message) {
  // The ingress has a newer catalog. Callers may already observe its effect,
  // and placing the flow by the older one would reverse that.
  const bool catalog_is_older =
      message.revision() > revision_ && !HasSameRoute(message);
  pb::FlowTaken& taken = PendingMessageTo(from).AddTaken();
  const FlowId id = FromMessage(message).id;
  taken.set_id(id.value());
  const auto decline = [&](const FlowOpening& opening) {
    taken.set_declined(true);
    taken.set_unready(directory_.WasUnreadyFor(now, opening));
    const std::optional<NodeId> holder =
        directory_.RecordedHolder(now, opening, HasShards(opening.service));
    if (holder && *holder != from) {
      taken.set_holder(holder->value());
    }
  };
  if (message.purpose() == pb::OPENING_IF_KNOWN) {
    const FlowOpening opening = FromMessage(message);
    if (ProcessIfKnown(now, from, opening)) {
      return;
    }
    const std::string* it = directory_.PassedOnTo(now, opening);
    if (it != nullptr && HasShards(opening.service)) {
      taken.set_try_data_center(*it);
    } else {
      decline(opening);
    }
    return;
  }
  // If neither VM has complete data about endpoints, it is better that one VM
  // places the flows of all than that each VM places its own.
  const bool has_less_endpoint_data =
      !settled_ && (message.settled() || endpoints_.size() == 0);
  // A flow that is known here keeps its decision. If the opening is late,
  // without another packet to its endpoint.
  const bool is_known = dispatcher_->IsKnown(now, FromMessage(message));
  counters_.too_late += IsLate() ? 1 : 0;
  if (is_known && IsLate()) {
    return;
  }
  if (!is_known &&
      (catalog_is_older || has_less_endpoint_data || IsLate() || stopping_)) {
    ++counters_.declined;
    decline(FromMessage(message));
    directory_.OnDeclined(now, FromMessage(message), from);
    return;
  }
  std::optional<FlowOpening> opening = ResolveOpening(message);
  if (!opening) {
    actions_.refusals.push_back(
        {id, ErrorKind::kNotFound, message.packet(), {}});
    return;
  }
  const bool is_forwarded = message.purpose() == pb::OPENING_FORWARDED;
  if (HandOverIfUnknown(now, *opening,
                        is_forwarded ? std::optional(from) : std::nullopt)) {
    return;
  }
  const NodeId dispatcher =
      DispatcherFor(now, {opening->service, opening->shard});
  const bool is_selected_by_older_data =
      opening->service != ServiceId(message.service()) || !message.stands_in();
  if (!is_known && !is_forwarded && dispatcher != self() &&
      is_selected_by_older_data) {
    // The ingress has not heard of a new catalog or of a new VM yet.
    HandOver(now, *std::move(opening), dispatcher, pb::OPENING_FORWARDED);
    return;
  }
  const std::optional<std::string> other =
      message.may_redirect() ? PassOn(now, *opening) : std::nullopt;
  if (other) {
    taken.set_try_data_center(*other);
  } else {
    placed_for_others_at_[{opening->service, opening->shard}] = now;
    Place(now, *std::move(opening), is_forwarded);
  }
}

bool FlowNodeImpl::HasSameRoute(const pb::FlowOpening& message) const {
  const FlowOpening opening = FromMessage(message);
  const FlowRoute* route = routes_.Find(opening.route);
  return route != nullptr && route->ServiceFor(opening.id) == opening.service &&
         route->work_class == opening.work_class &&
         route->timeout == opening.timeout;
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

std::optional<FlowOpening> FlowNodeImpl::ResolveOpening(
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
  SetShard(opening);
  return opening;
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
