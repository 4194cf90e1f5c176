#include "vanillalatch/packetflow/flow_node.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "src/packetflow/flow_messages.h"
#include "src/packetflow/flow_node_impl.h"

namespace vanillalatch {
namespace internal {
namespace {

// How long a VM that has just started waits for further endpoints: membership
// sends them in several messages, within its byte budget.
constexpr Duration kEndpointSettleTime = std::chrono::seconds(2);
// A VM that hears of no other member for this long serves alone. Both ends of
// the request to join may get their processor up to 75 ms late.
constexpr Duration kJoinTimeout = std::chrono::milliseconds(150);
// How long a VM waits for a catalog that a peer states. A peer that states one
// which does not exist must not keep it from serving.
constexpr Duration kMaxCatalogWait = std::chrono::seconds(5);
// The time from one update of the endpoints to the next, for each endpoint.
// While thousands of them register, each message changes some, and an update
// goes over all of them; this bounds its share of a small VM's processor.
constexpr Duration kUpdateIntervalPerEndpoint = std::chrono::microseconds(30);
// The state of a flow is removed one to two generations after its last packet;
// most flows are shorter than that.
constexpr Duration kFlowTrackerGeneration = std::chrono::seconds(30);
// How often the endpoint table is searched for endpoints to remove.
constexpr Duration kLostEndpointCheckInterval = std::chrono::seconds(5);

}  // namespace

void FlowNodeImpl::OnCatalog(TimePoint now, const pb::Catalog& catalog) {
  if (catalog.revision() <= revision_) {
    return;
  }
  revision_ = catalog.revision();
  peers_->SetCatalogRevision(revision_);
  directory_.OnRoutesReplaced(
      now, std::exchange(routes_, RouteTable::From(catalog.flows())));
  reported_data_centers_.clear();
  for (const pb::Evacuation& it : catalog.evacuations()) {
    reported_data_centers_.push_back(it.data_center());
  }
  dispatcher_->SetClasses(routes_.classes());
  endpoint_versions_.clear();
  ApplyWarmUps(now, catalog);
  peers_->SetEvacuations(now, EvacuationsOf(catalog));
  UpdateEvacuations(now);
  UpdateEndpoints(now);
  UpdateFirstDispatchers(now);
  MoveWaiting(now);
}

std::vector<pb::OpenFlows> FlowNodeImpl::OpenFlows() const {
  std::vector<pb::OpenFlows> reports(reported_data_centers_.size());
  if (reports.empty()) {
    return reports;
  }
  for (std::size_t n = 0; n < reports.size(); ++n) {
    reports[n].set_data_center(reported_data_centers_[n]);
  }
  for (const auto& [id, flows] : dispatcher_->OpenFlows()) {
    const Endpoint* endpoint = peers_->registry().Find(id);
    for (pb::OpenFlows& it : reports) {
      if (endpoint != nullptr && endpoint->data_center == it.data_center()) {
        it.set_flows(it.flows() + flows);
      }
    }
  }
  return reports;
}

void FlowNodeImpl::OnEndpoints(TimePoint now,
                               const std::vector<pb::LeaseUpdate>& updates,
                               bool complete) {
  for (const pb::LeaseUpdate& it : updates) {
    peers_->registry().MergeLease(now, it, false);
  }
  UpdateEndpoints(now);
  if (complete && !updates.empty() && revision_ > 0 &&
      !LacksNewerCatalog(now)) {
    if (!std::exchange(settled_, true)) {
      directory_.OnReady(now);
    }
    DispatchParked(now);
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
    // A VM that was suspended may not have received the newest catalog yet. The
    // caller's next copy finds it in force.
    const bool may_be_added = IsLate() || LacksNewerCatalog(now);
    return {packet.aborts || may_be_added ? FlowVerdict::Kind::kDrop
                                          : FlowVerdict::Kind::kReset};
  }
  if (packet.opens) {
    if (IsSuperseded(packet)) {
      ++counters_.too_late;
      return {FlowVerdict::Kind::kPending};
    }
    OpenFlow(now, *route, packet, bytes);
    return {FlowVerdict::Kind::kPending};
  }
  const FlowTarget* target = endpoints_.Find(packet.cookie);
  if (target == nullptr) {
    ++counters_.unknown_endpoint;
    return {FlowVerdict::Kind::kDrop};
  }
  if (packet.ends || packet.aborts) {
    EndFlow(now, packet, *target);
  } else {
    ReportProgress(now, packet, *route, *target);
  }
  ++counters_.forwarded;
  return {FlowVerdict::Kind::kForward, target};
}

void FlowNodeImpl::ReportProgress(TimePoint now, const FlowPacket& packet,
                                  const FlowRoute& route,
                                  const FlowTarget& target) {
  const std::optional<FlowUpdate> update = flow_tracker_.OnPacket(packet);
  if (!update) {
    return;
  }
  const EstablishedFlow established{target.service, route.work_class,
                                    route.timeout, target.endpoint};
  const NodeId to = PlacerOf(now, update->id, target);
  if (dispatcher_->Contains(update->id) || to == self()) {
    dispatcher_->OnFlowUpdate(now, *update, established, actions_);
    return;
  }
  pb::FlowSeen message;
  message.set_id(update->id.value());
  message.set_requests(update->request_sent);
  message.set_answered(update->answer_started);
  if (update->request_sent) {
    if (FormOf(to) == MessageForm::kFull) {
      message.set_service(target.service.value());
    }
    message.set_cookie(target.cookie.value());
    message.set_work_class(route.work_class.value());
    message.set_timeout_ms(
        static_cast<std::uint32_t>(ToMilliseconds(route.timeout)));
  }
  PendingMessageTo(to).AddSeen(now, std::move(message));
}

NodeId FlowNodeImpl::PlacerOf(TimePoint now, FlowId id,
                              const FlowTarget& target) const {
  const std::optional<NodeId> placer = flow_tracker_.PlacerOf(id);
  return placer && IsRunning(*placer)
             ? *placer
             : DispatcherFor(now, ShardOfEndpoint(target));
}

bool FlowNodeImpl::HasFailed(NodeId vm) const {
  const std::span<const Member> members = peers_->members().members();
  return std::any_of(members.begin(), members.end(), [&](const Member& it) {
    return it.id == vm && it.state == MemberState::kDead;
  });
}

bool FlowNodeImpl::IsRunning(NodeId vm) const {
  const std::span<const Member> members = peers_->members().members();
  return std::any_of(members.begin(), members.end(), [&](const Member& it) {
    return it.id == vm && it.state != MemberState::kDead;
  });
}

void FlowNodeImpl::OnSeen(TimePoint now, const pb::FlowSeen& message) {
  const FlowUpdate update{FlowId(message.id()), message.requests(),
                          message.answered(), DecodeAge(message.age())};
  const FlowTarget* target = endpoints_.Find(FlowCookie(message.cookie()));
  if (target == nullptr && !dispatcher_->Contains(update.id)) {
    return;
  }
  EstablishedFlow established;
  if (target != nullptr) {
    established = {
        message.service() == 0 ? target->service : ServiceId(message.service()),
        ClassId(message.work_class()),
        std::chrono::milliseconds(message.timeout_ms()), target->endpoint};
  }
  dispatcher_->OnFlowUpdate(now, update, established, actions_);
}

void FlowNodeImpl::EndFlow(TimePoint now, const FlowPacket& packet,
                           const FlowTarget& target) {
  const FlowId id = packet.id();
  const NodeId to = PlacerOf(now, id, target);
  flow_tracker_.Erase(id);
  if (dispatcher_->Contains(id)) {
    dispatcher_->End(now, id, packet.aborts, {}, actions_);
    return;
  }
  if (to != self()) {
    pb::FlowEnd message;
    message.set_id(id.value());
    message.set_given_up(packet.aborts);
    PendingMessageTo(to).AddEnd(now, std::move(message));
  }
}

void FlowNodeImpl::OnPeer(TimePoint now, SocketAddress from, ByteSpan bytes,
                          Outbox& out) {
  const std::size_t sent_before = out.items().size();
  const pb::FlowMessage* message = peers_->OnDatagram(now, from, bytes, out);
  CountMembershipSent(out, sent_before);
  UpdateMembers(now);
  UpdateEvacuations(now);
  const NodeId sender = peers_->sender();
  dispatcher_selector_.OnContact(sender);
  CountTraffic(message == nullptr ? pb::FlowMessage() : *message, bytes.size(),
               counters_.received);
  if (message != nullptr) {
    for (const pb::FlowOpening& it : message->openings()) {
      OnOpening(now, sender, it);
    }
    if (message->taken_size() > 0) {
      forms_[sender] =
          message->form() == 0 ? MessageForm::kFull : MessageForm::kCompact;
    }
    for (const pb::FlowTaken& it : message->taken()) {
      OnTaken(now, sender, it);
    }
    for (const pb::FlowSeen& it : message->seen()) {
      OnSeen(now, it);
    }
    for (const pb::FlowEnd& it : message->ends()) {
      dispatcher_->End(now, FlowId(it.id()), it.given_up(), DecodeAge(it.age()),
                       actions_);
    }
    for (const pb::ShardLoad& it : message->loads()) {
      OnShardLoad(now, sender, it);
    }
  }
}

bool FlowNodeImpl::HasJoined(TimePoint now) {
  if (!has_joined_) {
    started_at_ = started_at_.value_or(now);
    has_joined_ = peers_->members().members().size() > 1 ||
                  now >= *started_at_ + kJoinTimeout;
  }
  return has_joined_;
}

// True if a peer has stated a newer catalog within kMaxCatalogWait.
bool FlowNodeImpl::LacksNewerCatalog(TimePoint now) {
  const std::uint64_t newer = peers_->members().NewerRevision(now);
  if (newer > newer_revision_) {
    newer_revision_ = newer;
    newer_since_ = now;
  }
  return newer > 0 && now < newer_since_ + kMaxCatalogWait;
}

// A settled VM is ready for callers' packets and to dispatch. A VM that starts
// does not settle with a catalog that is older than those of its peers, which
// serve the callers meanwhile. The settle time
// allows the data about endpoints to become complete.
void FlowNodeImpl::UpdateSettled(TimePoint now) {
  const Registry& registry = peers_->registry();
  const std::vector<ServiceId>& services = routes_.services();
  const bool all_present =
      !services.empty() &&
      std::all_of(services.begin(), services.end(), [&](ServiceId it) {
        return !registry.EndpointsOf(it).empty();
      });
  if (settled_ || !all_present || LacksNewerCatalog(now)) {
    return;
  }
  endpoints_present_since_ = endpoints_present_since_.value_or(now);
  settled_ = now >= *endpoints_present_since_ + kEndpointSettleTime;
  if (settled_) {
    directory_.OnReady(now);
  }
}

void FlowNodeImpl::OnTick(TimePoint now, Outbox& out) {
  const std::size_t sent_before = out.items().size();
  peers_->OnTick(now, out);
  CountMembershipSent(out, sent_before);
  UpdateEvacuations(now);
  if (now >= endpoints_due_) {
    UpdateEndpoints(now);
  }
  UpdateMembers(now);
  UpdateLinkLate(now);
  HasJoined(now);
  UpdateSettled(now);
  UpdateColdUse(now);
  PlaceTimedOutHandovers(now);
  DispatchParked(now);
  dispatcher_->OnTick(now, actions_);
  SendShardLoads(now);
  directory_.OnTick(now);
  if (now >= lost_endpoint_check_due_) {
    lost_endpoint_check_due_ = now + kLostEndpointCheckInterval;
    endpoints_.DropLost(now);
  }
  if (now >= generation_due_) {
    generation_due_ = now + kFlowTrackerGeneration;
    flow_tracker_.AdvanceGeneration();
  }
}

void FlowNodeImpl::UpdateMembers(TimePoint now) {
  if (peers_->members().version() == members_version_) {
    return;
  }
  members_version_ = peers_->members().version();
  for (auto& [service, it] : shards_) {
    it = ShardsOf(peers_->registry().EndpointsOf(service),
                  peers_->members().members());
  }
  UpdateFirstDispatchers(now);
  HandOverWaiting(now);
  DispatchParked(now);
}

void FlowNodeImpl::CountMembershipSent(const Outbox& out,
                                       std::size_t sent_before) {
  for (const Outbox::Item& it : out.items().subspan(sent_before)) {
    CountTraffic({}, it.size, counters_.sent);
  }
}

void FlowNodeImpl::UpdateLinkLate(TimePoint now) {
  const bool was_late = std::exchange(link_late_, link_meter_.WasLate(now));
  if (!link_late_) {
    return;
  }
  dispatcher_->OnLinkLate(now);
  if (!was_late) {
    link_events_.push_back(
        {link_meter_.ReceiveQueue(now), link_meter_.SendQueue(now)});
  }
}

bool FlowNodeImpl::HasEndpointChanges() const {
  return std::any_of(routes_.services().begin(), routes_.services().end(),
                     [&](ServiceId it) {
                       const auto known = endpoint_versions_.find(it);
                       return known == endpoint_versions_.end() ||
                              known->second != peers_->registry().VersionOf(it);
                     });
}

void FlowNodeImpl::UpdateEndpoints(TimePoint now) {
  const Registry& registry = peers_->registry();
  std::size_t updated = 0;
  if (TakeEndpointRefresh(now)) {
    endpoint_versions_.clear();
  }
  for (const ServiceId it : routes_.services()) {
    const std::uint64_t version = registry.VersionOf(it);
    const auto [entry, added] = endpoint_versions_.try_emplace(it, version);
    if (!added && entry->second == version) {
      continue;
    }
    entry->second = version;
    std::vector<FlowOpening> waiting = UpdateShards(now, it);
    endpoints_.SetEndpoints(now, it, registry.EndpointsOf(it));
    std::vector<Endpoint> usable;
    for (const Endpoint& endpoint : registry.EndpointsOf(it)) {
      if (endpoints_.Find(endpoint.id) != nullptr) {
        usable.push_back(endpoint);
      }
    }
    updated += usable.size();
    dispatcher_->SetEndpoints(now, it, usable, actions_);
    for (FlowOpening& opening : waiting) {
      Dispatch(now, std::move(opening));
    }
  }
  endpoints_due_ = now + kUpdateIntervalPerEndpoint * updated;
}

void FlowNodeImpl::UpdateFirstDispatchers(TimePoint now) {
  for (const ServiceId service : routes_.services()) {
    for (const ShardId& it : ShardsOfService(service)) {
      const NodeId first = ShardDispatcherOf(it, peers_->members().members(), 0)
                               .value_or(self());
      if (directory_.SetFirstDispatcher(now, it, first)) {
        dispatcher_->OnDispatcherChanged(now, service);
        // The new dispatcher has no reports of the other shards yet.
        loads_due_ = now;
        std::erase_if(sent_loads_, [&](const auto& sent) {
          return sent.first.service == service;
        });
      }
    }
  }
}

TimePoint FlowNodeImpl::NextWake() const {
  TimePoint wake = std::min(peers_->NextWake(), dispatcher_->NextWake());
  if (HasEndpointChanges()) {
    wake = std::min(wake, endpoints_due_);
  }
  for (const auto& [id, it] : pending_handovers_) {
    wake = std::min(wake, it.due);
  }
  for (const auto& [id, it] : parked_) {
    wake = std::min(wake, it.due);
  }
  for (const auto& [to, it] : messages_) {
    wake = std::min(wake, it.due());
  }
  return shards_.empty() ? wake : std::min(wake, loads_due_);
}

void FlowNodeImpl::Flush(TimePoint now, Outbox& out) {
  for (auto it = messages_.begin(); it != messages_.end();) {
    if (now < it->second.due()) {
      ++it;
      continue;
    }
    for (const pb::FlowMessage& message :
         SplitIntoDatagrams(it->second.Take(now))) {
      const std::size_t before = out.items().size();
      peers_->Send(it->first, message, out);
      if (out.items().size() > before) {
        CountTraffic(message, out.items().back().size, counters_.sent);
      }
    }
    it = messages_.erase(it);
  }
}

FlowNodeActions FlowNodeImpl::TakeActions() {
  FlowNodeActions actions;
  for (FlowPlacement& it : actions_.placements) {
    if (const FlowTarget* target = endpoints_.Find(it.endpoint)) {
      actions.placements.push_back({*target, std::move(it.packet)});
    }
  }
  actions.refusals = std::move(actions_.refusals);
  actions.silences = std::move(actions_.silences);
  actions.flow_events = std::move(actions_.events);
  if (timings_.size() + actions_.timings.size() > kMaxTimings) {
    timings_.clear();
  }
  timings_.insert(timings_.end(), actions_.timings.begin(),
                  actions_.timings.end());
  actions.ingress_events = std::exchange(ingress_events_, {});
  actions.evacuation_events = std::exchange(evacuation_events_, {});
  actions.link_events = std::exchange(link_events_, {});
  actions.sharding_changes = std::exchange(sharding_changes_, {});
  actions_ = {};
  return actions;
}

void FlowNodeImpl::BeginStop(TimePoint now, Outbox& out) {
  stopping_ = true;
  peers_->Leave(now, out);
  UpdateMembers(now);
  Flush(now, out);
}

}  // namespace internal

Result<std::unique_ptr<FlowNode>> FlowNode::Create(FlowNodeOptions options,
                                                   std::uint64_t seed) {
  options.dispatcher.limit_moves |= options.link_mbit_per_s > 0;
  Result<std::unique_ptr<FlowDispatcher>> dispatcher =
      FlowDispatcher::Create(options.dispatcher, seed);
  if (!dispatcher.ok()) {
    return dispatcher.error();
  }
  // The data centre is only needed for shards. Without them it would lengthen
  // the messages by which VMs join.
  if (options.link_mbit_per_s > 0) {
    options.members.location = options.data_center;
  }
  Result<std::unique_ptr<PeerNode>> peers =
      PeerNode::Create(options.members, seed);
  if (!peers.ok()) {
    return peers.error();
  }
  return std::unique_ptr<FlowNode>(std::make_unique<internal::FlowNodeImpl>(
      options, std::move(*peers), std::move(*dispatcher)));
}

}  // namespace vanillalatch
