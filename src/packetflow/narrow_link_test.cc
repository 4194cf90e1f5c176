// Tests dispatchers behind links of 2 Mbit/s. Guards against a metastable
// failure: lateness is taken for silence, wrong moves add traffic, and the
// link stays full after the burst that filled it.
#include <catch2/catch.hpp>

#include "src/packetflow/flow_world.h"
#include "src/packetflow/move_budget.h"

namespace vanillalatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kVms = 8;
constexpr std::uint64_t kLinkBytesPerSecond = 250'000;
constexpr std::size_t kOpeningBytes = 32;
constexpr std::size_t kEndpoints = 24;

struct Totals {
  std::uint64_t moved = 0;
  std::uint64_t moves_refused = 0;
  std::uint64_t endpoints_found_silent = 0;
  std::uint64_t placed_alone = 0;

  Totals operator-(const Totals& it) const {
    return {moved - it.moved, moves_refused - it.moves_refused,
            endpoints_found_silent - it.endpoints_found_silent,
            placed_alone - it.placed_alone};
  }
};

// Eight entry VMs behind narrow links, and endpoints with three slots each.
class NarrowFleet {
 public:
  // `rules`: the VMs know the rate of their links.
  explicit NarrowFleet(bool rules, std::size_t endpoints = kEndpoints)
      : world_(1) {
    world_.set_link_rate(rules ? kLinkBytesPerSecond : 0);
    world_.set_opening_bytes(kOpeningBytes);
    world_.AddVms(kVms);
    for (std::size_t n = 0; n < endpoints; ++n) {
      world_.AddEndpoint("a" + std::to_string(n), "records", "north");
    }
    world_.SetRoutes(1, {"records"}, 250);
    world_.Publish();
    world_.Run(seconds(6));
    world_.SetLinks(kLinkBytesPerSecond);
    dispatcher_ = world_.DispatcherIndex("records");
  }

  // Opens flows at a constant rate through the VMs other than the dispatcher.
  void Load(int flows_per_second, Duration time) {
    const TimePoint end = world_.now() + time;
    while (world_.now() < end) {
      const std::size_t vm = (dispatcher_ + 1 + n_++ % (kVms - 1)) % kVms;
      world_.OpenLong("records", vm, 1, Duration::zero());
      world_.Run(Duration(seconds(1)) / flows_per_second);
    }
  }

  Totals totals() {
    Totals all;
    for (std::size_t n = 0; n < kVms; ++n) {
      if (n == killed_) {
        continue;
      }
      const FlowDispatcherCounters& it = world_.Vm(n).dispatcher_counters();
      all.moved += it.moved;
      all.moves_refused += it.moves_refused;
      all.endpoints_found_silent += it.endpoints_found_silent;
      all.placed_alone += world_.Vm(n).counters().placed_alone;
    }
    return all;
  }

  void KillDispatcher() {
    killed_ = dispatcher_;
    world_.KillVm(dispatcher_);
  }

  FlowWorld& world() { return world_; }
  std::size_t dispatcher() const { return dispatcher_; }

 private:
  FlowWorld world_;
  std::size_t dispatcher_ = 0;
  std::size_t killed_ = kVms;
  std::size_t n_ = 0;
};

struct Outcome {
  Totals burst;
  Totals after;        // From one second after the end of the burst.
  int unanswered = 0;  // Flows opened from then on.
};

Outcome RunBurst(bool rules) {
  constexpr int kFlowsPerSecond = 500;
  NarrowFleet fleet(rules);
  fleet.Load(kFlowsPerSecond, seconds(2));
  const Totals before = fleet.totals();
  fleet.Load(3 * kFlowsPerSecond, seconds(8));
  fleet.Load(kFlowsPerSecond, seconds(1));
  const Totals burst = fleet.totals();
  const TimePoint calm = fleet.world().now();
  fleet.Load(kFlowsPerSecond, seconds(3));
  Outcome outcome{burst - before, fleet.totals() - burst};
  fleet.world().Run(seconds(2));
  for (const auto& [id, it] : fleet.world().flows()) {
    outcome.unanswered += it.opened >= calm && !it.answered ? 1 : 0;
  }
  return outcome;
}

TEST_CASE("a burst beyond the dispatcher's link ends with its cause") {
  const Outcome before = RunBurst(false);
  const Outcome now = RunBurst(true);
  WARN("before, burst: " << before.burst.endpoints_found_silent
                         << " endpoints found silent, " << before.burst.moved
                         << " moves, " << before.burst.placed_alone
                         << " placed alone; after it: "
                         << before.after.endpoints_found_silent << ", "
                         << before.after.moved << ", "
                         << before.after.placed_alone << ", "
                         << before.unanswered << " unanswered");
  WARN("now, burst: " << now.burst.endpoints_found_silent
                      << " endpoints found silent, " << now.burst.moved
                      << " moves, " << now.burst.placed_alone
                      << " placed alone, " << now.burst.moves_refused
                      << " moves refused; after it: "
                      << now.after.endpoints_found_silent << ", "
                      << now.after.moved << ", " << now.after.placed_alone
                      << ", " << now.unanswered << " unanswered");
  CHECK(now.burst.endpoints_found_silent <=
        before.burst.endpoints_found_silent / 5);
  CHECK(now.burst.moved <= before.burst.moved / 4);
  CHECK(now.after.endpoints_found_silent == 0);
  CHECK(now.after.moved == 0);
  CHECK(now.after.placed_alone == 0);
  CHECK(now.unanswered == 0);
}

TEST_CASE("an idle link does not delay finding a silent endpoint") {
  // Few endpoints, so that each gets several flows in the time allowed.
  NarrowFleet fleet(true, 6);
  fleet.Load(200, seconds(2));
  const Totals before = fleet.totals();
  fleet.world().At("a0").silent = true;
  fleet.world().At("a1").silent = true;
  fleet.Load(200, milliseconds(300));
  CHECK((fleet.totals() - before).endpoints_found_silent == 2);
}

TEST_CASE("a dead dispatcher is replaced within 400 ms") {
  // With a full link the limit for handovers has risen.
  const bool full = GENERATE(false, true);
  NarrowFleet fleet(true);
  fleet.Load(full ? 1050 : 200, seconds(3));
  fleet.KillDispatcher();
  const std::size_t ingress = (fleet.dispatcher() + 1) % kVms;
  const int flow = fleet.world().Open("records", ingress);
  fleet.world().Run(milliseconds(410));
  CHECK(!fleet.world().FlowOf(flow).endpoint.empty());
}

TEST_CASE("moves are limited to a tenth of the openings, but at least ten") {
  struct Row {
    int openings;
    int moves;
  };
  const Row row = GENERATE(Row{0, 10}, Row{90, 10}, Row{500, 50});
  internal::MoveBudget budget;
  TimePoint now{seconds(100)};
  for (int n = 0; n < row.openings; ++n) {
    budget.OnOpening(now + n * Duration(milliseconds(900)) / row.openings);
  }
  now += milliseconds(900);
  int moves = 0;
  while (budget.TryTake(now)) {
    ++moves;
  }
  CHECK(moves == row.moves);
  CHECK(!budget.TryTake(now + milliseconds(900)));
  CHECK(budget.TryTake(now + milliseconds(1200)));
}

}  // namespace
}  // namespace vanillalatch
