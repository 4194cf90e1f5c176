// Implements the flow logic of one entry VM: decides where each packet of a
// flow goes, and exchanges messages with the other entry VMs about opening
// packets and the progress of flows. Performs no I/O; payloads are opaque.
//
// The entry VM that receives a packet from a caller is its ingress. The ingress
// of an opening packet hands it over to the dispatcher of its service, an entry
// VM that all VMs derive from the membership, unless it is the dispatcher
// itself. A dispatcher whose data about endpoints is less complete than that of
// the ingress, or whose catalog is older, declines the packet; the ingress then
// hands it over to the VM that ranks next, or places the flow itself. If the
// ingress does not know the endpoints yet, it parks the packet, which then
// waits for a limited time until they are known.
//
// A service whose messages exceed the link of one VM is sharded: each data
// centre has a dispatcher for its own endpoints. The ingress hands an opening
// packet over to the dispatcher of its own data centre, which may answer with
// another data centre that has free slots; see src/packetflow/shard.h.
//
//   auto node = FlowNode::Create(options, seed).value();
//   node->OnCatalog(now, catalog);
//   FlowVerdict verdict = node->OnPacket(now, packet, bytes);
//   if (verdict.kind == FlowVerdict::Kind::kForward) Send(*verdict.target);
//   node->Flush(now, out);  // Once after each batch of packets.
//   FlowNodeActions actions = node->TakeActions();
#ifndef VANILLALATCH_PACKETFLOW_FLOW_NODE_H_
#define VANILLALATCH_PACKETFLOW_FLOW_NODE_H_

#include <memory>
#include <string>
#include <vector>

#include "catalog.pb.h"
#include "control.pb.h"
#include "vanillalatch/base/outbox.h"
#include "vanillalatch/packetflow/endpoint_table.h"
#include "vanillalatch/packetflow/flow_dispatcher.h"
#include "vanillalatch/packetflow/packet.h"
#include "vanillalatch/packetflow/peer_node.h"
#include "vanillalatch/packetflow/route_table.h"

namespace vanillalatch {

struct FlowNodeOptions {
  MemberListOptions members;
  // Flows that arrive through this VM prefer endpoints in this data centre.
  std::string data_center;
  FlowDispatcherOptions dispatcher;
  // Rate of an entry VM's link in each direction, the same on all entry VMs. A
  // service with more load than one VM's link can carry gets a dispatcher in
  // each data centre. Reports of progress wait up to 5 ms to share datagrams,
  // and a missing answer is no evidence of silence while the link is full or if
  // the round trip to the dispatcher has become longer. Sets
  // dispatcher.limit_moves. 0: unknown; each service has one dispatcher, and
  // nothing of this applies.
  double link_mbit_per_s = 0;
};

// What is to be done with a packet.
struct FlowVerdict {
  enum class Kind : std::uint8_t {
    kForward,  // Forward it unchanged to `target`.
    kReset,    // Notify the caller that the flow does not exist.
    kDrop,     // Drop it without a notification.
    kPending,  // Nothing yet: this is an opening packet. The decision appears
               // in the actions of the VM that places or refuses the flow.
  };
  Kind kind = Kind::kDrop;
  const FlowTarget* target = nullptr;  // Only for kForward.
};

// A decision of an ingress about an opening packet, for the log.
struct IngressEvent {
  enum class Kind : std::uint8_t {
    // The dispatcher did not acknowledge the packet; this VM places the flow.
    kDispatcherSilent,
    // The dispatcher declined the packet: its data about endpoints is less
    // complete than this VM's, or its catalog is older.
    kDeclined,
    // This VM's data about endpoints is incomplete; the packet waits.
    kParked,
  };
  Kind kind = Kind::kParked;
  SocketAddress caller;
  SocketAddress route;
  std::uint32_t sequence = 0;
  NodeId dispatcher;  // 0: the packet was not handed over to any VM.
};

// This VM starts or ends to treat a data centre as evacuated.
struct EvacuationEvent {
  std::string data_center;
  bool evacuated = false;
  std::uint64_t revision = 0;  // Of the catalog that contains the change.
  bool from_peer = false;      // By a peer's notice; the catalog is older.
};

// This VM's link became full: datagrams wait in a queue, in front of it or
// behind it. Missing answers are no evidence of silence meanwhile.
struct LinkLate {
  Duration receive_queue{};  // How long a datagram waits, as estimated.
  Duration send_queue{};
};

// A service was divided into shards, each with a dispatcher, or united.
struct ShardingChange {
  std::string service;                    // Its name.
  std::vector<std::string> data_centers;  // Of the shards; empty if united.
};

// What the owner of a FlowNode has to do.
struct FlowNodeActions {
  std::vector<FlowEvent> flow_events;
  std::vector<IngressEvent> ingress_events;
  std::vector<ShardingChange> sharding_changes;
  // Send an opening packet to an endpoint.
  struct Placement {
    FlowTarget target;   // Write its cookie into the packet.
    std::string packet;  // The opening packet as the caller sent it.
  };
  std::vector<Placement> placements;
  std::vector<FlowRefusal> refusals;
  std::vector<EndpointSilence> silences;
  std::vector<EvacuationEvent> evacuation_events;
  std::vector<LinkLate> link_events;
};

// Bytes of the messages between entry VMs, by kind.
struct PeerTraffic {
  std::uint64_t openings = 0;
  std::uint64_t taken = 0;  // Acknowledgements of openings.
  std::uint64_t seen = 0;   // Reports of progress.
  std::uint64_t ends = 0;
  // Membership messages, and what belongs to no item: the headers, including
  // those of IP and UDP, and the sender.
  std::uint64_t other = 0;
};

// Totals since the node was created.
struct FlowNodeCounters {
  std::uint64_t packets = 0;  // Decoded packets from callers.
  std::uint64_t forwarded = 0;
  std::uint64_t unknown_route = 0;
  std::uint64_t unknown_endpoint = 0;  // Dropped: no endpoint has the cookie.
  // Opening packets and waiting flows handed over to another VM.
  std::uint64_t handed_over = 0;
  // Opening packets placed here because the dispatcher did not acknowledge
  // them.
  std::uint64_t placed_alone = 0;
  std::uint64_t malformed = 0;  // Datagrams that are no packets of flows.
  std::uint64_t declined = 0;   // Opening packets that this VM declined.
  // Opening packets received before the endpoints were known.
  std::uint64_t parked = 0;
  PeerTraffic received;
  PeerTraffic sent;
  // Opening packets that this VM, as a shard's dispatcher, passed on to another
  // data centre: flows would have waited here for longer than the way there, or
  // no endpoint here was usable.
  std::uint64_t passed_on_full = 0;
  std::uint64_t passed_on_no_endpoint = 0;
  // Opening packets that were passed on, did not reach the dispatcher there and
  // returned.
  std::uint64_t returned = 0;
  // Opening packets that had waited in front of this VM for too long, and flows
  // in its queue whose copies may have been placed elsewhere meanwhile.
  std::uint64_t too_late = 0;
};

class FlowNode {
 public:
  // Creates a node; `seed` makes its random selections reproducible.
  // Errors: those of PeerNode::Create() and FlowDispatcher::Create().
  static Result<std::unique_ptr<FlowNode>> Create(FlowNodeOptions options,
                                                  std::uint64_t seed);
  virtual ~FlowNode() = default;

  // Puts a catalog in force. A catalog whose revision is not higher than that
  // of the one in force is ignored.
  virtual void OnCatalog(TimePoint now, const pb::Catalog& catalog) = 0;
  // Revision of the catalog in force; 0 before the first one.
  virtual std::uint64_t revision() const = 0;
  // Merges endpoints that a control VM reports. `complete`: the control VM
  // reports that these are all registered endpoints. The node becomes ready if
  // `complete` is true, `updates` is not empty and a catalog is in force.
  virtual void OnEndpoints(TimePoint now,
                           const std::vector<pb::LeaseUpdate>& updates,
                           bool complete) = 0;

  // Sets for how long what the following calls of OnPacket() and OnPeer()
  // receive may have waited in front of this VM, and unread answers may wait
  // during OnTick(). Opening packets that have waited for too long open nothing
  // here: other VMs may have placed their flows meanwhile.
  virtual void SetReceiveDelay(TimePoint now, Duration bound) = 0;
  // Processes a caller's packet. `packet` is its decoded header, `bytes` the
  // packet as the caller sent it. The target in the result is valid until the
  // next call of a non-const function.
  virtual FlowVerdict OnPacket(TimePoint now, const FlowPacket& packet,
                               ByteSpan bytes) = 0;
  // Counts a datagram from a caller that is no packet of a flow.
  virtual void OnMalformed() = 0;
  // Processes a datagram from another VM.
  virtual void OnPeer(TimePoint now, SocketAddress from, ByteSpan bytes,
                      Outbox& out) = 0;
  // Records what this VM's sockets have received and sent since the previous
  // call, in bytes with the headers of the datagrams. No effect if the rate of
  // the link is unknown.
  virtual void OnTraffic(TimePoint now, std::uint64_t received,
                         std::uint64_t sent) = 0;
  // Processes timeouts and sends membership messages that are due.
  virtual void OnTick(TimePoint now, Outbox& out) = 0;
  // The time at which OnTick() has to be called next.
  virtual TimePoint NextWake() const = 0;
  // Sends the messages to other VMs that are due. Those that are not due yet
  // count for NextWake().
  virtual void Flush(TimePoint now, Outbox& out) = 0;
  // Returns and clears the accumulated actions.
  virtual FlowNodeActions TakeActions() = 0;
  // Returns and clears the timings of flows that were placed here. Timings are
  // dropped if too many accumulate between two calls; the latest ones remain.
  virtual std::vector<FlowTiming> TakeTimings() = 0;

  // True if the catalog and the endpoints are known, so that the VM can receive
  // callers' packets.
  virtual bool Ready() const = 0;
  // Begins a planned stop: announces it to the peers and hands over waiting
  // flows to other VMs. The node still processes packets.
  virtual void BeginStop(TimePoint now, Outbox& out) = 0;

  // The evacuated data centres that this VM applies.
  virtual const EvacuationState& evacuations() const = 0;
  // Number of endpoints to which packets can be forwarded.
  virtual std::size_t endpoints() const = 0;
  // The open flows that were placed here, for each data centre that the catalog
  // in force evacuates.
  virtual std::vector<pb::OpenFlows> OpenFlows() const = 0;
  virtual const PeerNode& peers() const = 0;
  virtual const FlowNodeCounters& counters() const = 0;
  virtual const FlowDispatcherCounters& dispatcher_counters() const = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_PACKETFLOW_FLOW_NODE_H_
