// The one implementation of FlowDispatcher.
#ifndef VANILLALATCH_SRC_PACKETFLOW_FLOW_DISPATCHER_IMPL_H_
#define VANILLALATCH_SRC_PACKETFLOW_FLOW_DISPATCHER_IMPL_H_

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "src/packetflow/silence_watch.h"
#include "vanillalatch/packetflow/flow_dispatcher.h"

namespace vanillalatch::internal {

class FlowDispatcherImpl final : public FlowDispatcher {
 public:
  FlowDispatcherImpl(FlowDispatcherOptions options, std::uint64_t seed)
      : options_(options), seed_(seed) {}

  void SetClasses(std::span<const ClassTarget> classes) override {
    classes_.assign(classes.begin(), classes.end());
    for (auto& [id, it] : schedulers_) {
      it->SetClasses(classes_);
    }
  }

  void SetEndpoints(TimePoint now, ServiceId service,
                    std::span<const Endpoint> endpoints,
                    FlowActions& actions) override {
    SlotScheduler& scheduler = SchedulerOf(service);
    scheduler.SetEndpoints(now, endpoints);
    silence_.Keep(service, endpoints);
    scheduler.OnTick(now, verdicts_);
    CarryOut(now, actions);
  }

  void Open(TimePoint now, FlowOpening opening, FlowActions& actions) override;
  void Seen(TimePoint now, const FlowNews& news, const EstablishedFlow& flow,
            FlowActions& actions) override;
  void OnDispatcherChanged(TimePoint now, ServiceId service) override {
    silence_.OnDispatcherChanged(now, service);
  }
  void Unwatch(ServiceId service) override;
  void End(TimePoint now, FlowId id, bool given_up,
           FlowActions& actions) override;
  bool Knows(FlowId id) const override { return flows_.contains(id); }
  std::vector<FlowOpening> TakeWaiting(TimePoint now,
                                       ServiceId service) override;
  void OnTick(TimePoint now, FlowActions& actions) override;
  TimePoint NextWake() const override;
  const FlowDispatcherCounters& counters() const override { return counters_; }

 private:
  struct Flow {
    FlowOpening opening;
    RequestId work;  // Differs each time the flow is submitted.
    bool placed = false;
    EndpointId endpoint;
    EndpointId moved_from;   // 0: it was placed once.
    TimePoint submitted_at;  // It waits for a slot since then.
    TimePoint sent_at;       // The last copy of its opening packet.
    bool seen = false;
    TimePoint seen_at;
    bool requested = false;
    bool answered = false;  // Once at least.
    bool idle = false;      // Open, without a slot.
    TimePoint expires;      // It is forgotten then, whatever was heard.
  };
  // A flow that ended or was refused, while copies of its opening packet may
  // still come.
  struct Closed {
    std::uint32_t sequence = 0;
    TimePoint until;
    bool refused = false;
    ErrorKind kind = ErrorKind::kOverloaded;
    RefusalCause cause{};
  };
  // Callers send copies for 0.6 s and wait for 1.4 s; a VM that knows too
  // little holds one for 0.8 s.
  static constexpr Duration kCopiesCome = std::chrono::milliseconds(1500);

  // nullptr if it is no copy of such a flow.
  const Closed* FindClosed(TimePoint now, const FlowOpening& opening) const;
  SlotScheduler& SchedulerOf(ServiceId service);
  void Submit(TimePoint now, Flow& flow, std::optional<EndpointId> avoid,
              FlowActions& actions);
  void OnCopy(TimePoint now, Flow& flow, const FlowOpening& opening,
              FlowActions& actions);
  // Frees the slot of a flow that was placed, or takes it out of the queue.
  void Release(TimePoint now, const Flow& flow, WorkOutcome outcome);
  void CarryOut(TimePoint now, FlowActions& actions);
  // Gives up the flow's slot; it stays open.
  void MakeIdle(TimePoint now, Flow& flow, WorkOutcome outcome);
  // The flow's caller sends another request.
  void TakeSlot(TimePoint now, Flow& flow);
  void NoteAnswer(const Flow& flow, FlowActions& actions);
  static void Note(FlowNote::Kind kind, const Flow& flow, Duration elapsed,
                   FlowActions& actions);
  // Finds endpoints that answer nobody and moves their flows elsewhere.
  void ReviewSilence(TimePoint now, FlowActions& actions);
  void ExpireFlows(TimePoint now, FlowActions& actions);

  FlowDispatcherOptions options_;
  std::uint64_t seed_;
  std::vector<ClassTarget> classes_;
  std::map<ServiceId, std::unique_ptr<SlotScheduler>> schedulers_;
  absl::flat_hash_map<FlowId, Flow> flows_;
  absl::flat_hash_map<FlowId, Closed> closed_;
  absl::flat_hash_map<RequestId, FlowId> by_work_;
  std::uint64_t last_work_ = 0;
  TimePoint expire_due_{};
  SilenceWatch silence_;
  TimePoint review_due_{};
  std::vector<Verdict> verdicts_;
  FlowDispatcherCounters counters_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_PACKETFLOW_FLOW_DISPATCHER_IMPL_H_
