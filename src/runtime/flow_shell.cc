#include "vanillalatch/runtime/flow_shell.h"

#include <algorithm>
#include <random>
#include <utility>

#include "src/runtime/catalog_follower.h"
#include "src/runtime/fleet_shell.h"
#include "src/runtime/member_log.h"
#include "vanillalatch/runtime/wakeup.h"
#include "vanillalatch/telemetry/log.h"

namespace vanillalatch {

// What only the sources of this library know.
struct FlowShellCore::Link {
  explicit Link(const Settings& settings) : follower(settings.fleet->control) {}

  CatalogFollower follower;
  Wakeup wakeup;
  MemberLog member_log;
};

Result<FlowShellCore::Sockets> FlowShellCore::Bind(const Settings& settings) {
  Result<UdpSocket> packets = UdpSocket::Bind(settings.flows->listen);
  if (!packets.ok()) {
    return packets.error();
  }
  Result<UdpSocket> peers = UdpSocket::Bind(settings.fleet->listen);
  if (!peers.ok()) {
    return peers.error();
  }
  return Sockets{std::move(*packets), std::move(*peers)};
}

Result<std::unique_ptr<FlowNode>> FlowShellCore::MakeNode(
    const Settings& settings) {
  FlowNodeOptions options;
  options.members = FleetMember(settings, true);
  options.data_center = settings.data_center;
  return FlowNode::Create(std::move(options), std::random_device()());
}

FlowShellCore::FlowShellCore(const Settings& settings, Sockets sockets,
                             std::unique_ptr<FlowNode> node)
    : sockets_(std::move(sockets)),
      node_(std::move(node)),
      link_(std::make_unique<Link>(settings)),
      vm_(settings.vm),
      data_center_(settings.data_center),
      packet_port_(settings.flows->listen.port),
      drain_limit_(settings.flows->drain_limit) {}

FlowShellCore::~FlowShellCore() = default;

void FlowShellCore::Start(Reactor& reactor) {
  FdWaiter& packets = reactor.Watch(sockets_.packets.fd());
  FdWaiter& peers = reactor.Watch(sockets_.peers.fd());
  boost::fibers::fiber([this, &packets] { ServePackets(packets); }).detach();
  boost::fibers::fiber([this, &peers] { ServePeers(peers); }).detach();
  boost::fibers::fiber([this] { RunTimer(); }).detach();
  boost::fibers::fiber([this] {
    link_->follower.Run(
        [this] {
          pb::SyncRequest request;
          request.set_vm(vm_);
          request.set_data_center(data_center_);
          request.set_revision(node_->revision());
          request.set_state(stopping_ ? "stopping" : "serving");
          request.set_wants_endpoints(!node_->Ready());
          return request;
        },
        [this](const pb::SyncReply& reply) { TakeSync(reply); });
  }).detach();
}

void FlowShellCore::TakeSync(const pb::SyncReply& reply) {
  const TimePoint now = Now();
  if (reply.has_catalog()) {
    node_->OnCatalog(now, reply.catalog());
    LogEvent(LogLevel::kInfo, "catalog_in_force",
             {{"revision", node_->revision()},
              {"version", reply.catalog().flows().version()},
              {"routes", reply.catalog().flows().routes_size()}});
  }
  if (!node_->Ready()) {
    node_->OnEndpoints(now,
                       {reply.endpoints().begin(), reply.endpoints().end()},
                       reply.endpoints_whole());
    LogEvent(LogLevel::kInfo, "endpoints_taken",
             {{"endpoints", reply.endpoints_size()},
              {"whole", reply.endpoints_whole()}});
  }
  Flush();
}

void FlowShellCore::Stop() {
  stopping_ = true;
  ready_ = false;
  node_->BeginStop(Now(), out_);
  Flush();
  boost::this_fiber::sleep_for(drain_limit_);
  stopped_ = true;
  link_->follower.Stop();
}

void FlowShellCore::ServePackets(FdWaiter& waiter) {
  ServeBatches(waiter, stopped_, [&] {
    const std::size_t n = ReceivePackets(Now());
    Flush();
    return n;
  });
}

void FlowShellCore::ServePeers(FdWaiter& waiter) {
  ServeBatches(waiter, stopped_, [&] {
    const TimePoint now = Now();
    const std::size_t n =
        sockets_.peers.Receive([&](SocketAddress from, ByteSpan bytes) {
          node_->OnPeer(now, from, bytes, out_);
        });
    Flush();
    return n;
  });
}

void FlowShellCore::RunTimer() {
  while (!stopped_) {
    link_->wakeup.SleepUntil(node_->NextWake());
    node_->OnTick(Now(), out_);
    Flush();
    link_->member_log.Review(Now(), node_->peers().members());
    LogSummary();
  }
}

void FlowShellCore::LogRefusal(const FlowPacket& packet,
                               const FlowRefusal& refusal) {
  if (!refusal_lines_.Take(Now())) {
    return;
  }
  LogEvent(LogLevel::kWarn, "flow_refused",
           {{"caller", packet.caller.ToString()},
            {"route", packet.route.ToString()},
            {"sequence", packet.sequence},
            {"kind", AnswerFor(refusal.kind).name},
            {"expected_wait_ms", ToMilliseconds(refusal.cause.expected_wait)},
            {"queued", refusal.cause.queued},
            {"usable_slots", refusal.cause.usable_slots},
            {"free_slots", refusal.cause.free_slots},
            {"revision", node_->revision()},
            {"left_out", refusal_lines_.TakeLeftOut()}});
}

void FlowShellCore::LogSummary() {
  const TimePoint now = Now();
  if (now < summary_due_) {
    return;
  }
  summary_due_ = now + kSummaryInterval;
  const FlowNodeCounters& flows = node_->counters();
  const FlowDispatcherCounters& placed = node_->dispatcher_counters();
  const std::span<const Member> members = node_->peers().members().members();
  const auto alive = std::count_if(
      members.begin(), members.end(),
      [](const Member& it) { return it.state == MemberState::kAlive; });
  LogEvent(LogLevel::kInfo, "flows_summary",
           {{"ready", ready_.load()},
            {"revision", node_->revision()},
            {"endpoints", node_->endpoints()},
            {"members_alive", alive},
            {"packets", flows.packets},
            {"unknown_endpoint", flows.unknown_endpoint},
            {"placed_alone", flows.placed_alone},
            {"declined", flows.declined},
            {"placed", placed.placed},
            {"moved", placed.moved},
            {"refused", placed.refused},
            {"expired", placed.expired}});
}

std::string FlowShellCore::NameOf(EndpointId id) const {
  const Endpoint* endpoint = node_->peers().registry().Find(id);
  // Forgotten since: the id is all that is left.
  return endpoint == nullptr ? std::to_string(id.value()) : endpoint->name;
}

std::string FlowShellCore::NameOf(NodeId id) const {
  for (const Member& it : node_->peers().members().members()) {
    if (it.id == id) {
      return it.name;
    }
  }
  return id == NodeId{} ? "" : std::to_string(id.value());
}

void FlowShellCore::LogNote(const FlowNote& note) {
  struct Row {
    std::string_view event;
    LogLevel level;
  };
  static constexpr Row kRows[] = {{"flow_placed", LogLevel::kInfo},
                                  {"flow_moved", LogLevel::kWarn},
                                  {"flow_given_up", LogLevel::kWarn},
                                  {"flow_unheard", LogLevel::kWarn}};
  const Row& row = kRows[static_cast<std::size_t>(note.kind)];
  LogBudget& budget =
      note.kind == FlowNote::Kind::kPlaced ? placed_lines_ : loss_lines_;
  if (!budget.Take(Now())) {
    return;
  }
  LogEvent(
      row.level, row.event,
      {{"caller", note.caller.ToString()},
       {"route", note.route.ToString()},
       {"sequence", note.sequence},
       {"endpoint",
        note.endpoint == EndpointId{} ? std::string() : NameOf(note.endpoint)},
       {"from", note.from == EndpointId{} ? std::string() : NameOf(note.from)},
       {"elapsed_ms", ToMilliseconds(note.elapsed)},
       {"copy", note.copy},
       {"answered", note.answered},
       {"requested", note.requested},
       {"revision", node_->revision()},
       {"left_out", budget.TakeLeftOut()}});
}

void FlowShellCore::LogNote(const IngressNote& note) {
  static constexpr std::string_view kEvents[] = {
      "dispatcher_silent", "dispatcher_declined", "opening_parked"};
  if (!ingress_lines_.Take(Now())) {
    return;
  }
  LogEvent(LogLevel::kWarn, kEvents[static_cast<std::size_t>(note.kind)],
           {{"caller", note.caller.ToString()},
            {"route", note.route.ToString()},
            {"sequence", note.sequence},
            {"dispatcher", NameOf(note.dispatcher)},
            {"revision", node_->revision()},
            {"endpoints", node_->endpoints()},
            {"left_out", ingress_lines_.TakeLeftOut()}});
}

void FlowShellCore::LogNotForwarded(const FlowPacket& packet, bool reset) {
  if (!dropped_lines_.Take(Now())) {
    return;
  }
  LogEvent(LogLevel::kWarn, reset ? "route_unknown" : "packet_dropped",
           {{"caller", packet.caller.ToString()},
            {"route", packet.route.ToString()},
            {"sequence", packet.sequence},
            {"opens", packet.opens},
            {"cookie", packet.cookie.value()},
            {"revision", node_->revision()},
            {"endpoints", node_->endpoints()},
            {"left_out", dropped_lines_.TakeLeftOut()}});
}

void FlowShellCore::LogMalformed(SocketAddress from, std::size_t bytes) {
  if (malformed_lines_.Take(Now())) {
    LogEvent(LogLevel::kWarn, "packet_malformed",
             {{"from", from.ToString()},
              {"bytes", bytes},
              {"left_out", malformed_lines_.TakeLeftOut()}});
  }
}

void FlowShellCore::LogSilence(const EndpointSilence& silence) {
  const Endpoint* endpoint = node_->peers().registry().Find(silence.endpoint);
  if (endpoint == nullptr || !silence_lines_.Take(Now())) {
    return;
  }
  LogEvent(
      LogLevel::kWarn, silence.silent ? "endpoint_silent" : "endpoint_answers",
      {{"endpoint", endpoint->name},
       {"address", endpoint->address.ToString()},
       {"data_center", endpoint->data_center},
       {"unanswered_flows", silence.unanswered},
       {"limit_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(silence.limit)
            .count()},
       {"left_out", silence_lines_.TakeLeftOut()}});
}

void FlowShellCore::Flush() {
  const TimePoint now = Now();
  const FlowNodeActions actions = node_->TakeActions();
  for (const FlowNodeActions::Place& it : actions.places) {
    SendPlaced(it);
  }
  for (const FlowRefusal& it : actions.refusals) {
    SendRefused(it);
  }
  for (const EndpointSilence& it : actions.silences) {
    LogSilence(it);
  }
  for (const FlowNote& it : actions.flow_notes) {
    LogNote(it);
  }
  for (const IngressNote& it : actions.ingress_notes) {
    LogNote(it);
  }
  sockets_.packets.Flush();
  node_->Finish(now, out_);
  sockets_.peers.SendAll(out_);
  ready_ = !stopping_ && node_->Ready();
  link_->wakeup.BringForward(node_->NextWake());
}

}  // namespace vanillalatch
