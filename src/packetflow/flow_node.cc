#include "vanillalatch/packetflow/flow_node.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "src/packetflow/flow_messages.h"
#include "src/packetflow/flow_node_impl.h"
#include "vanillalatch/placement/rendezvous.h"

namespace vanillalatch {
namespace internal {
namespace {

// Endpoints reach a VM that has just started in several messages, within the
// byte budget of membership.
constexpr Duration kSettleTime = std::chrono::seconds(2);
// Flows that went on are remembered for one to two times this; longer than
// most of them last.
constexpr Duration kSeenGeneration = std::chrono::seconds(30);
// How often endpoints that were lost long ago are forgotten.
constexpr Duration kForgetInterval = std::chrono::seconds(5);

}  // namespace

void FlowNodeImpl::OnCatalog(TimePoint now, const pb::Catalog& catalog) {
  if (catalog.revision() <= revision_) {
    return;
  }
  revision_ = catalog.revision();
  routes_ = RouteTable::From(catalog.flows());
  dispatcher_->SetClasses(routes_.classes());
  endpoint_versions_.clear();
  UpdateEndpoints(now);
}

void FlowNodeImpl::OnEndpoints(TimePoint now,
                               const std::vector<pb::LeaseUpdate>& updates,
                               bool whole) {
  for (const pb::LeaseUpdate& it : updates) {
    peers_->registry().MergeLease(now, it, false);
  }
  UpdateEndpoints(now);
  if (whole && !updates.empty() && revision_ > 0) {
    settled_ = true;
    ReleaseParked(now);
  }
}

FlowVerdict FlowNodeImpl::OnPacket(TimePoint now, const FlowPacket& packet,
                                   ByteSpan bytes) {
  ++counters_.packets;
  if (revision_ == 0) {
    return {FlowVerdict::Kind::kDrop};
  }
  const FlowRoute* route = routes_.Find(packet.route);
  if (route == nullptr) {
    ++counters_.unknown_route;
    return {packet.aborts ? FlowVerdict::Kind::kDrop
                          : FlowVerdict::Kind::kReset};
  }
  if (packet.opens) {
    OpenFlow(now, *route, packet, bytes);
    return {FlowVerdict::Kind::kTaken};
  }
  const FlowTarget* target = endpoints_.Find(packet.cookie);
  if (target == nullptr) {
    ++counters_.unknown_endpoint;
    return {FlowVerdict::Kind::kDrop};
  }
  if (packet.ends || packet.aborts) {
    EndFlow(now, packet, target->service);
  } else {
    TellProgress(now, packet, *route, *target);
  }
  ++counters_.forwarded;
  return {FlowVerdict::Kind::kForward, target};
}

void FlowNodeImpl::TellProgress(TimePoint now, const FlowPacket& packet,
                                const FlowRoute& route,
                                const FlowTarget& target) {
  const std::optional<FlowNews> news = watch_.OnPacket(packet);
  if (!news) {
    return;
  }
  const EstablishedFlow open{target.service, route.work_class, route.timeout,
                             target.endpoint};
  const NodeId to = PlacerOf(now, news->id, target.service);
  if (dispatcher_->Knows(news->id) || to == self()) {
    dispatcher_->Seen(now, *news, open, actions_);
    return;
  }
  pb::FlowSeen& message = *MessageTo(to).add_seen();
  message.set_id(news->id.value());
  message.set_requests(news->requests);
  message.set_answered(news->answered);
  if (news->requests) {
    message.set_service(target.service.value());
    message.set_cookie(target.cookie.value());
    message.set_work_class(route.work_class.value());
    message.set_timeout_ms(
        static_cast<std::uint32_t>(ToMilliseconds(route.timeout)));
  }
}

NodeId FlowNodeImpl::PlacerOf(TimePoint now, FlowId id,
                              ServiceId service) const {
  const std::optional<NodeId> placer = watch_.PlacerOf(id);
  const std::span<const Member> members = peers_->members().members();
  const bool there =
      placer && std::any_of(members.begin(), members.end(), [&](auto& it) {
        return it.id == *placer && it.state != MemberState::kDead;
      });
  return there ? *placer : DispatcherFor(now, service);
}

void FlowNodeImpl::OnSeen(TimePoint now, const pb::FlowSeen& message) {
  const FlowNews news{FlowId(message.id()), message.requests(),
                      message.answered()};
  const FlowTarget* target = endpoints_.Find(FlowCookie(message.cookie()));
  if (target == nullptr && !dispatcher_->Knows(news.id)) {
    return;
  }
  EstablishedFlow open;
  if (target != nullptr) {
    open = {ServiceId(message.service()), ClassId(message.work_class()),
            std::chrono::milliseconds(message.timeout_ms()), target->endpoint};
  }
  dispatcher_->Seen(now, news, open, actions_);
}

void FlowNodeImpl::EndFlow(TimePoint now, const FlowPacket& packet,
                           ServiceId service) {
  const FlowId id = packet.id();
  const NodeId to = PlacerOf(now, id, service);
  watch_.Forget(id);
  if (dispatcher_->Knows(id)) {
    dispatcher_->End(now, id, packet.aborts, actions_);
    return;
  }
  if (to != self()) {
    pb::FlowEnd& message = *MessageTo(to).add_ends();
    message.set_id(id.value());
    message.set_given_up(packet.aborts);
  }
}

void FlowNodeImpl::OnPeer(TimePoint now, SocketAddress from, ByteSpan bytes,
                          Outbox& out) {
  const pb::FlowMessage* message = peers_->OnDatagram(now, from, bytes, out);
  const NodeId sender = peers_->sender();
  choice_.OnHeard(sender);
  if (message != nullptr) {
    for (const pb::FlowOpening& it : message->openings()) {
      OnOpening(now, sender, it);
    }
    for (const pb::FlowTaken& it : message->taken()) {
      OnTaken(now, sender, it);
    }
    for (const pb::FlowSeen& it : message->seen()) {
      OnSeen(now, it);
    }
    for (const pb::FlowEnd& it : message->ends()) {
      dispatcher_->End(now, FlowId(it.id()), it.given_up(), actions_);
    }
  }
}

// Ready for callers, and to dispatch, once what is known of the endpoints has
// had the time to become whole.
void FlowNodeImpl::NoteSettled(TimePoint now) {
  const Registry& registry = peers_->registry();
  const std::vector<ServiceId>& services = routes_.services();
  const bool complete =
      !services.empty() &&
      std::all_of(services.begin(), services.end(), [&](ServiceId it) {
        return !registry.EndpointsOf(it).empty();
      });
  if (settled_ || !complete) {
    return;
  }
  complete_since_ = complete_since_.value_or(now);
  settled_ = now >= *complete_since_ + kSettleTime;
}

void FlowNodeImpl::OnTick(TimePoint now, Outbox& out) {
  peers_->OnTick(now, out);
  UpdateEndpoints(now);
  if (peers_->members().version() != members_version_) {
    members_version_ = peers_->members().version();
    NoteDispatchers(now);
    MoveWaiting(now);
  }
  RetryAsked(now);
  NoteSettled(now);
  ReleaseParked(now);
  dispatcher_->OnTick(now, actions_);
  if (now >= forget_due_) {
    forget_due_ = now + kForgetInterval;
    endpoints_.Forget(now);
  }
  if (now >= generation_due_) {
    generation_due_ = now + kSeenGeneration;
    watch_.NextGeneration();
  }
}

void FlowNodeImpl::UpdateEndpoints(TimePoint now) {
  const Registry& registry = peers_->registry();
  for (const ServiceId it : routes_.services()) {
    const std::uint64_t version = registry.VersionOf(it);
    const auto [known, added] = endpoint_versions_.try_emplace(it, version);
    if (!added && known->second == version) {
      continue;
    }
    known->second = version;
    endpoints_.Set(now, it, registry.EndpointsOf(it));
    std::vector<Endpoint> usable;
    for (const Endpoint& endpoint : registry.EndpointsOf(it)) {
      if (endpoints_.Find(endpoint.id) != nullptr) {
        usable.push_back(endpoint);
      }
    }
    dispatcher_->SetEndpoints(now, it, usable, actions_);
  }
}

void FlowNodeImpl::NoteDispatchers(TimePoint now) {
  for (const ServiceId it : routes_.services()) {
    const NodeId first =
        DispatcherOf(it, peers_->members().members(), 0).value_or(self());
    const auto [known, added] = first_dispatchers_.try_emplace(it, first);
    if (added || known->second != first) {
      known->second = first;
      dispatcher_->OnDispatcherChanged(now, it);
    }
  }
}

TimePoint FlowNodeImpl::NextWake() const {
  TimePoint wake = std::min(peers_->NextWake(), dispatcher_->NextWake());
  for (const auto& [id, it] : asked_) {
    wake = std::min(wake, it.due);
  }
  for (const auto& [id, it] : parked_) {
    wake = std::min(wake, it.due);
  }
  return wake;
}

void FlowNodeImpl::Finish(TimePoint now, Outbox& out) {
  for (auto& [to, message] : messages_) {
    for (const pb::FlowMessage& it : CutToDatagrams(std::move(message))) {
      peers_->Send(to, it, out);
    }
  }
  messages_.clear();
}

FlowNodeActions FlowNodeImpl::TakeActions() {
  FlowNodeActions actions;
  for (FlowPlacement& it : actions_.placements) {
    if (const FlowTarget* target = endpoints_.Find(it.endpoint)) {
      actions.places.push_back({*target, std::move(it.packet)});
    }
  }
  actions.refusals = std::move(actions_.refusals);
  actions.silences = std::move(actions_.silences);
  actions.flow_notes = std::move(actions_.notes);
  if (timings_.size() + actions_.timings.size() > kMostTimings) {
    timings_.clear();
  }
  timings_.insert(timings_.end(), actions_.timings.begin(),
                  actions_.timings.end());
  actions.ingress_notes = std::exchange(ingress_notes_, {});
  actions_ = {};
  return actions;
}

void FlowNodeImpl::BeginStop(TimePoint now, Outbox& out) {
  peers_->Leave(now, out);
  members_version_ = peers_->members().version();
  MoveWaiting(now);
  Finish(now, out);
}

}  // namespace internal

Result<std::unique_ptr<FlowNode>> FlowNode::Create(FlowNodeOptions options,
                                                   std::uint64_t seed) {
  Result<std::unique_ptr<FlowDispatcher>> dispatcher =
      FlowDispatcher::Create(options.dispatcher, seed);
  if (!dispatcher.ok()) {
    return dispatcher.error();
  }
  Result<std::unique_ptr<PeerNode>> peers =
      PeerNode::Create(std::move(options.members), seed);
  if (!peers.ok()) {
    return peers.error();
  }
  return std::unique_ptr<FlowNode>(std::make_unique<internal::FlowNodeImpl>(
      std::move(options.data_center), std::move(*peers),
      std::move(*dispatcher)));
}

}  // namespace vanillalatch
