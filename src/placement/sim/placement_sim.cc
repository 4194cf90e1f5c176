#include "src/placement/sim/placement_sim.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace vanillalatch::sim {
namespace {

// Factor on the demand of an endpoint's first SimEndpoint::cold_requests.
constexpr double kColdSlowness = 5;
constexpr Duration kErrorAnswerTime = std::chrono::milliseconds(1);

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

double MeanOf(const std::vector<Duration>& latencies) {
  const Duration sum =
      std::accumulate(latencies.begin(), latencies.end(), Duration::zero());
  return latencies.empty()
             ? 0
             : Milliseconds(sum) / static_cast<double>(latencies.size());
}

double P99Of(std::vector<Duration> latencies) {
  if (latencies.empty()) {
    return 0;
  }
  const auto nth = latencies.begin() + static_cast<std::ptrdiff_t>(
                                           (latencies.size() - 1) * 99 / 100);
  std::nth_element(latencies.begin(), nth, latencies.end());
  return Milliseconds(*nth);
}

Duration Exponential(std::mt19937_64& random, double mean) {
  return Duration(static_cast<Duration::rep>(
      std::exponential_distribution<>(1 / mean)(random)));
}

std::vector<Duration> AllLatencies(const SimResult& result) {
  std::vector<Duration> all;
  for (const ClassResult& it : result.classes) {
    all.insert(all.end(), it.latencies.begin(), it.latencies.end());
  }
  return all;
}

}  // namespace

double ClassResult::Mean() const { return MeanOf(latencies); }
double ClassResult::P99() const { return P99Of(latencies); }
double EndpointResult::Mean() const { return MeanOf(latencies); }
double SimResult::Mean() const { return MeanOf(AllLatencies(*this)); }
double SimResult::P99() const { return P99Of(AllLatencies(*this)); }

std::uint64_t SimResult::Goodput() const {
  std::uint64_t n = 0;
  for (const ClassResult& it : classes) {
    n += it.within_target;
  }
  return n;
}

double SimResult::Imbalance() const {
  double sum = 0;
  double max_share = 0;
  for (const EndpointResult& it : endpoints) {
    sum += it.busy_share;
    max_share = std::max(max_share, it.busy_share);
  }
  return max_share * static_cast<double>(endpoints.size()) / sum;
}

std::vector<SimEndpoint> MakeEndpoints(std::size_t count, std::uint32_t slots) {
  return std::vector<SimEndpoint>(count, SimEndpoint{.slots = slots});
}

double Capacity(const SimOptions& options) {
  double slots = 0;
  for (const SimEndpoint& it : options.endpoints) {
    slots += it.slots / it.slowness;
  }
  return slots;
}

EndpointId EndpointIdAt(std::size_t index) { return EndpointId(index + 1); }

namespace internal {

SimCore::SimCore(const SimOptions& options)
    : options_(options), servers_(options.endpoints.size()) {
  result_.classes.resize(options.classes.size());
  result_.endpoints.resize(options.endpoints.size());
  for (std::size_t i = 0; i < options.classes.size(); ++i) {
    random_.emplace_back(options.seed * 1000 + i);
    requests_.push_back({.id = RequestId(i), .class_index = i});
    Schedule(options.classes[i].from, Event::Kind::kArrival, i);
  }
  for (const SimEndpoint& it : options.endpoints) {
    Schedule(it.joins_at, Event::Kind::kEndpointChange, 0);
    if (it.leaves_at != kNever) {
      Schedule(it.leaves_at, Event::Kind::kEndpointChange, 0);
    }
  }
}

void SimCore::Schedule(TimePoint at, Event::Kind kind, std::size_t request) {
  // Changes of the endpoints come before all other events of the same time.
  const bool comes_first = kind == Event::Kind::kEndpointChange;
  events_.push({at, comes_first ? 0 : ++order_, kind, request});
}

bool SimCore::NextEvent(Event& event) {
  if (events_.empty()) {
    return false;
  }
  event = events_.top();
  events_.pop();
  return true;
}

void SimCore::HandleArrival(const Event& event) {
  SimRequest& request = requests_[event.request];
  if (request.retries > 0) {
    return;
  }
  const std::size_t index = request.class_index;
  const SimClass& sim_class = options_.classes[index];
  std::mt19937_64& random = random_[index];
  const auto mean = static_cast<double>(options_.mean_demand.count());
  const Duration gap =
      Exponential(random, mean / (Capacity(options_) * sim_class.load));
  request.demand = Exponential(random, mean);
  request.vm = static_cast<std::uint32_t>(random() % options_.entry_vms);
  request.arrived = event.at;
  if (IsMeasured(request)) {
    ++result_.classes[index].offered;
  }
  const TimePoint next = event.at + gap;
  if (next < std::min(sim_class.to, TimePoint(options_.duration))) {
    const std::size_t added = requests_.size();
    requests_.push_back({.id = RequestId(added), .class_index = index});
    Schedule(next, Event::Kind::kArrival, added);
  }
}

void SimCore::ApplyVerdict(TimePoint now, const Verdict& verdict,
                           Duration handover) {
  const std::size_t index = verdict.request.value();
  SimRequest& request = requests_[index];
  if (verdict.kind == Verdict::Kind::kRefuse) {
    Refuse(now, request, verdict.retry_after + 2 * handover);
    return;
  }
  request.endpoint = verdict.endpoint.value() - 1;
  if (IsMeasured(request)) {
    ++result_.endpoints[request.endpoint].started;
  }
  Server& server = servers_[request.endpoint];
  if (server.running < options_.endpoints[request.endpoint].slots) {
    RunOnServer(now, index);
  } else {
    ++result_.starts_without_free_slot;
    server.queue.push_back(index);
  }
}

void SimCore::Refuse(TimePoint now, SimRequest& request, Duration retry_after) {
  if (request.retries < options_.max_retries) {
    ++request.retries;
    Schedule(now + retry_after, Event::Kind::kArrival, request.id.value());
    return;
  }
  if (IsMeasured(request)) {
    ClassResult& out = result_.classes[request.class_index];
    ++out.refused;
    out.refused_after_wait += now > request.submitted ? 1 : 0;
  }
}

void SimCore::RunOnServer(TimePoint now, std::size_t index) {
  const SimRequest& request = requests_[index];
  const SimEndpoint& endpoint = options_.endpoints[request.endpoint];
  Server& server = servers_[request.endpoint];
  const bool cold = server.started_requests++ < endpoint.cold_requests;
  const double factor = endpoint.slowness * (cold ? kColdSlowness : 1);
  const Duration time =
      AnswersErrors(now, request.endpoint)
          ? kErrorAnswerTime
          : Duration(static_cast<Duration::rep>(
                static_cast<double>(request.demand.count()) * factor));
  ++server.running;
  if (now >= options_.measured_from && now < TimePoint(options_.duration)) {
    server.busy_time += time;
  }
  Schedule(now + time, Event::Kind::kServed, index);
}

WorkOutcome SimCore::HandleServed(TimePoint now, std::size_t index,
                                  Duration handover) {
  const SimRequest& request = requests_[index];
  Server& server = servers_[request.endpoint];
  --server.running;
  if (!server.queue.empty()) {
    const std::size_t next = server.queue.front();
    server.queue.pop_front();
    RunOnServer(now, next);
  }
  const bool failed = AnswersErrors(now, request.endpoint);
  if (IsMeasured(request)) {
    ClassResult& out = result_.classes[request.class_index];
    const Duration latency = now + handover - request.arrived;
    if (failed) {
      ++out.failed;
    } else {
      ++out.answered;
      out.latencies.push_back(latency);
      result_.endpoints[request.endpoint].latencies.push_back(latency);
      const SimClass& sim_class = options_.classes[request.class_index];
      out.within_target += latency <= sim_class.target.latency ? 1 : 0;
    }
  }
  return failed ? WorkOutcome::kFailed : WorkOutcome::kAnswered;
}

std::vector<Endpoint> SimCore::EndpointsAt(TimePoint now) const {
  std::vector<Endpoint> endpoints;
  for (std::size_t i = 0; i < options_.endpoints.size(); ++i) {
    const SimEndpoint& it = options_.endpoints[i];
    if (now < it.joins_at) {
      continue;
    }
    Endpoint endpoint;
    endpoint.id = EndpointIdAt(i);
    endpoint.slots = it.slots;
    endpoint.registered = it.joins_at;
    endpoint.load_percent = it.reported_load_percent;
    endpoint.load_reported = kNever - std::chrono::hours(1);  // Never ages.
    endpoint.state =
        now >= it.leaves_at ? EndpointState::kLeaving : EndpointState::kReady;
    endpoints.push_back(endpoint);
  }
  return endpoints;
}

SimResult SimCore::TakeResult() {
  const double seconds =
      std::chrono::duration<double>(TimePoint(options_.duration) -
                                    options_.measured_from)
          .count();
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    result_.endpoints[i].busy_share =
        std::chrono::duration<double>(servers_[i].busy_time).count() /
        (seconds * options_.endpoints[i].slots);
  }
  return std::move(result_);
}

}  // namespace internal
}  // namespace vanillalatch::sim
