// A small discrete-event test bench for placement, in virtual time and drawn
// from a seed: callers, entry VMs, and endpoints with slots and a queue of
// their own. It runs the scheduler and the baselines over the same arrivals
// and the same demands.
//
//   SimOptions options{.endpoints = Endpoints(15, 3), .classes = {bulk}};
//   SimResult ideal = RunSim(options, IdealQueue(options));
//   SimResult ours = RunSim(options, Dispatcher(options));
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

struct SimEndpoint {
  std::uint32_t slots = 3;
  double slowness = 1;  // Factor on each demand.
  // From this time on, it answers errors at once.
  TimePoint errors_from = kNever;
  TimePoint joins{};
  TimePoint leaves = kNever;
  // Its first requests after it joined take five times as long.
  std::uint32_t cold_requests = 0;
  std::uint32_t reported_load = 0;  // Percent.
};

struct SimClass {
  ClassTarget target;
  double load = 0.9;  // Of the capacity of all endpoints.
  TimePoint from{};
  TimePoint to = kNever;
};

struct SimOptions {
  std::vector<SimEndpoint> endpoints;
  std::vector<SimClass> classes;
  std::uint32_t entry_vms = 7;
  Duration handover = std::chrono::microseconds(500);  // One way.
  Duration mean_demand = std::chrono::milliseconds(20);
  Duration length = std::chrono::seconds(40);
  // Requests that arrive from then on are counted.
  TimePoint measured_from = TimePoint(std::chrono::seconds(2));
  // Refused callers come back when they were told to, this often.
  std::uint32_t returns = 0;
  std::uint64_t seed = 1;
};

struct SimRequest {
  RequestId id;
  std::size_t class_index = 0;
  std::uint32_t vm = 0;  // The ingress.
  TimePoint arrived{};
  TimePoint submitted{};  // To the policy, the last time.
  Duration demand{};
  std::uint32_t returned = 0;
  std::size_t endpoint = 0;
};

struct ClassResult {
  std::uint64_t offered = 0;
  std::uint64_t answered = 0;
  std::uint64_t within = 0;  // Of the target's latency.
  std::uint64_t refused = 0;
  std::uint64_t refused_late = 0;  // After it had waited.
  std::uint64_t failed = 0;
  std::vector<Duration> latencies;

  double Mean() const;  // Milliseconds.
  double P99() const;   // Milliseconds.
};

struct EndpointResult {
  std::uint64_t started = 0;
  double busy_share = 0;
  std::vector<Duration> latencies;

  double Mean() const;  // Milliseconds.
};

struct SimResult {
  std::vector<ClassResult> classes;
  std::vector<EndpointResult> endpoints;
  std::uint64_t over_slots = 0;  // Starts on an endpoint without a free slot.

  double Mean() const;  // Milliseconds, all classes.
  double P99() const;   // Milliseconds, all classes.
  // Answers within their targets.
  std::uint64_t Goodput() const;
  // The busiest endpoint's busy share over the mean.
  double Imbalance() const;
};

// `count` endpoints of `slots` slots each.
std::vector<SimEndpoint> Endpoints(std::size_t count, std::uint32_t slots);
// Slots at the usual speed.
double Capacity(const SimOptions& options);
EndpointId IdOf(std::size_t index);

// What places requests: the scheduler or a baseline.
template <typename P>
concept Policy = requires(P policy, TimePoint now, const SimRequest& request,
                          WorkOutcome outcome, std::vector<Verdict>& verdicts,
                          std::span<const Endpoint> endpoints) {
  { policy.HandoverOf(request) } -> std::same_as<Duration>;
  policy.SetEndpoints(now, endpoints);
  policy.Submit(now, request, verdicts);
  policy.Finish(now, request, outcome, verdicts);
  policy.Tick(now, verdicts);
  { policy.NextWake() } -> std::same_as<TimePoint>;
};

namespace internal {

struct Event {
  enum class Kind : std::uint8_t { kArrival, kSubmit, kServed, kTick, kChange };
  TimePoint at;
  std::uint64_t order;
  Kind kind;
  std::size_t request;

  friend bool operator>(const Event& a, const Event& b) {
    return std::pair(a.at, a.order) > std::pair(b.at, b.order);
  }
};

// All of the bench that does not depend on the policy.
class SimCore {
 public:
  explicit SimCore(const SimOptions& options);

  bool Next(Event& event);
  void Push(TimePoint at, Event::Kind kind, std::size_t request);
  void Arrive(const Event& event);
  void Apply(TimePoint now, const Verdict& verdict, Duration handover);
  WorkOutcome Served(TimePoint now, std::size_t request, Duration handover);
  std::vector<Endpoint> EndpointsAt(TimePoint now) const;
  SimRequest& request(std::size_t index) { return requests_[index]; }
  SimResult TakeResult();

 private:
  struct Server {
    std::uint32_t running = 0;
    std::uint64_t begun = 0;
    std::deque<std::size_t> line;
    Duration busy{};
  };

  void Run(TimePoint now, std::size_t request);
  void Refuse(TimePoint now, SimRequest& request, Duration retry_after);
  bool Measured(const SimRequest& request) const {
    return request.arrived >= options_.measured_from;
  }
  bool AnswersErrors(TimePoint now, std::size_t endpoint) const {
    return now >= options_.endpoints[endpoint].errors_from;
  }

  const SimOptions& options_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t order_ = 0;
  std::vector<std::mt19937_64> random_;  // One a class.
  std::deque<SimRequest> requests_;
  std::vector<Server> servers_;
  SimResult result_;
};

}  // namespace internal

template <Policy P>
SimResult RunSim(const SimOptions& options, P policy) {
  using Kind = internal::Event::Kind;
  internal::SimCore core(options);
  std::vector<Verdict> verdicts;
  TimePoint tick = kNever;
  internal::Event event{};
  while (core.Next(event)) {
    const TimePoint now = event.at;
    switch (event.kind) {
      case Kind::kArrival:
        core.Arrive(event);
        core.Push(now + policy.HandoverOf(core.request(event.request)),
                  Kind::kSubmit, event.request);
        break;
      case Kind::kSubmit:
        core.request(event.request).submitted = now;
        policy.Submit(now, core.request(event.request), verdicts);
        break;
      case Kind::kServed: {
        SimRequest& request = core.request(event.request);
        const WorkOutcome outcome =
            core.Served(now, event.request, policy.HandoverOf(request));
        policy.Finish(now, request, outcome, verdicts);
        break;
      }
      case Kind::kTick:
        tick = kNever;
        policy.Tick(now, verdicts);
        break;
      case Kind::kChange:
        policy.SetEndpoints(now, core.EndpointsAt(now));
        break;
    }
    for (const Verdict& it : verdicts) {
      const std::size_t index = it.request.value();
      core.Apply(now, it, policy.HandoverOf(core.request(index)));
    }
    verdicts.clear();
    if (const TimePoint wake = policy.NextWake(); wake < tick) {
      tick = std::max(wake, now);
      core.Push(tick, Kind::kTick, 0);
    }
  }
  return core.TakeResult();
}

}  // namespace vanillalatch::sim

#endif  // VANILLALATCH_SRC_PLACEMENT_SIM_PLACEMENT_SIM_H_
