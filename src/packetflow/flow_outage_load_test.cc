// Plays the load after an outage of all entry VMs, and overloads, against
// FlowDispatcher, and checks what callers get. Guards against callers who are
// refused although there is time and a slot for a late answer, and against late
// requests that make the next ones late.
#include <catch2/catch.hpp>

#include "src/packetflow/flow_load_world.h"

namespace vanillalatch::internal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A third of the work is urgent.
LoadPlan TwoClasses() {
  LoadPlan plan;
  ClassTarget urgent;
  urgent.id = ClassId(1);
  urgent.latency = milliseconds(300);
  urgent.urgency = 1;
  ClassTarget routine;
  routine.id = ClassId(2);
  routine.latency = milliseconds(250);
  routine.urgency = 2;
  plan.classes = {{urgent, seconds(3), milliseconds(72), 0.33},
                  {routine, milliseconds(2500), milliseconds(55), 0.67}};
  plan.end = TimePoint(seconds(14));
  plan.measured_from = TimePoint(seconds(3));
  return plan;
}

// Plays an outage at 0.8 of the capacity.
LoadPlan Outage(Duration outage) {
  LoadPlan plan = TwoClasses();
  plan.steps = {{TimePoint(), 0.8}};
  plan.outage_from = TimePoint(seconds(4));
  plan.outage_to = plan.outage_from + outage;
  return plan;
}

TEST_CASE("After an outage, requests that can be in time go first") {
  const Duration outage = GENERATE(milliseconds(1000), milliseconds(2000));
  const auto seed = static_cast<std::uint64_t>(GENERATE(1, 2, 3));
  const LoadPlan plan = Outage(outage);
  const LoadResult ours = RunFlowLoad(plan, seed);
  const LoadResult ideal = RunIdealLoad(plan, seed);
  INFO("outage " << ToMilliseconds(outage) << " ms, seed " << seed);
  for (std::size_t n = 0; n < plan.classes.size(); ++n) {
    INFO("class " << n << ": in target " << ours.classes[n].in_target
                  << ", ideal " << ideal.classes[n].in_target);
    INFO("answered " << ours.classes[n].AnsweredPart() << ", ideal "
                     << ideal.classes[n].AnsweredPart());
    CHECK(static_cast<double>(ours.classes[n].in_target) >=
          0.9 * static_cast<double>(ideal.classes[n].in_target));
    CHECK(ours.classes[n].AnsweredPart() >=
          0.9 * ideal.classes[n].AnsweredPart());
  }
  // Callers that gave up during the outage look like new ones when they try
  // again. The last of them were due to retransmit just before its end, and
  // give up 0.8 s after it. Recovery is measured in steps of 0.1 s.
  const Duration last_return = FlowDispatcher::kOpeningTimeout -
                               FlowDispatcher::kTransmissionTimes.back();
  INFO("recovered after " << ToMilliseconds(ours.recovery) << " ms, ideal "
                          << ToMilliseconds(ideal.recovery) << " ms");
  CHECK(ours.recovery <=
        ideal.recovery * 6 / 5 + last_return + milliseconds(100));
}

TEST_CASE("After an outage, only what no slot can serve is refused early") {
  const Duration outage = GENERATE(milliseconds(1000), milliseconds(2000));
  const auto seed = static_cast<std::uint64_t>(GENERATE(1, 2, 3));
  const LoadPlan plan = Outage(outage);
  const LoadResult ours = RunFlowLoad(plan, seed);
  const LoadResult ideal = RunIdealLoad(plan, seed);
  INFO("outage " << ToMilliseconds(outage) << " ms, seed " << seed);
  // With a fifth of the slots to spare, the backlog takes longer than callers
  // wait, so that the ideal leaves some of them unanswered as well.
  for (std::size_t n = 0; n < plan.classes.size(); ++n) {
    const LoadClassResult& it = ideal.classes[n];
    CHECK(ours.classes[n].refused_early <= it.asked - it.in_target - it.late);
  }
}

// Plays four seconds of `load`.
LoadPlan Overload(double load) {
  LoadPlan plan = TwoClasses();
  plan.steps = {{TimePoint(), 0.8},
                {TimePoint(seconds(4)), load},
                {TimePoint(seconds(8)), 0.8}};
  plan.measured_from = TimePoint(seconds(4));
  plan.end = TimePoint(seconds(8));
  return plan;
}

TEST_CASE("In an overload the urgent class keeps its target") {
  const double load = GENERATE(0.9, 1.3, 1.7, 2.2, 3.0);
  const auto seed = static_cast<std::uint64_t>(GENERATE(1, 2, 3));
  INFO("load " << load << ", seed " << seed);
  CHECK(RunFlowLoad(Overload(load), seed).classes[0].InTargetPart() >= 0.98);
}

TEST_CASE("In an overload the other class gets what the urgent one leaves") {
  const double load = GENERATE(0.9, 1.3, 1.7, 2.2);
  const auto seed = static_cast<std::uint64_t>(GENERATE(1, 2, 3));
  const LoadPlan plan = Overload(load);
  const LoadResult ours = RunFlowLoad(plan, seed);
  const LoadResult ideal = RunIdealLoad(plan, seed);
  INFO("load " << load << ", seed " << seed);
  CHECK(static_cast<double>(ours.classes[1].in_target) >=
        0.9 * static_cast<double>(ideal.classes[1].in_target));
}

// The urgent class alone needs 0.99 of the slots.
TEST_CASE("At three times the capacity the other class gets what is left") {
  const auto seed = static_cast<std::uint64_t>(GENERATE(1, 2, 3));
  const LoadPlan plan = Overload(3.0);
  const LoadResult ours = RunFlowLoad(plan, seed);
  const LoadResult ideal = RunIdealLoad(plan, seed);
  INFO("seed " << seed);
  CHECK(static_cast<double>(ours.classes[1].in_target) >=
        0.9 * static_cast<double>(ideal.classes[1].in_target));
}

}  // namespace
}  // namespace vanillalatch::internal
