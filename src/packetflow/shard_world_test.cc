// Tests of a sharded service in a fleet with three data centres: how well the
// shards share their slots, and what happens when parts fail.
#include <algorithm>
#include <catch2/catch.hpp>
#include <queue>
#include <random>

#include "src/packetflow/flow_world.h"

namespace vanillalatch {
namespace {

using std::chrono::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<std::string> kDataCenters = {"a", "b", "c"};
constexpr std::size_t kVms = 6;        // Two in each data centre.
constexpr std::size_t kEndpoints = 8;  // In each data centre.
constexpr std::size_t kSlots = 3;      // Of each endpoint.
constexpr std::size_t kOverlapPercent = 150;
constexpr Duration kWork = milliseconds(50);
constexpr Duration kDelay = microseconds(4500);
constexpr double kLinkMbit = 2;
// 24 slots serve this many flows per millisecond.
constexpr double kCapacityPerMs = kEndpoints * kSlots / 50.0;
// What every flow takes besides its work: packets between caller, VM and
// endpoint.
constexpr double kPathMs = 9.6;

class ShardedFleet {
 public:
  explicit ShardedFleet(std::uint64_t seed = 1, double link = kLinkMbit)
      : world_(seed), random_(seed) {
    world_.SetDataCenters(kDataCenters, kDelay, link);
    world_.AddVms(kVms);
    for (const std::string& it : kDataCenters) {
      for (std::size_t n = 0; n < kEndpoints; ++n) {
        auto& endpoint =
            world_.AddEndpoint(it + std::to_string(n), "records", it);
        endpoint.slots = kSlots;
        endpoint.work = kWork;
      }
    }
    world_.SetRoutes(1, {"records", "urgent"}, 250);
    world_.Publish();
    world_.Run(seconds(6));
    for (std::size_t n = 0; n < kVms; ++n) {
      REQUIRE(world_.Vm(n).Ready());
    }
  }

  FlowWorld& world() { return world_; }

  // Opens flows for `time`. `load` is the demand of each data centre as a part
  // of its slots' capacity. Each flow arrives at a random running VM of its
  // data centre.
  void Offer(const std::vector<double>& load, Duration time) {
    for (Duration at{}; at < time; at += milliseconds(1)) {
      for (std::size_t dc = 0; dc < load.size(); ++dc) {
        std::poisson_distribution<int> arrivals(load[dc] * kCapacityPerMs);
        for (int n = arrivals(random_); n > 0; --n) {
          std::size_t vm = dc + 3 * (random_() % 2);
          // Callers' packets reach only VMs that are ready.
          const bool is_ready = world_.IsRunning(vm) && world_.Vm(vm).Ready();
          vm = is_ready ? vm : (vm + 3) % kVms;
          flows_.push_back(world_.Open("records", vm));
        }
      }
      world_.Run(milliseconds(1));
    }
  }

  struct Result {
    std::size_t flows = 0;
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;  // Neither answered nor refused.
    std::size_t twice = 0;   // Accepted by more than one endpoint.
    double mean_ms = 0;      // Time in system of the answered flows.
    double ideal_ms = 0;     // Mean time with one ideal queue.
  };
  Result Finish() {
    world_.Run(seconds(2));
    Result result;
    for (const int id : flows_) {
      const FlowWorld::Flow& it = world_.FlowOf(id);
      ++result.flows;
      result.refused += it.reset ? 1 : 0;
      result.failed += !it.reset && !it.answered ? 1 : 0;
      result.twice += it.accepted_by.size() > 1 ? 1 : 0;
      if (it.answered) {
        ++result.answered;
        result.mean_ms +=
            duration<double, std::milli>(*it.answered - it.opened).count();
      }
    }
    result.mean_ms /=
        static_cast<double>(std::max<std::size_t>(1, result.answered));
    result.ideal_ms = IdealMeanMs();
    return result;
  }

  // Requests served by the busiest endpoint over the mean, in one data centre
  // or, without a name, in all.
  double BusiestOverMean(const std::string& data_center = "") {
    std::size_t most = 0;
    std::size_t sum = 0;
    std::size_t n = 0;
    for (const std::string& dc : kDataCenters) {
      for (std::size_t it = 0; it < kEndpoints; ++it) {
        const auto& endpoint = world_.At(dc + std::to_string(it));
        if (data_center.empty() || endpoint.data_center == data_center) {
          most = std::max(most, endpoint.served);
          sum += endpoint.served;
          ++n;
        }
      }
    }
    return static_cast<double>(most * n) / static_cast<double>(sum);
  }

  template <typename Member>
  std::uint64_t Sum(Member member) {
    std::uint64_t sum = 0;
    for (std::size_t n = 0; n < kVms; ++n) {
      sum += world_.IsRunning(n) ? world_.Vm(n).counters().*member : 0;
    }
    return sum;
  }

 private:
  // Mean time in system of the same arrivals in one queue for all slots,
  // without a delay between data centres.
  double IdealMeanMs() {
    std::mt19937_64 random(99);
    std::exponential_distribution<double> spread(1.0);
    std::priority_queue<double, std::vector<double>, std::greater<>> free_at;
    for (std::size_t n = 0; n < 3 * kEndpoints * kSlots; ++n) {
      free_at.push(0);
    }
    double sum = 0;
    for (const int id : flows_) {
      const double at = duration<double, std::milli>(
                            world_.FlowOf(id).opened.time_since_epoch())
                            .count();
      const double end =
          std::max(at, free_at.top()) + 50 * (0.5 + spread(random) / 2);
      free_at.pop();
      free_at.push(end);
      sum += end - at + kPathMs;
    }
    return sum / static_cast<double>(std::max<std::size_t>(1, flows_.size()));
  }

  FlowWorld world_;
  std::mt19937_64 random_;
  std::vector<int> flows_;
};

// One data centre is short of slots and the others are not: its callers must
// not be refused, and hardly wait longer than with one queue for all slots.
TEST_CASE("shards share their slots", "[shards]") {
  struct Row {
    std::vector<double> load;  // Before and after the peak.
    std::vector<double> peak;  // For 8 s.
    double max_time;           // Mean time in system over the ideal queue's.
    double max_refused;        // Part of the flows.
  };
  // The last row's demand is 0.87 of all slots, so that at times no data centre
  // has a free slot.
  const Row row = GENERATE(Row{{0.9, 0.4, 0.4}, {0.9, 0.4, 0.4}, 1.15, 0},
                           Row{{0.4, 0.4, 0.4}, {1.2, 0.4, 0.4}, 1.15, 0},
                           Row{{0.6, 0.4, 0.4}, {1.8, 0.4, 0.4}, 1.2, 0.001});
  ShardedFleet fleet(GENERATE(1, 2, 3));
  fleet.Offer(row.load, seconds(2));
  fleet.Offer(row.peak, seconds(8));
  fleet.Offer(row.load, seconds(2));
  const ShardedFleet::Result result = fleet.Finish();
  INFO("flows " << result.flows << " mean " << result.mean_ms << " ideal "
                << result.ideal_ms << " passed on "
                << fleet.Sum(&FlowNodeCounters::passed_on_full) << " busiest "
                << fleet.BusiestOverMean());
  CHECK(static_cast<double>(result.refused) <=
        row.max_refused * static_cast<double>(result.flows));
  CHECK(result.failed == 0);
  CHECK(result.twice == 0);
  CHECK(result.mean_ms <= row.max_time * result.ideal_ms);
  CHECK(fleet.Sum(&FlowNodeCounters::passed_on_full) > 0);
  for (const std::string& it : kDataCenters) {
    CHECK(fleet.BusiestOverMean(it) <= 1.15);
  }
}

// A call for each data centre's own slots must not cross the links between
// data centres.
TEST_CASE("with enough slots nothing is passed on", "[shards]") {
  ShardedFleet fleet;
  fleet.Offer({0.5, 0.5, 0.5}, seconds(5));
  const ShardedFleet::Result result = fleet.Finish();
  CHECK(result.answered == result.flows);
  CHECK(static_cast<double>(fleet.Sum(&FlowNodeCounters::passed_on_full)) <
        0.01 * static_cast<double>(result.flows));
}

// The flows of a data centre whose endpoints all leave must go to the others,
// also those that wait.
TEST_CASE("all endpoints of a data centre leave", "[shards]") {
  ShardedFleet fleet(GENERATE(1, 2, 3));
  fleet.Offer({0.7, 0.4, 0.4}, seconds(1));
  for (std::size_t n = 0; n < kEndpoints; ++n) {
    fleet.world().Leave("a" + std::to_string(n));
  }
  fleet.Offer({0.7, 0.4, 0.4}, seconds(2));
  std::size_t before = 0;
  for (std::size_t n = 0; n < kEndpoints; ++n) {
    before += fleet.world().At("a" + std::to_string(n)).openings;
  }
  fleet.Offer({0.7, 0.4, 0.4}, seconds(3));
  const ShardedFleet::Result result = fleet.Finish();
  std::size_t after = 0;
  for (std::size_t n = 0; n < kEndpoints; ++n) {
    after += fleet.world().At("a" + std::to_string(n)).openings;
  }
  CHECK(after == before);
  CAPTURE(result.flows, result.mean_ms);
  CHECK(result.refused == 0);
  CHECK(result.failed == 0);
  CHECK(result.twice == 0);
  CHECK(fleet.Sum(&FlowNodeCounters::passed_on_no_endpoint) > 0);
}

// A crash of all endpoints of a data centre must cost its callers little: only
// a few flows test whether the endpoints answer again.
TEST_CASE("all endpoints of a data centre crash and return", "[shards]") {
  ShardedFleet fleet(GENERATE(1, 2, 3));
  fleet.Offer({0.4, 0.4, 0.4}, seconds(2));
  for (std::size_t n = 0; n < kEndpoints; ++n) {
    fleet.world().At("a" + std::to_string(n)).silent = true;
  }
  fleet.Offer({0.4, 0.4, 0.4}, seconds(1));
  const std::uint64_t before =
      fleet.Sum(&FlowNodeCounters::passed_on_no_endpoint);
  fleet.Offer({0.4, 0.4, 0.4}, seconds(3));
  const std::uint64_t passed =
      fleet.Sum(&FlowNodeCounters::passed_on_no_endpoint) - before;
  // Of the flows of 3 s all but one in 500 ms.
  CHECK(static_cast<double>(passed) > 0.9 * 0.4 * kCapacityPerMs * 3000);
  for (std::size_t n = 0; n < kEndpoints; ++n) {
    fleet.world().At("a" + std::to_string(n)).silent = false;
  }
  fleet.world().Run(seconds(2));
  fleet.Offer({0.4, 0.4, 0.4}, seconds(5));
  std::size_t openings = fleet.world().At("a1").openings;
  fleet.Offer({0.4, 0.4, 0.4}, seconds(2));
  CHECK(fleet.world().At("a1").openings > openings + 10);
  const ShardedFleet::Result result = fleet.Finish();
  CAPTURE(result.flows, result.refused, result.failed);
  CHECK(static_cast<double>(result.refused + result.failed) <
        0.02 * static_cast<double>(result.flows));
}

// A data centre that is cut off must serve its callers with its own slots, and
// the others must not send flows there: they would not arrive.
TEST_CASE("a data centre is cut off", "[shards]") {
  ShardedFleet fleet(GENERATE(1, 2, 3));
  fleet.Offer({0.9, 0.4, 0.4}, seconds(2));
  fleet.world().CutOff("c");
  fleet.Offer({0.9, 0.4, 0.4}, seconds(1));
  std::size_t before = 0;
  for (const auto& [id, it] : fleet.world().flows()) {
    before += it.endpoint.starts_with("c");
  }
  fleet.Offer({0.9, 0.4, 0.4}, seconds(4));
  fleet.world().Heal();
  fleet.Offer({0.9, 0.4, 0.4}, seconds(3));
  const ShardedFleet::Result result = fleet.Finish();
  CAPTURE(result.flows, result.refused, result.failed, result.mean_ms);
  // At the cut, flows that were passed on to or from the data centre are lost.
  CHECK(static_cast<double>(result.refused + result.failed) <
        0.01 * static_cast<double>(result.flows));
  CHECK(result.mean_ms < 1.3 * result.ideal_ms);
}

// The next VM of the data centre must take over, within the time limit of a
// handover.
TEST_CASE("the dispatcher of a shard fails", "[shards]") {
  ShardedFleet fleet(GENERATE(1, 2, 3));
  const std::string data_center = GENERATE("a", "b");
  fleet.Offer({0.8, 0.4, 0.4}, seconds(2));
  const std::size_t vm = fleet.world().DispatcherIndex("records", data_center);
  fleet.world().KillVm(vm);
  fleet.Offer({0.8, 0.4, 0.4}, seconds(3));
  const std::size_t next =
      fleet.world().DispatcherIndex("records", data_center);
  CHECK(fleet.world().DataCenterOf(static_cast<int>(next)) == data_center);
  CHECK(next != vm);
  const ShardedFleet::Result result = fleet.Finish();
  CAPTURE(result.flows, result.refused, result.failed, result.mean_ms);
  CHECK(static_cast<double>(result.refused + result.failed) <
        0.01 * static_cast<double>(result.flows));
}

// Without reports nothing is passed on; a shard must serve with its own slots
// and pass on again when reports arrive.
TEST_CASE("reports of load are lost", "[shards]") {
  ShardedFleet fleet;
  fleet.Offer({1.2, 0.4, 0.4}, seconds(2));
  fleet.world().set_drop_loads(true);
  fleet.Offer({1.2, 0.4, 0.4}, milliseconds(600));
  const std::uint64_t before = fleet.Sum(&FlowNodeCounters::passed_on_full);
  fleet.Offer({1.2, 0.4, 0.4}, seconds(1));
  CHECK(fleet.Sum(&FlowNodeCounters::passed_on_full) == before);
  fleet.world().set_drop_loads(false);
  fleet.Offer({1.2, 0.4, 0.4}, seconds(1));
  CHECK(fleet.Sum(&FlowNodeCounters::passed_on_full) > before + 50);
  CHECK(fleet.Finish().failed == 0);
}

// A VM that joins has no counts of the slots in use. Flows that wait must be
// handed over to it, and no flow may be lost.
TEST_CASE("a VM joins and takes over a shard", "[shards]") {
  ShardedFleet fleet(GENERATE(1, 2, 3));
  const std::size_t vm = fleet.world().DispatcherIndex("records", "a");
  fleet.world().KillVm(vm);
  fleet.world().Run(seconds(3));
  fleet.Offer({0.9, 0.4, 0.4}, seconds(1));
  fleet.world().StartVm(vm);
  fleet.Offer({0.9, 0.4, 0.4}, seconds(5));
  CHECK(fleet.world().DispatcherIndex("records", "a") == vm);
  const ShardedFleet::Result result = fleet.Finish();
  CAPTURE(result.flows, result.refused, result.failed, result.mean_ms);
  CHECK(result.twice == 0);
  CHECK(static_cast<double>(result.refused + result.failed) <
        0.01 * static_cast<double>(result.flows));
}

// Slots that come or go can move a service across the limit for shards. Flows
// in service must stay counted, and waiting ones must not be lost.
TEST_CASE("a service becomes sharded and is united again", "[shards]") {
  // 3.45 Mbit/s: 71.9 slots; the service has 72.
  ShardedFleet fleet(GENERATE(1, 2, 3), 3.45);
  fleet.Offer({0.9, 0.8, 0.8}, seconds(1));
  fleet.world().Leave("a0");
  fleet.world().At("a0").silent = true;  // Its lease ends.
  fleet.Offer({0.9, 0.8, 0.8}, seconds(14));
  fleet.world().At("a0").silent = false;
  fleet.world().At("a0").leaving = false;
  fleet.world().At("a0").epoch = 2;
  fleet.Offer({0.9, 0.8, 0.8}, seconds(4));
  const ShardedFleet::Result result = fleet.Finish();
  CAPTURE(result.flows, result.refused, result.failed, result.mean_ms);
  CHECK(result.twice == 0);
  CHECK(static_cast<double>(result.refused + result.failed) <
        0.005 * static_cast<double>(result.flows));
}

}  // namespace
}  // namespace vanillalatch
