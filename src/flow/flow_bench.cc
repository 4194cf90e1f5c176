// Measures the lookup time and the memory of open flows in a PinTable.
// Run: build/flow_bench
#include <benchmark/benchmark.h>

#include <random>

#include "vanillalatch/flow/pin_table.h"

namespace vanillalatch {
namespace {

constexpr std::uint32_t kFirstCaller = 0x0a000000;
constexpr std::uint64_t kEndpoints = 15;

SocketAddress Caller(std::uint64_t n) {
  return SocketAddress::FromPacked((std::uint64_t{kFirstCaller} << 16) +
                                   n * 977);
}

void LookUpFlow(benchmark::State& state) {
  const auto flows = static_cast<std::uint64_t>(state.range(0));
  PinTable pins = PinTable::Create({}).value();
  const TimePoint now(std::chrono::hours(1));
  for (std::uint64_t n = 0; n < flows; ++n) {
    pins.Put(Caller(n), EndpointId{1 + n % kEndpoints}, now);
  }
  std::mt19937_64 random(7);
  std::vector<SocketAddress> callers;
  callers.reserve(16);
  for (int n = 0; n < 1 << 16; ++n) {
    callers.push_back(Caller(random() % flows));
  }
  std::size_t at = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(pins.Touch(callers[at++ % callers.size()], now));
  }
  state.counters["bytes_per_flow"] =
      static_cast<double>(pins.MemoryBytes()) / static_cast<double>(flows);
}
BENCHMARK(LookUpFlow)->Arg(10'000)->Arg(100'000)->Arg(500'000);

}  // namespace
}  // namespace vanillalatch

BENCHMARK_MAIN();
