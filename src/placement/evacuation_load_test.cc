// Checks the classes' latencies and refusals when an evacuation takes a third
// of the slots, in the simulation in virtual time.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "src/placement/sim/placement_sim.h"

namespace vanillalatch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kEvacuated{seconds(5)};
const TimePoint kReturned{seconds(25)};

// A scheduler whose endpoints are in three data centres in turn. The third is
// evacuated between kEvacuated and kReturned.
class EvacuationPolicy {
 public:
  explicit EvacuationPolicy(const SimOptions& options)
      : scheduler_(SlotScheduler::Create({}, options.seed).value()) {
    std::vector<ClassTarget> targets;
    for (const SimClass& it : options.classes) {
      targets.push_back(it.target);
    }
    scheduler_->SetClasses(targets);
  }

  Duration HandoverDelay(const SimRequest& request) const {
    return Duration::zero();
  }
  void SetEndpoints(TimePoint now, std::span<const Endpoint> endpoints) {
    std::vector<Endpoint> all(endpoints.begin(), endpoints.end());
    for (Endpoint& it : all) {
      it.data_center = std::to_string(it.id.value() % 3);
    }
    scheduler_->SetEndpoints(now, all);
  }
  void Submit(TimePoint now, const SimRequest& request,
              std::vector<Verdict>& verdicts) {
    Evacuate(now);
    Work work;
    work.request = request.id;
    work.work_class =
        ClassId(static_cast<std::uint32_t>(request.class_index) + 1);
    scheduler_->Submit(now, work, verdicts);
  }
  void Finish(TimePoint now, const SimRequest& request, WorkOutcome outcome,
              std::vector<Verdict>& verdicts) {
    Evacuate(now);
    scheduler_->Finish(now, request.id, outcome, verdicts);
  }
  void Tick(TimePoint now, std::vector<Verdict>& verdicts) {
    Evacuate(now);
    scheduler_->OnTick(now, verdicts);
  }
  TimePoint NextWake() const { return scheduler_->NextWake(); }

 private:
  void Evacuate(TimePoint now) {
    const bool evacuated = now >= kEvacuated && now < kReturned;
    if (evacuated != evacuated_) {
      evacuated_ = evacuated;
      scheduler_->SetEvacuated(now, evacuated ? std::vector<std::string>{"0"}
                                              : std::vector<std::string>{});
    }
  }

  std::unique_ptr<SlotScheduler> scheduler_;
  bool evacuated_ = false;
};

SimClass Class(std::uint32_t id, Duration latency, std::uint32_t share,
               double load) {
  SimClass it;
  it.target.id = ClassId(id);
  it.target.latency = latency;
  it.target.share_percent = share;
  it.load = load;
  return it;
}

// Class 1 has a tight target, class 2 a loose one. `load`: of both, as a part
// of the capacity before the evacuation.
SimOptions Options(std::size_t endpoints, double load, std::uint64_t seed) {
  SimOptions options;
  options.endpoints = MakeEndpoints(endpoints, 3);
  options.classes = {Class(1, milliseconds(200), 50, load / 3),
                     Class(2, milliseconds(500), 50, load * 2 / 3)};
  options.measured_from = kEvacuated;
  options.duration = seconds(24);
  options.seed = seed;
  return options;
}

double Fraction(std::uint64_t n, std::uint64_t all) {
  return static_cast<double>(n) / static_cast<double>(all);
}

// Guards against a queue that grows because the lost slots still count, at 0.6
// of the capacity, which is 0.9 of the rest.
TEST_CASE("With a third of the slots gone, 0.6 of the capacity is served") {
  const std::size_t endpoints = GENERATE(6, 15);
  const auto seed = static_cast<std::uint64_t>(GENERATE(1, 2, 3));
  const SimOptions options = Options(endpoints, 0.6, seed);
  const SimResult result = RunSim(options, EvacuationPolicy(options));
  INFO(endpoints << " endpoints, seed " << seed);
  for (const ClassResult& it : result.classes) {
    CHECK(Fraction(it.refused, it.offered) <= 0.02);
    CHECK(Fraction(it.within_target, it.offered) >= 0.97);
  }
}

// Guards against a loss of the order of classes, and against work that waits
// and is refused late, at 0.9 of the capacity, which is 1.35 of the rest.
TEST_CASE("With a third of the slots gone, 0.9 of the capacity is shed") {
  const std::size_t endpoints = GENERATE(6, 15);
  const auto seed = static_cast<std::uint64_t>(GENERATE(1, 2, 3));
  const SimOptions options = Options(endpoints, 0.9, seed);
  const SimResult result = RunSim(options, EvacuationPolicy(options));
  const ClassResult& tight = result.classes[0];
  const ClassResult& loose = result.classes[1];
  INFO(endpoints << " endpoints, seed " << seed);
  // The tight class uses nine tenths of its share of the rest.
  CHECK(Fraction(tight.within_target, tight.offered) >= 0.98);
  // The excess is 0.9 - 0.667 of the capacity, out of 0.6 that the class
  // offers.
  CHECK(Fraction(loose.refused, loose.offered) <= 0.45);
  CHECK(Fraction(loose.refused_after_wait, loose.refused) <= 0.01);
  CHECK(Fraction(loose.within_target, loose.answered) >= 0.95);
}

// Guards against a burst of the loose class that takes the tight one's slots
// while a third is gone.
TEST_CASE("With a third of the slots gone, a burst costs only its class") {
  const std::size_t endpoints = GENERATE(6, 15);
  const double load = GENERATE(0.6, 0.9);
  SimOptions options = Options(endpoints, load, 1);
  options.classes.push_back(Class(3, milliseconds(500), 0, 1.0));
  options.classes.back().from = TimePoint(seconds(10));
  options.classes.back().to = TimePoint(seconds(14));
  const SimResult result = RunSim(options, EvacuationPolicy(options));
  INFO(endpoints << " endpoints at " << load);
  CHECK(Fraction(result.classes[0].within_target, result.classes[0].offered) >=
        0.98);
  // The burst has no share: it gets what the others leave.
  const ClassResult& burst = result.classes[2];
  CHECK(Fraction(burst.refused_after_wait, burst.refused) <= 0.03);
  CHECK((burst.answered > 0) == (load < 2.0 / 3));
}

// Guards against slots that stay unused after the return.
TEST_CASE("After the return all slots serve") {
  SimOptions options = Options(15, 0.9, 1);
  options.measured_from = kReturned + seconds(6);
  options.duration = seconds(45);
  const SimResult result = RunSim(options, EvacuationPolicy(options));
  for (const ClassResult& it : result.classes) {
    CHECK(it.refused == 0);
    CHECK(Fraction(it.within_target, it.offered) >= 0.99);
  }
  CHECK(result.Imbalance() <= 1.1);
}

}  // namespace
}  // namespace vanillalatch::sim
