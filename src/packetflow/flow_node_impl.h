// The one implementation of FlowNode. Its parts stand in two files:
// flow_node.cc (packets, peers, endpoints, time) and flow_openings.cc (which VM
// places an opening packet).
#ifndef VANILLALATCH_SRC_PACKETFLOW_FLOW_NODE_IMPL_H_
#define VANILLALATCH_SRC_PACKETFLOW_FLOW_NODE_IMPL_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/packetflow/dispatcher_choice.h"
#include "vanillalatch/packetflow/flow_node.h"

namespace vanillalatch::internal {

class FlowNodeImpl final : public FlowNode {
 public:
  FlowNodeImpl(std::string data_center, std::unique_ptr<PeerNode> peers,
               std::unique_ptr<FlowDispatcher> dispatcher)
      : data_center_(std::move(data_center)),
        peers_(std::move(peers)),
        dispatcher_(std::move(dispatcher)) {}

  void OnCatalog(TimePoint now, const pb::Catalog& catalog) override;
  std::uint64_t revision() const override { return revision_; }
  void OnEndpoints(TimePoint now, const std::vector<pb::LeaseUpdate>& updates,
                   bool whole) override;
  FlowVerdict OnPacket(TimePoint now, const FlowPacket& packet,
                       ByteSpan bytes) override;
  void OnMalformed() override { ++counters_.malformed; }
  void OnPeer(TimePoint now, SocketAddress from, ByteSpan bytes,
              Outbox& out) override;
  void OnTick(TimePoint now, Outbox& out) override;
  TimePoint NextWake() const override;
  void Finish(TimePoint now, Outbox& out) override;
  FlowNodeActions TakeActions() override;
  std::vector<FlowTiming> TakeTimings() override {
    return std::exchange(timings_, {});
  }
  bool Ready() const override { return settled_; }
  void BeginStop(TimePoint now, Outbox& out) override;
  std::size_t endpoints() const override { return endpoints_.size(); }
  const PeerNode& peers() const override { return *peers_; }
  const FlowNodeCounters& counters() const override { return counters_; }
  const FlowDispatcherCounters& dispatcher_counters() const override {
    return dispatcher_->counters();
  }

 private:
  // An opening that a dispatcher was asked to take.
  struct Asked {
    FlowOpening opening;
    NodeId dispatcher;
    TimePoint due;  // This VM decides alone then.
  };

  struct Parked {
    FlowOpening opening;
    TimePoint due;
  };

  void Note(IngressNote::Kind kind, const FlowOpening& opening,
            NodeId dispatcher) {
    ingress_notes_.push_back(
        {kind, opening.caller, opening.route, opening.sequence, dispatcher});
  }
  void OpenFlow(TimePoint now, const FlowRoute& route, const FlowPacket& packet,
                ByteSpan bytes);
  // The VM that places a service's flows; this one if no other is in reach.
  NodeId DispatcherFor(TimePoint now, ServiceId service) const {
    return choice_.For(now, service, peers_->members().members(), self());
  }
  // The VM that placed the flow, as far as this one knows; else the one that
  // would place it now.
  NodeId PlacerOf(TimePoint now, FlowId id, ServiceId service) const;
  // Places the opening here, or has another VM do so.
  void Direct(TimePoint now, FlowOpening opening);
  void HandOver(TimePoint now, FlowOpening opening, NodeId to);
  void ReleaseParked(TimePoint now);
  void Place(TimePoint now, FlowOpening opening);
  // Tells the dispatcher what the caller of an open flow does.
  void TellProgress(TimePoint now, const FlowPacket& packet,
                    const FlowRoute& route, const FlowTarget& target);
  void OnSeen(TimePoint now, const pb::FlowSeen& message);
  void EndFlow(TimePoint now, const FlowPacket& packet, ServiceId service);
  void OnOpening(TimePoint now, NodeId from, const pb::FlowOpening& message);
  // The opening as this VM's catalog has it; nullopt if the route is gone.
  std::optional<FlowOpening> Reviewed(const pb::FlowOpening& message);
  void RetryAsked(TimePoint now);
  void OnTaken(TimePoint now, NodeId from, const pb::FlowTaken& message);
  void NoteSettled(TimePoint now);
  void UpdateEndpoints(TimePoint now);
  void NoteDispatchers(TimePoint now);
  // Services whose dispatcher is another VM now: what waits goes there.
  void MoveWaiting(TimePoint now);
  NodeId self() const { return peers_->members().self(); }
  pb::FlowMessage& MessageTo(NodeId to) { return messages_[to]; }

  std::string data_center_;
  std::unique_ptr<PeerNode> peers_;
  std::unique_ptr<FlowDispatcher> dispatcher_;
  std::uint64_t revision_ = 0;
  RouteTable routes_;
  EndpointTable endpoints_;
  std::map<ServiceId, std::uint64_t> endpoint_versions_;
  std::uint64_t members_version_ = 0;
  std::map<FlowId, Asked> asked_;
  std::map<FlowId, Parked> parked_;
  DispatcherChoice choice_;
  std::map<ServiceId, NodeId> first_dispatchers_;  // Rank 0 as last known.
  // Every service has had an endpoint since then.
  std::optional<TimePoint> complete_since_;
  bool settled_ = false;
  std::map<NodeId, pb::FlowMessage> messages_;
  FlowWatch watch_;
  TimePoint generation_due_{};
  TimePoint forget_due_{};
  FlowActions actions_;
  std::vector<IngressNote> ingress_notes_;
  // Asked for each second; three for each flow of the busiest service.
  static constexpr std::size_t kMostTimings = 10'000;
  std::vector<FlowTiming> timings_;
  FlowNodeCounters counters_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_PACKETFLOW_FLOW_NODE_IMPL_H_
