// Tests registrations with values that no endpoint has, from an endpoint and
// from peers.
#include <catch2/catch.hpp>
#include <string>

#include "vanillalatch/registry/registry.h"

namespace vanillalatch {
namespace {

using std::chrono::seconds;

const TimePoint kStart{seconds(100)};
constexpr std::uint64_t kEpoch = 1'000'000;

Registration MakeRegistration(const std::string& name) {
  Registration it;
  it.name = name;
  it.service = ServiceId{1};
  it.data_center = "north";
  it.address = {0x0A000001U, 80};
  it.slots = 2;
  it.epoch = kEpoch;
  return it;
}

// Guards against a lease that no datagram can hold, which kept all later ones
// from being sent, and against values that no endpoint has.
TEST_CASE("a registration with a value out of range is refused") {
  struct Row {
    std::uint32_t ip;
    std::uint16_t port;
    std::uint32_t slots;
    std::size_t data_center_bytes;
    bool accepted;
  };
  const Row row = GENERATE(values<Row>({
      {0x0A000001, 80, 2, 5, true},
      {0x0A000001, 80, kMaxEndpointSlots, kMaxDataCenterBytes, true},
      {0x0A000001, 80, 2, kMaxDataCenterBytes + 1, false},
      {0x0A000001, 80, 2, 400'000, false},
      {0x0A000001, 80, kMaxEndpointSlots + 1, 5, false},
      {0x0A000001, 80, 0xffffffff, 5, false},
      {0x0A000001, 80, 0, 5, false},
      {0x0A000001, 0, 2, 5, false},
      {0, 80, 2, 5, false},
      {0xffffffff, 80, 2, 5, false},
      {0xe0000001, 80, 2, 5, false},
  }));
  CAPTURE(row.ip, row.port, row.slots, row.data_center_bytes);
  Registration registration = MakeRegistration("a");
  registration.address = {row.ip, row.port};
  registration.slots = row.slots;
  registration.data_center = std::string(row.data_center_bytes, 'z');
  const auto registry = Registry::Create({}).value();
  CHECK(registry->Register(kStart, registration).ok() == row.accepted);

  // The same from a peer whose build accepts it.
  pb::LeaseUpdate update;
  update.set_service_id(1);
  update.set_name("a");
  update.set_address(registration.address.Packed());
  update.set_slots(row.slots);
  update.set_epoch(kEpoch);
  update.set_version(1);
  update.set_claim(1);
  update.set_ttl_ms(10'000);
  update.set_lifetime_ms(10'000);
  update.set_data_center(registration.data_center);
  const auto peer = Registry::Create({}).value();
  peer->MergeLease(kStart, update, true);
  CHECK(peer->EndpointsOf(ServiceId{1}).size() == (row.accepted ? 1 : 0));
}

// Guards against endpoints that no other VM learns of, because a lease that
// fits into no datagram is sent first, for good.
TEST_CASE("an odd registration does not hold back those after it") {
  const auto registry = Registry::Create({}).value();
  Registration odd = MakeRegistration("b");
  odd.address = {0x0A000002U, 80};
  odd.data_center = std::string(400'000, 'z');
  static_cast<void>(registry->Register(kStart, odd));
  registry->Register(kStart, MakeRegistration("a")).value();
  constexpr std::size_t kMaxDatagramBytes = 1'200;
  for (int n = 0; n < 3; ++n) {
    pb::MembershipMessage message;
    registry->AppendLeases(kStart, false, 3, kMaxDatagramBytes, message);
    REQUIRE(message.leases_size() == 1);
    CHECK(message.leases(0).name() == "a");
  }
}

}  // namespace
}  // namespace vanillalatch
