#include "src/runtime/stored_endpoints.h"

#include <catch2/catch.hpp>

namespace vanillalatch {
namespace {

using std::chrono::seconds;

std::vector<pb::LeaseUpdate> Leases(std::uint64_t version) {
  pb::LeaseUpdate lease;
  lease.set_name("aa");
  lease.set_epoch(1);
  lease.set_version(version);
  lease.set_lifetime_ms(12'000);
  return {lease};
}

TEST_CASE("endpoints that don't change are kept young", "[runtime]") {
  StoredEndpoints endpoints;
  const TimePoint start(seconds(100));
  std::string text =
      endpoints.TakeTextToStore(start, 1'000'000, Leases(1)).value();
  std::int64_t oldest_ms = 0;
  for (int s = 1; s <= 120; ++s) {
    const std::int64_t unix_ms = 1'000'000 + s * 1000;
    if (auto next =
            endpoints.TakeTextToStore(start + seconds(s), unix_ms, Leases(1))) {
      text = *next;
    }
    const RestoredEndpoints restored = StoredEndpoints::Restore(text, unix_ms);
    CHECK(restored.usable);
    CHECK(restored.endpoints.size() == 1);
    oldest_ms = std::max(oldest_ms, restored.age_ms);
  }
  CHECK(oldest_ms <= ToMilliseconds(StoredEndpoints::kUnchangedInterval));
}

TEST_CASE("changes are stored once a second at most", "[runtime]") {
  StoredEndpoints endpoints;
  TimePoint now(seconds(100));
  int stored = 0;
  for (std::uint64_t n = 0; n < 100; ++n) {
    stored += endpoints.TakeTextToStore(now, 1, Leases(n)).has_value() ? 1 : 0;
    now += std::chrono::milliseconds(100);
  }
  CHECK(stored == 10);
}

TEST_CASE(
    "stored endpoints that are too old, from the future or truncated are "
    "refused",
    "[runtime]") {
  StoredEndpoints endpoints;
  const std::string text =
      endpoints.TakeTextToStore(TimePoint(seconds(1)), 1'000'000, Leases(1))
          .value();
  CHECK(StoredEndpoints::Restore(text, 1'029'000).usable);
  CHECK(StoredEndpoints::Restore(text, 990'000).usable);
  CHECK_FALSE(StoredEndpoints::Restore(text, 1'031'000).usable);
  CHECK_FALSE(StoredEndpoints::Restore(text, 900'000).usable);
  CHECK_FALSE(StoredEndpoints::Restore("", 1'000'000).usable);
  CHECK_FALSE(StoredEndpoints::Restore(text.substr(0, 5), 1'000'000).usable);
}

}  // namespace
}  // namespace vanillalatch
