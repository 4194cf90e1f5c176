// Implements FlowWorld. The file contains no test cases; its name ends in _test
// so that only the test program contains it.
#include "src/packetflow/flow_world.h"

#include <algorithm>
#include <utility>

#include "peer.pb.h"
#include "src/packetflow/shard.h"

namespace vanillalatch {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// Stands for the control VM where entry VMs have their index.
constexpr int kControl = -1;
constexpr std::size_t kHeaderBytes = 28;  // IPv4 and UDP.
constexpr Duration kMaxLinkQueue = milliseconds(100);
// A caller's packet without payload.
constexpr std::size_t kCallerPacketBytes = 32;
constexpr Duration kTick = milliseconds(1);
constexpr Duration kLeaseRenewInterval = milliseconds(1200);
constexpr Duration kDelayToEndpoint = microseconds(300);
constexpr Duration kDelayToCaller = milliseconds(3);
constexpr Duration kDelayBetweenVms = microseconds(400);
// The size of a start time in milliseconds, which VMs use as incarnation.
constexpr std::uint64_t kFirstIncarnation = 1'700'000'000'000;
// Between two packets that a caller sends at once: they reach the entry VM in
// different batches.
constexpr Duration kDelayBetweenPackets = microseconds(100);
// Only has to be positive: an acknowledgement shows that an answer has begun.
constexpr std::uint32_t kAnswerBytes = 1000;
// When a caller sends the opening packet and its retransmissions, counted from
// Open().
constexpr Duration kOpeningDelays[] = {milliseconds(0), milliseconds(200),
                                       milliseconds(600)};
// When a caller gives up a flow that no endpoint has accepted, counted from
// Open().
constexpr Duration kGiveUpDelay = milliseconds(1400);
// Timeout of every route.
constexpr std::uint32_t kTimeoutMs = 1500;

}  // namespace

FlowWorld::FlowWorld(std::uint64_t seed) : random_(seed) {}

SocketAddress FlowWorld::PeerOf(int vm) {
  return {0x0A000000U + static_cast<std::uint32_t>(vm + 1), 7000};
}

SocketAddress FlowWorld::RouteOf(const std::string& service) {
  return {0xC6120001U,
          static_cast<std::uint16_t>(FlowServiceId(service).value() | 1)};
}

void FlowWorld::SetDataCenters(std::vector<std::string> names, Duration delay,
                               double link_mbit_per_s) {
  data_centers_ = std::move(names);
  delay_between_data_centers_ = delay;
  link_mbit_per_s_ = link_mbit_per_s;
}

void FlowWorld::AddVms(std::size_t count, std::optional<std::size_t> running) {
  vms_.resize(count);
  MemberListOptions members;
  members.name = "control";
  members.data_center = "fleet";
  members.dispatches = false;
  members.peer = PeerOf(kControl);
  control_ = PeerNode::Create(members, random_()).value();
  for (std::size_t n = 0; n < running.value_or(count); ++n) {
    StartVm(n);
  }
  After(kTick, [this] { Tick(); });
  After(kLeaseRenewInterval, [this] { RenewLeases(); });
}

void FlowWorld::StartVm(std::size_t n) {
  FlowNodeOptions options;
  options.members.name = "vm-" + std::to_string(n);
  options.members.data_center = "fleet";
  options.members.peer = PeerOf(static_cast<int>(n));
  options.members.seeds = {PeerOf(kControl)};
  options.members.incarnation = kFirstIncarnation + ++starts_ * 1000;
  options.data_center = DataCenterOf(static_cast<int>(n));
  options.link_mbit_per_s = link_mbit_per_s_;
  vms_[n] = FlowNode::Create(options, random_()).value();
  if (catalog_.revision() > 0) {
    Publish(n);
  }
}

void FlowWorld::StopVm(std::size_t n) {
  Outbox out;
  vms_[n]->BeginStop(now_, out);
  Deliver(static_cast<int>(n), out);
  PerformActions(n);
}

void FlowWorld::SetRoutes(std::uint64_t version,
                          const std::vector<std::string>& services,
                          std::uint32_t latency_ms) {
  pb::FlowTable& table = *catalog_.mutable_flows();
  table.Clear();
  table.set_version(version);
  for (const std::string& it : services) {
    pb::FlowRoute& route = *table.add_routes();
    route.set_name(it);
    route.set_ip(RouteOf(it).ip);
    route.set_port(RouteOf(it).port);
    route.set_timeout_ms(kTimeoutMs);
    route.set_latency_ms(latency_ms);
    route.set_urgency(it == "urgent" ? 0 : 1);
    pb::FlowShare& share = *route.add_shares();
    share.set_service(it == "urgent" ? "records" : it);
    share.set_weight(1);
  }
  catalog_.set_revision(version);
}

void FlowWorld::MoveRoute(const std::string& route,
                          const std::string& service) {
  catalog_.set_revision(catalog_.revision() + 1);
  for (pb::FlowRoute& it : *catalog_.mutable_flows()->mutable_routes()) {
    if (it.name() == route) {
      it.mutable_shares(0)->set_service(service);
    }
  }
}

void FlowWorld::SetWarmUp(const std::string& service, Duration duration,
                          double rate) {
  pb::FlowServiceWarmUp& it = *catalog_.mutable_flows()->add_warm_ups();
  it.set_service(service);
  it.set_duration_ms(static_cast<std::uint32_t>(ToMilliseconds(duration)));
  it.set_flows_per_second(rate);
}

void FlowWorld::SetEvacuated(const std::vector<std::string>& data_centers) {
  catalog_.set_revision(catalog_.revision() + 1);
  catalog_.clear_evacuations();
  for (const std::string& it : data_centers) {
    pb::Evacuation& evacuation = *catalog_.add_evacuations();
    evacuation.set_data_center(it);
    evacuation.set_revision(catalog_.revision());
  }
}

void FlowWorld::Publish(std::optional<std::size_t> vm) {
  for (std::size_t n = 0; n < vms_.size(); ++n) {
    if (vms_[n] != nullptr && (!vm || *vm == n)) {
      vms_[n]->OnCatalog(now_, catalog_);
      PerformActions(n);
    }
  }
}

void FlowWorld::SendEndpoints(std::size_t vm, bool complete) {
  vms_[vm]->OnEndpoints(now_, control_->registry().Leases(now_), complete);
  PerformActions(vm);
}

FlowWorld::FakeEndpoint& FlowWorld::AddEndpoint(
    const std::string& name, const std::string& service,
    const std::string& data_center) {
  FakeEndpoint& endpoint = endpoints_[name];
  endpoint.name = name;
  endpoint.service = service;
  endpoint.data_center = data_center;
  endpoint.address = {
      0x0B000000U + static_cast<std::uint32_t>(endpoints_.size()), 80};
  return endpoint;
}

void FlowWorld::Leave(const std::string& name) {
  At(name).leaving = true;
  RegisterEndpoints();
}

void FlowWorld::RenewLeases() {
  RegisterEndpoints();
  After(kLeaseRenewInterval, [this] { RenewLeases(); });
}

void FlowWorld::RegisterEndpoints() {
  for (const auto& [name, it] : endpoints_) {
    if (it.silent || (!cut_off_.empty() && it.data_center == cut_off_)) {
      continue;
    }
    Registration registration;
    registration.name = it.name;
    registration.service = FlowServiceId(it.service);
    registration.data_center = it.data_center;
    registration.address = it.address;
    registration.slots = it.slots;
    registration.lifetime = 10 * kLeaseRenewInterval;
    registration.epoch = it.epoch;
    registration.warm_in = std::max(it.warm_at - now_, Duration::zero());
    const Result<EndpointId> id =
        control_->registry().Register(now_, registration);
    if (id.ok() && it.leaving) {
      control_->registry().BeginLeave(now_, *id).value();
    }
  }
}

void FlowWorld::After(Duration delay, Callback run) {
  events_.push({now_ + delay, ++order_, std::move(run)});
}

void FlowWorld::Run(Duration time) {
  const TimePoint end = now_ + time;
  while (!events_.empty() && events_.top().at <= end) {
    now_ = events_.top().at;
    const Callback run = events_.top().run;
    events_.pop();
    run();
  }
  now_ = end;
}

void FlowWorld::Tick() {
  Outbox out;
  control_->OnTick(now_, out);
  Deliver(kControl, out);
  for (std::size_t n = 0; n < vms_.size(); ++n) {
    if (vms_[n] != nullptr && now_ >= vms_[n]->NextWake() &&
        !frozen_.contains(n)) {
      TickVm(n);
    }
  }
  After(kTick, [this] { Tick(); });
}

void FlowWorld::TickVm(std::size_t n) {
  Outbox out;
  vms_[n]->OnTick(now_, out);
  Deliver(static_cast<int>(n), out);
  PerformActions(n);
}

void FlowWorld::ThawVm(std::size_t n, bool timer_first) {
  const Frozen frozen = std::move(frozen_.at(n));
  frozen_.erase(n);
  vms_[n]->SetReceiveDelay(now_, now_ - frozen.since);
  if (timer_first) {
    TickVm(n);
  }
  for (const Callback& it : frozen.unread) {
    it();
  }
  vms_[n]->SetReceiveDelay(now_, Duration::zero());
}

void FlowWorld::Read(std::size_t vm, const Callback& read) {
  const auto it = frozen_.find(vm);
  if (it == frozen_.end()) {
    read();
  } else {
    it->second.unread.push_back(read);
  }
}

void FlowWorld::Deliver(int from, Outbox& out) {
  for (const Outbox::Item& it : out.items()) {
    const int to = static_cast<int>(it.to.ip - 0x0A000000U) - 1;
    const bool is_cut = !cut_off_.empty() && (DataCenterOf(from) == cut_off_) !=
                                                 (DataCenterOf(to) == cut_off_);
    if (is_cut || disconnected_.contains({from, to})) {
      continue;
    }
    const ByteSpan span = out.Bytes(it);
    if (tap_) {
      tap_(from, to, span);
    }
    std::vector<std::uint8_t> bytes(span.begin(), span.end());
    if (uninformed_.contains(to)) {
      pb::PeerDatagram datagram;
      datagram.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
      if (datagram.has_membership()) {
        continue;
      }
    }
    if (drop_loads_) {
      pb::PeerDatagram datagram;
      datagram.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
      if (datagram.flow().loads_size() > 0) {
        datagram.mutable_flow()->clear_loads();
        const std::string rest = datagram.SerializeAsString();
        bytes.assign(rest.begin(), rest.end());
      }
    }
    const Duration delay =
        kDelayBetweenVms + (DataCenterOf(from) == DataCenterOf(to)
                                ? Duration::zero()
                                : delay_between_data_centers_);
    const std::size_t n = bytes.size();
    PassLink(from, false, n,
             [this, from, to, n, delay, bytes = std::move(bytes)] {
               After(delay, [this, from, to, n, bytes] {
                 PassLink(to, true, n, [this, from, to, bytes] {
                   OnPeerDatagram(from, to, bytes);
                 });
               });
             });
  }
}

void FlowWorld::OnPeerDatagram(int from, int to,
                               const std::vector<std::uint8_t>& bytes) {
  if (const auto it = frozen_.find(static_cast<std::size_t>(to));
      it != frozen_.end()) {
    it->second.unread.push_back(
        [this, from, to, bytes] { OnPeerDatagram(from, to, bytes); });
    return;
  }
  Outbox answers;
  if (to == kControl) {
    control_->OnDatagram(now_, PeerOf(from), bytes, answers);
  } else if (vms_[static_cast<std::size_t>(to)] != nullptr) {
    vms_[static_cast<std::size_t>(to)]->OnPeer(now_, PeerOf(from), bytes,
                                               answers);
    PerformActions(static_cast<std::size_t>(to));
  }
  Deliver(to, answers);
}

void FlowWorld::SetLinks(std::uint64_t bytes_per_second) {
  link_bytes_per_second_ = static_cast<double>(bytes_per_second);
  links_.resize(2 * vms_.size());
}

void FlowWorld::PassLink(int vm, bool inbound, std::size_t bytes,
                         Callback then) {
  if (vm == kControl || links_.empty()) {
    then();
    return;
  }
  const auto index = static_cast<std::size_t>(vm);
  const std::size_t n = bytes + kHeaderBytes;
  Link& link = links_[2 * index + (inbound ? 1 : 0)];
  if (link.free_at > now_ + kMaxLinkQueue) {
    return;
  }
  const std::chrono::duration<double> time(static_cast<double>(n) /
                                           link_bytes_per_second_);
  link.free_at =
      std::max(link.free_at, now_) + std::chrono::duration_cast<Duration>(time);
  if (!inbound && vms_[index] != nullptr) {
    vms_[index]->OnTraffic(now_, 0, n);
  }
  After(link.free_at - now_, [this, index, inbound, n, then = std::move(then)] {
    if (inbound && vms_[index] != nullptr) {
      vms_[index]->OnTraffic(now_, n, 0);
    }
    then();
  });
}

void FlowWorld::PerformActions(std::size_t vm) {
  FlowNodeActions actions = vms_[vm]->TakeActions();
  for (const FlowNodeActions::Placement& it : actions.placements) {
    const int flow = ParseFlowNumber(it.packet);
    FlowPacket packet = flows_.at(flow).packet;
    packet.opens = true;
    const std::string name = FormatInstanceName(it.target.instance);
    SendToEndpoint(vm, name, packet, flow, it.packet.size());
  }
  for (const FlowRefusal& it : actions.refusals) {
    Reset(ParseFlowNumber(it.packet));
  }
  Outbox out;
  vms_[vm]->Flush(now_, out);
  Deliver(static_cast<int>(vm), out);
}

int FlowWorld::Open(const std::string& service, std::size_t vm) {
  const int id = ++next_flow_;
  Flow& flow = flows_[id];
  flow.vm = vm;
  flow.opened = now_;
  flow.packet.caller = {0x64400000U + static_cast<std::uint32_t>(id >> 15),
                        static_cast<std::uint16_t>(20000 + (id & 0x7fff))};
  flow.packet.route = RouteOf(service);
  flow.packet.sequence = static_cast<std::uint32_t>(random_());
  for (std::uint32_t copy = 0; copy < std::size(kOpeningDelays); ++copy) {
    After(kOpeningDelays[copy], [this, id, copy] {
      if (!flows_[id].endpoint.empty() || flows_[id].reset) {
        return;
      }
      PassLink(static_cast<int>(flows_[id].vm), true, kCallerPacketBytes,
               [this, id, copy] { SendOpening(id, copy); });
    });
  }
  After(kGiveUpDelay, [this, id] {
    Flow& it = flows_[id];
    it.failed = it.endpoint.empty() && !it.reset;
  });
  return id;
}

int FlowWorld::OpenLong(const std::string& service, std::size_t vm,
                        std::size_t requests, Duration gap) {
  const int id = Open(service, vm);
  Flow& flow = flows_[id];
  flow.requests = requests;
  flow.gap = gap;
  flow.acknowledges = true;
  return id;
}

void FlowWorld::SendOpening(int id, std::uint32_t copy) {
  const Flow& flow = flows_[id];
  if (!flow.endpoint.empty() || flow.reset || vms_[flow.vm] == nullptr) {
    return;
  }
  const std::size_t vm = flow.vm;
  Read(vm, [this, id, copy, vm] { ReceiveOpening(id, copy, vm); });
}

void FlowWorld::ReceiveOpening(int id, std::uint32_t copy, std::size_t vm) {
  FlowPacket packet = flows_[id].packet;
  packet.opens = true;
  packet.copy = copy;
  std::string bytes = std::to_string(id);
  bytes.resize(std::max(bytes.size(), opening_bytes_));
  const FlowVerdict verdict = vms_[vm]->OnPacket(
      now_, packet,
      {reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()});
  if (verdict.kind == FlowVerdict::Kind::kReset) {
    Reset(id);
  }
  PerformActions(vm);
}

void FlowWorld::Reset(int id) {
  After(kDelayToCaller,
        [this, id] { flows_[id].reset |= flows_[id].endpoint.empty(); });
}

void FlowWorld::SendToEndpoint(std::size_t vm, const std::string& name,
                               const FlowPacket& packet, int flow,
                               std::size_t bytes) {
  const auto it = endpoints_.find(name);
  const std::string from = DataCenterOf(static_cast<int>(vm));
  const std::string to = it == endpoints_.end() ? from : it->second.data_center;
  if (!cut_off_.empty() && (from == cut_off_) != (to == cut_off_)) {
    return;
  }
  const Duration delay =
      kDelayToEndpoint +
      (from == to ? Duration::zero() : delay_between_data_centers_);
  PassLink(static_cast<int>(vm), false, bytes,
           [this, name, packet, flow, vm, delay] {
             After(delay, [this, name, packet, flow, vm] {
               DeliverToEndpoint(name, packet, flow, vm);
             });
           });
}

void FlowWorld::DeliverToEndpoint(const std::string& name, FlowPacket packet,
                                  int id, std::size_t vm) {
  const auto it = endpoints_.find(name);
  if (it == endpoints_.end() || it->second.silent) {
    return;
  }
  FakeEndpoint& endpoint = it->second;
  if (packet.opens) {
    ++endpoint.openings;
    endpoint.arrivals.emplace_back(now_, vm);
    if (!endpoint.flows.contains(id)) {
      endpoint.assigned.insert(id);
      endpoint.peak = std::max(endpoint.peak, endpoint.assigned.size());
    }
    After(kDelayToCaller, [this, name, id] {
      Flow& flow = flows_[id];
      flow.accepted_by.insert(name);
      if (flow.endpoint.empty() && !flow.reset) {
        flow.endpoint = name;
        flow.packet.cookie = CookieOf(*ParseInstanceName(name));
        After(kDelayToCaller, [this, id] {
          if (!flows_[id].acknowledges) {
            Continue(id);
            return;
          }
          SendPacket(id, false, false);
          After(kDelayBetweenPackets, [this, id] { Continue(id); });
        });
      }
    });
    return;
  }
  if (!packet.carries_data || !endpoint.flows.insert(id).second) {
    return;
  }
  endpoint.waiting.push(id);
  Serve(endpoint);
}

void FlowWorld::Serve(FakeEndpoint& endpoint) {
  while (endpoint.running < endpoint.slots && !endpoint.waiting.empty()) {
    const int id = endpoint.waiting.front();
    endpoint.waiting.pop();
    ++endpoint.running;
    std::exponential_distribution<double> spread(1.0);
    const double factor = 0.5 + spread(random_) / 2;
    const auto work = Duration(static_cast<Duration::rep>(
        static_cast<double>(endpoint.work.count()) * factor));
    After(work, [this, &endpoint, id] {
      --endpoint.running;
      ++endpoint.served;
      endpoint.assigned.erase(id);
      if (!hold_answers_) {
        After(kDelayToCaller, [this, id] { OnAnswer(id); });
      }
      Serve(endpoint);
    });
  }
}

void FlowWorld::OnAnswer(int id) {
  Flow& flow = flows_[id];
  flow.answered = now_;
  flow.packet.acknowledged += kAnswerBytes;
  if (flow.acknowledges) {
    After(kDelayToCaller, [this, id] { SendPacket(id, false, false); });
  }
  After(kDelayToCaller + flow.gap, [this, id] { Continue(id); });
}

void FlowWorld::Continue(int id) {
  Flow& flow = flows_[id];
  if (flow.requests == 0) {
    SendPacket(id, false, true);
    return;
  }
  --flow.requests;
  At(flow.endpoint).flows.erase(id);
  SendPacket(id, true, false);
}

void FlowWorld::SendPacket(int id, bool carries_data, bool ends) {
  FlowPacket packet = flows_[id].packet;
  packet.ends = ends;
  packet.carries_data = carries_data;
  PassLink(static_cast<int>(flows_[id].vm), true, kCallerPacketBytes,
           [this, id, packet] {
             Read(flows_[id].vm,
                  [this, id, packet] { ForwardPacket(id, packet); });
           });
}

void FlowWorld::ForwardPacket(int id, const FlowPacket& packet) {
  const Flow& flow = flows_[id];
  if (vms_[flow.vm] == nullptr) {
    return;
  }
  const FlowVerdict verdict = vms_[flow.vm]->OnPacket(now_, packet, {});
  if (verdict.kind == FlowVerdict::Kind::kForward) {
    const std::string name = FormatInstanceName(verdict.target->instance);
    SendToEndpoint(flow.vm, name, packet, id, kCallerPacketBytes);
  }
  PerformActions(flow.vm);
}

std::size_t FlowWorld::DispatcherIndex(const std::string& service) const {
  return DispatcherIndex(service, "");
}

std::size_t FlowWorld::DispatcherIndex(const std::string& service,
                                       const std::string& data_center) const {
  const auto any_vm = std::find_if(
      vms_.begin(), vms_.end(), [](const auto& it) { return it != nullptr; });
  const NodeId id =
      internal::ShardDispatcherOf({FlowServiceId(service), data_center},
                                  (*any_vm)->peers().members().members(), 0)
          .value();
  for (std::size_t n = 0; n < vms_.size(); ++n) {
    if (vms_[n] != nullptr && vms_[n]->peers().members().self() == id) {
      return n;
    }
  }
  return 0;
}

}  // namespace vanillalatch
