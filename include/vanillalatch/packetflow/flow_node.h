// One entry VM that carries the packets of flows: where each packet goes, and
// what it tells the other entry VMs. No I/O; the bytes of a packet are opaque.
//
//   auto node = FlowNode::Create(options, seed).value();
//   node->OnCatalog(now, catalog);
//   FlowVerdict verdict = node->OnPacket(now, packet, bytes);
//   if (verdict.kind == FlowVerdict::Kind::kForward) Send(*verdict.target);
//   node->Finish(now, out);               // Once a batch of packets.
//   FlowNodeActions actions = node->TakeActions();
#ifndef VANILLALATCH_PACKETFLOW_FLOW_NODE_H_
#define VANILLALATCH_PACKETFLOW_FLOW_NODE_H_

#include <memory>
#include <string>
#include <vector>

#include "catalog.pb.h"
#include "vanillalatch/base/outbox.h"
#include "vanillalatch/packetflow/endpoint_table.h"
#include "vanillalatch/packetflow/flow_dispatcher.h"
#include "vanillalatch/packetflow/packet.h"
#include "vanillalatch/packetflow/peer_node.h"
#include "vanillalatch/packetflow/route_table.h"

namespace vanillalatch {

struct FlowNodeOptions {
  MemberListOptions members;
  std::string data_center;  // Whose endpoints this VM's callers prefer.
  FlowDispatcherOptions dispatcher;
};

// What happens to a packet at once.
struct FlowVerdict {
  enum class Kind : std::uint8_t {
    kForward,  // To `target`, unchanged.
    kReset,    // The caller is told that the flow is not there.
    kDrop,     // Nobody is told.
    kTaken,    // An opening packet; the decision follows in the actions.
  };
  Kind kind = Kind::kDrop;
  const FlowTarget* target = nullptr;  // kForward
};

// What an ingress decided about an opening packet, for the log.
struct IngressNote {
  enum class Kind : std::uint8_t {
    kDispatcherSilent,  // It did not answer; this VM places the flow.
    kDeclined,          // The dispatcher knows too little to place it yet.
    kParked,            // This VM knows too little; the packet waits.
  };
  Kind kind = Kind::kParked;
  SocketAddress caller;
  SocketAddress route;
  std::uint32_t sequence = 0;
  NodeId dispatcher;  // 0: none was asked.
};

struct FlowNodeActions {
  std::vector<FlowNote> flow_notes;
  std::vector<IngressNote> ingress_notes;
  struct Place {
    FlowTarget target;   // Its cookie is to be written into the packet.
    std::string packet;  // An opening packet.
  };
  std::vector<Place> places;
  std::vector<FlowRefusal> refusals;
  std::vector<EndpointSilence> silences;
};

struct FlowNodeCounters {
  std::uint64_t packets = 0;
  std::uint64_t forwarded = 0;
  std::uint64_t unknown_route = 0;
  std::uint64_t unknown_endpoint = 0;  // Dropped: no such cookie.
  std::uint64_t handed_over = 0;       // Opening packets, to a dispatcher.
  std::uint64_t placed_alone = 0;      // No dispatcher answered.
  std::uint64_t malformed = 0;         // No packets of a flow.
  std::uint64_t declined = 0;          // Openings that are for others to place.
  std::uint64_t parked = 0;            // Came before the endpoints were known.
};

class FlowNode {
 public:
  // Errors: those of PeerNode::Create() and FlowDispatcher::Create().
  static Result<std::unique_ptr<FlowNode>> Create(FlowNodeOptions options,
                                                  std::uint64_t seed);
  virtual ~FlowNode() = default;

  // Takes a catalog into force. One that is not newer changes nothing.
  virtual void OnCatalog(TimePoint now, const pb::Catalog& catalog) = 0;
  virtual std::uint64_t revision() const = 0;
  // Endpoints as a control VM knows them. `whole`: it has heard all there are.
  virtual void OnEndpoints(TimePoint now,
                           const std::vector<pb::LeaseUpdate>& updates,
                           bool whole) = 0;

  virtual FlowVerdict OnPacket(TimePoint now, const FlowPacket& packet,
                               ByteSpan bytes) = 0;
  // A datagram came that is no packet of a flow.
  virtual void OnMalformed() = 0;
  virtual void OnPeer(TimePoint now, SocketAddress from, ByteSpan bytes,
                      Outbox& out) = 0;
  virtual void OnTick(TimePoint now, Outbox& out) = 0;
  virtual TimePoint NextWake() const = 0;
  // Sends what packets and peers' messages have left to tell others.
  virtual void Finish(TimePoint now, Outbox& out) = 0;
  virtual FlowNodeActions TakeActions() = 0;
  // What flows placed here took since this was asked last; the latest ones, if
  // they are many.
  virtual std::vector<FlowTiming> TakeTimings() = 0;

  // Catalog and endpoints are known: callers' packets may come.
  virtual bool Ready() const = 0;
  // Hands what waits here to other VMs; packets are still carried.
  virtual void BeginStop(TimePoint now, Outbox& out) = 0;

  // Endpoints that packets can be sent to.
  virtual std::size_t endpoints() const = 0;
  virtual const PeerNode& peers() const = 0;
  virtual const FlowNodeCounters& counters() const = 0;
  virtual const FlowDispatcherCounters& dispatcher_counters() const = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_PACKETFLOW_FLOW_NODE_H_
