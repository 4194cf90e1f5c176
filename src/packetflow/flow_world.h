// Simulates a fleet in virtual time, for tests of flows whose packets are
// forwarded: callers, entry VMs, one control VM, endpoints, and the network
// between them. The entry VMs are real FlowNodes. As packets are opaque to
// them, a packet's content is just the number of its flow.
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
    std::string name;  // Instance id in hexadecimal.
    std::string service;
    std::string data_center;
    SocketAddress address;
    std::uint32_t slots = 3;
    std::uint64_t epoch = 1;
    Duration work = std::chrono::milliseconds(20);  // Mean time per request.
    bool silent = false;                            // Ignores every packet.
    bool leaving = false;                           // Registered as leaving.
    TimePoint warm_at{};                            // As its heartbeats say.
    std::size_t running = 0;   // Requests that occupy a slot.
    std::size_t openings = 0;  // Opening packets received.
    // When each of them was received, and the VM that sent it.
    std::vector<std::pair<TimePoint, std::size_t>> arrivals;
    std::set<int> assigned;   // Opened flows whose request is not done.
    std::size_t peak = 0;     // Largest number of them so far.
    std::size_t served = 0;   // Requests completed.
    std::queue<int> waiting;  // Flows whose request waits for a slot.
    std::set<int> flows;      // Flows whose request was received.
  };
  struct Flow {
    FlowPacket packet;
    std::size_t vm = 0;  // The entry VM that receives its packets.
    TimePoint opened;
    std::optional<TimePoint> answered;  // When the caller received the answer.
    std::set<std::string> accepted_by;  // Endpoints that accepted the flow.
    std::string endpoint;               // The first of them.
    std::size_t requests = 1;           // That the caller still sends.
    Duration gap{};             // Between an answer and the next request.
    bool acknowledges = false;  // The caller sends OpenLong()'s extra packets.
    bool reset = false;   // The caller was notified that it is not opened.
    bool failed = false;  // No endpoint accepted it, and it was not reset.
  };

  explicit FlowWorld(std::uint64_t seed);

  // Sets the data centres, the one-way delay that a packet between two of them
  // takes in addition, and the rate of the VMs' links. To be called before
  // AddVms().
  void SetDataCenters(std::vector<std::string> names, Duration delay,
                      double link_mbit_per_s);
  // Starts entry VMs, in each data centre in turn, and the control VM. The data
  // centres are north and south unless SetDataCenters() was called.
  // Only the first `running` VMs are started if it is given.
  void AddVms(std::size_t count,
              std::optional<std::size_t> running = std::nullopt);
  void StartVm(std::size_t n);
  // Makes a VM fail without notice.
  void KillVm(std::size_t n) { vms_[n] = nullptr; }
  // Makes a VM neither read nor send anything until ThawVm(). It then reads
  // what has arrived; `timer_first`: its timer runs before it does so.
  void FreezeVm(std::size_t n) { frozen_[n].since = now_; }
  void ThawVm(std::size_t n, bool timer_first);
  // Begins a planned stop of a VM.
  void StopVm(std::size_t n);
  // Creates a catalog with one route per service name. The route "urgent" has
  // urgency 0 and leads to the service "records", every other route has urgency
  // 1 and leads to the service of its name. The catalog has revision `version`.
  void SetRoutes(std::uint64_t version,
                 const std::vector<std::string>& services,
                 std::uint32_t latency_ms);
  // Creates a catalog of the next revision in which a route leads to another
  // service.
  void MoveRoute(const std::string& route, const std::string& service);
  // Bounds the flows of a service's cold endpoints in later catalogs.
  void SetWarmUp(const std::string& service, Duration duration, double rate);
  // Creates a catalog of the next revision with these data centres evacuated.
  void SetEvacuated(const std::vector<std::string>& data_centers);
  // Sends the last catalog to one VM, or to all.
  void Publish(std::optional<std::size_t> vm = std::nullopt);
  // Sends the endpoints that the control VM has registered to one VM.
  // `complete`: the control VM reports that these are all.
  void SendEndpoints(std::size_t vm, bool complete = true);
  FakeEndpoint& AddEndpoint(const std::string& name, const std::string& service,
                            const std::string& data_center);
  FakeEndpoint& At(const std::string& name) { return endpoints_.at(name); }
  // Renews the leases of all endpoints that are not silent.
  void RegisterEndpoints();
  // Registers an endpoint as leaving.
  void Leave(const std::string& name);
  // Drops the datagrams between VM `a` and VM `b`; the control VM is -1.
  void Disconnect(int a, int b) {
    disconnected_.insert({a, b});
    disconnected_.insert({b, a});
  }
  // Drops the datagrams between a data centre and everything outside of it,
  // except those of callers.
  void CutOff(const std::string& data_center) { cut_off_ = data_center; }
  void Heal() {
    disconnected_.clear();
    cut_off_.clear();
  }
  // While set, a VM receives no news of the members: membership messages to it
  // are dropped.
  void DropNews(std::size_t vm, bool drop) {
    drop ? (void)uninformed_.insert(static_cast<int>(vm))
         : (void)uninformed_.erase(static_cast<int>(vm));
  }
  // Drops the reports of load that shards send to each other.
  void set_drop_loads(bool drop) { drop_loads_ = drop; }

  // Opens a flow through a VM and returns its number. Until an endpoint accepts
  // the flow, the caller retransmits the opening packet; then it sends one
  // request, and ends the flow after the answer.
  int Open(const std::string& service, std::size_t vm);
  // Opens a flow on which the caller sends `requests` requests, each `gap`
  // after the answer to the previous one. As transports do, the caller
  // acknowledges the handshake and each answer with a packet of its own.
  int OpenLong(const std::string& service, std::size_t vm, std::size_t requests,
               Duration gap);
  // Makes the flow's further packets reach another VM.
  void Reroute(int flow, std::size_t vm) { flows_[flow].vm = vm; }
  const Flow& FlowOf(int flow) const { return flows_.at(flow); }
  const std::map<int, Flow>& flows() const { return flows_; }

  // Advances the virtual time.
  void Run(Duration time);
  TimePoint now() const { return now_; }
  FlowNode& Vm(std::size_t n) { return *vms_[n]; }
  bool IsRunning(std::size_t n) const { return vms_[n] != nullptr; }
  const pb::Catalog& catalog() const { return catalog_; }
  // Data centre of a VM; empty for the control VM.
  std::string DataCenterOf(int vm) const {
    return vm < 0 ? std::string()
                  : data_centers_[static_cast<std::size_t>(vm) %
                                  data_centers_.size()];
  }
  // Index of the VM that is the dispatcher of a service.
  std::size_t DispatcherIndex(const std::string& service) const;
  // Index of the VM that is the dispatcher of a service in one data centre.
  std::size_t DispatcherIndex(const std::string& service,
                              const std::string& data_center) const;
  // While set, answers of endpoints do not reach their callers.
  void set_hold_answers(bool hold) { hold_answers_ = hold; }
  // Sets the size of opening packets; the default is a few bytes.
  void set_opening_bytes(std::size_t n) { opening_bytes_ = n; }
  // Sets FlowNodeOptions::link_mbit_per_s of the VMs started from now on to
  // this rate in bytes a second.
  void set_link_rate(std::uint64_t rate) {
    link_mbit_per_s_ = static_cast<double>(rate) / 125'000;
  }
  // Connects every VM through a link of this rate in each direction, with a
  // queue of at most 100 ms; further datagrams are dropped.
  void SetLinks(std::uint64_t bytes_per_second);
  // Called for each datagram that a VM sends to another one. The control VM has
  // the index -1.
  using Tap = std::function<void(int from, int to, ByteSpan bytes)>;
  void set_tap(Tap tap) { tap_ = std::move(tap); }

 private:
  using Callback = std::function<void()>;
  // One direction of a VM's link.
  struct Link {
    std::size_t vm = 0;
    bool inbound = false;
    TimePoint free_at;  // When the last datagram in the queue has passed.
  };
  struct Frozen {
    TimePoint since;
    std::vector<Callback> unread;  // What has arrived, in order.
  };
  struct Event {
    TimePoint at;
    std::uint64_t order;  // Orders events of the same time.
    Callback run;
    bool operator<(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  static SocketAddress PeerOf(int vm);
  static SocketAddress RouteOf(const std::string& service);
  void After(Duration delay, Callback run);
  void Tick();
  void TickVm(std::size_t n);
  // Runs `read`, or stores it until the VM thaws.
  void Read(std::size_t vm, const Callback& read);
  void RenewLeases();
  void Deliver(int from, Outbox& out);
  // Runs `then` when a datagram of `bytes` has passed the link of a VM, or
  // never if the queue is full. At once without links, and for the control VM.
  void PassLink(int vm, bool inbound, std::size_t bytes, Callback then);
  void OnPeerDatagram(int from, int to, const std::vector<std::uint8_t>& bytes);
  void PerformActions(std::size_t vm);
  void SendOpening(int flow, std::uint32_t copy);
  void ReceiveOpening(int flow, std::uint32_t copy, std::size_t vm);
  void SendPacket(int flow, bool carries_data, bool ends);
  void ForwardPacket(int flow, const FlowPacket& packet);
  // Has the caller send its next request, or end the flow after the last one.
  void Continue(int flow);
  void OnAnswer(int flow);
  // Sends a packet from a VM to an endpoint.
  void SendToEndpoint(std::size_t vm, const std::string& name,
                      const FlowPacket& packet, int flow, std::size_t bytes);
  // `vm`: the VM that sent the packet.
  void DeliverToEndpoint(const std::string& name, FlowPacket packet, int flow,
                         std::size_t vm);
  void Serve(FakeEndpoint& endpoint);
  void Reset(int flow);
  static int ParseFlowNumber(const std::string& packet) {
    return std::stoi(packet);
  }

  std::mt19937_64 random_;
  TimePoint now_{std::chrono::seconds(100)};
  std::uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  std::vector<std::unique_ptr<FlowNode>> vms_;
  std::map<std::size_t, Frozen> frozen_;
  std::uint64_t starts_ = 0;
  std::unique_ptr<PeerNode> control_;
  pb::Catalog catalog_;
  std::map<std::string, FakeEndpoint> endpoints_;
  std::map<int, Flow> flows_;
  int next_flow_ = 0;
  std::set<std::pair<int, int>> disconnected_;
  std::set<int> uninformed_;
  std::string cut_off_;  // Empty: none.
  bool drop_loads_ = false;
  std::vector<std::string> data_centers_{"north", "south"};
  Duration delay_between_data_centers_{};
  double link_mbit_per_s_ = 0;
  bool hold_answers_ = false;
  std::size_t opening_bytes_ = 0;
  double link_bytes_per_second_ = 0;
  std::vector<Link> links_;  // Two for each VM: outbound, inbound.
  Tap tap_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_PACKETFLOW_FLOW_WORLD_H_
