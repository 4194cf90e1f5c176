// Implements FlowNode in six files: flow_node.cc (packets, peers, endpoints,
// timers), flow_node_openings.cc (which VM places an opening packet),
// flow_node_handovers.cc (openings that are handed over), flow_node_search.cc
// (which VM holds an opening already),
// flow_node_evacuation.cc (evacuated data centres and cold endpoints) and
// flow_node_shards.cc (dispatchers per data centre).
#ifndef VANILLALATCH_SRC_PACKETFLOW_FLOW_NODE_IMPL_H_
#define VANILLALATCH_SRC_PACKETFLOW_FLOW_NODE_IMPL_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "src/packetflow/dispatcher_selector.h"
#include "src/packetflow/flow_messages.h"
#include "src/packetflow/link_meter.h"
#include "src/packetflow/opening_directory.h"
#include "src/packetflow/pending_message.h"
#include "src/packetflow/round_trip.h"
#include "src/packetflow/shard.h"
#include "vanillalatch/packetflow/flow_node.h"

namespace vanillalatch::internal {

class FlowNodeImpl final : public FlowNode {
 public:
  FlowNodeImpl(const FlowNodeOptions& options, std::unique_ptr<PeerNode> peers,
               std::unique_ptr<FlowDispatcher> dispatcher)
      : data_center_(options.data_center),
        link_mbit_per_s_(options.link_mbit_per_s),
        overlap_percent_(options.dispatcher.overlap_percent),
        report_wait_(options.link_mbit_per_s == 0 ? Duration::zero()
                                                  : kReportWait),
        link_meter_(static_cast<std::uint64_t>(options.link_mbit_per_s *
                                               kBytesPerMbit)),
        peers_(std::move(peers)),
        dispatcher_(std::move(dispatcher)) {}

  void OnCatalog(TimePoint now, const pb::Catalog& catalog) override;
  std::uint64_t revision() const override { return revision_; }
  void OnEndpoints(TimePoint now, const std::vector<pb::LeaseUpdate>& updates,
                   bool complete) override;
  void SetReceiveDelay(TimePoint now, Duration bound) override;
  FlowVerdict OnPacket(TimePoint now, const FlowPacket& packet,
                       ByteSpan bytes) override;
  void OnMalformed() override { ++counters_.malformed; }
  void OnPeer(TimePoint now, SocketAddress from, ByteSpan bytes,
              Outbox& out) override;
  void OnTraffic(TimePoint now, std::uint64_t received,
                 std::uint64_t sent) override {
    link_meter_.OnTraffic(now, received, sent);
  }
  void OnTick(TimePoint now, Outbox& out) override;
  TimePoint NextWake() const override;
  void Flush(TimePoint now, Outbox& out) override;
  FlowNodeActions TakeActions() override;
  std::vector<FlowTiming> TakeTimings() override {
    return std::exchange(timings_, {});
  }
  bool Ready() const override { return settled_; }
  void BeginStop(TimePoint now, Outbox& out) override;
  const EvacuationState& evacuations() const override { return evacuations_; }
  std::size_t endpoints() const override { return endpoints_.size(); }
  std::vector<pb::OpenFlows> OpenFlows() const override;
  const PeerNode& peers() const override { return *peers_; }
  const FlowNodeCounters& counters() const override { return counters_; }
  const FlowDispatcherCounters& dispatcher_counters() const override {
    return dispatcher_->counters();
  }

 private:
  // The state of the search for the VM that holds an opening.
  struct Search {
    std::vector<NodeId> asked;  // These do not know it.
    std::size_t unready = 0;    // As for OpeningDirectory::MayHold().
    // Named by the VM that was asked last.
    std::optional<NodeId> hint;
    // This VM is not the dispatcher, which has not been tried yet.
    bool tries_dispatcher = false;
  };

  // An opening packet that was handed over and is not acknowledged yet.
  struct PendingHandover {
    FlowOpening opening;
    NodeId dispatcher;
    TimePoint sent_at;
    TimePoint due;  // When this VM places the flow itself.
    pb::OpeningPurpose purpose = pb::OPENING_PLACE;
    Search search;
  };

  // A handover whose acknowledgement did not arrive in time but still may.
  struct LateHandover {
    NodeId dispatcher;
    TimePoint sent_at;
  };

  // An opening packet that waits until the endpoints are known.
  struct Parked {
    FlowOpening opening;
    TimePoint since;
    TimePoint due;  // When it stops waiting.
  };

  void AddEvent(IngressEvent::Kind kind, const FlowOpening& opening,
                NodeId dispatcher) {
    ingress_events_.push_back(
        {kind, opening.caller, opening.route, opening.sequence, dispatcher});
  }
  // Processes a caller's opening packet.
  void OpenFlow(TimePoint now, const FlowRoute& route, const FlowPacket& packet,
                ByteSpan bytes);
  // The VM that is to place new flows of a shard; this one if no other is
  // usable.
  NodeId DispatcherFor(TimePoint now, const ShardId& shard) const {
    return dispatcher_selector_.Select(now, shard, peers_->members().members(),
                                       self());
  }
  // True if this VM is the first choice of all VMs that see the same members.
  // Others dispatch only while those before them decline or are silent, which
  // not all VMs know.
  bool IsFirstDispatcher(const ShardId& shard) const {
    return ShardDispatcherOf(shard, peers_->members().members(), 0) == self();
  }
  // The VM to which the progress and the end of a flow are reported: the one
  // that placed it or, if that VM is unknown or has failed, the present
  // dispatcher of the shard of the flow's endpoint.
  NodeId PlacerOf(TimePoint now, FlowId id, const FlowTarget& target) const;
  // Places the flow here if this VM is the dispatcher, or hands it over.
  // `declined`: a VM that has just declined it.
  void Dispatch(TimePoint now, FlowOpening opening,
                std::optional<NodeId> declined = std::nullopt);

  // Functions of flow_node_shards.cc. An unsharded service has one shard, whose
  // data centre is empty.
  bool HasShards(ServiceId service) const { return shards_.contains(service); }
  // Shards of a service.
  std::vector<ShardId> ShardsOfService(ServiceId service) const;
  ShardId ShardOfEndpoint(const FlowTarget& target) const;
  // Sets the shard of an opening that was not passed on: that of its ingress.
  void SetShard(FlowOpening& opening) const;
  bool IsDispatcherOf(const ShardId& shard) const;
  // The VMs that receive and may send the reports of a shard's load.
  std::vector<NodeId> ReportingVms(const ShardId& shard) const;
  // True if this VM is to report the load of the shard.
  bool ReportsLoadOf(TimePoint now, const ShardId& shard) const;
  // Decides as dispatcher of the opening's shard whether to pass it on. Returns
  // the data centre to which it is passed on; nullopt if it stays. An opening
  // that was passed on to a shard without endpoints returns to its own one.
  std::optional<std::string> PassOn(TimePoint now, const FlowOpening& opening);
  // The shard that is to get an opening if this shard has no usable endpoint
  // and no other shard reported a free slot: the one with the shortest queue
  // for its slots or, if none has reported yet, any that has endpoints.
  std::optional<std::string> AnyOtherShard(TimePoint now,
                                           const FlowOpening& opening) const;
  // Hands an opening over to the dispatcher of another data centre.
  void DispatchTo(TimePoint now, FlowOpening opening,
                  const std::string& data_center,
                  pb::OpeningPurpose purpose = pb::OPENING_PLACE);
  // Dispatches an opening that was passed on and did not reach the dispatcher
  // of the other data centre.
  void ReturnHome(TimePoint now, FlowOpening opening);
  // True if the opening was passed on to another shard than its ingress's.
  static bool IsPassedOn(const FlowOpening& opening) {
    return opening.hops > 0 && opening.shard != opening.data_center;
  }
  // The shard in which this VM places a flow itself: the opening's one, or
  // another one if this VM is not its dispatcher, or it has no endpoint, and
  // the other one has free slots by this VM's counts.
  std::string LocalShardFor(TimePoint now, const FlowOpening& opening);
  // Records the time that a handover took.
  void OnHandoverAnswered(TimePoint now, const PendingHandover& handover);
  void OnShardLoad(TimePoint now, NodeId from, const pb::ShardLoad& message);
  // Sends the load of the shards that this VM dispatches, where it is due.
  void SendShardLoads(TimePoint now);
  // Recomputes the shards of a service. Returns the waiting flows, which have
  // to be dispatched again after the dispatcher has the endpoints.
  std::vector<FlowOpening> UpdateShards(TimePoint now, ServiceId service);
  // Sends an opening to another VM. The result is valid until the answer.
  PendingHandover& HandOver(TimePoint now, FlowOpening opening, NodeId to,
                            pb::OpeningPurpose purpose = pb::OPENING_PLACE);
  // True if this VM does not know enough yet to dispatch the opening.
  bool MustPark(TimePoint now, const FlowOpening& opening);
  // Dispatches the parked opening packets that need not wait any longer.
  void DispatchParked(TimePoint now);
  // Has this VM's dispatcher place the flow. `is_forwarded`: its progress may
  // be reported to another VM.
  void Place(TimePoint now, FlowOpening opening, bool is_forwarded = false);
  // Hands over an opening that may be a copy and that this VM does not know to
  // the VM that may know it. `forwarder` is not asked and gets no opening back.
  // Returns false, and leaves `opening` unchanged, if this VM is to decide.
  bool HandOverIfUnknown(TimePoint now, FlowOpening& opening,
                         std::optional<NodeId> forwarder = std::nullopt);
  // Decides as dispatcher of the opening's shard: passes the opening on to
  // another shard, for `purpose`, or has this VM's dispatcher place the flow.
  void PassOnOrPlace(TimePoint now, FlowOpening opening,
                     pb::OpeningPurpose purpose);
  // True if the VM is a member that has not failed.
  bool IsRunning(NodeId vm) const;
  // True if the VM is a member that has failed.
  bool HasFailed(NodeId vm) const;
  // True if the caller may have sent another transmission of the packet.
  static bool MayBeCopy(const FlowOpening& opening);
  // Asks the next VM that may hold an opening and is not among those that were
  // asked. Returns false, and leaves `opening` unchanged, if there is none.
  bool AskNext(TimePoint now, FlowOpening& opening, Search search);
  // Asks the next VM, or gives the opening to the dispatcher if none is left.
  void ContinueSearch(TimePoint now, FlowOpening opening, Search search);
  // The VM that this one has recorded as the holder of an opening, if it can be
  // asked.
  std::optional<NodeId> UsableHolder(TimePoint now,
                                     const FlowOpening& opening) const;
  bool CanBeAsked(NodeId vm, const Search& search) const;
  // Gives an opening the service, class and timeout of its route in the catalog
  // in force.
  void FollowRoute(FlowOpening& opening) const;
  // Has the flows wait where their copies go now, if the catalog in force gives
  // their routes to other services.
  void MoveWaiting(TimePoint now);
  // Processes an opening packet that is to be declined unless its flow is known
  // to this VM. Returns false if it is not known.
  bool ProcessIfKnown(TimePoint now, NodeId from, FlowOpening opening);
  // Reports to the VM that placed the flow what its caller does.
  void ReportProgress(TimePoint now, const FlowPacket& packet,
                      const FlowRoute& route, const FlowTarget& target);
  // Processes another VM's report of the progress of a flow.
  void OnSeen(TimePoint now, const pb::FlowSeen& message);
  // Processes a caller's packet that ends or aborts its flow.
  void EndFlow(TimePoint now, const FlowPacket& packet,
               const FlowTarget& target);
  // Processes an opening packet that another VM hands over: places or refuses
  // the flow, or declines.
  void OnOpening(TimePoint now, NodeId from, const pb::FlowOpening& message);
  // True if what this VM reads may be so old that its sender has decided
  // without this VM.
  bool IsLate() const;
  // True if the caller may have sent the next copy of its opening packet, or
  // given up, since this one arrived.
  bool IsSuperseded(const FlowPacket& packet) const;
  // Of a flow whose first opening packet was sent `age` ago and whose copies up
  // to `copy` this VM knows: true if the caller has given up, or a later copy
  // may have reached another VM while this one did not answer. That VM has
  // placed the flow.
  bool MayBePlacedElsewhere(std::uint32_t copy, Duration age) const;
  // True if the flow's route has the same service, class and timeout in this
  // VM's catalog as in the sender's.
  bool HasSameRoute(const pb::FlowOpening& message) const;
  // Converts a message. Takes service, class and timeout from this VM's catalog
  // if that is newer than the sender's; returns nullopt if it has no such
  // route.
  std::optional<FlowOpening> ResolveOpening(const pb::FlowOpening& message);
  // How long a handover to a VM may remain without acknowledgement.
  Duration HandoverTimeout(NodeId to) const;
  // Records the round trip of a handover that was acknowledged.
  void RecordRoundTrip(TimePoint now, NodeId from, FlowId id);
  // Reports that the link has become late, and has the dispatcher wait longer.
  void UpdateLinkLate(TimePoint now);
  // Counts the membership messages that were added to `out` after its first
  // `sent_before` items.
  void CountMembershipSent(const Outbox& out, std::size_t sent_before);
  // Places the flows whose handover was not acknowledged in time.
  void PlaceTimedOutHandovers(TimePoint now);
  // Processes the answer of a VM to which an opening packet was handed over.
  void OnTaken(TimePoint now, NodeId from, const pb::FlowTaken& message);
  // True once this VM has heard of another member, or has waited for it in
  // vain. A VM that has just started hears of all others at once; until then it
  // can't ask any of them for a copy.
  bool HasJoined(TimePoint now);
  bool LacksNewerCatalog(TimePoint now);
  // Sets settled_ after every service has had an endpoint for
  // kEndpointSettleTime.
  void UpdateSettled(TimePoint now);
  // Copies the endpoints of services that have changed from the registry to
  // the endpoint table and the dispatcher.
  void UpdateEndpoints(TimePoint now);
  // True if the registry has changes that UpdateEndpoints() has not applied.
  bool HasEndpointChanges() const;
  // Notifies dispatcher_ of the shards whose first-ranked VM has changed.
  void UpdateFirstDispatchers(TimePoint now);
  // Applies the evacuations of the catalog or of a peer's notice.
  void UpdateEvacuations(TimePoint now);
  // Applies the bounds of the catalog for cold endpoints.
  void ApplyWarmUps(TimePoint now, const pb::Catalog& catalog);
  // Sets what this VM may give to cold endpoints of services that state a rate.
  void UpdateColdUse(TimePoint now);
  void UpdateColdUse(TimePoint now, const ShardId& shard,
                     double dispatcher_share, double alone_share);
  // True if the endpoints of all services are to be read again, because
  // renewals alone tell whether the endpoints of a returned data centre are
  // cold.
  bool TakeEndpointRefresh(TimePoint now);
  // Applies the changes of the members since the last call.
  void UpdateMembers(TimePoint now);
  // Hands over the waiting flows of shards whose dispatcher is another VM.
  void HandOverWaiting(TimePoint now);
  NodeId self() const { return peers_->members().self(); }
  // The form of messages that a VM has stated with its last acknowledgement.
  MessageForm FormOf(NodeId vm) const {
    const auto it = forms_.find(vm);
    return it == forms_.end() ? MessageForm::kFull : it->second;
  }
  // The message to a VM that the next Flush() sends.
  PendingMessage& PendingMessageTo(NodeId to) {
    return messages_.try_emplace(to, report_wait_).first->second;
  }

  // How long reports wait to share a datagram where the rate of the link is
  // known: a tenth of the work of a typical request (50 ms), during which
  // another flow's work can use the slot (see overlap_percent).
  static constexpr Duration kReportWait = std::chrono::milliseconds(5);
  static constexpr double kBytesPerMbit = 125'000;

  // Number of VMs of a shard, in the order of their ranks, that receive and may
  // send its reports. While the first one starts, the second one dispatches.
  static constexpr std::size_t kReportingRanks = 2;
  // The load of another shard, as its dispatcher reported it.
  struct ShardReport {
    ShardLoad load;
    NodeId from;
    TimePoint received = TimePoint::min();
    // When openings were passed on to it recently.
    std::deque<TimePoint> passed_on;
    // How long such a flow occupies a slot.
    Duration answer_time{};
    // Flows passed on that occupied a slot when the report was made.
    std::int32_t reported_flows = 0;

    // Number of openings passed on in (`at` - answer_time, `at`].
    std::int32_t FlowsAt(TimePoint at) const;
  };
  // The last report about a shard that this VM dispatches.
  struct SentShardLoad {
    ShardLoad load;
    TimePoint sent_at;
  };
  std::string data_center_;
  double link_mbit_per_s_;
  std::uint32_t overlap_percent_;
  Duration report_wait_;
  LinkMeter link_meter_;
  // Data centres of the shards of each sharded service.
  std::map<ServiceId, std::vector<std::string>> shards_;
  std::map<ShardId, ShardReport> shard_reports_;
  std::map<ShardId, SentShardLoad> sent_loads_;
  TimePoint loads_due_{};
  // When this VM last placed a flow of a shard for another VM.
  std::map<ShardId, TimePoint> placed_for_others_at_;
  OpeningDirectory directory_;
  // When the next opening is placed in a shard whose endpoints are all silent.
  std::map<ShardId, TimePoint> silent_shard_probe_due_;
  // Measured one-way delay to the VMs of each data centre.
  std::map<std::string, Duration> ways_;
  std::vector<ShardingChange> sharding_changes_;
  std::unique_ptr<PeerNode> peers_;
  std::unique_ptr<FlowDispatcher> dispatcher_;
  std::uint64_t revision_ = 0;
  // Evacuated by the catalog in force, for OpenFlows().
  std::vector<std::string> reported_data_centers_;
  RouteTable routes_;
  EndpointTable endpoints_;
  // OnTick() updates the endpoints from then on.
  TimePoint endpoints_due_ = TimePoint::min();
  // Registry version of each service as of the last UpdateEndpoints().
  std::map<ServiceId, std::uint64_t> endpoint_versions_;
  std::uint64_t members_version_ = 0;
  std::map<FlowId, PendingHandover> pending_handovers_;
  std::map<FlowId, LateHandover> late_handovers_;
  std::map<NodeId, RoundTrip> round_trips_;
  Duration receive_delay_{};  // By the last SetReceiveDelay().
  bool link_late_ = false;    // As of the last UpdateLinkLate().
  std::vector<LinkLate> link_events_;
  std::map<FlowId, Parked> parked_;
  DispatcherSelector dispatcher_selector_;
  // When every service first had an endpoint.
  std::optional<TimePoint> endpoints_present_since_;
  std::optional<TimePoint> started_at_;  // The first HasJoined().
  // The highest revision that peers have stated, and when it was noticed.
  std::uint64_t newer_revision_ = 0;
  TimePoint newer_since_ = TimePoint::min();
  bool has_joined_ = false;
  // This VM's data about endpoints is considered complete.
  bool settled_ = false;
  std::map<NodeId, MessageForm> forms_;
  std::map<NodeId, PendingMessage> messages_;
  FlowTracker flow_tracker_;
  TimePoint generation_due_{};
  TimePoint lost_endpoint_check_due_{};
  FlowActions actions_;
  std::vector<IngressEvent> ingress_events_;
  std::vector<EvacuationEvent> evacuation_events_;
  EvacuationState evacuations_;  // As applied.
  bool stopping_ = false;
  // Until when, and when next, endpoints are read again after an evacuation.
  TimePoint refresh_until_{};
  TimePoint refresh_due_{};
  std::map<ServiceId, WarmUp> warm_ups_;  // Of services that state a rate.
  struct DispatcherRole {
    bool is_dispatcher = false;
    TimePoint since{};
    std::optional<ColdUse> use;  // As passed to dispatcher_.
  };
  std::map<ShardId, DispatcherRole> roles_;  // By the last UpdateColdUse().
  // TakeTimings() is called once per second; this is enough for three timings
  // per flow of the busiest service.
  static constexpr std::size_t kMaxTimings = 10'000;
  std::vector<FlowTiming> timings_;
  FlowNodeCounters counters_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_PACKETFLOW_FLOW_NODE_IMPL_H_
