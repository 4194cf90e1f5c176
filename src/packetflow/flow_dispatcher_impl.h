// Implements FlowDispatcher in three files: flow_dispatcher.cc (openings,
// progress and ends of flows), flow_dispatcher_shards.cc (endpoints, shards)
// and flow_dispatcher_timers.cc (silent endpoints, expired flows).
#ifndef VANILLALATCH_SRC_PACKETFLOW_FLOW_DISPATCHER_IMPL_H_
#define VANILLALATCH_SRC_PACKETFLOW_FLOW_DISPATCHER_IMPL_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "src/packetflow/move_budget.h"
#include "src/packetflow/recent_refusals.h"
#include "src/packetflow/silence_detector.h"
#include "vanillalatch/packetflow/flow_dispatcher.h"

namespace vanillalatch::internal {

class FlowDispatcherImpl final : public FlowDispatcher {
 public:
  FlowDispatcherImpl(FlowDispatcherOptions options, std::uint64_t seed)
      : options_(options), seed_(seed) {}

  void SetClasses(std::span<const ClassTarget> classes) override {
    classes_.assign(classes.begin(), classes.end());
    for (auto& [shard, it] : schedulers_) {
      it->SetClasses(classes_);
    }
  }

  void SetEndpoints(TimePoint now, ServiceId service,
                    std::span<const Endpoint> endpoints,
                    FlowActions& actions) override;
  void SetSharded(TimePoint now, ServiceId service, bool sharded) override;
  ShardLoad LoadOf(TimePoint now, const ShardId& shard, ClassId id) override {
    return SchedulerOf(shard).Load(now, id);
  }
  bool IsKnown(TimePoint now, const FlowOpening& opening) const override {
    return flows_.contains(opening.id) || FindClosed(now, opening) != nullptr;
  }

  void SetEvacuated(TimePoint now, std::span<const std::string> data_centers,
                    FlowActions& actions) override {
    evacuated_.assign(data_centers.begin(), data_centers.end());
    for (auto& [id, it] : schedulers_) {
      it->SetEvacuated(now, evacuated_);
      it->OnTick(now, verdicts_);
    }
    ApplyVerdicts(now, actions);
  }
  void SetWarmUp(TimePoint now, ServiceId service,
                 const WarmUp& warm_up) override;
  void SetColdUse(TimePoint now, const ShardId& shard,
                  const ColdUse& use) override {
    SchedulerOf(shard).SetColdUse(now, use);
  }

  void Open(TimePoint now, FlowOpening opening, FlowActions& actions) override;
  void OnFlowUpdate(TimePoint now, const FlowUpdate& update,
                    const EstablishedFlow& flow, FlowActions& actions) override;
  void OnDispatcherChanged(TimePoint now, ServiceId service) override {
    silence_detector_.OnDispatcherChanged(now, service);
  }
  void OnLinkLate(TimePoint now) override { silence_detector_.OnLinkLate(now); }
  void StopSilenceDetection(const ShardId& shard) override;
  void End(TimePoint now, FlowId id, bool given_up, Duration age,
           FlowActions& actions) override;
  bool Contains(FlowId id) const override { return flows_.contains(id); }
  std::vector<FlowOpening> TakeWaiting(TimePoint now,
                                       const ShardId& shard) override;
  std::vector<FlowOpening> TakeWaiting(
      TimePoint now,
      const std::function<bool(const FlowOpening&)>& takes) override;
  std::size_t DropWaiting(
      TimePoint now,
      const std::function<bool(const FlowOpening&)>& drops) override;
  void OnTick(TimePoint now, FlowActions& actions) override;
  TimePoint NextWake() const override;
  absl::flat_hash_map<EndpointId, std::uint64_t> OpenFlows() const override {
    absl::flat_hash_map<EndpointId, std::uint64_t> open;
    for (const auto& [id, it] : flows_) {
      if (it.placed) {
        ++open[it.endpoint];
      }
    }
    return open;
  }
  const FlowDispatcherCounters& counters() const override { return counters_; }

 private:
  struct Flow {
    FlowOpening opening;
    ShardId shard() const { return {opening.service, opening.shard}; }
    // Identifies the flow to its scheduler. New for each submission and for
    // each later request.
    RequestId work;
    bool placed = false;
    EndpointId endpoint;
    EndpointId moved_from;    // 0: it was never moved.
    TimePoint opened_at;      // When the caller first sent its opening packet.
    TimePoint issued_at;      // The same for the caller's first try.
    TimePoint submitted_at;   // When it began to wait for a slot.
    TimePoint sent_at;        // When its opening packet was last sent.
    TimePoint slot_taken_at;  // Valid if it is placed and not idle.
    // Its endpoint is silent and the budget for moves was used up: the next
    // retransmission moves it.
    bool move_refused = false;
    bool late = false;  // As in FlowEvent.
    // Its opening packet was sent to its endpoint again. Copies that the caller
    // sent before the flow was placed say nothing about the endpoint.
    bool repeated = false;
    bool accepted = false;  // The caller continued after the opening packet.
    TimePoint accepted_at;  // Valid if accepted.
    bool request_sent = false;    // The caller has sent a request.
    bool has_answer = false;      // At least one answer has begun to arrive.
    bool idle = false;            // Open, but without a slot.
    bool is_from_report = false;  // Another VM has placed it.
    TimePoint expires;  // When it is removed if its end is not reported.
  };
  // A flow that ended or was refused. It is stored for as long as
  // retransmissions of its opening packet may arrive.
  struct Closed {
    std::uint32_t sequence = 0;
    TimePoint until;  // When it is removed.
    bool refused = false;
    ErrorKind kind = ErrorKind::kOverloaded;  // If refused.
    RefusalCause cause{};                     // If refused.
  };
  // Callers retransmit for 0.6 s and give up after 1.4 s; a VM that does not
  // know the endpoints yet parks an opening packet for up to 0.8 s.
  static constexpr Duration kRetransmissionWindow =
      std::chrono::milliseconds(1500);

  // True if `opening` is a copy of the opening packet of an open flow, and does
  // not open another one from the same port.
  static bool IsCopyOf(TimePoint now, const Flow& flow,
                       const FlowOpening& opening);
  // Returns the closed flow of which `opening` is a retransmission; nullptr if
  // there is none.
  const Closed* FindClosed(TimePoint now, const FlowOpening& opening) const;
  // Returns the scheduler of a shard; creates it if there is none.
  SlotScheduler& SchedulerOf(const ShardId& shard);
  // The shard of an endpoint. An endpoint that is not known is in the shard
  // without a data centre.
  ShardId ShardOf(ServiceId service, EndpointId endpoint) const;
  // Submits a flow to the scheduler, which places, queues or refuses it.
  // `avoid`: an endpoint that did not answer this flow.
  void Submit(TimePoint now, Flow& flow, std::optional<EndpointId> avoid,
              FlowActions& actions);
  // Processes an opening packet of a flow that is already open or waiting:
  // sends it to the flow's endpoint again, or moves the flow to another one.
  void OnRetransmission(TimePoint now, Flow& flow, const FlowOpening& opening,
                        FlowActions& actions);
  // Moves a flow whose opening packet was retransmitted to an endpoint outside
  // the evacuated data centres.
  void MoveFromEvacuated(TimePoint now, Flow& flow, FlowActions& actions);
  // Frees the slot of a placed flow, or removes a waiting flow from the queue.
  // `age`: how long ago it ended.
  void Release(TimePoint now, const Flow& flow, WorkOutcome outcome,
               Duration age = Duration::zero());
  // Turns the verdicts of the schedulers into placements and refusals.
  void ApplyVerdicts(TimePoint now, FlowActions& actions);
  // Frees the flow's slot; the flow stays open.
  void MarkIdle(TimePoint now, Flow& flow, WorkOutcome outcome,
                Duration age = Duration::zero());
  // True if the flow probably does not use its slot any more, although its end
  // was not reported.
  bool HasUnusedSlot(TimePoint now, const Flow& flow);
  // Makes an idle flow occupy a slot of its endpoint again, as its caller has
  // sent another request.
  void TakeSlot(TimePoint now, Flow& flow);
  // Records that the flow's endpoint answered its opening packet. Marks the
  // endpoint as answering if it was silent.
  void OnEndpointAnswered(const Flow& flow, FlowActions& actions);
  static void AddEvent(FlowEvent::Kind kind, const Flow& flow, Duration elapsed,
                       FlowActions& actions);
  // Finds endpoints that do not answer opening packets, and moves their
  // overdue flows to other endpoints.
  void DetectSilentEndpoints(TimePoint now, FlowActions& actions);
  // Removes expired flows, and frees the slots of flows that probably do not
  // use them any more.
  void ExpireFlows(TimePoint now, FlowActions& actions);

  FlowDispatcherOptions options_;
  std::uint64_t seed_;
  std::vector<ClassTarget> classes_;
  std::vector<std::string> evacuated_;  // Data centres.
  std::map<ServiceId, WarmUp> warm_ups_;
  std::map<ShardId, std::unique_ptr<SlotScheduler>> schedulers_;
  std::set<ServiceId> sharded_;
  // The endpoints of each service and their data centres.
  std::map<ServiceId, std::map<EndpointId, std::string>> data_centers_;
  absl::flat_hash_map<FlowId, Flow> flows_;
  absl::flat_hash_map<FlowId, Closed> closed_;
  absl::flat_hash_map<RequestId, FlowId> flow_by_work_;
  std::uint64_t last_work_ = 0;
  TimePoint expire_due_{};
  SilenceDetector silence_detector_;
  RecentRefusals recent_refusals_;
  std::map<ServiceId, MoveBudget> move_budgets_;
  TimePoint silence_check_due_{};
  std::vector<Verdict> verdicts_;  // Of the schedulers, not yet applied.
  FlowDispatcherCounters counters_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_PACKETFLOW_FLOW_DISPATCHER_IMPL_H_
