#include "vanillalatch/packetflow/flow_node.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "src/packetflow/dispatcher_choice.h"
#include "src/packetflow/flow_messages.h"

namespace vanillalatch {
namespace internal {
namespace {

// A dispatcher that is well answers within a hop of 0.5 ms each way and its
// own share of a processor, which may be withheld for 75 ms.
constexpr Duration kTakenTimeout = std::chrono::milliseconds(100);
// Endpoints reach a VM that has just started in several messages, within the
// byte budget of membership.
constexpr Duration kSettleTime = std::chrono::seconds(2);
// Openings that come before the endpoints are known wait this long. Callers
// wait 1.4 s for an answer, and most of it is left to an endpoint.
constexpr Duration kParkTime = std::chrono::milliseconds(800);
// Flows that went on are remembered for one to two times this; longer than
// most of them last.
constexpr Duration kSeenGeneration = std::chrono::seconds(30);
// How often endpoints that were lost long ago are forgotten.
constexpr Duration kForgetInterval = std::chrono::seconds(5);
class FlowNodeImpl final : public FlowNode {
 public:
  FlowNodeImpl(std::string data_center, std::unique_ptr<PeerNode> peers,
               std::unique_ptr<FlowDispatcher> dispatcher)
      : data_center_(std::move(data_center)),
        peers_(std::move(peers)),
        dispatcher_(std::move(dispatcher)) {}

  void OnCatalog(TimePoint now, const pb::Catalog& catalog) override;
  std::uint64_t revision() const override { return revision_; }
  void OnEndpoints(TimePoint now, const std::vector<pb::LeaseUpdate>& updates,
                   bool whole) override;
  FlowVerdict OnPacket(TimePoint now, const FlowPacket& packet,
                       ByteSpan bytes) override;
  void OnMalformed() override { ++counters_.malformed; }
  void OnPeer(TimePoint now, SocketAddress from, ByteSpan bytes,
              Outbox& out) override;
  void OnTick(TimePoint now, Outbox& out) override;
  TimePoint NextWake() const override;
  void Finish(TimePoint now, Outbox& out) override;
  FlowNodeActions TakeActions() override;
  bool Ready() const override { return settled_; }
  void BeginStop(TimePoint now, Outbox& out) override;
  std::size_t endpoints() const override { return endpoints_.size(); }
  const PeerNode& peers() const override { return *peers_; }
  const FlowNodeCounters& counters() const override { return counters_; }
  const FlowDispatcherCounters& dispatcher_counters() const override {
    return dispatcher_->counters();
  }

 private:
  // An opening that a dispatcher was asked to take.
  struct Asked {
    FlowOpening opening;
    NodeId dispatcher;
    TimePoint due;  // This VM decides alone then.
  };

  struct Parked {
    FlowOpening opening;
    TimePoint due;
  };

  void OpenFlow(TimePoint now, const FlowRoute& route, const FlowPacket& packet,
                ByteSpan bytes);
  // The VM that places a service's flows; this one if no other is in reach.
  NodeId DispatcherFor(TimePoint now, ServiceId service) const {
    return choice_.For(now, service, peers_->members().members(), self());
  }
  // Places the opening here, or has another VM do so.
  void Direct(TimePoint now, FlowOpening opening);
  void HandOver(TimePoint now, FlowOpening opening, NodeId to);
  void ReleaseParked(TimePoint now);
  void Place(TimePoint now, FlowOpening opening);
  // Tells the dispatcher what the caller of an open flow does.
  void TellProgress(TimePoint now, const FlowPacket& packet,
                    const FlowRoute& route, const FlowTarget& target);
  void OnSeen(TimePoint now, const pb::FlowSeen& message);
  void EndFlow(TimePoint now, const FlowPacket& packet, ServiceId service);
  void OnOpening(TimePoint now, NodeId from, const pb::FlowOpening& message);
  // The opening as this VM's catalog has it; nullopt if the route is gone.
  std::optional<FlowOpening> Reviewed(const pb::FlowOpening& message);
  void RetryAsked(TimePoint now);
  void OnTaken(TimePoint now, NodeId from, const pb::FlowTaken& message);
  void NoteSettled(TimePoint now);
  void UpdateEndpoints(TimePoint now);
  // Services whose dispatcher is another VM now: what waits goes there.
  void MoveWaiting(TimePoint now);
  NodeId self() const { return peers_->members().self(); }
  pb::FlowMessage& MessageTo(NodeId to) { return messages_[to]; }

  std::string data_center_;
  std::unique_ptr<PeerNode> peers_;
  std::unique_ptr<FlowDispatcher> dispatcher_;
  std::uint64_t revision_ = 0;
  RouteTable routes_;
  EndpointTable endpoints_;
  std::map<ServiceId, std::uint64_t> endpoint_versions_;
  std::uint64_t members_version_ = 0;
  std::map<FlowId, Asked> asked_;
  std::map<FlowId, Parked> parked_;
  DispatcherChoice choice_;
  // Every service has had an endpoint since then.
  std::optional<TimePoint> complete_since_;
  bool settled_ = false;
  std::map<NodeId, pb::FlowMessage> messages_;
  FlowWatch watch_;
  TimePoint generation_due_{};
  TimePoint forget_due_{};
  FlowActions actions_;
  FlowNodeCounters counters_;
};

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

void FlowNodeImpl::OpenFlow(TimePoint now, const FlowRoute& route,
                            const FlowPacket& packet, ByteSpan bytes) {
  FlowOpening opening;
  opening.id = packet.id();
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
    const FlowId id = opening.id;
    parked_[id] = {std::move(opening), now + kParkTime};
    return;
  }
  Direct(now, std::move(opening));
}

void FlowNodeImpl::Direct(TimePoint now, FlowOpening opening) {
  const NodeId to = DispatcherFor(now, opening.service);
  if (to == self()) {
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
  *MessageTo(to).add_openings() = ToMessage(opening, revision_);
  const FlowId id = opening.id;
  asked_[id] = {std::move(opening), to, now + kTakenTimeout};
}

void FlowNodeImpl::Place(TimePoint now, FlowOpening opening) {
  opening.watched = DispatcherFor(now, opening.service) == self();
  dispatcher_->Open(now, std::move(opening), actions_);
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
  const NodeId to = DispatcherFor(now, target.service);
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
  watch_.Forget(id);
  if (dispatcher_->Knows(id)) {
    dispatcher_->End(now, id, packet.aborts, actions_);
    return;
  }
  const NodeId to = DispatcherFor(now, service);
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

void FlowNodeImpl::OnOpening(TimePoint now, NodeId from,
                             const pb::FlowOpening& message) {
  // Placing it by an older catalog than its ingress has could undo what callers
  // have seen already.
  const bool stale = message.revision() > revision_;
  pb::FlowTaken& taken = *MessageTo(from).add_taken();
  taken.set_id(message.id());
  if (stale || !settled_) {
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
    return;
  }
  choice_.OnDeclined(now, from);
  Direct(now, std::move(opening));
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

void FlowNodeImpl::OnTick(TimePoint now, Outbox& out) {
  peers_->OnTick(now, out);
  UpdateEndpoints(now);
  if (peers_->members().version() != members_version_) {
    members_version_ = peers_->members().version();
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

void FlowNodeImpl::RetryAsked(TimePoint now) {
  std::vector<FlowOpening> overdue;
  for (auto it = asked_.begin(); it != asked_.end();) {
    if (now < it->second.due) {
      ++it;
      continue;
    }
    choice_.OnSilent(it->second.dispatcher);
    overdue.push_back(std::move(it->second.opening));
    it = asked_.erase(it);
  }
  for (FlowOpening& it : overdue) {
    ++counters_.placed_alone;
    Place(now, std::move(it));
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
  actions_ = {};
  return actions;
}

void FlowNodeImpl::BeginStop(TimePoint now, Outbox& out) {
  peers_->Leave(now, out);
  members_version_ = peers_->members().version();
  MoveWaiting(now);
  Finish(now, out);
}

}  // namespace
}  // namespace internal

Result<std::unique_ptr<FlowNode>> FlowNode::Create(FlowNodeOptions options,
                                                   std::uint64_t seed) {
  RegistryOptions registry;
  registry.epochs_are_start_times = true;
  // An entry VM that is cut off goes on with the endpoints that it knows.
  registry.doubt_after = std::chrono::hours(24);
  Result<std::unique_ptr<FlowDispatcher>> dispatcher =
      FlowDispatcher::Create(options.dispatcher, seed);
  if (!dispatcher.ok()) {
    return dispatcher.error();
  }
  Result<std::unique_ptr<PeerNode>> peers =
      PeerNode::Create(std::move(options.members), std::move(registry), seed);
  if (!peers.ok()) {
    return peers.error();
  }
  return std::unique_ptr<FlowNode>(std::make_unique<internal::FlowNodeImpl>(
      std::move(options.data_center), std::move(*peers),
      std::move(*dispatcher)));
}

}  // namespace vanillalatch
