// Tests evacuated data centres and cold endpoints in a fleet of entry VMs.
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "src/packetflow/flow_world.h"

namespace vanillalatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kVms = 4;
constexpr int kControl = -1;
const std::vector<std::string> kNorth = {"a1", "a2"};
const std::vector<std::string> kSouth = {"b1", "b2"};

class Fleet {
 public:
  explicit Fleet(std::uint64_t seed = 1) : world_(seed) {
    world_.AddVms(kVms);
    for (const std::string& it : kNorth) {
      world_.AddEndpoint(it, "records", "north");
    }
    for (const std::string& it : kSouth) {
      world_.AddEndpoint(it, "records", "south");
    }
    world_.SetRoutes(1, {"records"}, 250);
    world_.Publish();
    world_.Run(seconds(6));
  }

  FlowWorld& world() { return world_; }
  std::size_t dispatcher() const { return world_.DispatcherIndex("records"); }
  std::size_t non_dispatcher() const { return (dispatcher() + 1) % kVms; }

  // Opening packets received by the endpoints of the north.
  std::size_t NorthOpenings() {
    return world_.At("a1").openings + world_.At("a2").openings;
  }
  // Opens flows through every VM in turn.
  void OpenMany(int count) {
    for (int i = 0; i < count; ++i) {
      const std::size_t vm = static_cast<std::size_t>(i) % kVms;
      if (world_.IsRunning(vm)) {
        flows_.push_back(world_.Open("records", vm));
      }
      world_.Run(milliseconds(10));
    }
  }
  std::size_t Answered() const {
    return static_cast<std::size_t>(std::count_if(
        flows_.begin(), flows_.end(),
        [&](int it) { return world_.FlowOf(it).answered.has_value(); }));
  }
  std::size_t flows() const { return flows_.size(); }

 private:
  FlowWorld world_;
  std::vector<int> flows_;
};

// Guards against new flows at an evacuated data centre, which the operator is
// about to switch off, and against flows that are lost by it.
TEST_CASE("no new flow reaches an evacuated data centre") {
  Fleet fleet;
  fleet.OpenMany(20);
  REQUIRE(fleet.NorthOpenings() > 0);
  fleet.world().SetEvacuated({"north"});
  fleet.world().Publish();
  fleet.world().Run(milliseconds(1));  // What was on its way arrives.
  const std::size_t before = fleet.NorthOpenings();
  SECTION("in normal operation") {}
  SECTION("when the dispatcher fails") {
    fleet.world().KillVm(fleet.dispatcher());
  }
  SECTION("when the dispatcher hands its service over") {
    fleet.world().StopVm(fleet.dispatcher());
  }
  SECTION("when the other endpoints are silent") {
    fleet.world().At("b1").silent = true;
    fleet.world().At("b2").silent = true;
  }
  fleet.OpenMany(80);
  fleet.world().Run(seconds(2));
  CHECK(fleet.NorthOpenings() == before);
  if (!fleet.world().At("b1").silent) {
    CHECK(fleet.Answered() == fleet.flows());
  }
}

// Guards against probes of a silent endpoint in an evacuated data centre.
TEST_CASE("silent endpoints of an evacuated data centre are not probed") {
  Fleet fleet;
  fleet.world().At("a1").silent = true;
  fleet.OpenMany(40);
  fleet.world().At("a1").silent = false;  // It would answer a probe.
  fleet.world().SetEvacuated({"north"});
  fleet.world().Publish();
  fleet.world().Run(milliseconds(1));
  const std::size_t before = fleet.NorthOpenings();
  fleet.OpenMany(200);
  CHECK(fleet.NorthOpenings() == before);
}

// Guards against a retransmission that opens a flow at an evacuated endpoint:
// the first packet reached none.
TEST_CASE("a retransmitted opening packet moves from an evacuated endpoint") {
  Fleet fleet;
  fleet.world().At("a1").silent = true;
  fleet.world().At("a2").silent = true;
  const std::size_t north_vm = 0;
  const int flow = fleet.world().Open("records", north_vm);
  fleet.world().Run(milliseconds(10));
  fleet.world().At("a1").silent = false;
  fleet.world().At("a2").silent = false;
  fleet.world().SetEvacuated({"north"});
  fleet.world().Publish();
  fleet.world().Run(milliseconds(300));
  CHECK(fleet.NorthOpenings() == 0);
  CHECK(fleet.world().FlowOf(flow).answered);
  CHECK(fleet.world().FlowOf(flow).endpoint.front() == 'b');
}

// Guards against open flows that an evacuation cuts off.
TEST_CASE("an accepted flow stays at its evacuated endpoint") {
  Fleet fleet;
  for (const std::string& it : kNorth) {
    fleet.world().At(it).work = milliseconds(500);
  }
  const int flow = fleet.world().Open("records", 0);
  fleet.world().Run(milliseconds(50));
  REQUIRE(fleet.world().FlowOf(flow).endpoint.front() == 'a');
  fleet.world().SetEvacuated({"north"});
  fleet.world().Publish();
  fleet.world().Run(seconds(3));
  CHECK(fleet.world().FlowOf(flow).answered);
  CHECK(fleet.world().FlowOf(flow).accepted_by.size() == 1);
}

// Guards against callers that wait for a service without an endpoint.
TEST_CASE("flows are refused at once if every data centre is evacuated") {
  Fleet fleet;
  fleet.world().SetEvacuated({"north", "south"});
  fleet.world().Publish();
  const int flow = fleet.world().Open("records", fleet.non_dispatcher());
  fleet.world().Run(milliseconds(50));
  CHECK(fleet.world().FlowOf(flow).reset);
}

// Guards against a VM that places flows in an evacuated data centre because it
// is cut off from the control VMs, or from the dispatcher as well.
TEST_CASE("a VM without the catalog follows its neighbours") {
  Fleet fleet;
  const std::size_t vm = fleet.non_dispatcher();
  const bool alone = GENERATE(false, true);
  fleet.world().Disconnect(kControl, static_cast<int>(vm));
  if (alone) {
    fleet.world().Disconnect(static_cast<int>(fleet.dispatcher()),
                             static_cast<int>(vm));
  }
  fleet.world().SetEvacuated({"north"});
  for (std::size_t n = 0; n < kVms; ++n) {
    if (n != vm) {
      fleet.world().Publish(n);
    }
  }
  fleet.world().Run(seconds(1));
  CHECK(fleet.world().Vm(vm).evacuations().data_centers ==
        std::vector<std::string>{"north"});
  const std::size_t before = fleet.NorthOpenings();
  for (int i = 0; i < 20; ++i) {
    fleet.world().Open("records", vm);
    fleet.world().Run(milliseconds(20));
  }
  CHECK(fleet.NorthOpenings() == before);
  fleet.world().SetEvacuated({});
  for (std::size_t n = 0; n < kVms; ++n) {
    if (n != vm) {
      fleet.world().Publish(n);
    }
  }
  fleet.world().Run(seconds(1));
  CHECK(fleet.world().Vm(vm).evacuations().data_centers.empty());
}

// Guards against endpoints that stay without work, and against work at full
// rate for endpoints that became cold during the evacuation.
TEST_CASE("a returned data centre is cold until its heartbeats say otherwise") {
  Fleet fleet;
  fleet.world().SetWarmUp("records", seconds(3), 10);
  fleet.world().SetEvacuated({"north"});
  fleet.world().Publish();
  fleet.world().Run(seconds(4));
  const std::size_t before = fleet.NorthOpenings();
  const bool cold = GENERATE(false, true);
  if (cold) {
    for (const std::string& it : kNorth) {
      fleet.world().At(it).warm_at = fleet.world().now() + seconds(4);
    }
  }
  fleet.world().SetEvacuated({});
  fleet.world().Publish();
  fleet.OpenMany(20);  // Before the heartbeat: warm endpoints have free slots.
  CHECK(fleet.NorthOpenings() == before);
  fleet.world().Run(milliseconds(1400));
  fleet.OpenMany(40);
  CHECK((fleet.NorthOpenings() > before) == !cold);
  fleet.world().Run(seconds(4));
  fleet.OpenMany(40);
  CHECK(fleet.NorthOpenings() > before);
  fleet.world().Run(seconds(1));
  CHECK(fleet.Answered() == fleet.flows());
}

}  // namespace
}  // namespace vanillalatch
