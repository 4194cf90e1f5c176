// Prints the tables of docs/design/placement.md, which compare the scheduler
// with the baselines over the same arrivals. Each figure is the mean of five
// seeds.
//
//   build/placement_report
#include <cstdio>
#include <string>
#include <vector>

#include "src/placement/sim/policies.h"

namespace vanillalatch::sim {
namespace {

constexpr std::uint64_t kSeeds = 5;
// A latency target too long to have an effect.
constexpr Duration kNoTarget = std::chrono::hours(1);

struct Row {
  double mean = 0;  // Milliseconds.
  double p99 = 0;   // Milliseconds.
  double imbalance = 0;
  double goodput = 0;      // Answers within the target per second.
  double others_mean = 0;  // Mean of endpoints other than 0, milliseconds.
  double first_share = 0;  // Part of the starts at endpoint 0.
};

double OthersMean(const SimResult& result) {
  EndpointResult others;
  for (std::size_t i = 1; i < result.endpoints.size(); ++i) {
    const auto& latencies = result.endpoints[i].latencies;
    others.latencies.insert(others.latencies.end(), latencies.begin(),
                            latencies.end());
  }
  return others.Mean();
}

double FirstShare(const SimResult& result) {
  double all = 0;
  for (const EndpointResult& it : result.endpoints) {
    all += static_cast<double>(it.started);
  }
  return static_cast<double>(result.endpoints[0].started) / all;
}

template <typename MakePolicy>
Row AverageOverSeeds(SimOptions options, MakePolicy make) {
  Row row;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    options.seed = seed;
    const SimResult result = RunSim(options, make(options));
    const double seconds =
        std::chrono::duration<double>(TimePoint(options.duration) -
                                      options.measured_from)
            .count();
    row.mean += result.Mean() / kSeeds;
    row.p99 += result.P99() / kSeeds;
    row.imbalance += result.Imbalance() / kSeeds;
    row.goodput += static_cast<double>(result.Goodput()) / seconds / kSeeds;
    row.others_mean += OthersMean(result) / kSeeds;
    row.first_share += FirstShare(result) / kSeeds;
  }
  return row;
}

void PrintRow(const std::string& name, const Row& row) {
  std::printf("| %s | %.1f | %.1f | %.3f | %.1f | %.3f | %.0f |\n",
              name.c_str(), row.mean, row.p99, row.imbalance, row.others_mean,
              row.first_share, row.goodput);
}

void PrintCase(const std::string& name, const SimOptions& options) {
  std::printf("\n%s\n\n", name.c_str());
  std::printf(
      "| policy | mean ms | p99 ms | busiest/mean | others' mean ms |"
      " endpoint 0's part | within target/s |\n"
      "|---|---|---|---|---|---|---|\n");
  using Choice = LocalCountsPolicy::Choice;
  PrintRow("ideal queue", AverageOverSeeds(options, [](const SimOptions& it) {
             return IdealQueuePolicy(it);
           }));
  PrintRow("one dispatcher",
           AverageOverSeeds(options, [](const SimOptions& it) {
             return DispatcherPolicy(it);
           }));
  PrintRow("random", AverageOverSeeds(options, [](const SimOptions& it) {
             return LocalCountsPolicy(it, Choice::kRandom);
           }));
  PrintRow("two choices", AverageOverSeeds(options, [](const SimOptions& it) {
             return LocalCountsPolicy(it, Choice::kTwoChoices);
           }));
  PrintRow("least own count",
           AverageOverSeeds(options, [](const SimOptions& it) {
             return LocalCountsPolicy(it, Choice::kLeastLoaded);
           }));
}

SimOptions BaseOptions(std::size_t endpoints, std::uint32_t slots, double load,
                       Duration latency) {
  SimOptions options;
  options.endpoints = MakeEndpoints(endpoints, slots);
  options.classes = {
      {.target = {.id = ClassId(1), .latency = latency}, .load = load}};
  return options;
}

void PrintEvenLoad() {
  for (const std::size_t endpoints : {15, 4}) {
    for (const std::uint32_t slots : {3U, 2U}) {
      for (const double load : {0.7, 0.9, 1.3}) {
        const Duration latency =
            load > 1 ? Duration(std::chrono::milliseconds(500)) : kNoTarget;
        char name[80];
        std::snprintf(name, sizeof(name), "%zu endpoints x %u slots, load %.1f",
                      endpoints, slots, load);
        PrintCase(name, BaseOptions(endpoints, slots, load, latency));
      }
    }
  }
}

void PrintFaults(std::size_t endpoints, std::uint32_t slots) {
  const std::string size =
      std::to_string(endpoints) + " endpoints x " + std::to_string(slots);
  SimOptions slow = BaseOptions(endpoints, slots, 0.9, kNoTarget);
  slow.endpoints[0].slowness = 5;
  PrintCase(size + ", load 0.9, endpoint 0 five times slower", slow);
  SimOptions errors = BaseOptions(endpoints, slots, 0.7, kNoTarget);
  errors.endpoints[0].errors_from = TimePoint(std::chrono::seconds(1));
  PrintCase(size + ", load 0.7, endpoint 0 answers errors", errors);
  SimOptions cold = BaseOptions(endpoints, slots, 0.7, kNoTarget);
  cold.endpoints[0].joins_at = TimePoint(std::chrono::seconds(10));
  cold.endpoints[0].cold_requests = 50;
  PrintCase(size + ", load 0.7, endpoint 0 joins cold at 10 s", cold);
  SimOptions misreports = BaseOptions(endpoints, slots, 0.9, kNoTarget);
  for (std::size_t i = 1; i < endpoints; ++i) {
    misreports.endpoints[i].reported_load_percent = 100;
  }
  PrintCase(size + ", load 0.9, all but endpoint 0 report full load",
            misreports);
}

}  // namespace
}  // namespace vanillalatch::sim

int main() {
  vanillalatch::sim::PrintEvenLoad();
  vanillalatch::sim::PrintFaults(15, 3);
  vanillalatch::sim::PrintFaults(4, 2);
  return 0;
}
