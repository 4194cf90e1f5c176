// Tests that evacuated data centres get no new work from a scheduler.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "vanillalatch/placement/slot_scheduler.h"

namespace vanillalatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};

Endpoint At(std::uint64_t id, const std::string& data_center) {
  Endpoint endpoint;
  endpoint.id = EndpointId(id);
  endpoint.data_center = data_center;
  endpoint.slots = 1;
  endpoint.registered = kStart - seconds(100);
  return endpoint;
}

// A scheduler with endpoints 1 and 2 in the north and 3 in the south.
struct Fixture {
  Fixture() {
    ClassTarget target;
    target.id = ClassId(1);
    target.latency = seconds(1);
    scheduler->SetClasses(std::vector<ClassTarget>{target});
    scheduler->SetEndpoints(kStart, endpoints);
  }

  Work NewWork() {
    Work work;
    work.request = RequestId(++last);
    work.work_class = ClassId(1);
    return work;
  }
  // The endpoint that gets the work; nullopt if it waits or is refused.
  std::optional<EndpointId> Submit(const Work& work) {
    verdicts.clear();
    scheduler->Submit(kStart, work, verdicts);
    return verdicts.empty() || verdicts[0].kind == Verdict::Kind::kRefuse
               ? std::nullopt
               : std::optional(verdicts[0].endpoint);
  }
  void Evacuate(std::vector<std::string> names) {
    scheduler->SetEvacuated(kStart, names);
  }

  std::vector<Endpoint> endpoints{At(1, "north"), At(2, "north"),
                                  At(3, "south")};
  std::unique_ptr<SlotScheduler> scheduler =
      SlotScheduler::Create({}, 1).value();
  std::vector<Verdict> verdicts;
  std::uint64_t last = 0;
};

// Guards against new work at an evacuated endpoint by way of one of the special
// cases that look past an endpoint's rank.
TEST_CASE("Unpinned work goes around an evacuated data centre") {
  enum class Way { kPlain, kTryFirst, kLocal, kAvoid, kSilent, kSetLater };
  const Way way = GENERATE(Way::kPlain, Way::kTryFirst, Way::kLocal,
                           Way::kAvoid, Way::kSilent, Way::kSetLater);
  Fixture fixture;
  fixture.Evacuate({"north"});
  Work work = fixture.NewWork();
  switch (way) {
    case Way::kTryFirst:
      work.try_first = EndpointId(1);
      break;
    case Way::kLocal:
      work.data_center = "north";
      break;
    case Way::kAvoid:
      work.avoid = EndpointId(3);
      break;
    case Way::kSilent:
      fixture.scheduler->SetSilent(EndpointId(3), true);
      break;
    case Way::kSetLater:  // The registry's list replaces the endpoints.
      fixture.scheduler->SetEndpoints(kStart, fixture.endpoints);
      break;
    default:
      break;
  }
  CHECK(fixture.Submit(work) == EndpointId(3));
  // The other slots don't count: the next request waits.
  CHECK(fixture.Submit(fixture.NewWork()) == std::nullopt);
  CHECK(fixture.verdicts.empty());
}

// Guards against a queue that waits for slots which never come: it is refused
// without a further event.
TEST_CASE("Evacuating the last data centre refuses the queue at once") {
  Fixture fixture;
  for (int i = 0; i < 3; ++i) {
    REQUIRE(fixture.Submit(fixture.NewWork()));
  }
  REQUIRE(!fixture.Submit(fixture.NewWork()));
  REQUIRE(fixture.verdicts.empty());
  fixture.Evacuate({"north", "south"});
  CHECK(fixture.scheduler->NextWake() <= kStart);
  fixture.scheduler->OnTick(kStart, fixture.verdicts);
  REQUIRE(fixture.verdicts.size() == 1);
  CHECK(fixture.verdicts[0].error == ErrorKind::kNoEndpoint);
  CHECK(fixture.verdicts[0].cause.usable_slots == 0);
  CHECK(!fixture.Submit(fixture.NewWork()));
  REQUIRE(fixture.verdicts.size() == 1);
  CHECK(fixture.verdicts[0].error == ErrorKind::kNoEndpoint);
}

// Guards against cutting open flows off, and against probes of an ejected
// endpoint in an evacuated data centre.
TEST_CASE("Evacuated endpoints keep their work and are not probed") {
  Fixture fixture;
  Work pinned = fixture.NewWork();
  pinned.pinned = EndpointId(1);
  fixture.Evacuate({"north"});
  CHECK(fixture.Submit(pinned) == EndpointId(1));
  fixture.Evacuate({});
  // Endpoint 2 fails until it is ejected; its back-off then ends.
  for (int i = 0; i < 8; ++i) {
    Work work = fixture.NewWork();
    work.try_first = EndpointId(2);
    if (fixture.Submit(work) != EndpointId(2)) {
      fixture.scheduler->Finish(kStart, work.request, WorkOutcome::kAnswered,
                                fixture.verdicts);
      continue;
    }
    fixture.scheduler->Finish(kStart, work.request, WorkOutcome::kFailed,
                              fixture.verdicts);
  }
  fixture.Evacuate({"north"});
  const TimePoint later = kStart + seconds(60);
  for (int i = 0; i < 3; ++i) {
    Work work = fixture.NewWork();
    fixture.verdicts.clear();
    fixture.scheduler->Submit(later + milliseconds(200) * i, work,
                              fixture.verdicts);
    REQUIRE(fixture.verdicts.size() == 1);
    CHECK(fixture.verdicts[0].endpoint == EndpointId(3));
    fixture.scheduler->Finish(later + milliseconds(200) * i, work.request,
                              WorkOutcome::kAnswered, fixture.verdicts);
  }
  const pb::ServiceReport report = fixture.scheduler->Report(later);
  CHECK(report.endpoints(0).state() == "evacuated");
  CHECK(report.endpoints(2).state() == "ready");
}

}  // namespace
}  // namespace vanillalatch
