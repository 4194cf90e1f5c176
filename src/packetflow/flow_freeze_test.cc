// Tests flows whose entry VM freezes and reads old messages when it wakes up.
#include <algorithm>
#include <catch2/catch.hpp>

#include "src/packetflow/flow_world.h"
#include "vanillalatch/packetflow/receive_delay.h"

namespace vanillalatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kVms = 4;

enum class FrozenVm : std::uint8_t { kDispatcher, kIngress };

struct Row {
  const char* name;
  FrozenVm frozen;
  // When it freezes and wakes up, from the first flow on.
  Duration freeze;
  Duration thaw;
  Duration work;     // Of the endpoints; flows queue if it is long.
  Duration reroute;  // When the callers' next packets reach another VM.
};

// Guards against resets of flows that other VMs opened during the freeze.
TEST_CASE("a VM that wakes up opens no flow a second time") {
  const Row row = GENERATE(
      Row{"handed over to it", FrozenVm::kDispatcher, milliseconds(0),
          milliseconds(2500), milliseconds(20), seconds(9)},
      Row{"handed over to it, short", FrozenVm::kDispatcher, milliseconds(0),
          milliseconds(150), milliseconds(20), seconds(9)},
      Row{"waiting in its queue", FrozenVm::kDispatcher, milliseconds(5),
          milliseconds(900), milliseconds(400), seconds(9)},
      Row{"waiting in its queue, long", FrozenVm::kDispatcher, milliseconds(5),
          milliseconds(2500), milliseconds(400), seconds(9)},
      Row{"placed and not reported", FrozenVm::kDispatcher, milliseconds(2),
          milliseconds(350), milliseconds(20), seconds(9)},
      Row{"received by it", FrozenVm::kIngress, milliseconds(0),
          milliseconds(700), milliseconds(20), milliseconds(100)},
      Row{"received by it, long", FrozenVm::kIngress, milliseconds(0),
          milliseconds(2500), milliseconds(20), milliseconds(100)},
      Row{"handed over by it", FrozenVm::kIngress, std::chrono::microseconds(1),
          milliseconds(180), milliseconds(20), milliseconds(2)},
      Row{"handed over by it, long", FrozenVm::kIngress,
          std::chrono::microseconds(1), milliseconds(2500), milliseconds(20),
          milliseconds(2)});
  const bool timer_first = GENERATE(true, false);
  CAPTURE(row.name, timer_first);
  FlowWorld world(1);
  world.AddVms(kVms);
  for (const char* it : {"a1", "a2", "a3", "b1", "b2", "b3"}) {
    world.AddEndpoint(it, "records", *it == 'a' ? "north" : "south").work =
        row.work;
  }
  world.SetRoutes(1, {"records"}, 2000);
  world.Publish();
  world.Run(seconds(6));
  const std::size_t dispatcher = world.DispatcherIndex("records");
  const std::size_t ingress = (dispatcher + 1) % kVms;
  const std::size_t frozen =
      row.frozen == FrozenVm::kDispatcher ? dispatcher : ingress;
  std::vector<int> flows;
  const auto run = [&](Duration from, Duration until) {
    for (Duration at = from; at < until; at += milliseconds(1)) {
      world.Run(std::min<Duration>(milliseconds(1), until - at));
      if (at <= row.reroute && row.reroute < at + milliseconds(1)) {
        for (const int it : flows) {
          world.Reroute(it, (dispatcher + 2) % kVms);
        }
      }
    }
  };
  for (int n = 0; n < 36; ++n) {
    flows.push_back(world.Open("records", ingress));
  }
  run(Duration::zero(), row.freeze);
  world.FreezeVm(frozen);
  run(row.freeze, row.thaw);
  world.ThawVm(frozen, timer_first);
  run(row.thaw, seconds(5));
  for (const int it : flows) {
    CAPTURE(it);
    CHECK(world.FlowOf(it).accepted_by.size() == 1);
  }
  // The VM that froze serves new flows again.
  const int later = world.Open("records", frozen);
  world.Run(seconds(1));
  CHECK(world.FlowOf(later).answered);
}

// Guards against an ingress that is some milliseconds late, runs its timers
// before it reads, and places a flow whose handover has been acknowledged.
TEST_CASE("an acknowledgement that waits unread prevents a second placement") {
  const bool timer_first = GENERATE(true, false);
  const int late_ms = GENERATE(10, 20, 40, 80);
  CAPTURE(timer_first, late_ms);
  FlowWorld world(1);
  world.AddVms(kVms);
  for (const char* it : {"a1", "a2", "a3", "b1", "b2", "b3"}) {
    world.AddEndpoint(it, "records", *it == 'a' ? "north" : "south");
  }
  world.SetRoutes(1, {"records"}, 2000);
  world.Publish();
  world.Run(seconds(6));
  const std::size_t dispatcher = world.DispatcherIndex("records");
  const std::size_t ingress = (dispatcher + 1) % kVms;
  // Not late enough to decline what it reads.
  world.FreezeVm(dispatcher);
  world.Run(milliseconds(2));
  constexpr int kFlows = 12;
  std::vector<int> flows;
  flows.reserve(kFlows);
  for (int n = 0; n < kFlows; ++n) {
    flows.push_back(world.Open("records", ingress));
  }
  world.Run(milliseconds(80));
  world.FreezeVm(ingress);
  world.Run(milliseconds(5));
  world.ThawVm(dispatcher, timer_first);
  world.Run(milliseconds(late_ms));
  world.ThawVm(ingress, timer_first);
  world.Run(seconds(3));
  for (const int it : flows) {
    CAPTURE(it);
    CHECK(world.FlowOf(it).accepted_by.size() == 1);
  }
}

TEST_CASE("the bound of a receive delay covers a freeze and a long buffer") {
  constexpr TimePoint kStart(seconds(100));
  ReceiveDelay delay(kStart);
  TimePoint now = kStart;
  // A turn each interval keeps the bound of an idle socket low.
  for (int n = 0; n < 10; ++n) {
    now += ReceiveDelay::kTurnInterval;
    delay.OnTurn(now);
    CHECK(delay.Bound(now) <= 2 * ReceiveDelay::kTurnInterval);
  }
  const Duration freeze =
      GENERATE(Duration(milliseconds(150)), Duration(milliseconds(2500)));
  const int turns_first = GENERATE(0, 1, 2, 5);
  now += freeze;
  for (int n = 0; n < turns_first; ++n) {
    delay.OnTurn(now);
    now += milliseconds(1);
  }
  CHECK(delay.Bound(now) >= freeze);
  for (int n = 0; n < 50; ++n) {
    delay.OnRead(now, false);
    now += milliseconds(10);
    delay.OnTurn(now);
    CHECK(delay.Bound(now) >= freeze);
  }
  delay.OnRead(now, true);
  CHECK(delay.Bound(now) == Duration::zero());
}

}  // namespace
}  // namespace vanillalatch
