#include <algorithm>
#include <memory>
#include <string>
#include <utility>

#include "peer.pb.h"
#include "src/capacity/measurement.h"
#include "vanillalatch/base/hash.h"
#include "vanillalatch/membership/member_list.h"
#include "vanillalatch/registry/registry.h"

namespace vanillalatch {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr Duration kSettleTime = std::chrono::seconds(60);
constexpr Duration kMeasuredTime = std::chrono::seconds(30);
constexpr Duration kRenewInterval = std::chrono::seconds(3);
constexpr std::uint64_t kSeed = 5;
constexpr std::uint32_t kSlots = 3;

SocketAddress PeerOf(std::size_t n) {
  return {0x0a000001 + static_cast<std::uint32_t>(n), 7001};
}

struct Vm {
  std::unique_ptr<MemberList> members;
  std::unique_ptr<Registry> registry;
};

// The entry VMs of one data centre in virtual time, connected by a network
// without loss. Each backend server renews its lease at the entry VMs in turn.
class DataCenter {
 public:
  DataCenter(std::size_t vms, std::size_t endpoints) : endpoints_(endpoints) {
    for (std::size_t n = 0; n < vms; ++n) {
      vms_.push_back(MakeVm(n));
    }
  }

  void Run(Duration time) {
    const TimePoint end = now_ + time;
    for (; now_ < end; now_ += kStep) {
      RenewDueLeases();
      for (std::size_t n = 0; n < vms_.size(); ++n) {
        Tick(n);
      }
      Deliver();
    }
  }

  // Bytes sent by the busiest VM.
  std::uint64_t MaxBytesSent() const {
    std::uint64_t max_bytes = 0;
    for (const Vm& it : vms_) {
      max_bytes = std::max(max_bytes, it.members->bytes_sent());
    }
    return max_bytes;
  }

  // Number of endpoints in the registry of the VM that has the fewest.
  std::size_t MinEndpoints() const {
    std::size_t fewest = endpoints_;
    for (const Vm& it : vms_) {
      fewest = std::min(fewest, it.registry->EndpointsOf(ServiceId(1)).size());
    }
    return fewest;
  }

  // Adds a VM with an empty registry.
  void AddVm() { vms_.push_back(MakeVm(vms_.size())); }
  // Number of endpoints in the registry of the VM that was added last.
  std::size_t EndpointsOfNewestVm() const {
    return vms_.back().registry->EndpointsOf(ServiceId(1)).size();
  }

 private:
  static Vm MakeVm(std::size_t n) {
    MemberListOptions options;
    options.name = "entry-" + std::to_string(n);
    options.data_center = "one";
    options.peer = PeerOf(n);
    options.seeds = {PeerOf(0), PeerOf(1)};
    Vm vm;
    vm.members = MemberList::Create(options, kSeed + n).value();
    vm.registry = Registry::Create({.data_center = "one"}).value();
    return vm;
  }

  void RenewDueLeases() {
    const auto period = static_cast<std::size_t>(kRenewInterval / kStep);
    const auto step = static_cast<std::size_t>(now_.time_since_epoch() / kStep);
    for (std::size_t n = step % period; n < endpoints_; n += period) {
      Registration registration;
      registration.name = "endpoint-" + std::to_string(n);
      registration.service = ServiceId(1);
      registration.data_center = "one";
      registration.address = {0x0a010000 + static_cast<std::uint32_t>(n), 5683};
      registration.slots = kSlots;
      registration.epoch = 1;
      Vm& vm = vms_[(n + step / period) % vms_.size()];
      vm.registry->Register(now_, registration).value();
    }
  }

  void Tick(std::size_t n) {
    Vm& vm = vms_[n];
    vm.registry->OnTick(now_);
    vm.members->OnTick(now_, *vm.registry, out_);
    EnqueueSent(n);
  }

  void EnqueueSent(std::size_t from) {
    for (const Outbox::Item& it : out_.items()) {
      const ByteSpan bytes = out_.Bytes(it);
      in_flight_.push_back(
          {from, it.to, std::string(bytes.begin(), bytes.end())});
    }
    out_.Clear();
  }

  void Deliver() {
    std::vector<InFlight> arriving = std::exchange(in_flight_, {});
    for (const InFlight& it : arriving) {
      const std::size_t to = it.to.ip - PeerOf(0).ip;
      pb::PeerDatagram datagram;
      if (to >= vms_.size() || !datagram.ParseFromString(it.bytes)) {
        continue;
      }
      vms_[to].members->OnMessage(
          now_, PeerOf(it.from), NodeId(datagram.from()), datagram.membership(),
          *vms_[to].registry, out_);
      EnqueueSent(to);
    }
  }

  // A datagram that the next call of Deliver() delivers.
  struct InFlight {
    std::size_t from;
    SocketAddress to;
    std::string bytes;
  };

  std::size_t endpoints_;
  std::vector<Vm> vms_;
  std::vector<InFlight> in_flight_;
  Outbox out_;
  TimePoint now_{std::chrono::seconds(1)};
};

struct VmCost {
  double bytes_per_second;  // Sent by the busiest VM.
  double cpu_share;         // Share of one core, mean over the VMs.
};

VmCost MeasureVmCost(std::size_t vms, std::size_t endpoints) {
  DataCenter dc(vms, endpoints);
  dc.Run(kSettleTime);
  const std::uint64_t sent = dc.MaxBytesSent();
  const double cpu = ThreadCpuSeconds();
  dc.Run(kMeasuredTime);
  const double seconds = std::chrono::duration<double>(kMeasuredTime).count();
  return {static_cast<double>(dc.MaxBytesSent() - sent) / seconds,
          (ThreadCpuSeconds() - cpu) / seconds / static_cast<double>(vms)};
}

// Returns the seconds until a VM that joins has 90 % of the endpoints in its
// registry.
double MeasureJoinSeconds(std::size_t vms, std::size_t endpoints) {
  DataCenter dc(vms, endpoints);
  dc.Run(kSettleTime);
  dc.AddVm();
  Duration taken{};
  while (dc.EndpointsOfNewestVm() * 10 < endpoints * 9 &&
         taken < kMeasuredTime) {
    dc.Run(kStep * 10);
    taken += kStep * 10;
  }
  return std::chrono::duration<double>(taken).count();
}

}  // namespace

std::vector<Measurement> MeasureMembership() {
  Measurement bytes_by_members{"membership_bytes_by_members",
                               "Membership traffic of the busiest entry VM",
                               "entry VMs",
                               "B/s",
                               {}};
  Measurement cpu_by_members{"membership_cpu_by_members",
                             "Membership processor time of an entry VM",
                             "entry VMs",
                             "% of a core",
                             {}};
  for (const std::size_t n : {7, 15, 30, 55, 80}) {
    const VmCost cost = MeasureVmCost(n, 50);
    const auto size = static_cast<double>(n);
    bytes_by_members.points.push_back({size, cost.bytes_per_second});
    cpu_by_members.points.push_back({size, cost.cpu_share * 100});
  }
  Measurement bytes_by_endpoints{"membership_bytes_by_endpoints",
                                 "Membership and lease traffic, 55 entry VMs",
                                 "endpoints",
                                 "B/s",
                                 {}};
  Measurement join{"join_by_endpoints",
                   "Time until a VM that joins has 90 % of the leases",
                   "endpoints",
                   "s",
                   {}};
  for (const std::size_t n : {50, 100, 200, 345, 500}) {
    const auto size = static_cast<double>(n);
    bytes_by_endpoints.points.push_back(
        {size, MeasureVmCost(55, n).bytes_per_second});
    join.points.push_back({size, MeasureJoinSeconds(55, n)});
  }
  return {bytes_by_members, cpu_by_members, bytes_by_endpoints, join};
}

std::vector<Measurement> MeasureRegistry() {
  Measurement memory{
      "registry_bytes", "Memory of the registry", "endpoints", "B", {}};
  for (const std::size_t n : {500, 1000, 2000, 4000}) {
    const double before = AllocatedHeapBytes();
    const auto registry = Registry::Create({.data_center = "one"}).value();
    for (std::size_t i = 0; i < n; ++i) {
      Registration it;
      it.name = "endpoint-" + std::to_string(i);
      it.service = ServiceId(static_cast<std::uint32_t>(1 + i % 20));
      it.data_center = "one";
      it.address = {0x0a010000 + static_cast<std::uint32_t>(i), 5683};
      it.slots = kSlots;
      it.epoch = 1;
      registry->Register(TimePoint{std::chrono::seconds(1)}, it).value();
    }
    memory.points.push_back(
        {static_cast<double>(n), AllocatedHeapBytes() - before});
  }
  return {memory};
}

}  // namespace vanillalatch
