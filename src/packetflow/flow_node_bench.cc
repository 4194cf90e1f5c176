// Measures the processor time of one flow: its opening packet at an ingress,
// the handover to the dispatcher, the placement and the end. Run:
// build/flow_node_bench
#include <benchmark/benchmark.h>

#include <array>
#include <memory>

#include "vanillalatch/packetflow/flow_node.h"

namespace vanillalatch {
namespace {

constexpr std::size_t kVms = 2;
constexpr int kEndpoints = 8;
constexpr SocketAddress kRoute{0xC6120001U, 8443};
constexpr Duration kTick = std::chrono::milliseconds(1);
// 2,000 flows a second.
constexpr int kFlowsPerTick = 2;

// Two entry VMs that exchange their datagrams without delay.
class TwoVms {
 public:
  TwoVms() {
    for (std::size_t n = 0; n < kVms; ++n) {
      FlowNodeOptions options;
      options.members.name = "vm-" + std::to_string(n);
      options.members.data_center = "fleet";
      options.members.peer = PeerOf(n);
      options.members.seeds = {PeerOf(1 - n)};
      options.members.incarnation = 1;
      options.data_center = "north";
      vms_[n] = FlowNode::Create(options, n + 1).value();
      vms_[n]->OnCatalog(now_, MakeCatalog());
    }
    for (int n = 0; n < 5000; ++n) {
      Tick();
      if (n % 1000 == 0) {
        Register();
      }
    }
    packet_.route = kRoute;
    packet_.opens = true;
  }

  void OpenAndEndFlow() {
    if (++flows_ % kFlowsPerTick == 0) {
      Tick();
    }
    packet_.caller = SocketAddress::FromPacked(0x644000010000 + flows_);
    packet_.sequence = static_cast<std::uint32_t>(flows_);
    packet_.opens = true;
    packet_.ends = false;
    const std::size_t ingress = flows_ % kVms;
    vms_[ingress]->OnPacket(now_, packet_, kBytes);
    Exchange();
    packet_.opens = false;
    packet_.ends = true;
    packet_.cookie = cookie_;
    vms_[ingress]->OnPacket(now_, packet_, {});
    Exchange();
  }
  std::uint64_t placed() const { return placed_; }
  void Tick() {
    now_ += kTick;
    for (std::size_t n = 0; n < kVms; ++n) {
      Outbox out;
      vms_[n]->OnTick(now_, out);
      Deliver(n, out);
    }
    Exchange();
  }

 private:
  static SocketAddress PeerOf(std::size_t n) {
    return {0x0A000001U + static_cast<std::uint32_t>(n), 7000};
  }
  static pb::Catalog MakeCatalog() {
    pb::Catalog catalog;
    catalog.set_revision(1);
    pb::FlowRoute& route = *catalog.mutable_flows()->add_routes();
    route.set_name("records");
    route.set_ip(kRoute.ip);
    route.set_port(kRoute.port);
    route.set_timeout_ms(1000);
    route.set_latency_ms(500);
    route.add_shares()->set_service("records");
    route.mutable_shares(0)->set_weight(1);
    return catalog;
  }
  void Register() {
    RegistryOptions options;
    options.epochs_are_start_times = true;
    const auto registry = Registry::Create(options).value();
    for (int n = 1; n <= kEndpoints; ++n) {
      Registration it;
      it.name = "a" + std::to_string(n);
      it.service = FlowServiceId("records");
      it.data_center = "north";
      it.address = {0x0B000000U + static_cast<std::uint32_t>(n), 80};
      it.slots = 1000;
      it.lifetime = std::chrono::hours(10);
      it.epoch = 1;
      (void)registry->Register(now_, it);
    }
    for (const auto& it : vms_) {
      it->OnEndpoints(now_, registry->Leases(now_), true);
    }
  }
  void Deliver(std::size_t from, Outbox& out) {
    for (const Outbox::Item& it : out.items()) {
      const std::size_t to = it.to.ip - PeerOf(0).ip;
      if (to < kVms && to != from) {
        Outbox answers;
        vms_[to]->OnPeer(now_, PeerOf(from), out.Bytes(it), answers);
        Deliver(to, answers);
      }
    }
  }
  // Sends what the VMs have to send, until there is nothing left.
  void Exchange() {
    for (int round = 0; round < 3; ++round) {
      for (std::size_t n = 0; n < kVms; ++n) {
        for (const auto& it : vms_[n]->TakeActions().placements) {
          cookie_ = it.target.cookie;
          ++placed_;
        }
        Outbox out;
        vms_[n]->Flush(now_, out);
        Deliver(n, out);
      }
    }
  }

  static constexpr std::array<std::uint8_t, 32> kBytes{};
  TimePoint now_{std::chrono::seconds(100)};
  std::array<std::unique_ptr<FlowNode>, kVms> vms_;
  FlowPacket packet_;
  FlowCookie cookie_;
  std::uint64_t flows_ = 0;
  std::uint64_t placed_ = 0;
};

void OpenFlow(benchmark::State& state) {
  TwoVms vms;
  const std::uint64_t before = vms.placed();
  for (auto _ : state) {
    vms.OpenAndEndFlow();
  }
  state.counters["placed"] = static_cast<double>(vms.placed() - before) /
                             static_cast<double>(state.iterations());
}
BENCHMARK(OpenFlow)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace vanillalatch

BENCHMARK_MAIN();
