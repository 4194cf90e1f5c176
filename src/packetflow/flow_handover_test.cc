// Tests that an opening packet and its copies have one placement while the
// dispatcher of their service changes or is silent, and callers wait for slots.
#include <algorithm>
#include <catch2/catch.hpp>

#include "src/packetflow/flow_world.h"
#include "src/packetflow/shard.h"

namespace vanillalatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kVms = 8;
constexpr Duration kWork = milliseconds(100);
// Eighteen slots serve 180 flows a second.
constexpr const char* kEndpoints[] = {"a1", "a2", "a3", "b1", "b2", "b3"};
// Makes one VM's link too narrow for the service, which is sharded then.
constexpr double kNarrowMbit = 0.5;
// Flows that callers open at once in the beginning, and then one by one.
constexpr int kBurst = 70;
constexpr Duration kOpeningInterval = milliseconds(6);
// When the dispatcher changes, from the first flow on. Until then flows wait in
// its queue for up to 0.4 s.
constexpr Duration kChangeAt = milliseconds(350);
constexpr Duration kLoadEnd = milliseconds(1200);
// How long some VMs do not know of the change.
constexpr Duration kNewsDelay = milliseconds(70);

enum class Event : std::uint8_t { kStop, kStart, kFreeze };
// The VMs that learn of the change kNewsDelay late.
enum class Unaware : std::uint8_t { kNone, kIngresses, kNextDispatcher };

struct Row {
  const char* name;
  Event event;
  Unaware unaware = Unaware::kNone;
  Duration freeze{};
};

class HandoverRun {
 public:
  HandoverRun(const Row& row, bool sharded, std::uint64_t seed)
      : row_(row),
        shard_{FlowServiceId("records"), sharded ? "north" : ""},
        world_(seed) {
    if (sharded) {
      world_.SetDataCenters({"north", "south"}, milliseconds(1), kNarrowMbit);
    }
    world_.AddVms(kVms);
    for (const char* it : kEndpoints) {
      world_.AddEndpoint(it, "records", *it == 'a' ? "north" : "south").work =
          kWork;
    }
    world_.SetRoutes(1, {"records"}, 2000);
    world_.Publish();
    world_.Run(seconds(6));
    first_ = Dispatcher(0);
    if (row_.event == Event::kStart) {
      // Its place is free until it starts again.
      world_.StopVm(first_);
      world_.Run(seconds(1));
      world_.KillVm(first_);
      world_.Run(seconds(8));
    }
    next_ = Dispatcher(row_.event == Event::kStart ? 0 : 1);
    for (std::size_t n = 0; n < kVms; ++n) {
      if (n != first_ && n != next_) {
        ingresses_.push_back(n);
      }
    }
  }

  // Returns the flows.
  std::vector<int> Play() {
    for (int n = 0; n < kBurst; ++n) {
      Open();
    }
    for (Duration at{}; at < kLoadEnd; at += milliseconds(1)) {
      if (at == kChangeAt) {
        Change();
      }
      if (row_.event == Event::kFreeze && at == kChangeAt + row_.freeze) {
        world_.ThawVm(first_, true);
      }
      if (at == kChangeAt + kNewsDelay) {
        for (std::size_t n = 0; n < kVms; ++n) {
          world_.DropNews(n, false);
        }
      }
      if (at % kOpeningInterval == Duration::zero()) {
        Open();
      }
      RerouteCopies();
      world_.Run(milliseconds(1));
    }
    world_.Run(seconds(4));
    return flows_;
  }
  FlowWorld& world() { return world_; }

 private:
  // The ingress after `vm` in the same data centre.
  std::size_t NextIngress(std::size_t vm) const {
    std::size_t next = (vm + 1) % kVms;
    while (!std::binary_search(ingresses_.begin(), ingresses_.end(), next) ||
           world_.DataCenterOf(static_cast<int>(next)) !=
               world_.DataCenterOf(static_cast<int>(vm))) {
      next = (next + 1) % kVms;
    }
    return next;
  }
  void Open() {
    flows_.push_back(
        world_.Open("records", ingresses_[flows_.size() % ingresses_.size()]));
  }
  // Has the copies of opening packets reach other VMs than their first packets.
  void RerouteCopies() {
    for (const int it : flows_) {
      const Duration next =
          world_.now() + milliseconds(1) - world_.FlowOf(it).opened;
      if (next == FlowDispatcher::kTransmissionTimes[1] ||
          next == FlowDispatcher::kTransmissionTimes[2]) {
        world_.Reroute(it, NextIngress(world_.FlowOf(it).vm));
      }
    }
  }
  // The running VM that ranks `rank`-th for the shard whose dispatcher changes.
  std::size_t Dispatcher(std::size_t rank) {
    const std::size_t any = world_.IsRunning(0) ? 0 : 1;
    const NodeId id =
        internal::ShardDispatcherOf(
            shard_, world_.Vm(any).peers().members().members(), rank)
            .value();
    std::size_t n = 0;
    while (!world_.IsRunning(n) ||
           world_.Vm(n).peers().members().self() != id) {
      ++n;
    }
    return n;
  }
  void Change() {
    if (row_.unaware == Unaware::kIngresses) {
      for (const std::size_t it : ingresses_) {
        world_.DropNews(it, true);
      }
    } else if (row_.unaware == Unaware::kNextDispatcher) {
      world_.DropNews(next_, true);
    }
    if (row_.event == Event::kStop) {
      world_.StopVm(first_);
    } else if (row_.event == Event::kFreeze) {
      world_.FreezeVm(first_);
    } else {
      world_.StartVm(first_);
      world_.SendEndpoints(first_);
    }
  }
  Row row_;
  ShardId shard_;
  FlowWorld world_;
  std::size_t first_ = 0;  // The dispatcher that stops, starts or freezes.
  std::size_t next_ = 0;   // The one before or after it.
  std::vector<std::size_t> ingresses_;
  std::vector<int> flows_;
};

// Plays a row and checks that no flow has two endpoints.
void CheckOnePlacement(const Row& row, bool sharded, std::uint64_t seed) {
  CAPTURE(row.name, row.freeze.count(), sharded, seed);
  HandoverRun run(row, sharded, seed);
  const std::vector<int> flows = run.Play();
  std::size_t placed_twice = 0;
  std::size_t answered = 0;
  for (const int it : flows) {
    placed_twice += run.world().FlowOf(it).accepted_by.size() > 1 ? 1 : 0;
    answered += run.world().FlowOf(it).answered ? 1 : 0;
  }
  CHECK(placed_twice == 0);
  // Planned work loses no caller. A freeze loses those whose copies it meets.
  CHECK(answered * 10 >= flows.size() * (row.event == Event::kFreeze ? 5 : 9));
}

Row Freeze(int freeze_ms) {
  return {"freezes", Event::kFreeze, Unaware::kNone, milliseconds(freeze_ms)};
}

constexpr std::uint64_t kSeeds = 10;

// Guards against an open flow that is reset because a copy of its opening
// packet was placed by a VM that stops, or by the one that a new dispatcher has
// replaced.
TEST_CASE("an opening has one placement while its dispatcher changes") {
  const Row row = GENERATE(
      Row{"stops", Event::kStop},
      Row{"stops, ingresses learn it late", Event::kStop, Unaware::kIngresses},
      Row{"stops, the next one learns it late", Event::kStop,
          Unaware::kNextDispatcher},
      Row{"starts", Event::kStart},
      Row{"starts, ingresses learn it late", Event::kStart,
          Unaware::kIngresses},
      Row{"starts, the former one learns it late", Event::kStart,
          Unaware::kNextDispatcher});
  const bool sharded = GENERATE(false, true);
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CheckOnePlacement(row, sharded, seed);
  }
}

// Guards against an open flow that is reset because the dispatcher, after a
// short freeze, has placed a flow of which another VM has placed a copy.
TEST_CASE("an opening has one placement while its dispatcher freezes") {
  const int freeze_ms = GENERATE(130, 250, 600);
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CheckOnePlacement(Freeze(freeze_ms), false, seed);
  }
}

// Guards against the same for a flow that the frozen dispatcher has passed on
// to another shard, where it waits.
TEST_CASE("an opening passed on has one placement while its shard freezes") {
  const int freeze_ms = GENERATE(130, 250, 600);
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CheckOnePlacement(Freeze(freeze_ms), true, seed);
  }
}

}  // namespace
}  // namespace vanillalatch
