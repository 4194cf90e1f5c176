#include "vanillalatch/flow/pin_table.h"

#include <catch2/catch.hpp>

namespace vanillalatch {
namespace {

constexpr std::size_t kFlows = 500'000;
constexpr double kMaxBytesPerFlow = 96;

SocketAddress Caller(std::uint64_t n) {
  return SocketAddress::FromPacked((std::uint64_t{0x0a000000} << 16) + n);
}

TEST_CASE("a flow keeps its endpoint until it is idle", "[flow]") {
  PinTableOptions options;
  options.idle_timeout = std::chrono::seconds(10);
  PinTable pins = PinTable::Create(options).value();
  const TimePoint start(std::chrono::hours(1));
  REQUIRE(pins.Put(Caller(1), EndpointId{7}, start));
  CHECK(pins.Touch(Caller(1), start + std::chrono::seconds(9)) ==
        EndpointId{7});
  CHECK(pins.Touch(Caller(1), start + std::chrono::seconds(18)) ==
        EndpointId{7});
  CHECK(pins.Touch(Caller(1), start + std::chrono::seconds(30)) ==
        std::nullopt);
  CHECK(pins.Touch(Caller(2), start) == std::nullopt);
}

TEST_CASE("idle flows are dropped a part at a time", "[flow]") {
  PinTableOptions options;
  options.idle_timeout = std::chrono::seconds(10);
  options.expire_batch = 16;
  PinTable pins = PinTable::Create(options).value();
  const TimePoint start(std::chrono::hours(1));
  for (std::uint64_t n = 0; n < 100; ++n) {
    const auto late = std::chrono::seconds(n % 2 == 0 ? 0 : 20);
    pins.Put(Caller(n), EndpointId{n % 3}, start + late);
  }
  std::size_t dropped = 0;
  const TimePoint now = start + std::chrono::seconds(25);
  pins.ExpireSome(now, [&](SocketAddress, EndpointId) { ++dropped; });
  CHECK(dropped <= 16);
  for (int n = 0; n < 20; ++n) {
    pins.ExpireSome(now, [&](SocketAddress, EndpointId) { ++dropped; });
  }
  CHECK(dropped == 50);
  CHECK(pins.size() == 50);
  CHECK(pins.Touch(Caller(1), now) == EndpointId{1});
}

TEST_CASE("500,000 flows take at most 96 bytes each", "[flow]") {
  PinTable pins = PinTable::Create({}).value();
  const TimePoint now(std::chrono::hours(1));
  for (std::uint64_t n = 0; n < kFlows; ++n) {
    REQUIRE(pins.Put(Caller(n), EndpointId{n % 15}, now));
  }
  CHECK(static_cast<double>(pins.MemoryBytes()) / kFlows <= kMaxBytesPerFlow);
}

}  // namespace
}  // namespace vanillalatch
