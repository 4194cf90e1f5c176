// Tests what renewals say about the warm-up of an endpoint.
#include <catch2/catch.hpp>

#include "vanillalatch/registry/registry.h"

namespace vanillalatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};

Registration Heartbeat(Duration warm_in) {
  Registration it;
  it.name = "a1";
  it.service = ServiceId{1};
  it.data_center = "north";
  it.address = {0x0A000001U, 80};
  it.warm_in = warm_in;
  return it;
}

// Guards against an endpoint that becomes cold again without a new start, as in
// an evacuated data centre, and gets its full load; and against an update to
// every VM with each heartbeat whose delay varies.
TEST_CASE("A renewal extends the warm-up, but not by the delay of messages") {
  struct Row {
    Duration warm_in;  // Of a renewal 10 s after the registration.
    Duration warm_at;  // Expected, since the registration.
    bool changes;      // Other VMs get an update.
  };
  const Row row =
      GENERATE(values<Row>({{seconds(0), seconds(12), false},
                            {seconds(1), seconds(12), false},
                            {milliseconds(2040), seconds(12), false},
                            {seconds(5), seconds(15), true}}));
  auto registry = Registry::Create({}).value();
  auto peer = Registry::Create({}).value();
  const EndpointId id =
      registry->Register(kStart, Heartbeat(seconds(12))).value();
  for (const pb::LeaseUpdate& it : registry->Leases(kStart)) {
    peer->MergeLease(kStart, it, true);
  }
  const std::uint64_t version = registry->VersionOf(ServiceId{1});
  const TimePoint later = kStart + seconds(9);
  registry->Register(later, Heartbeat(seconds(3))).value();
  CHECK(registry->Find(id)->renewed == later);
  const TimePoint renewed = kStart + seconds(10);
  registry->Register(renewed, Heartbeat(row.warm_in)).value();
  CHECK(registry->Find(id)->renewed == renewed);
  CHECK(registry->Find(id)->warm_at == kStart + row.warm_at);
  CHECK((registry->VersionOf(ServiceId{1}) != version) == row.changes);
  for (const pb::LeaseUpdate& it : registry->Leases(renewed)) {
    peer->MergeLease(renewed, it, true);
  }
  CHECK(peer->Find(id)->warm_at == kStart + row.warm_at);
  CHECK(peer->Find(id)->renewed == renewed);
}

// Guards against an endpoint that counts as cold for weeks because of one
// report of another writer.
TEST_CASE("the endpoint's own heartbeat ends a warm-up that is too long") {
  auto registry = Registry::Create({}).value();
  const EndpointId id =
      registry->Register(kStart, Heartbeat(seconds(0))).value();
  const TimePoint odd = kStart + milliseconds(500);
  registry->Register(odd, Heartbeat(std::chrono::hours(1000))).value();
  const TimePoint own = kStart + milliseconds(1200);
  registry->Register(own, Heartbeat(seconds(0))).value();
  CHECK(registry->Find(id)->warm_at <= own);
}

}  // namespace
}  // namespace vanillalatch
