// Tests what an entry VM does while its peers have a newer catalog.
#include <catch2/catch.hpp>

#include "src/packetflow/flow_world.h"

namespace vanillalatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kVms = 4;
constexpr std::size_t kBehind = 3;  // The VM that lacks the newer catalog.

// Time in which the VMs probe each other.
constexpr Duration kProbeTime = seconds(1);

void PublishToOthers(FlowWorld& world) {
  for (std::size_t n = 0; n < kVms; ++n) {
    if (n != kBehind) {
      world.Publish(n);
    }
  }
}

// Four entry VMs with the catalog of revision 1.
void StartFleet(FlowWorld& world) {
  world.AddVms(kVms);
  for (const char* it : {"a1", "a2"}) {
    world.AddEndpoint(it, "records", "north");
  }
  world.AddEndpoint("u1", "urgent", "north");
  world.SetRoutes(1, {"records"}, 250);
  world.Publish();
  world.Run(seconds(6));
}

// Guards against callers' packets at a VM that started with a catalog which is
// older than those of its neighbours.
TEST_CASE("a VM that starts is not ready before it has its peers' catalog") {
  const bool obtains_it = GENERATE(true, false);
  FlowWorld world(1);
  StartFleet(world);
  world.KillVm(kBehind);
  world.Run(seconds(3));
  world.StartVm(kBehind);
  world.SetRoutes(2, {"records", "urgent"}, 250);
  PublishToOthers(world);
  world.Run(kProbeTime);
  world.SendEndpoints(kBehind);
  CHECK(!world.Vm(kBehind).Ready());
  if (obtains_it) {
    world.Publish(kBehind);
    world.SendEndpoints(kBehind);
    CHECK(world.Vm(kBehind).Ready());
  } else {
    // The statement may be false: it must not cost the VM its service.
    world.Run(seconds(5));
    world.SendEndpoints(kBehind);
    CHECK(world.Vm(kBehind).Ready());
  }
}

// Guards against the reset of a flow on a route that was added, through a VM
// that has not heard of the route yet.
TEST_CASE("a VM that lacks its peers' catalog resets no unknown route") {
  FlowWorld world(1);
  StartFleet(world);
  FlowPacket packet;
  packet.caller = {0x0C000001U, 4000};
  packet.route = {0xC6120001U, static_cast<std::uint16_t>(
                                   FlowServiceId("urgent").value() | 1)};
  packet.opens = true;
  const auto verdict = [&] {
    return world.Vm(kBehind).OnPacket(world.now(), packet, {}).kind;
  };
  CHECK(verdict() == FlowVerdict::Kind::kReset);
  world.SetRoutes(2, {"records", "urgent"}, 250);
  PublishToOthers(world);
  world.Run(kProbeTime);
  CHECK(verdict() == FlowVerdict::Kind::kDrop);
  world.Run(seconds(5));
  CHECK(verdict() == FlowVerdict::Kind::kReset);
  world.Publish(kBehind);
  CHECK(verdict() == FlowVerdict::Kind::kPending);
}

}  // namespace
}  // namespace vanillalatch
