#include "vanillalatch/runtime/flow_shell.h"

#include <algorithm>
#include <random>
#include <utility>

#include "src/runtime/catalog_follower.h"
#include "src/runtime/catalog_lag.h"
#include "src/runtime/fleet_shell.h"
#include "src/runtime/flow_log.h"
#include "src/runtime/member_log.h"
#include "vanillalatch/packetflow/receive_delay.h"
#include "vanillalatch/runtime/wakeup.h"
#include "vanillalatch/telemetry/log.h"

namespace vanillalatch {

// Members whose types are private to this library.
struct FlowShellCore::Internals {
  Internals(const Settings& settings, const FlowNode& node)
      : follower(settings.vm, settings.fleet->control), log(node) {}

  CatalogFollower follower;
  // As passed to the follower: the revision in force and the newer one, and the
  // version of the members.
  std::pair<std::uint64_t, std::uint64_t> revisions;
  std::uint64_t members_version = 0;
  CatalogLag lag;
  Wakeup wakeup;
  MemberLog member_log;
  FlowLog log;
  // Of the sockets.
  ReceiveDelay packets_delay{NowWithSuspension()};
  ReceiveDelay peers_delay{NowWithSuspension()};
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

Result<std::unique_ptr<FlowNode>> FlowShellCore::CreateNode(
    const Settings& settings) {
  FlowNodeOptions options;
  options.members = MakeMemberOptions(settings, true);
  options.data_center = settings.data_center;
  options.link_mbit_per_s = settings.fleet->link_mbit_per_s.value_or(0);
  return FlowNode::Create(std::move(options), std::random_device()());
}

FlowShellCore::FlowShellCore(const Settings& settings, Sockets sockets,
                             std::unique_ptr<FlowNode> node)
    : sockets_(std::move(sockets)),
      node_(std::move(node)),
      internals_(std::make_unique<Internals>(settings, *node_)),
      vm_(settings.vm),
      data_center_(settings.data_center),
      packet_port_(settings.flows->listen.port),
      control_port_(settings.fleet->control_port),
      drain_limit_(settings.flows->drain_limit) {}

FlowShellCore::~FlowShellCore() = default;

void FlowShellCore::Start(Reactor& reactor) {
  FdWaiter& packets = reactor.Watch(sockets_.packets.fd());
  FdWaiter& peers = reactor.Watch(sockets_.peers.fd());
  boost::fibers::fiber([this, &packets] { ServePackets(packets); }).detach();
  boost::fibers::fiber([this, &peers] { ServePeers(peers); }).detach();
  boost::fibers::fiber([this] { RunTimer(); }).detach();
  boost::fibers::fiber([this] {
    internals_->follower.Run(
        [this] {
          pb::SyncRequest request;
          request.set_vm(vm_);
          request.set_data_center(data_center_);
          request.set_revision(node_->revision());
          request.set_state(stopping_ ? "stopping" : "serving");
          request.set_wants_endpoints(!node_->Ready());
          for (pb::OpenFlows& it : node_->OpenFlows()) {
            *request.add_open_flows() = std::move(it);
          }
          return request;
        },
        [this](const CatalogNews& news) { OnNews(news); });
  }).detach();
}

void FlowShellCore::OnNews(const CatalogNews& news) {
  const TimePoint now = Now();
  if (news.catalog != nullptr) {
    node_->OnCatalog(now, *news.catalog);
    LogEvent(LogLevel::kInfo, "catalog_in_force",
             {{"revision", node_->revision()},
              {"version", news.catalog->flows().version()},
              {"routes", news.catalog->flows().routes_size()},
              {"control", news.control},
              {"quorum", news.from_quorum}});
  }
  if (!node_->Ready()) {
    node_->OnEndpoints(now, news.endpoints, news.endpoints_whole);
    LogEvent(LogLevel::kInfo, "endpoints_taken",
             {{"endpoints", news.endpoints.size()},
              {"whole", news.endpoints_whole}});
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
  internals_->follower.Stop();
}

void FlowShellCore::ServePackets(FdWaiter& waiter) {
  ReceiveDelay& delay = internals_->packets_delay;
  ServeBatches(waiter, stopped_, [&] {
    const TimePoint begun = NowWithSuspension();
    node_->SetReceiveDelay(Now(), delay.Bound(begun));
    const std::size_t n = ReceivePackets(Now());
    delay.OnRead(begun, n < UdpSocket::kBatchDatagrams);
    Flush();
    return n;
  });
}

void FlowShellCore::ServePeers(FdWaiter& waiter) {
  ReceiveDelay& delay = internals_->peers_delay;
  ServeBatches(waiter, stopped_, [&] {
    const TimePoint now = Now();
    const TimePoint begun = NowWithSuspension();
    node_->SetReceiveDelay(now, delay.Bound(begun));
    const std::size_t n =
        sockets_.peers.Receive([&](SocketAddress from, ByteSpan bytes) {
          node_->OnPeer(now, from, bytes, out_);
        });
    delay.OnRead(begun, n < UdpSocket::kBatchDatagrams);
    Flush();
    return n;
  });
}

void FlowShellCore::RunTimer() {
  while (!stopped_) {
    internals_->wakeup.SleepUntil(
        std::min(node_->NextWake(), Now() + ReceiveDelay::kTurnInterval));
    const TimePoint turn = NowWithSuspension();
    internals_->packets_delay.OnTurn(turn);
    internals_->peers_delay.OnTurn(turn);
    if (Now() < node_->NextWake()) {
      continue;
    }
    node_->SetReceiveDelay(Now(),
                           std::max(internals_->packets_delay.Bound(turn),
                                    internals_->peers_delay.Bound(turn)));
    node_->OnTick(Now(), out_);
    Flush();
    internals_->member_log.LogChanges(Now(), node_->peers().members());
    ReportCatalogLag();
    internals_->log.LogSummaryIfDue(ready_, CatalogFreshness());
  }
}

void FlowShellCore::UpdateFollower() {
  const MemberList& members = node_->peers().members();
  CatalogFollower& follower = internals_->follower;
  const std::pair<std::uint64_t, std::uint64_t> revisions = {
      node_->revision(), members.NewerRevision(Now())};
  if (std::exchange(internals_->revisions, revisions) != revisions) {
    follower.SetRevisions(revisions.first, revisions.second);
  }
  if (members.version() == internals_->members_version) {
    return;
  }
  internals_->members_version = members.version();
  std::vector<std::string> addresses;
  for (const Member& it : members.members()) {
    if (!it.dispatches && it.state == MemberState::kAlive) {
      addresses.push_back(SocketAddress{it.peer.ip, control_port_}.ToString());
    }
  }
  follower.SetMembers(std::move(addresses));
}

void FlowShellCore::ReportCatalogLag() {
  const TimePoint now = Now();
  const auto report =
      internals_->lag.Update(now, node_->peers().members().NewerRevision(now));
  if (!report) {
    return;
  }
  LogEvent(report->ended ? LogLevel::kInfo : LogLevel::kWarn,
           report->ended ? "catalog_caught_up" : "catalog_behind",
           {{"revision", node_->revision()},
            {"newer", report->newer},
            {"lag_ms", ToMilliseconds(report->lag)},
            {"control", internals_->follower.followed()}});
}

FlowCatalogFreshness FlowShellCore::CatalogFreshness() const {
  const TimePoint now = Now();
  return {internals_->follower.followed(),
          now - internals_->follower.last_quorum_contact(),
          internals_->lag.Current(now)};
}

void FlowShellCore::LogRefusal(const FlowPacket& packet,
                               const FlowRefusal& refusal) {
  internals_->log.LogRefusal(packet, refusal);
}

void FlowShellCore::LogNotForwarded(const FlowPacket& packet, bool reset) {
  internals_->log.LogNotForwarded(packet, reset);
}

void FlowShellCore::LogMalformed(SocketAddress from, std::size_t bytes) {
  internals_->log.LogMalformed(from, bytes);
}

void FlowShellCore::Flush() {
  const TimePoint now = Now();
  const FlowNodeActions actions = node_->TakeActions();
  for (const FlowNodeActions::Placement& it : actions.placements) {
    SendPlaced(it);
  }
  for (const FlowRefusal& it : actions.refusals) {
    SendRefusal(it);
  }
  for (const EndpointSilence& it : actions.silences) {
    internals_->log.LogSilence(it);
  }
  for (const EvacuationEvent& it : actions.evacuation_events) {
    internals_->log.LogEvacuation(it);
  }
  for (const FlowEvent& it : actions.flow_events) {
    internals_->log.LogFlow(it);
  }
  for (const IngressEvent& it : actions.ingress_events) {
    internals_->log.LogIngress(it);
  }
  for (const LinkLate& it : actions.link_events) {
    internals_->log.LogLinkLate(it);
  }
  for (const ShardingChange& it : actions.sharding_changes) {
    FlowLog::LogSharding(it);
  }
  sockets_.packets.Flush();
  node_->Flush(now, out_);
  sockets_.peers.SendAll(out_);
  UpdateFollower();
  ReportTraffic(now);
  ready_ = !stopping_ && node_->Ready();
  internals_->wakeup.BringForward(node_->NextWake());
}

void FlowShellCore::ReportTraffic(TimePoint now) {
  const std::uint64_t received =
      sockets_.packets.bytes_received() + sockets_.peers.bytes_received();
  const std::uint64_t sent =
      sockets_.packets.bytes_sent() + sockets_.peers.bytes_sent();
  node_->OnTraffic(now, received - std::exchange(bytes_received_, received),
                   sent - std::exchange(bytes_sent_, sent));
}

}  // namespace vanillalatch
