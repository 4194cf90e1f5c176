// Callers, entry VMs, one control VM and endpoints of a fleet in virtual time,
// for tests of packet-carried flows. Packets are opaque to the entry VMs; here
// they are only numbered.
//
//   FlowWorld world(1);
//   world.AddVms(3);
//   world.AddEndpoint("a1", "records", "north");
//   world.Run(std::chrono::seconds(4));
//   int flow = world.Open("records", 0);
#ifndef VANILLALATCH_SRC_PACKETFLOW_FLOW_WORLD_H_
#define VANILLALATCH_SRC_PACKETFLOW_FLOW_WORLD_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "vanillalatch/packetflow/flow_node.h"

namespace vanillalatch {

class FlowWorld {
 public:
  struct FakeEndpoint {
    std::string name;  // Hexadecimal.
    std::string service;
    std::string data_center;
    SocketAddress address;
    std::uint32_t slots = 3;
    std::uint64_t epoch = 1;
    Duration work = std::chrono::milliseconds(20);
    bool silent = false;
    bool leaving = false;
    std::size_t running = 0;
    std::size_t openings = 0;  // Opening packets that came.
    std::size_t served = 0;
    std::queue<int> waiting;
    std::set<int> flows;  // Answered by it.
  };
  struct Flow {
    FlowPacket packet;
    std::size_t vm = 0;  // The entry VM that its packets reach.
    TimePoint opened;
    std::optional<TimePoint> answered;
    std::set<std::string> accepted_by;  // Endpoints that answered its opening.
    std::string endpoint;               // The first of them.
    bool reset = false;
    bool failed = false;  // No answer to its opening packets.
  };

  explicit FlowWorld(std::uint64_t seed);

  // Entry VMs in turn in data centres north and south, and the control VM.
  void AddVms(std::size_t count);
  void StartVm(std::size_t n);
  void KillVm(std::size_t n) { vms_[n] = nullptr; }
  void StopVm(std::size_t n);
  void SetRoutes(std::uint64_t version,
                 const std::vector<std::string>& services,
                 std::uint32_t latency_ms);
  // Gives the catalog in force to one VM, or to all.
  void Publish(std::optional<std::size_t> vm = std::nullopt);
  // Tells one VM the endpoints that the control VM knows. `whole`: these are
  // all.
  void GiveEndpoints(std::size_t vm, bool whole = true);
  FakeEndpoint& AddEndpoint(const std::string& name, const std::string& service,
                            const std::string& data_center);
  FakeEndpoint& At(const std::string& name) { return endpoints_.at(name); }
  void Leave(const std::string& name);
  // Datagrams between VM `a` and VM `b` are lost; the control VM is -1.
  void Cut(int a, int b) {
    cuts_.insert({a, b});
    cuts_.insert({b, a});
  }
  void Heal() { cuts_.clear(); }

  // Opens a flow through a VM; the caller sends copies, then one request.
  int Open(const std::string& service, std::size_t vm);
  // The flow's packets reach another VM from now on.
  void Reroute(int flow, std::size_t vm) { flows_[flow].vm = vm; }
  const Flow& FlowOf(int flow) const { return flows_.at(flow); }
  const std::map<int, Flow>& flows() const { return flows_; }

  void Run(Duration time);
  TimePoint now() const { return now_; }
  FlowNode& Vm(std::size_t n) { return *vms_[n]; }
  std::size_t DispatcherIndex(const std::string& service) const;
  void set_hold_answers(bool hold) { hold_answers_ = hold; }

 private:
  using Work = std::function<void()>;
  struct Event {
    TimePoint at;
    std::uint64_t order;
    Work run;
    bool operator<(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  static SocketAddress PeerOf(int vm);
  static SocketAddress RouteOf(const std::string& service);
  void After(Duration delay, Work run);
  void Tick();
  void Beat();
  void Deliver(int from, Outbox& out);
  void CarryOut(std::size_t vm);
  void SendOpening(int flow, std::uint32_t copy);
  void SendPacket(int flow, bool ends);
  void ArriveAtEndpoint(const std::string& name, FlowPacket packet, int flow);
  void Serve(FakeEndpoint& endpoint);
  void Reset(int flow);
  static int FlowIn(const std::string& packet) { return std::stoi(packet); }

  std::mt19937_64 random_;
  TimePoint now_{std::chrono::seconds(100)};
  std::uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  std::vector<std::unique_ptr<FlowNode>> vms_;
  std::uint64_t starts_ = 0;
  std::unique_ptr<PeerNode> control_;
  pb::Catalog catalog_;
  std::map<std::string, FakeEndpoint> endpoints_;
  std::map<int, Flow> flows_;
  int next_flow_ = 0;
  std::set<std::pair<int, int>> cuts_;
  bool hold_answers_ = false;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_PACKETFLOW_FLOW_WORLD_H_
