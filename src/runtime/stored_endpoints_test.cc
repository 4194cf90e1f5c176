#include "src/runtime/stored_endpoints.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "vanillalatch/registry/registry.h"

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

// Guards against an endpoint that left being used again after all VMs failed
// within a second of its departure.
TEST_CASE("a departure is stored within 0.1 s", "[runtime]") {
  StoredEndpoints endpoints;
  const TimePoint start(seconds(100));
  REQUIRE(endpoints.TakeTextToStore(start, 1, Leases(1)));
  endpoints.OnDeparture();
  const TimePoint due = start + StoredEndpoints::kMinDepartureInterval;
  CHECK_FALSE(endpoints.IsDue(due - std::chrono::milliseconds(1)));
  CHECK(endpoints.TakeTextToStore(due, 2, Leases(2)));
  CHECK_FALSE(endpoints.IsDue(due + StoredEndpoints::kMinDepartureInterval));
}

std::unique_ptr<Registry> MakeRegistry() {
  return Registry::Create({.epochs_are_start_times = true}).value();
}

void Restore(TimePoint now, const std::string& text, Registry& registry) {
  for (const pb::LeaseUpdate& it :
       StoredEndpoints::Restore(text, 1'000'000).endpoints) {
    registry.MergeLease(now, it, false);
  }
}

// Guards against the stored endpoints of a control VM that was partitioned
// restoring an endpoint whose departure the other control VMs know.
TEST_CASE("an older stored text restores no endpoint that has left",
          "[runtime]") {
  const bool older_first = GENERATE(true, false);
  const bool expired = GENERATE(true, false);
  CAPTURE(older_first, expired);
  TimePoint now(seconds(100));
  const ServiceId service(7);
  const auto registry = MakeRegistry();
  const EndpointId id =
      registry
          ->Register(now, {.name = "aa",
                           .service = service,
                           .address = SocketAddress{0x0A010101, 80},
                           .lifetime = seconds(12),
                           .epoch = 5})
          .value();
  const std::string older =
      StoredEndpoints()
          .TakeTextToStore(now, 1'000'000, registry->LeasesAndTombstones(now))
          .value();
  registry->BeginLeave(now, id).value();
  if (expired) {
    now += seconds(37);  // Three lifetimes, as no peer confirms the lease.
    registry->OnTick(now);
    REQUIRE(registry->Find(id) == nullptr);
  }
  const std::string newer =
      StoredEndpoints()
          .TakeTextToStore(now, 1'000'000, registry->LeasesAndTombstones(now))
          .value();
  const auto restarted = MakeRegistry();
  Restore(now, older_first ? older : newer, *restarted);
  Restore(now, older_first ? newer : older, *restarted);
  const Endpoint* endpoint = restarted->Find(id);
  CHECK((endpoint == nullptr || endpoint->state == EndpointState::kLeaving));
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
