// Checks bounds on latency, balance and goodput at different loads, in the
// simulation in virtual time.
#include <catch2/catch.hpp>
#include <numeric>

#include "src/placement/sim/policies.h"

namespace vanillalatch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Size {
  std::size_t endpoints;
  std::uint32_t slots;
};

const Size kSizes[] = {{15, 3}, {15, 2}, {4, 3}, {4, 2}};

ClassTarget Target(std::uint32_t id, Duration latency, std::uint32_t share) {
  ClassTarget target;
  target.id = ClassId(id);
  target.latency = latency;
  target.share_percent = share;
  return target;
}

// One class with a latency target too long to have an effect.
SimOptions OneClass(const Size& size, double load, std::uint64_t seed = 1) {
  SimOptions options;
  options.endpoints = MakeEndpoints(size.endpoints, size.slots);
  options.classes = {
      SimClass{.target = Target(1, std::chrono::hours(1), 100), .load = load}};
  options.seed = seed;
  return options;
}

// Class 1 has a tight latency target and uses less than its share. Class 2 has
// a looser target and offers the rest of the load. `total`: load of both
// classes, as a part of the capacity.
SimOptions TwoClasses(const Size& size, double total, std::uint64_t seed = 1) {
  SimOptions options;
  options.endpoints = MakeEndpoints(size.endpoints, size.slots);
  options.classes = {
      SimClass{.target = Target(1, milliseconds(200), 50), .load = 0.3},
      SimClass{.target = Target(2, milliseconds(500), 50),
               .load = total - 0.3}};
  options.seed = seed;
  return options;
}

double Fraction(std::uint64_t n, std::uint64_t all) {
  return static_cast<double>(n) / static_cast<double>(all);
}

TEST_CASE("Near capacity, requests take little longer than in one queue") {
  const Size size = GENERATE(from_range(std::begin(kSizes), std::end(kSizes)));
  const SimOptions options = OneClass(size, 0.9);
  const SimResult ideal = RunSim(options, IdealQueuePolicy(options));
  const SimResult ours = RunSim(options, DispatcherPolicy(options));
  INFO(size.endpoints << " x " << size.slots);
  CHECK(ours.Mean() <= 1.15 * ideal.Mean());
  CHECK(ours.classes[0].refused == 0);
  CHECK(ours.starts_without_free_slot == 0);
  for (const auto choice : {LocalCountsPolicy::Choice::kRandom,
                            LocalCountsPolicy::Choice::kTwoChoices,
                            LocalCountsPolicy::Choice::kLeastLoaded}) {
    CHECK(ours.Mean() <
          RunSim(options, LocalCountsPolicy(options, choice)).Mean());
  }
}

TEST_CASE("Endpoints are equally busy, whatever load they report") {
  const Size size = GENERATE(from_range(std::begin(kSizes), std::end(kSizes)));
  const double load = GENERATE(0.7, 0.9, 1.3);
  const bool misreports = GENERATE(false, true);
  SimOptions options = OneClass(size, load);
  options.classes[0].target.latency = milliseconds(500);
  for (std::size_t i = 1; misreports && i < size.endpoints; ++i) {
    options.endpoints[i].reported_load_percent = 100;
  }
  const SimResult ours = RunSim(options, DispatcherPolicy(options));
  INFO(size.endpoints << " x " << size.slots << " at " << load);
  CHECK(ours.Imbalance() <= 1.1);
}

TEST_CASE("A slow endpoint does not delay the work of the others") {
  const Size size = GENERATE(from_range(std::begin(kSizes), std::end(kSizes)));
  SimOptions options = OneClass(size, 0.9);
  options.endpoints[0].slowness = 5;
  const auto others = [](const SimResult& result) {
    EndpointResult all;
    for (std::size_t i = 1; i < result.endpoints.size(); ++i) {
      const auto& it = result.endpoints[i].latencies;
      all.latencies.insert(all.latencies.end(), it.begin(), it.end());
    }
    return all.Mean();
  };
  const SimResult ideal = RunSim(options, IdealQueuePolicy(options));
  const SimResult ours = RunSim(options, DispatcherPolicy(options));
  INFO(size.endpoints << " x " << size.slots);
  CHECK(others(ours) <= 1.3 * others(ideal));
  // The endpoint's part of the capacity is about a fifth of an even part, so
  // its part of the starts must stay below half of an even part.
  CHECK(Fraction(ours.endpoints[0].started, ours.classes[0].offered) <
        0.5 / static_cast<double>(size.endpoints));
}

TEST_CASE("A slow endpoint does not cost the class its target") {
  SimOptions options = OneClass({4, 2}, 0.7);
  options.endpoints[0].slowness = 5;
  options.classes[0].target.latency = milliseconds(150);
  const SimResult ours = RunSim(options, DispatcherPolicy(options));
  CHECK(Fraction(ours.classes[0].within_target, ours.classes[0].offered) >=
        0.99);
}

TEST_CASE("An endpoint that fails fast gets less than its even share") {
  const Size size = GENERATE(from_range(std::begin(kSizes), std::end(kSizes)));
  SimOptions options = OneClass(size, 0.7);
  options.endpoints[0].errors_from = TimePoint(seconds(3));
  options.measured_from = TimePoint(seconds(4));
  const SimResult ours = RunSim(options, DispatcherPolicy(options));
  const double fraction =
      Fraction(ours.endpoints[0].started, ours.classes[0].offered);
  INFO(size.endpoints << " x " << size.slots);
  CHECK(fraction < 1 / static_cast<double>(size.endpoints));
  // The class keeps its success target of 99 %.
  CHECK(Fraction(ours.classes[0].answered, ours.classes[0].offered) >= 0.99);
}

TEST_CASE("A cold endpoint slows down less work with a ramp") {
  SimOptions options = OneClass({15, 3}, 0.7);
  options.endpoints[0].joins_at = TimePoint(seconds(5));
  options.endpoints[0].cold_requests = 20;
  options.measured_from = TimePoint(seconds(5));
  options.duration = seconds(10);
  const SimResult ours = RunSim(options, DispatcherPolicy(options));
  const SimResult least = RunSim(
      options,
      LocalCountsPolicy(options, LocalCountsPolicy::Choice::kLeastLoaded));
  CHECK(ours.P99() < least.P99());
  CHECK(ours.endpoints[0].started > 0);
}

TEST_CASE("Above capacity the tightest class keeps its target") {
  const Size size = GENERATE(from_range(std::begin(kSizes), std::end(kSizes)));
  const double load = GENERATE(1.3, 3.0);
  const auto seed = static_cast<std::uint64_t>(GENERATE(1, 2, 3));
  const SimOptions options = TwoClasses(size, load, seed);
  const SimResult ours = RunSim(options, DispatcherPolicy(options));
  const ClassResult& tight = ours.classes[0];
  const ClassResult& loose = ours.classes[1];
  INFO(size.endpoints << " x " << size.slots << " at " << load);
  CHECK(Fraction(tight.within_target, tight.offered) >= 0.99);
  CHECK(loose.refused > 0);
  // Requests are refused when they arrive, not after a wait.
  CHECK(Fraction(loose.refused_after_wait, loose.refused) <= 0.01);
  CHECK(Fraction(loose.within_target, loose.answered) >= 0.95);
}

TEST_CASE("Goodput stays when more is offered than can be done") {
  const Size size = GENERATE(from_range(std::begin(kSizes), std::end(kSizes)));
  const double load = GENERATE(1.3, 3.0);
  const SimOptions full = TwoClasses(size, 1.0);
  const SimOptions over = TwoClasses(size, load);
  const auto at_full = RunSim(full, DispatcherPolicy(full)).Goodput();
  const auto at_over = RunSim(over, DispatcherPolicy(over)).Goodput();
  INFO(size.endpoints << " x " << size.slots << " at " << load);
  CHECK(Fraction(at_over, at_full) >= 0.95);
}

TEST_CASE("A lent share is back within a second") {
  const Size size = GENERATE(from_range(std::begin(kSizes), std::end(kSizes)));
  SimOptions options = TwoClasses(size, 3.0);
  options.classes[0].from = TimePoint(seconds(5));
  options.classes[0].load = 0.45;
  options.measured_from = TimePoint(seconds(6));
  options.duration = seconds(20);
  const SimResult ours = RunSim(options, DispatcherPolicy(options));
  const ClassResult& owner = ours.classes[0];
  INFO(size.endpoints << " x " << size.slots);
  CHECK(Fraction(owner.within_target, owner.offered) >= 0.99);
}

TEST_CASE("A class keeps its share when a tighter one wants everything") {
  const Size size = GENERATE(from_range(std::begin(kSizes), std::end(kSizes)));
  SimOptions options = TwoClasses(size, 2.3);
  options.classes[0].load = 2.0;
  options.classes[1].load = 0.3;
  const SimResult ours = RunSim(options, DispatcherPolicy(options));
  const ClassResult& loose = ours.classes[1];
  INFO(size.endpoints << " x " << size.slots);
  CHECK(Fraction(loose.within_target, loose.offered) >= 0.99);
  CHECK(ours.classes[0].refused > 0);
}

TEST_CASE("An idle share is lent") {
  SimOptions options = TwoClasses({15, 3}, 1.3);
  options.classes[0].load = 0.01;
  const SimResult ours = RunSim(options, DispatcherPolicy(options));
  const double busy = std::accumulate(
      ours.endpoints.begin(), ours.endpoints.end(), 0.0,
      [](double sum, const EndpointResult& it) { return sum + it.busy_share; });
  // Class 2 also uses the idle share of class 1, so nearly all slots are busy.
  CHECK(busy / 15 >= 0.95);
}

TEST_CASE("Refused callers that retry after the given time find a slot") {
  SimOptions options = TwoClasses({15, 3}, 0.8);
  // A burst of three seconds at twice the capacity.
  options.classes.push_back(SimClass{.target = Target(3, milliseconds(500), 0),
                                     .load = 1.5,
                                     .from = TimePoint(seconds(10)),
                                     .to = TimePoint(seconds(13))});
  options.max_retries = 1;
  const SimResult ours = RunSim(options, DispatcherPolicy(options));
  const ClassResult& burst = ours.classes[2];
  INFO("offered " << burst.offered << " refused twice " << burst.refused);
  CHECK(Fraction(burst.answered, burst.offered) >= 0.9);
}

}  // namespace
}  // namespace vanillalatch::sim
