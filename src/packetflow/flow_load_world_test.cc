#include "src/packetflow/flow_load_world.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>

namespace vanillalatch::internal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ServiceId kService{1};
// One way between a caller and an endpoint, through an entry VM.
constexpr Duration kWay = milliseconds(1);
// From a refusal to the caller's next try.
constexpr Duration kRetryDelay = milliseconds(5);
constexpr std::uint32_t kMaxTries = 3;
constexpr Duration kBucket = milliseconds(100);
// Demands have a standard deviation of half of their mean.
constexpr double kDemandShape = 4;
constexpr Duration kEarly = milliseconds(500);

// One caller's request, with all its tries.
struct Caller {
  std::size_t work_class = 0;
  TimePoint began;
  Duration demand{};
  std::uint32_t tries = 0;
  std::uint64_t flow = 0;  // The present try; 0: none.
  bool accepted = false;
  bool ended = false;
};

// The arrivals of a plan; the same for each policy and seed.
std::vector<Caller> ArrivalsOf(const LoadPlan& plan, std::uint64_t seed) {
  std::vector<Caller> callers;
  const double capacity = plan.endpoints * plan.slots;
  for (std::size_t n = 0; n < plan.classes.size(); ++n) {
    const LoadClass& load_class = plan.classes[n];
    std::mt19937_64 random(seed * plan.classes.size() + n);
    std::exponential_distribution<double> interval(1);
    std::gamma_distribution<double> demand(kDemandShape, 1 / kDemandShape);
    const auto scaled = [](Duration mean, double factor) {
      return Duration(static_cast<Duration::rep>(
          static_cast<double>(mean.count()) * factor));
    };
    for (std::size_t i = 0; i < plan.steps.size(); ++i) {
      const TimePoint to =
          i + 1 < plan.steps.size() ? plan.steps[i + 1].from : plan.end;
      const double busy = plan.steps[i].load * load_class.part * capacity;
      TimePoint at = plan.steps[i].from;
      while ((at += scaled(load_class.mean_demand, interval(random) / busy)) <
             to) {
        callers.push_back(
            {n, at, scaled(load_class.mean_demand, demand(random))});
      }
    }
  }
  std::sort(callers.begin(), callers.end(),
            [](const Caller& a, const Caller& b) { return a.began < b.began; });
  return callers;
}

// Counts what callers get.
class Tally {
 public:
  explicit Tally(const LoadPlan& plan) : plan_(plan) {
    result_.classes.resize(plan.classes.size());
  }
  // `answered`: when the answer reached the caller; kNever for none.
  void Add(const Caller& caller, TimePoint answered) {
    const LoadClass& load_class = plan_.classes[caller.work_class];
    const bool in_target = answered != kNever &&
                           answered - caller.began <= load_class.target.latency;
    auto& [asked, met] = buckets_[(caller.began - TimePoint()) / kBucket];
    ++asked;
    met += in_target ? 1 : 0;
    if (caller.began < plan_.measured_from) {
      return;
    }
    LoadClassResult& out = result_.classes[caller.work_class];
    ++out.asked;
    out.in_target += in_target ? 1 : 0;
    out.late += answered != kNever && !in_target ? 1 : 0;
  }
  void AddEarlyRefusal(const Caller& caller) {
    result_.classes[caller.work_class].refused_early +=
        caller.began >= plan_.measured_from ? 1 : 0;
  }
  LoadResult Take() {
    for (const auto& [bucket, counts] : buckets_) {
      const TimePoint end = TimePoint() + (bucket + 1) * kBucket;
      if (plan_.outage_to != kNever && end > plan_.outage_to &&
          counts.second * 20 < counts.first * 19) {
        result_.recovery = end - plan_.outage_to;
      }
    }
    return result_;
  }

 private:
  const LoadPlan& plan_;
  LoadResult result_;
  std::map<std::int64_t, std::pair<std::uint64_t, std::uint64_t>> buckets_;
};

// Events by time; those of the same time in the order of their insertion.
class Events {
 public:
  void At(TimePoint at, std::function<void()> run) {
    events_.emplace(std::pair(at, ++order_), std::move(run));
  }
  TimePoint NextAt() const {
    return events_.empty() ? kNever : events_.begin()->first.first;
  }
  void RunNext() {
    auto node = events_.extract(events_.begin());
    node.mapped()();
  }

 private:
  std::uint64_t order_ = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> events_;
};

class FlowLoadWorld {
 public:
  FlowLoadWorld(const LoadPlan& plan, std::uint64_t seed)
      : plan_(plan),
        seed_(seed),
        callers_(ArrivalsOf(plan, seed)),
        servers_(plan.endpoints),
        tally_(plan) {
    StartDispatcher();
  }

  LoadResult Run() {
    for (std::size_t n = 0; n < callers_.size(); ++n) {
      events_.At(callers_[n].began, [this, n] { Try(n); });
    }
    if (plan_.outage_to != kNever) {
      events_.At(plan_.outage_to, [this] { StartDispatcher(); });
    }
    while (events_.NextAt() != kNever) {
      const TimePoint wake = IsDown() ? kNever : dispatcher_->NextWake();
      if (wake < events_.NextAt()) {
        now_ = std::max(now_, wake);
        FlowActions actions;
        dispatcher_->OnTick(now_, actions);
        Apply(actions);
        // A wake that is not in the future would repeat forever.
        if (dispatcher_->NextWake() <= now_) {
          now_ += std::chrono::microseconds(100);
        }
        continue;
      }
      now_ = std::max(now_, events_.NextAt());
      events_.RunNext();
    }
    for (const Caller& it : callers_) {
      if (!it.ended) {
        tally_.Add(it, kNever);
      }
    }
    return tally_.Take();
  }

 private:
  struct Server {
    std::uint32_t running = 0;
    std::deque<std::uint64_t> queue;
  };

  bool IsDown() const {
    return now_ >= plan_.outage_from && now_ < plan_.outage_to;
  }

  void StartDispatcher() {
    dispatcher_ = FlowDispatcher::Create({}, seed_).value();
    std::vector<ClassTarget> targets;
    for (const LoadClass& it : plan_.classes) {
      targets.push_back(it.target);
    }
    dispatcher_->SetClasses(targets);
    std::vector<Endpoint> endpoints(plan_.endpoints);
    for (std::uint32_t n = 0; n < plan_.endpoints; ++n) {
      endpoints[n].id = EndpointId(n + 1);
      endpoints[n].service = kService;
      endpoints[n].slots = plan_.slots;
    }
    FlowActions actions;
    dispatcher_->SetEndpoints(now_, kService, endpoints, actions);
  }

  TimePoint DeadlineOf(const Caller& caller) const {
    return caller.began + plan_.classes[caller.work_class].timeout;
  }

  // The caller opens a new flow, and schedules its retransmissions.
  void Try(std::size_t n) {
    Caller& caller = callers_[n];
    if (++caller.tries > kMaxTries || now_ >= DeadlineOf(caller)) {
      return;
    }
    caller.flow = ++last_flow_;
    caller.accepted = false;
    flows_[caller.flow] = n;
    const std::uint64_t flow = caller.flow;
    for (std::uint32_t copy = 0;
         copy < FlowDispatcher::kTransmissionTimes.size(); ++copy) {
      events_.At(now_ + FlowDispatcher::kTransmissionTimes[copy],
                 [this, flow, copy] { Transmit(flow, copy); });
    }
    events_.At(now_ + FlowDispatcher::kOpeningTimeout, [this, n, flow] {
      if (callers_[n].flow == flow && !callers_[n].accepted) {
        callers_[n].flow = 0;
        Try(n);
      }
    });
  }

  void Transmit(std::uint64_t flow, std::uint32_t copy) {
    const std::size_t n = flows_.at(flow);
    const Caller& caller = callers_[n];
    if (caller.flow != flow || caller.accepted || IsDown()) {
      return;
    }
    const LoadClass& load_class = plan_.classes[caller.work_class];
    FlowOpening opening;
    opening.id = FlowId(flow);
    opening.caller = SocketAddress{static_cast<std::uint32_t>(n + 1), 4000};
    opening.service = kService;
    opening.work_class = load_class.target.id;
    opening.timeout = load_class.timeout;
    opening.sequence = 1;
    opening.copy = copy;
    opening.age = FlowDispatcher::kTransmissionTimes[copy];
    opening.packet = std::to_string(flow);
    FlowActions actions;
    dispatcher_->Open(now_, opening, actions);
    Apply(actions);
  }

  void Apply(const FlowActions& actions) {
    for (const FlowPlacement& it : actions.placements) {
      const std::uint64_t flow = std::stoull(it.packet);
      const std::size_t server = it.endpoint.value() - 1;
      events_.At(now_ + kWay, [this, flow, server] { Accept(flow, server); });
    }
    for (const FlowRefusal& it : actions.refusals) {
      const std::size_t n = flows_.at(it.id.value());
      if (callers_[n].flow == it.id.value()) {
        OnRefused(n);
      }
    }
  }

  // The refusal of a try reaches its caller.
  void OnRefused(std::size_t n) {
    Caller& caller = callers_[n];
    caller.flow = 0;
    if (caller.tries == kMaxTries && DeadlineOf(caller) - now_ >= kEarly) {
      tally_.AddEarlyRefusal(caller);
    }
    events_.At(now_ + kRetryDelay, [this, n] { Try(n); });
  }

  // The opening packet reaches an endpoint, then the request does.
  void Accept(std::uint64_t flow, std::size_t server) {
    Caller& caller = callers_[flows_.at(flow)];
    if (caller.flow != flow || std::exchange(caller.accepted, true)) {
      return;
    }
    Report(flow, server, false);
    Server& it = servers_[server];
    if (it.running < plan_.slots) {
      RunRequest(flow, server);
    } else if (it.queue.size() < plan_.endpoint_queue) {
      it.queue.push_back(flow);
    } else {
      End(flow);
      OnRefused(flows_.at(flow));
    }
  }

  void RunRequest(std::uint64_t flow, std::size_t server) {
    ++servers_[server].running;
    events_.At(now_ + callers_[flows_.at(flow)].demand,
               [this, flow, server] { OnServed(flow, server); });
  }

  void OnServed(std::uint64_t flow, std::size_t server) {
    Caller& caller = callers_[flows_.at(flow)];
    if (!std::exchange(caller.ended, true)) {
      const TimePoint answered = now_ + kWay;
      tally_.Add(caller, answered <= DeadlineOf(caller) ? answered : kNever);
    }
    Server& it = servers_[server];
    --it.running;
    if (!it.queue.empty()) {
      const std::uint64_t next = it.queue.front();
      it.queue.pop_front();
      RunRequest(next, server);
    }
    Report(flow, server, true);
    End(flow);
  }

  // An entry VM reports the progress of a flow.
  void Report(std::uint64_t flow, std::size_t server, bool answered) {
    if (IsDown()) {
      return;
    }
    const LoadClass& load_class =
        plan_.classes[callers_[flows_.at(flow)].work_class];
    FlowActions actions;
    dispatcher_->OnFlowUpdate(now_, {FlowId(flow), !answered, answered},
                              {kService, load_class.target.id,
                               load_class.timeout, EndpointId(server + 1)},
                              actions);
    Apply(actions);
  }

  void End(std::uint64_t flow) {
    if (!IsDown()) {
      FlowActions actions;
      dispatcher_->End(now_, FlowId(flow), false, {}, actions);
      Apply(actions);
    }
  }

  const LoadPlan& plan_;
  std::uint64_t seed_;
  TimePoint now_;
  Events events_;
  std::vector<Caller> callers_;
  std::vector<Server> servers_;
  Tally tally_;
  std::unique_ptr<FlowDispatcher> dispatcher_;
  std::uint64_t last_flow_ = 0;
  std::map<std::uint64_t, std::size_t> flows_;  // Callers by flow.
};

// Removes and returns the request that the ideal queue serves next.
std::optional<Caller> TakeNext(const LoadPlan& plan, TimePoint now,
                               std::vector<std::deque<Caller>>& waiting) {
  for (const bool late : {false, true}) {
    for (std::size_t n = 0; n < waiting.size(); ++n) {
      const Duration limit =
          late ? plan.classes[n].timeout : plan.classes[n].target.latency;
      const auto it = std::find_if(
          waiting[n].begin(), waiting[n].end(), [&](const Caller& caller) {
            return now + plan.classes[n].mean_demand + 2 * kWay <=
                   caller.began + limit;
          });
      if (it != waiting[n].end()) {
        const Caller next = *it;
        waiting[n].erase(it);
        return next;
      }
    }
  }
  return std::nullopt;
}

}  // namespace

std::uint64_t LoadResult::in_target() const {
  std::uint64_t n = 0;
  for (const LoadClassResult& it : classes) {
    n += it.in_target;
  }
  return n;
}

std::uint64_t LoadResult::answered() const {
  std::uint64_t n = in_target();
  for (const LoadClassResult& it : classes) {
    n += it.late;
  }
  return n;
}

LoadResult RunFlowLoad(const LoadPlan& plan, std::uint64_t seed) {
  return FlowLoadWorld(plan, seed).Run();
}

LoadResult RunIdealLoad(const LoadPlan& plan, std::uint64_t seed) {
  const std::vector<Caller> callers = ArrivalsOf(plan, seed);
  Tally tally(plan);
  std::vector<std::deque<Caller>> waiting(plan.classes.size());
  std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>> ends;
  std::size_t free = std::size_t{plan.endpoints} * plan.slots;
  std::size_t next = 0;
  bool outage_ended = plan.outage_to == kNever;
  while (next < callers.size() || !ends.empty() || !outage_ended) {
    TimePoint now = next < callers.size() ? callers[next].began : kNever;
    now = std::min(now, ends.empty() ? kNever : ends.top());
    now = std::min(now, outage_ended ? kNever : plan.outage_to);
    outage_ended |= now == plan.outage_to;
    for (; !ends.empty() && ends.top() <= now; ends.pop()) {
      ++free;
    }
    for (; next < callers.size() && callers[next].began <= now; ++next) {
      waiting[callers[next].work_class].push_back(callers[next]);
    }
    const bool is_down = now >= plan.outage_from && now < plan.outage_to;
    while (free > 0 && !is_down) {
      const std::optional<Caller> it = TakeNext(plan, now, waiting);
      if (!it) {
        break;
      }
      --free;
      ends.push(now + it->demand);
      const TimePoint answered = now + it->demand + 2 * kWay;
      const TimePoint deadline =
          it->began + plan.classes[it->work_class].timeout;
      tally.Add(*it, answered <= deadline ? answered : kNever);
    }
  }
  for (const std::deque<Caller>& queue : waiting) {
    for (const Caller& it : queue) {
      tally.Add(it, kNever);
    }
  }
  return tally.Take();
}

}  // namespace vanillalatch::internal
