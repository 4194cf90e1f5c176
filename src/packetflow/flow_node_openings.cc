// Opening packets in FlowNodeImpl: selects the VM that places each one, and
// processes those that other VMs hand over.
#include <algorithm>
#include <utility>

#include "src/packetflow/flow_messages.h"
#include "src/packetflow/flow_node_impl.h"

namespace vanillalatch::internal {
namespace {

// An opening packet that may have waited for longer than this in front of the
// VM that it was handed over to is not placed there: its ingress places it
// after kHandoverTimeout, which the ways to and from that VM shorten.
constexpr Duration kMaxOpeningWait = std::chrono::milliseconds(90);
// An opening packet that arrives before the endpoints are known waits for this
// time or half of its caller's timeout, whichever is shorter. Callers wait
// 1.4 s for an answer; the rest of that time is left for the endpoint.
constexpr Duration kMaxParkTime = std::chrono::milliseconds(800);

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
  if (MustPark(now, opening)) {
    ++counters_.parked;
    AddEvent(IngressEvent::Kind::kParked, opening, NodeId{});
    const FlowId id = opening.id;
    const Duration wait = std::min(kMaxParkTime, opening.timeout / 2);
    parked_[id] = {std::move(opening), now, now + wait};
    return;
  }
  Dispatch(now, std::move(opening));
}

bool FlowNodeImpl::MustPark(TimePoint now, const FlowOpening& opening) {
  return !settled_ || (MayBeCopy(opening) && !HasJoined(now));
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

void FlowNodeImpl::PassOnOrPlace(TimePoint now, FlowOpening opening,
                                 pb::OpeningPurpose purpose) {
  if (const std::optional<std::string> it = PassOn(now, opening)) {
    DispatchTo(now, std::move(opening), *it, purpose);
    return;
  }
  flow_tracker_.OnPlaced(opening.id, self());
  Place(now, std::move(opening));
}

void FlowNodeImpl::DispatchParked(TimePoint now) {
  for (auto it = parked_.begin(); it != parked_.end();) {
    if (MustPark(now, it->second.opening) && now < it->second.due) {
      ++it;
      continue;
    }
    FlowOpening opening = std::move(it->second.opening);
    opening.age += now - it->second.since;
    it = parked_.erase(it);
    Dispatch(now, std::move(opening));
  }
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
  const bool has_too_little_data =
      has_less_endpoint_data ||
      (!HasJoined(now) && MayBeCopy(FromMessage(message)));
  if (!is_known &&
      (catalog_is_older || has_too_little_data || IsLate() || stopping_)) {
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

}  // namespace vanillalatch::internal
