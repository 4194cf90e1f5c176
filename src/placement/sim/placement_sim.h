// A discrete-event simulation of placement in virtual time, for tests and
// reports. It models callers, entry VMs, and endpoints with slots and a queue
// of their own. For one seed, each placement policy (the scheduler or a
// baseline) gets the same arrivals with the same demands.
//
//   SimOptions options{.endpoints = MakeEndpoints(15, 3), .classes = {bulk}};
//   SimResult ideal = RunSim(options, IdealQueuePolicy(options));
//   SimResult ours = RunSim(options, DispatcherPolicy(options));
#ifndef VANILLALATCH_SRC_PLACEMENT_SIM_PLACEMENT_SIM_H_
#define VANILLALATCH_SRC_PLACEMENT_SIM_PLACEMENT_SIM_H_

#include <concepts>
#include <cstdint>
#include <deque>
#include <queue>
#include <random>
#include <span>
#include <vector>

#include "vanillalatch/placement/slot_scheduler.h"

namespace vanillalatch::sim {

// One simulated endpoint.
struct SimEndpoint {
  // Number of requests that it runs at the same time.
  std::uint32_t slots = 3;
  // Factor on the demand of each request.
  double slowness = 1;
  // From this time on, it answers every request with an error after 1 ms.
  TimePoint errors_from = kNever;
  // It is registered from joins_at on, and leaving from leaves_at on.
  TimePoint joins_at{};
  TimePoint leaves_at = kNever;
  // Number of its first requests that take five times as long.
  std::uint32_t cold_requests = 0;
  std::uint32_t reported_load_percent = 0;
};

// One class of work, which arrives as a Poisson process between two times.
struct SimClass {
  ClassTarget target;
  double load = 0.9;  // Part of the capacity of all endpoints.
  TimePoint from{};
  TimePoint to = kNever;
};

struct SimOptions {
  std::vector<SimEndpoint> endpoints;
  std::vector<SimClass> classes;
  std::uint32_t entry_vms = 7;
  // One-way delay between the ingress and the dispatcher.
  Duration handover = std::chrono::microseconds(500);
  // Mean time for which a request occupies a slot at an endpoint of slowness 1.
  Duration mean_demand = std::chrono::milliseconds(20);
  // No first attempt arrives after this time.
  Duration duration = std::chrono::seconds(40);
  // Requests that arrive earlier don't count in the result.
  TimePoint measured_from = TimePoint(std::chrono::seconds(2));
  // Number of times that a refused caller retries, each time after the
  // retry-after time of the refusal.
  std::uint32_t max_retries = 0;
  std::uint64_t seed = 1;
};

// One simulated request.
struct SimRequest {
  RequestId id;
  std::size_t class_index = 0;
  std::uint32_t vm = 0;  // Index of the ingress.
  TimePoint arrived{};
  TimePoint submitted{};  // Last submission to the policy.
  Duration demand{};
  std::uint32_t retries = 0;
  std::size_t endpoint = 0;  // Index in SimOptions::endpoints.
};

// Counts and latencies of the requests of one class.
struct ClassResult {
  std::uint64_t offered = 0;
  std::uint64_t answered = 0;
  std::uint64_t within_target = 0;  // Answered within the target latency.
  std::uint64_t refused = 0;
  std::uint64_t refused_after_wait = 0;  // Refused after waiting in the queue.
  std::uint64_t failed = 0;
  std::vector<Duration> latencies;

  double Mean() const;  // Milliseconds.
  double P99() const;   // Milliseconds.
};

// Counts and latencies of the requests of one endpoint.
struct EndpointResult {
  std::uint64_t started = 0;
  double busy_share = 0;  // Mean part of its slots in use.
  std::vector<Duration> latencies;

  double Mean() const;  // Milliseconds.
};

// The result of one run of the simulation.
struct SimResult {
  std::vector<ClassResult> classes;
  std::vector<EndpointResult> endpoints;
  // Starts on an endpoint without a free slot.
  std::uint64_t starts_without_free_slot = 0;

  double Mean() const;  // Milliseconds, all classes.
  double P99() const;   // Milliseconds, all classes.
  // Number of answers within the latency target of their class.
  std::uint64_t Goodput() const;
  // Busy share of the busiest endpoint divided by the mean of all endpoints.
  double Imbalance() const;
};

// Returns `count` endpoints of `slots` slots each.
std::vector<SimEndpoint> MakeEndpoints(std::size_t count, std::uint32_t slots);
// Returns the capacity of all endpoints, in slots of slowness 1.
double Capacity(const SimOptions& options);
// Returns the id of the endpoint at `index` of SimOptions::endpoints.
EndpointId EndpointIdAt(std::size_t index);

// A placement policy: the scheduler or a baseline.
template <typename P>
concept Policy = requires(P policy, TimePoint now, const SimRequest& request,
                          WorkOutcome outcome, std::vector<Verdict>& verdicts,
                          std::span<const Endpoint> endpoints) {
  { policy.HandoverDelay(request) } -> std::same_as<Duration>;
  policy.SetEndpoints(now, endpoints);
  policy.Submit(now, request, verdicts);
  policy.Finish(now, request, outcome, verdicts);
  policy.Tick(now, verdicts);
  { policy.NextWake() } -> std::same_as<TimePoint>;
};

namespace internal {

struct Event {
  enum class Kind : std::uint8_t {
    kArrival,        // A request or a retry reaches its ingress.
    kSubmit,         // The request reaches the policy.
    kServed,         // An endpoint has finished the request.
    kTick,           // The policy asked for a call of Tick().
    kEndpointChange  // An endpoint joins or starts to leave.
  };
  TimePoint at;
  std::uint64_t order;  // Of events of the same time; lowest first.
  Kind kind;
  std::size_t request;  // Index; unused for kTick and kEndpointChange.

  friend bool operator>(const Event& a, const Event& b) {
    return std::pair(a.at, a.order) > std::pair(b.at, b.order);
  }
};

// The part of the simulation that does not depend on the policy.
class SimCore {
 public:
  explicit SimCore(const SimOptions& options);

  // Removes the earliest event; false if there is none.
  bool NextEvent(Event& event);
  void Schedule(TimePoint at, Event::Kind kind, std::size_t request);
  // Samples the demand of the arriving request and schedules the next arrival
  // of its class. No effect for a retry.
  void HandleArrival(const Event& event);
  // Starts or refuses a request. `handover`: delay between its ingress and the
  // policy.
  void ApplyVerdict(TimePoint now, const Verdict& verdict, Duration handover);
  // Ends a request at its endpoint, which starts the next in its queue.
  WorkOutcome HandleServed(TimePoint now, std::size_t request,
                           Duration handover);
  // Returns the endpoints registered at `now`.
  std::vector<Endpoint> EndpointsAt(TimePoint now) const;
  SimRequest& request(std::size_t index) { return requests_[index]; }
  SimResult TakeResult();

 private:
  struct Server {
    std::uint32_t running = 0;
    std::uint64_t started_requests = 0;
    std::deque<std::size_t> queue;
    Duration busy_time{};
  };

  void RunOnServer(TimePoint now, std::size_t request);
  void Refuse(TimePoint now, SimRequest& request, Duration retry_after);
  bool IsMeasured(const SimRequest& request) const {
    return request.arrived >= options_.measured_from;
  }
  bool AnswersErrors(TimePoint now, std::size_t endpoint) const {
    return now >= options_.endpoints[endpoint].errors_from;
  }

  const SimOptions& options_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t order_ = 0;
  std::vector<std::mt19937_64> random_;  // One per class.
  std::deque<SimRequest> requests_;
  std::vector<Server> servers_;
  SimResult result_;
};

}  // namespace internal

// Runs the simulation with `policy` until no event is left.
template <Policy P>
SimResult RunSim(const SimOptions& options, P policy) {
  using Kind = internal::Event::Kind;
  internal::SimCore core(options);
  std::vector<Verdict> verdicts;
  TimePoint tick = kNever;
  internal::Event event{};
  while (core.NextEvent(event)) {
    const TimePoint now = event.at;
    switch (event.kind) {
      case Kind::kArrival:
        core.HandleArrival(event);
        core.Schedule(now + policy.HandoverDelay(core.request(event.request)),
                      Kind::kSubmit, event.request);
        break;
      case Kind::kSubmit:
        core.request(event.request).submitted = now;
        policy.Submit(now, core.request(event.request), verdicts);
        break;
      case Kind::kServed: {
        SimRequest& request = core.request(event.request);
        const WorkOutcome outcome = core.HandleServed(
            now, event.request, policy.HandoverDelay(request));
        policy.Finish(now, request, outcome, verdicts);
        break;
      }
      case Kind::kTick:
        tick = kNever;
        policy.Tick(now, verdicts);
        break;
      case Kind::kEndpointChange:
        policy.SetEndpoints(now, core.EndpointsAt(now));
        break;
    }
    for (const Verdict& it : verdicts) {
      const std::size_t index = it.request.value();
      core.ApplyVerdict(now, it, policy.HandoverDelay(core.request(index)));
    }
    verdicts.clear();
    if (const TimePoint wake = policy.NextWake(); wake < tick) {
      tick = std::max(wake, now);
      core.Schedule(tick, Kind::kTick, 0);
    }
  }
  return core.TakeResult();
}

}  // namespace vanillalatch::sim

#endif  // VANILLALATCH_SRC_PLACEMENT_SIM_PLACEMENT_SIM_H_
