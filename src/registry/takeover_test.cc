// Tests which registrations take over the name or the address of an endpoint
// that still renews its own.
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "vanillalatch/registry/registry.h"

namespace vanillalatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};
constexpr Duration kInterval = milliseconds(1200);
constexpr std::uint64_t kEpoch = 1'000'000;
constexpr std::uint64_t kFar = 9'223'372'036'854'775'807;

std::unique_ptr<Registry> MakeRegistry() {
  RegistryOptions options;
  options.epochs_are_start_times = true;
  options.contact_timeout = std::chrono::hours(24);  // As in a fleet.
  options.takeover_silence = 4 * kInterval;
  return Registry::Create(options).value();
}

Registration MakeRegistration(const std::string& name, std::uint64_t epoch) {
  Registration it;
  it.name = name;
  it.service = ServiceId{1};
  it.data_center = "north";
  it.address = {0x0A000001U, 80};
  it.slots = 2;
  it.lifetime = 10 * kInterval;
  it.epoch = epoch;
  return it;
}

// Guards against one report of another writer that takes a living endpoint out
// of use for as long as a lease and its tombstone last.
TEST_CASE("an endpoint that renews its registration is not taken over") {
  struct Row {
    const char* what;
    const char* name;
    std::uint64_t epoch;
    Duration silence;  // Of the endpoint before the last other registration.
    bool leaves;       // The endpoint has said that it leaves.
    bool goes_on;      // The other registration is sent twice.
    bool taken_over;
  };
  const Row row = GENERATE(values<Row>({
      {"its id with the highest epoch", "a", kFar, milliseconds(600), false,
       true, false},
      {"its id with a later epoch", "a", kEpoch + 1, milliseconds(600), false,
       true, false},
      {"its id, heartbeats are late", "a", kEpoch + 1, 3 * kInterval, false,
       true, false},
      {"its id once, heartbeats are lost", "a", kEpoch + 1, 5 * kInterval,
       false, false, false},
      {"its id, after a restart", "a", kEpoch + 1, 4 * kInterval, false, true,
       true},
      {"another id with its epoch", "b", kEpoch, milliseconds(600), false, true,
       false},
      {"another id with a later epoch", "b", kEpoch + 1, milliseconds(600),
       false, true, false},
      {"another id once, heartbeats are lost", "b", kEpoch + 1, 5 * kInterval,
       false, false, false},
      {"another id, after a crash", "b", kEpoch + 1, 4 * kInterval, false, true,
       true},
      {"its id while it drains", "a", kEpoch + 1, milliseconds(600), true, true,
       false},
      {"another id, after it drained", "b", kEpoch + 1, 4 * kInterval, true,
       true, true},
  }));
  const bool at_peer = GENERATE(false, true);
  // The endpoint has registered before the catalog named its service.
  const bool named_later = GENERATE(false, true);
  CAPTURE(row.what, at_peer, named_later);
  const auto own = MakeRegistry();
  const auto peer = MakeRegistry();
  Registration registration = MakeRegistration("a", kEpoch);
  registration.claims_address = !named_later;
  const EndpointId id = own->Register(kStart, registration).value();
  if (row.leaves) {
    own->BeginLeave(kStart, id).value();
  }
  for (const pb::LeaseUpdate& it : own->Leases(kStart)) {
    peer->MergeLease(kStart, it, true);
  }
  own->Register(kStart, MakeRegistration("a", kEpoch)).value();
  for (Registry* it : {own.get(), peer.get()}) {
    it->SetNamedServices({ServiceId{1}});
  }
  Registry& asked = at_peer ? *peer : *own;
  const TimePoint now = kStart + row.silence;
  if (row.goes_on) {
    const TimePoint first = std::max(kStart, now - kInterval);
    asked.OnTick(first);
    CHECK(!asked.Register(first, MakeRegistration(row.name, row.epoch)).ok());
  }
  asked.OnTick(now);
  const Result<EndpointId> other =
      asked.Register(now, MakeRegistration(row.name, row.epoch));
  REQUIRE(other.ok() == row.taken_over);
  if (!row.taken_over) {
    CHECK(other.error().kind() == ErrorKind::kConflict);
    REQUIRE(asked.Find(id) != nullptr);
    // Its own next heartbeat is used.
    CHECK(asked.Register(now, MakeRegistration("a", kEpoch)).ok());
    CHECK(asked.FindByAddress({0x0A000001U, 80})->id == id);
    CHECK((asked.Find(id)->state == EndpointState::kLeaving) == row.leaves);
  } else {
    CHECK(asked.Find(id) == nullptr);
    CHECK(asked.FindByAddress({0x0A000001U, 80})->id == *other);
  }
}

// Guards against a full load on an endpoint that has started again under its
// id and can't take over its former registration yet.
TEST_CASE("an endpoint that may have started again counts as cold") {
  struct Row {
    const char* name;
    std::uint64_t epoch;
    std::uint32_t ip;
    Duration warm_in;
    bool cold;
  };
  const Row row = GENERATE(values<Row>({
      {"a", kEpoch + 1, 0x0A000001U, seconds(12), true},
      {"a", kEpoch + 1, 0x0A000001U, seconds(0), false},
      {"a", kEpoch + 1, 0x0A000002U, seconds(12), false},
      {"b", kEpoch + 1, 0x0A000001U, seconds(12), false},
  }));
  CAPTURE(row.name, row.epoch, row.ip, row.warm_in.count());
  const auto own = MakeRegistry();
  const auto peer = MakeRegistry();
  const EndpointId id =
      own->Register(kStart, MakeRegistration("a", kEpoch)).value();
  const auto exchange = [&](TimePoint now) {
    for (const pb::LeaseUpdate& it : own->Leases(now)) {
      peer->MergeLease(now, it, true);
    }
  };
  exchange(kStart);
  const TimePoint now = kStart + kInterval;
  Registration start = MakeRegistration(row.name, row.epoch);
  start.address.ip = row.ip;
  start.warm_in = row.warm_in;
  CHECK(!own->Register(now, start).ok());
  exchange(now);
  for (Registry* it : {own.get(), peer.get()}) {
    CHECK((it->Find(id)->warm_at >= now + seconds(12)) == row.cold);
  }
  // Its own next report shows that it has not started again.
  const TimePoint next = now + kInterval;
  own->Register(next, MakeRegistration("a", kEpoch)).value();
  exchange(next);
  CHECK(peer->Find(id)->warm_at <= next);
}

}  // namespace
}  // namespace vanillalatch
