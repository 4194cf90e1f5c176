// Places each new flow of a service on an endpoint, queues it until an endpoint
// has a free slot, or refuses it. Each service has one dispatcher: the entry VM
// to which the other VMs hand over the service's opening packets. Thus a single
// VM counts the open flows of each endpoint.
//
// Designed for services whose flows carry one request or a few. An endpoint
// works on as many flows as it has slots; a flow stays open for a little longer
// than it uses its slot. Flows without a slot wait in the dispatcher, ordered
// by class, and not at an endpoint.
//
// Also detects silent endpoints, which do not answer opening packets, and moves
// their flows to other endpoints.
//
//   auto dispatcher = FlowDispatcher::Create(options, seed).value();
//   dispatcher->SetEndpoints(now, service, registry.EndpointsOf(service));
//   dispatcher->Open(now, opening, actions);
//   for (const FlowPlacement& it : actions.placements) ...
#ifndef VANILLALATCH_PACKETFLOW_FLOW_DISPATCHER_H_
#define VANILLALATCH_PACKETFLOW_FLOW_DISPATCHER_H_

#include <array>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "vanillalatch/packetflow/flow_tracker.h"
#include "vanillalatch/packetflow/packet.h"
#include "vanillalatch/placement/slot_scheduler.h"

namespace vanillalatch {

// A part of a service that has a dispatcher and a queue of its own: the
// endpoints of one data centre or, with an empty data centre, all endpoints.
struct ShardId {
  ServiceId service;
  std::string data_center;

  // clang-tidy 14 reports the zero that a defaulted operator compares with as a
  // null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const ShardId&, const ShardId&) = default;
  friend bool operator==(const ShardId&, const ShardId&) = default;
};

// The slots of one shard; see SlotLoad.
using ShardLoad = SlotLoad;

// The opening packet of a flow, with what placing the flow depends on.
struct FlowOpening {
  FlowId id;
  SocketAddress caller;
  SocketAddress route;  // The address and port that the caller connects to.
  ServiceId service;
  ClassId work_class;
  Duration timeout{};  // The caller gives up after this time.
  // Sequence number of the packet. A different one means a different flow that
  // uses the same caller address and route.
  std::uint32_t sequence = 0;
  // Number of earlier transmissions of this opening packet; 0 for the first.
  std::uint32_t copy = 0;
  // How long ago the caller sent the first transmission.
  Duration age{};
  std::string data_center;  // Endpoints in this data centre are preferred.
  // Data centre of the shard that is to place the flow; empty if the service is
  // not sharded.
  std::string shard;
  std::uint32_t hops = 0;  // How often a shard has passed it on to another one.
  // True if the VMs that receive the flow's later packets report them to this
  // VM. Only then does a missing report indicate a silent endpoint.
  bool progress_reported = false;
  std::string packet;  // The bytes of the packet as the caller sent them.
};

// Describes an open flow to a dispatcher that may not have placed it.
struct EstablishedFlow {
  ServiceId service;
  ClassId work_class;
  Duration timeout{};
  EndpointId endpoint;
};

// Decision to send an opening packet to an endpoint.
struct FlowPlacement {
  EndpointId endpoint;
  std::string packet;
};

// Decision not to open a flow. The caller is notified immediately. No endpoint
// has worked on the flow.
struct FlowRefusal {
  FlowId id;
  ErrorKind kind = ErrorKind::kOverloaded;
  std::string packet;
  RefusalCause cause{};
};

// Change of an endpoint's state: it answers no opening packets (`silent`), or
// it answers them again.
struct EndpointSilence {
  EndpointId endpoint;
  bool silent = false;
  std::size_t unanswered_flows = 0;  // Flows without an answer, if silent.
  Duration limit{};                  // How long each of them waited at least.
};

// A placement decision or a state change of a flow, for the log.
struct FlowEvent {
  enum class Kind : std::uint8_t {
    kPlaced,   // Placed on `endpoint`.
    kMoved,    // Placed on `endpoint`, as `moved_from` did not answer.
    kGivenUp,  // The caller gave up the flow.
    kExpired,  // The flow's timeout passed, and no VM reported its end.
  };
  Kind kind = Kind::kPlaced;
  SocketAddress caller;
  SocketAddress route;
  std::uint32_t sequence = 0;
  std::uint32_t copy = 0;  // As in FlowOpening.
  EndpointId endpoint;     // 0: the flow was still waiting for a slot.
  EndpointId moved_from;   // 0: the flow was never moved.
  // For kPlaced and kMoved: how long the flow waited for a slot. Otherwise: the
  // time since its opening packet was last sent to the endpoint or, without an
  // endpoint, since it began to wait for a slot.
  Duration elapsed{};
  bool accepted = false;      // The endpoint has accepted the flow.
  bool request_sent = false;  // The caller has sent a request on the flow.
  bool late = false;  // kPlaced, kMoved: the class's latency target is missed.
};

// Duration of one part of a flow, for histograms.
struct FlowTiming {
  enum class Part : std::uint8_t {
    kWait,       // Waiting for a slot.
    kHandshake,  // From sending the opening packet until the caller's next one.
    kAnswer,     // From sending the opening packet until the first answer
                 // begins to arrive.
  };
  Part part = Part::kWait;
  Duration duration{};
};

// Output of FlowDispatcher's functions, which append to it.
struct FlowActions {
  std::vector<FlowTiming> timings;
  std::vector<FlowEvent> events;
  std::vector<FlowPlacement> placements;
  std::vector<FlowRefusal> refusals;
  std::vector<EndpointSilence> silences;
};

struct FlowDispatcherOptions {
  // Flows that may be open at an endpoint, in percent of its slots. More than
  // 100, as a flow does not use its slot during its handshake and its close;
  // another flow's work can use it meanwhile.
  std::uint32_t overlap_percent = 150;
  // Limits the moves of flows from silent endpoints to a tenth of the service's
  // openings of the last second, but at least 10. Beyond that a flow waits for
  // its caller's retransmission.
  bool limit_moves = false;
};

// Totals since the dispatcher was created.
struct FlowDispatcherCounters {
  std::uint64_t opened = 0;
  std::uint64_t placed = 0;    // Includes flows that were placed again.
  std::uint64_t repeated = 0;  // Retransmissions sent to the same endpoint.
  std::uint64_t moved = 0;  // Flows taken from an endpoint that did not answer.
  std::uint64_t moved_from_evacuated = 0;  // Included in `moved`.
  // Retransmissions not sent, as the endpoint is cold and has received as many
  // opening packets as it bears.
  std::uint64_t withheld_from_cold = 0;
  // Flows not taken from a silent endpoint, as the budget was used up.
  std::uint64_t moves_refused = 0;
  std::uint64_t refused = 0;
  // Placed though the latency target of the class can't be met any more;
  // included in `placed`.
  std::uint64_t placed_late = 0;
  std::uint64_t ended = 0;    // Ended or given up by the caller.
  std::uint64_t expired = 0;  // Timed out without a report of their end.
  std::uint64_t endpoints_found_silent = 0;
};

class FlowDispatcher {
 public:
  // A retransmission of an opening packet moves the flow to another endpoint if
  // its FlowOpening::copy is at least this: the endpoint has then left two
  // transmissions unanswered.
  static constexpr std::uint32_t kFirstMovedCopy = 2;
  // When a caller transmits an opening packet, from the first transmission on.
  static constexpr std::array<Duration, 3> kTransmissionTimes = {
      Duration::zero(), std::chrono::milliseconds(200),
      std::chrono::milliseconds(600)};
  // A caller gives up a flow that its endpoint has not accepted by then.
  static constexpr Duration kOpeningTimeout = std::chrono::milliseconds(1400);
  // A flow that is placed later than this before kOpeningTimeout is likely to
  // be given up: the endpoint's answer has to reach the caller in the meantime,
  // and the VMs may get their processor up to 75 ms late.
  static constexpr Duration kPlacementMargin = std::chrono::milliseconds(100);
  // An opening packet that is unanswered for this many mean handshake times is
  // evidence that its endpoint is silent. The resulting timeout is limited to
  // the two bounds below: with a shorter one, a VM that is late in getting its
  // processor would look silent; after the longer one, callers retransmit
  // anyway.
  static constexpr int kSilenceTimeoutHandshakes = 4;
  static constexpr Duration kMinSilenceTimeout = std::chrono::milliseconds(40);
  static constexpr Duration kMaxSilenceTimeout = std::chrono::milliseconds(250);
  // A silent endpoint receives one new flow per interval, to find out whether
  // it answers again.
  static constexpr Duration kSilentProbeInterval =
      std::chrono::milliseconds(500);
  // An accepted flow without a request for this long loses its slot: callers
  // that open a flow for a single request send it with the handshake.
  static constexpr Duration kUnusedFlowTimeout = std::chrono::milliseconds(100);
  // A flow whose answer is not reported, although the reports of its progress
  // may go to another VM, loses its slot after this many mean answer times of
  // its class, but not before kMaxSilenceTimeout.
  static constexpr int kUnreportedAnswerTimes = 4;
  // How long a flow is stored after it has released its slot: flows may stay
  // open that long without a request.
  static constexpr Duration kIdleFlowRetention = std::chrono::seconds(60);

  // Creates a dispatcher; `seed` makes its random selections reproducible.
  // Error: kInvalidArgument for an overlap below 100 percent.
  static Result<std::unique_ptr<FlowDispatcher>> Create(
      FlowDispatcherOptions options, std::uint64_t seed);
  virtual ~FlowDispatcher() = default;

  // Replaces the classes of all services.
  virtual void SetClasses(std::span<const ClassTarget> classes) = 0;
  // Replaces the endpoints of a service, and places waiting flows on new slots.
  virtual void SetEndpoints(TimePoint now, ServiceId service,
                            std::span<const Endpoint> endpoints,
                            FlowActions& actions) = 0;

  // Replaces the data centres that are evacuated: their endpoints get no new
  // flows. A flow that its endpoint has not accepted moves when its opening
  // packet is retransmitted; accepted flows stay.
  virtual void SetEvacuated(TimePoint now,
                            std::span<const std::string> data_centers,
                            FlowActions& actions) = 0;
  // Sets the bound for cold endpoints of a service, and this VM's part of it
  // for those of one shard. See SlotScheduler.
  virtual void SetWarmUp(TimePoint now, ServiceId service,
                         const WarmUp& warm_up) = 0;
  virtual void SetColdUse(TimePoint now, const ShardId& shard,
                          const ColdUse& use) = 0;
  // Divides a service into one shard per data centre, or unites them. The slots
  // in use remain counted. No flow of the service may be waiting; call
  // TakeWaiting() before, and SetEndpoints() afterwards.
  virtual void SetSharded(TimePoint now, ServiceId service, bool sharded) = 0;
  // The slots of a shard as counted here, and the expected times of a flow of
  // class `id`.
  virtual ShardLoad LoadOf(TimePoint now, const ShardId& shard, ClassId id) = 0;
  // True if the flow of this opening packet is open or waits here, or has ended
  // or was refused here recently. Open() then applies the earlier decision.
  virtual bool IsKnown(TimePoint now, const FlowOpening& opening) const = 0;

  // Processes an opening packet: places, queues or refuses a new flow. A
  // retransmission goes to the same endpoint or moves the flow to another one
  // (see kFirstMovedCopy); it opens nothing if the flow has ended, and is
  // refused again if the flow was refused.
  virtual void Open(TimePoint now, FlowOpening opening,
                    FlowActions& actions) = 0;
  // Processes a report that the caller has sent a packet after the opening
  // packet. A flow occupies a slot from its placement, or from a later request,
  // until the answer begins to arrive. If this VM did not place the flow, a
  // request makes it occupy a slot as `flow` describes.
  virtual void OnFlowUpdate(TimePoint now, const FlowUpdate& update,
                            const EstablishedFlow& flow,
                            FlowActions& actions) = 0;
  // Records that another VM, or this one, has become the dispatcher of the
  // service. Flows sent before the change or shortly afterwards are no evidence
  // of silence, as some VMs may report their progress to another VM.
  virtual void OnDispatcherChanged(TimePoint now, ServiceId service) = 0;
  // Records that this VM's link is late. Has to be called before each OnTick()
  // while it is; flows that were sent until then are no evidence of silence.
  virtual void OnLinkLate(TimePoint now) = 0;
  // Stops using the shard's present flows as evidence of silence: another VM
  // is its dispatcher now and receives the reports of their progress.
  virtual void StopSilenceDetection(const ShardId& shard) = 0;
  // Processes the end of a flow: the caller ended it, or gave it up, `age` ago.
  virtual void End(TimePoint now, FlowId id, bool given_up, Duration age,
                   FlowActions& actions) = 0;
  // True if the flow waits for a slot here, or occupied one here, and has
  // neither ended nor expired.
  virtual bool Contains(FlowId id) const = 0;
  // Removes and returns the flows of a shard that wait for a slot, so that they
  // can be handed over to another VM. They are ordered by id.
  virtual std::vector<FlowOpening> TakeWaiting(TimePoint now,
                                               const ShardId& shard) = 0;
  // Same as above for an unsharded service.
  std::vector<FlowOpening> TakeWaiting(TimePoint now, ServiceId service) {
    return TakeWaiting(now, ShardId{service, {}});
  }

  // The same for the flows for whose opening, with its present age, `takes` is
  // true.
  virtual std::vector<FlowOpening> TakeWaiting(
      TimePoint now, const std::function<bool(const FlowOpening&)>& takes) = 0;

  // Removes, without notice, the flows that wait for a slot and for whose
  // opening, with its present age, `drops` is true. Returns their number.
  virtual std::size_t DropWaiting(
      TimePoint now, const std::function<bool(const FlowOpening&)>& drops) = 0;

  // Processes timeouts: of waiting flows, silent endpoints and expired flows.
  virtual void OnTick(TimePoint now, FlowActions& actions) = 0;
  // The time at which OnTick() has to be called next.
  virtual TimePoint NextWake() const = 0;

  // The number of flows that were placed here and are open, by endpoint.
  virtual absl::flat_hash_map<EndpointId, std::uint64_t> OpenFlows() const = 0;

  virtual const FlowDispatcherCounters& counters() const = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_PACKETFLOW_FLOW_DISPATCHER_H_
