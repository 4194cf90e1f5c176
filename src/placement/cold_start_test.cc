// Tests the bound on new work at cold endpoints.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "vanillalatch/placement/slot_scheduler.h"

namespace vanillalatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};
constexpr double kRate = 10;
constexpr Duration kWarmUp = seconds(4);

enum class Warmth { kWarm, kReported, kStated, kTooShort };

Endpoint Make(std::uint64_t id, Warmth warmth, const std::string& dc = "a") {
  Endpoint it;
  it.id = EndpointId(id);
  it.data_center = dc;
  it.slots = 4;
  it.registered = warmth == Warmth::kWarm || warmth == Warmth::kReported
                      ? kStart - seconds(100)
                      : kStart;
  it.warm_at = warmth == Warmth::kReported   ? kStart + kWarmUp
               : warmth == Warmth::kTooShort ? kStart + milliseconds(100)
                                             : TimePoint{};
  it.renewed = kStart - seconds(1);
  return it;
}

// A scheduler under open load: one request per millisecond, each for 2 ms.
class Load {
 public:
  explicit Load(std::vector<Endpoint> endpoints, double rate = kRate)
      : endpoints_(std::move(endpoints)) {
    SlotSchedulerOptions options;
    options.endpoints_report_warm_up = true;
    scheduler_ = SlotScheduler::Create(options, 1).value();
    ClassTarget target;
    target.id = ClassId(1);
    target.latency = milliseconds(250);
    scheduler_->SetClasses(std::vector<ClassTarget>{target});
    scheduler_->SetWarmUp(kStart, {kWarmUp, rate});
    scheduler_->SetEndpoints(kStart, endpoints_);
  }

  void Run(Duration time, int requests_per_ms = 1) {
    const TimePoint end = now_ + time;
    for (; now_ < end; now_ += milliseconds(1)) {
      scheduler_->OnTick(now_, verdicts_);
      Apply();
      while (!ends_.empty() && ends_.begin()->first <= now_) {
        scheduler_->Finish(now_, ends_.begin()->second, WorkOutcome::kAnswered,
                           verdicts_);
        ends_.erase(ends_.begin());
        Apply();
      }
      for (int i = 0; i < requests_per_ms; ++i) {
        Work work;
        work.request = RequestId(++last_);
        work.work_class = ClassId(1);
        submitted_[work.request] = now_;
        scheduler_->Submit(now_, work, verdicts_);
        Apply();
      }
    }
  }

  // The most starts at the endpoint in any second that begins in the interval.
  std::size_t Peak(std::uint64_t id, TimePoint from, TimePoint to) {
    const std::vector<TimePoint>& all = starts_[id];
    std::size_t peak = 0;
    for (auto it = all.begin(); it != all.end(); ++it) {
      if (*it >= from && *it < to) {
        const auto end = std::lower_bound(it, all.end(), *it + seconds(1));
        peak = std::max(peak, static_cast<std::size_t>(end - it));
      }
    }
    return peak;
  }
  std::size_t Starts(std::uint64_t id) { return starts_[id].size(); }

  SlotScheduler& scheduler() { return *scheduler_; }
  std::vector<Endpoint>& endpoints() { return endpoints_; }
  TimePoint now() const { return now_; }
  const std::vector<Verdict>& refusals() const { return refusals_; }
  Duration longest_wait() const { return longest_wait_; }

 private:
  void Apply() {
    for (const Verdict& it : verdicts_) {
      if (it.kind == Verdict::Kind::kRefuse) {
        refusals_.push_back(it);
        continue;
      }
      starts_[it.endpoint.value()].push_back(now_);
      ends_.emplace(now_ + milliseconds(2), it.request);
      longest_wait_ =
          std::max<Duration>(longest_wait_, now_ - submitted_[it.request]);
    }
    verdicts_.clear();
  }

  std::vector<Endpoint> endpoints_;
  std::unique_ptr<SlotScheduler> scheduler_;
  TimePoint now_ = kStart;
  std::uint64_t last_ = 0;
  std::multimap<TimePoint, RequestId> ends_;
  std::map<RequestId, TimePoint> submitted_;
  std::map<std::uint64_t, std::vector<TimePoint>> starts_;
  std::vector<Verdict> verdicts_;
  std::vector<Verdict> refusals_;
  Duration longest_wait_{};
};

// Guards against a flood of work at an endpoint that has just started, also if
// its heartbeat does not say that it is cold, or for too short a time.
TEST_CASE("A cold endpoint gets no more than the stated rate") {
  const Warmth warmth =
      GENERATE(Warmth::kReported, Warmth::kStated, Warmth::kTooShort);
  // Four requests per millisecond for 2 ms each exceed the four warm slots.
  Load load({Make(1, Warmth::kWarm), Make(2, warmth)});
  load.Run(seconds(6), 4);
  const TimePoint warm_at = kStart + kWarmUp;
  CHECK(load.Peak(2, kStart, warm_at - seconds(1)) <= kRate + 2);
  // It is used, and without a bound once it is warm.
  CHECK(load.Peak(2, kStart, warm_at - seconds(1)) >= kRate / 2);
  CHECK(load.Peak(2, warm_at, warm_at + seconds(1)) > 100);
}

// Guards against waits for a cold endpoint, and against cold endpoints of which
// one gets everything.
TEST_CASE("Warm endpoints go first, and cold ones warm up evenly") {
  Load load({Make(1, Warmth::kWarm), Make(2, Warmth::kStated),
             Make(3, Warmth::kStated)});
  load.Run(seconds(3));
  CHECK(load.Starts(2) + load.Starts(3) == 0);
  CHECK(load.longest_wait() == Duration::zero());
  Load cold({Make(2, Warmth::kStated), Make(3, Warmth::kStated)});
  cold.Run(seconds(3));
  CHECK(cold.Starts(2) >= kRate * 2.5);
  CHECK(std::max(cold.Starts(2), cold.Starts(3)) -
            std::min(cold.Starts(2), cold.Starts(3)) <=
        1);
}

// Guards against a queue that waits for slots which the rate never lets it use,
// and against refused callers that return at once.
TEST_CASE("With only cold endpoints, refusals are immediate and say when") {
  Load load({Make(1, Warmth::kStated), Make(2, Warmth::kStated)});
  load.Run(seconds(3));
  CHECK(load.Starts(1) + load.Starts(2) >= 2 * kRate * 2.5);
  REQUIRE(load.refusals().size() > 1000);
  for (const Verdict& it : load.refusals()) {
    CHECK(it.error == ErrorKind::kOverloaded);
    REQUIRE(it.retry_after > Duration::zero());
    // 20 starts a second and a target of 250 ms: a short queue.
    REQUIRE(it.cause.queued <= 6);
  }
  CHECK(load.longest_wait() <= milliseconds(250));
}

// Guards against two VMs whose windows add up.
TEST_CASE("A new dispatcher waits, and a VM that places alone uses warm ones") {
  Load fresh({Make(2, Warmth::kStated)});
  fresh.scheduler().SetColdUse(kStart, {1, false, kStart + seconds(1)});
  fresh.Run(milliseconds(1000));
  CHECK(fresh.Starts(2) == 0);
  fresh.Run(seconds(1));
  CHECK(fresh.Starts(2) >= kRate / 2);

  Load alone({Make(1, Warmth::kWarm), Make(2, Warmth::kStated)});
  alone.scheduler().SetColdUse(kStart, {0.1, true, kStart});
  alone.Run(seconds(3), 4);
  CHECK(alone.Starts(2) == 0);

  Load all_cold({Make(1, Warmth::kStated), Make(2, Warmth::kStated)});
  all_cold.scheduler().SetColdUse(kStart, {0.1, true, kStart});
  all_cold.Run(seconds(3));
  CHECK(all_cold.Starts(1) >= 1);
  CHECK(all_cold.Starts(1) <= 3);
}

// Guards against full load on endpoints that became cold while their data
// centre was evacuated and that have sent no heartbeat since.
TEST_CASE("Endpoints of a returned data centre are cold until a heartbeat") {
  const double rate = GENERATE(10.0, 0.0);
  const bool heartbeat = GENERATE(false, true);
  Load load({Make(1, Warmth::kWarm, "b"), Make(2, Warmth::kWarm)}, rate);
  const std::vector<std::string> evacuated = {"a"};
  load.scheduler().SetEvacuated(kStart, evacuated);
  load.Run(seconds(2));
  CHECK(load.Starts(2) == 0);
  load.scheduler().SetEvacuated(load.now(), {});
  load.Run(milliseconds(500));
  // Requests of 2 ms at one per millisecond need no more than the warm slots.
  CHECK(load.Starts(2) == 0);
  if (heartbeat) {
    load.endpoints()[1].renewed = load.now();
    load.scheduler().SetEndpoints(load.now(), load.endpoints());
  }
  const TimePoint from = load.now();
  load.Run(seconds(2), heartbeat ? 1 : 4);
  const std::size_t peak = load.Peak(2, from, load.now());
  if (heartbeat) {
    CHECK(peak > 100);
  } else if (rate > 0) {
    CHECK(peak <= rate + 2);
    CHECK(peak >= rate / 2);
  }
  load.Run(seconds(4));  // Later than the warm-up time, and than 5 s.
  CHECK(load.Peak(2, load.now() - seconds(1), load.now()) > 100);
}

// Guards against retransmissions that add to what the rate allows, and against
// those to an endpoint that is evacuated.
TEST_CASE("A repetition to a cold endpoint takes a token") {
  Load load({Make(1, Warmth::kStated)});
  SlotScheduler& scheduler = load.scheduler();
  const EndpointId id{1};
  CHECK(scheduler.TryResend(kStart, id) == Resend::kWait);
  const TimePoint later = kStart + seconds(1);
  CHECK(scheduler.TryResend(later, id) == Resend::kSend);
  CHECK(scheduler.TryResend(later, id) == Resend::kSend);
  CHECK(scheduler.TryResend(later, id) == Resend::kWait);
  CHECK(scheduler.TryResend(kStart + kWarmUp, id) == Resend::kSend);
  scheduler.SetEvacuated(later, std::vector<std::string>{"a"});
  CHECK(scheduler.TryResend(later, id) == Resend::kMove);
}

}  // namespace
}  // namespace vanillalatch
