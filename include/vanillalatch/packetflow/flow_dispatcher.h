// Decides which endpoint takes each new flow of a service, or how long it
// waits, or that it is refused. Runs where a service's opening packets meet,
// so that one place counts the flows that are open at each endpoint.
//
// Answers the load of services whose flows carry one request or a few: an
// endpoint works on as many flows as it has slots, a flow is open for a little
// longer than its slot is in use, and flows that find no slot wait here, in
// order of their classes, rather than at an endpoint.
//
//   auto dispatcher = FlowDispatcher::Create(options, seed).value();
//   dispatcher->SetEndpoints(now, service, registry.EndpointsOf(service));
//   dispatcher->Open(now, opening, actions);
//   for (const FlowPlacement& it : actions.placements) ...
#ifndef VANILLALATCH_PACKETFLOW_FLOW_DISPATCHER_H_
#define VANILLALATCH_PACKETFLOW_FLOW_DISPATCHER_H_

#include <memory>
#include <span>
#include <string>
#include <vector>

#include "vanillalatch/packetflow/flow_watch.h"
#include "vanillalatch/packetflow/packet.h"
#include "vanillalatch/placement/slot_scheduler.h"

namespace vanillalatch {

struct FlowOpening {
  FlowId id;
  SocketAddress caller;
  SocketAddress route;  // That the caller opened it to.
  ServiceId service;
  ClassId work_class;
  Duration timeout{};  // The caller gives up after this time.
  std::uint32_t sequence = 0;
  std::uint32_t copy = 0;   // Opening packets of this flow before this one.
  std::string data_center;  // Whose endpoints are preferred.
  // Whoever sees the flow's next packets tells this VM: their absence says that
  // the endpoint is silent.
  bool watched = false;
  std::string packet;  // As it came from the caller.
};

// An open flow, for a dispatcher that may not have placed it.
struct EstablishedFlow {
  ServiceId service;
  ClassId work_class;
  Duration timeout{};
  EndpointId endpoint;
};

// The opening packet goes to this endpoint.
struct FlowPlacement {
  EndpointId endpoint;
  std::string packet;
};

// The caller is told at once that the flow is not opened. Nothing has run.
struct FlowRefusal {
  FlowId id;
  ErrorKind kind = ErrorKind::kOverloaded;
  std::string packet;
  RefusalCause cause{};
};

// An endpoint was found to answer nobody, or answers again.
struct EndpointSilence {
  EndpointId endpoint;
  bool silent = false;
  std::size_t unanswered = 0;  // Flows that showed it.
  Duration limit{};            // For which they had waited.
};

// What was decided about a flow, or became known of it, for the log.
struct FlowNote {
  enum class Kind : std::uint8_t {
    kPlaced,
    kMoved,    // Placed elsewhere: `from` did not answer.
    kGivenUp,  // The caller gave up.
    kUnheard,  // Its time is over, and nobody has told of its end.
  };
  Kind kind = Kind::kPlaced;
  SocketAddress caller;
  SocketAddress route;
  std::uint32_t sequence = 0;
  std::uint32_t copy = 0;
  EndpointId endpoint;  // 0: it still waited for a slot.
  EndpointId from;      // kMoved
  // kPlaced, kMoved: how long it waited for a slot. Else: since its opening
  // packet was sent to the endpoint, or since it began to wait without one.
  Duration elapsed{};
  bool answered = false;   // The endpoint has accepted it.
  bool requested = false;  // The caller has sent a request on it.
};

// How long a part of a flow took, for histograms.
struct FlowTiming {
  enum class Part : std::uint8_t {
    kWait,       // For a slot.
    kHandshake,  // From placing it until the caller went on.
    kAnswer,     // From placing it until its first answer began to come.
  };
  Part part = Part::kWait;
  Duration duration{};
};

struct FlowActions {
  std::vector<FlowTiming> timings;
  std::vector<FlowNote> notes;
  std::vector<FlowPlacement> placements;
  std::vector<FlowRefusal> refusals;
  std::vector<EndpointSilence> silences;
};

struct FlowDispatcherOptions {
  // Flows open at an endpoint for each of its slots, in percent: handshake
  // and close take as long as a part of the work, during which another flow's
  // work has the slot.
  std::uint32_t overlap_percent = 150;
};

struct FlowDispatcherCounters {
  std::uint64_t opened = 0;
  std::uint64_t placed = 0;
  std::uint64_t repeated = 0;  // Copies sent to the same endpoint again.
  std::uint64_t moved = 0;     // Copies sent to another endpoint.
  std::uint64_t refused = 0;
  std::uint64_t ended = 0;
  std::uint64_t expired = 0;   // Nobody told of their end.
  std::uint64_t silenced = 0;  // Endpoints found to answer nobody.
};

class FlowDispatcher {
 public:
  // Copies of an opening packet from this one on go to another endpoint: the
  // first has been silent twice.
  static constexpr std::uint32_t kMoveFromCopy = 2;
  // An endpoint is silent if its callers go on with no flow for this many
  // usual handshakes, within the two bounds: below the first, a VM that gets
  // its processor late would look like it; above the second, callers send
  // copies anyway.
  static constexpr int kHandshakesOfSilence = 4;
  static constexpr Duration kLeastSilence = std::chrono::milliseconds(40);
  static constexpr Duration kMostSilence = std::chrono::milliseconds(250);
  // A silent endpoint gets one flow to answer this often.
  static constexpr Duration kSilentProbe = std::chrono::milliseconds(500);
  // A flow without a request for this long after it was opened has no slot:
  // callers that open a flow for one request send it with the handshake.
  static constexpr Duration kUnusedFlow = std::chrono::milliseconds(100);
  // A flow without requests is remembered this long; it may be that old.
  static constexpr Duration kKeepIdle = std::chrono::seconds(60);

  // Error: kInvalidArgument for an overlap below 100 percent.
  static Result<std::unique_ptr<FlowDispatcher>> Create(
      FlowDispatcherOptions options, std::uint64_t seed);
  virtual ~FlowDispatcher() = default;

  virtual void SetClasses(std::span<const ClassTarget> classes) = 0;
  virtual void SetEndpoints(TimePoint now, ServiceId service,
                            std::span<const Endpoint> endpoints,
                            FlowActions& actions) = 0;

  virtual void Open(TimePoint now, FlowOpening opening,
                    FlowActions& actions) = 0;
  // A packet behind the opening one has come from the caller. A flow has a slot
  // from its opening, or from a later request, until the answer begins to come.
  virtual void Seen(TimePoint now, const FlowNews& news,
                    const EstablishedFlow& flow, FlowActions& actions) = 0;
  // Which VM places the service's flows has changed: for a while, the absence
  // of news says nothing of an endpoint.
  virtual void OnDispatcherChanged(TimePoint now, ServiceId service) = 0;
  // Another VM dispatches the service now and hears of its flows.
  virtual void Unwatch(ServiceId service) = 0;
  // The caller ended the flow, or gave it up.
  virtual void End(TimePoint now, FlowId id, bool given_up,
                   FlowActions& actions) = 0;
  // True if it waits or was placed here and has not ended.
  virtual bool Knows(FlowId id) const = 0;
  // Takes the flows of one service that still wait, to hand them over.
  virtual std::vector<FlowOpening> TakeWaiting(TimePoint now,
                                               ServiceId service) = 0;

  virtual void OnTick(TimePoint now, FlowActions& actions) = 0;
  virtual TimePoint NextWake() const = 0;

  virtual const FlowDispatcherCounters& counters() const = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_PACKETFLOW_FLOW_DISPATCHER_H_
