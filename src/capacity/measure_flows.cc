#include "src/capacity/measurement.h"
#include "vanillalatch/base/hash.h"
#include "vanillalatch/flow/pin_table.h"

namespace vanillalatch {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(100)};
constexpr std::size_t kEndpoints = 15;
constexpr std::size_t kSizes[] = {100'000, 200'000, 400'000, 800'000};

SocketAddress CallerOf(std::size_t n) {
  return SocketAddress::FromPacked(StableHash(n, 1) >> 16);
}

void PinFlows(PinTable& pins, std::size_t flows) {
  for (std::size_t n = 0; n < flows; ++n) {
    pins.Put(CallerOf(n), EndpointId(1 + n % kEndpoints), kNow);
  }
}

PinTable MakeEmptyTable() {
  return PinTable::Create(PinTableOptions{}).value();
}

}  // namespace

std::vector<Measurement> MeasureFlows() {
  Measurement memory{
      "flow_bytes", "Memory of the open flows", "flows", "B", {}};
  Measurement put{
      "flow_new_cpu", "Processor time to pin new flows", "flows", "us", {}};
  Measurement touch{"flow_touch_cpu",
                    "Processor time to look up each flow",
                    "flows",
                    "us",
                    {}};
  for (const std::size_t n : kSizes) {
    const auto size = static_cast<double>(n);
    const double heap = AllocatedHeapBytes();
    PinTable pins = MakeEmptyTable();
    double cpu = ThreadCpuSeconds();
    PinFlows(pins, n);
    put.points.push_back({size, (ThreadCpuSeconds() - cpu) * 1e6});
    memory.points.push_back({size, AllocatedHeapBytes() - heap});
    cpu = ThreadCpuSeconds();
    std::size_t found = 0;
    for (std::size_t i = 0; i < n; ++i) {
      found += pins.Touch(CallerOf(i), kNow) ? 1 : 0;
    }
    touch.points.push_back({size, (ThreadCpuSeconds() - cpu) * 1e6});
    if (found != n) {
      throw Error(ErrorKind::kInternal, "a flow was lost");
    }
  }
  return {memory, put, touch};
}

}  // namespace vanillalatch
