// Measures the time to append one log record and sync it to disk.
#include <benchmark/benchmark.h>

#include "vanillalatch/storage/disk.h"
#include "vanillalatch/storage/record_file.h"

namespace vanillalatch {
namespace {

void AppendAndSync(benchmark::State& state) {
  const auto disk = OpenDisk("build/bench-data").value();
  disk->Replace("log", "");
  const std::string record =
      EncodeRecord(std::string(static_cast<std::size_t>(state.range(0)), 'x'));
  for (auto it : state) {
    disk->Append("log", record);
    disk->Sync("log");
  }
}
BENCHMARK(AppendAndSync)->Arg(200)->Arg(65536);

}  // namespace
}  // namespace vanillalatch

BENCHMARK_MAIN();
