// Checks invariants of SlotScheduler after each step of random sequences of
// submissions, cancellations, outcomes, ticks and endpoint changes.
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "vanillalatch/placement/slot_scheduler.h"

namespace vanillalatch {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kSeeds = 1000;
constexpr int kSteps = 300;
constexpr std::size_t kMaxQueue = 20;

// Tracks which requests wait and run according to the scheduler's verdicts, and
// fails the test if a verdict or report contradicts them.
class InvariantChecker {
 public:
  explicit InvariantChecker(std::uint64_t seed) : random_(seed) {
    SlotSchedulerOptions options;
    options.max_queue = kMaxQueue;
    scheduler_ = SlotScheduler::Create(options, seed).value();
    ClassTarget tight;
    tight.id = ClassId(1);
    tight.latency = milliseconds(100);
    tight.share_percent = 40;
    ClassTarget loose;
    loose.id = ClassId(2);
    loose.latency = milliseconds(400);
    scheduler_->SetClasses(std::vector<ClassTarget>{tight, loose});
    for (std::uint64_t i = 0; i < 5; ++i) {
      AddEndpoint();
    }
    PublishEndpoints();
  }

  void Step() {
    now_ += milliseconds(RandomBelow(20));
    switch (RandomBelow(12)) {
      case 0:
        ChangeEndpoints();
        break;
      case 1:
        CancelOne();
        break;
      case 2:
        Tick();
        break;
      case 3:
      case 4:
      case 5:
      case 6:
        FinishOne();
        break;
      default:
        SubmitOne();
        break;
    }
    CheckCounts();
  }

  // Finishes all requests; then no slot may be in use and no request may wait.
  void Drain() {
    while (!running_.empty()) {
      now_ += milliseconds(5);
      FinishOne();
      CheckCounts();
    }
    for (int i = 0; i < 3 && !waiting_.empty(); ++i) {
      now_ += std::chrono::seconds(1);
      Tick();
    }
    Require(waiting_.empty() || !running_.empty(),
            "requests still wait after the drain");
    const pb::ServiceReport report = scheduler_->Report(now_);
    for (const auto& it : report.endpoints()) {
      Require(running_.empty() ? it.busy() == 0 : true,
              "a slot is in use without a request");
    }
  }

 private:
  static void Require(bool condition, const char* what) {
    if (!condition) {
      FAIL(what);
    }
  }

  std::uint64_t RandomBelow(std::uint64_t n) { return random_() % n; }

  void AddEndpoint() {
    Endpoint endpoint;
    endpoint.id = EndpointId(++last_endpoint_);
    endpoint.name = std::to_string(last_endpoint_);
    endpoint.slots = 1 + static_cast<std::uint32_t>(RandomBelow(3));
    endpoint.registered = now_;
    endpoint.load_percent = static_cast<std::uint32_t>(RandomBelow(100));
    endpoint.load_reported = now_;
    endpoints_.emplace(endpoint.id, endpoint);
  }

  void PublishEndpoints() {
    std::vector<Endpoint> all;
    for (const auto& [id, it] : endpoints_) {
      all.push_back(it);
    }
    scheduler_->SetEndpoints(now_, all);
  }

  void ChangeEndpoints() {
    if (RandomBelow(2) == 0 || endpoints_.empty()) {
      AddEndpoint();
    } else {
      const auto it = std::next(
          endpoints_.begin(),
          static_cast<std::ptrdiff_t>(RandomBelow(endpoints_.size())));
      if (it->second.state == EndpointState::kReady) {
        it->second.state = EndpointState::kLeaving;
      } else {
        endpoints_.erase(it);
      }
    }
    PublishEndpoints();
  }

  void SubmitOne() {
    Work work;
    work.request = RequestId(++last_request_);
    work.work_class = ClassId(1 + static_cast<std::uint32_t>(RandomBelow(3)));
    if (RandomBelow(3) == 0) {
      work.deadline = now_ + milliseconds(RandomBelow(200));
    }
    if (RandomBelow(4) == 0) {
      work.pinned = EndpointId(1 + RandomBelow(last_endpoint_));
    }
    if (RandomBelow(10) == 0) {
      work.avoid = EndpointId(1 + RandomBelow(last_endpoint_));
    }
    waiting_.emplace(work.request, work);
    scheduler_->Submit(now_, work, verdicts_);
    RecordVerdicts();
  }

  void FinishOne() {
    if (running_.empty()) {
      return;
    }
    const auto it =
        std::next(running_.begin(),
                  static_cast<std::ptrdiff_t>(RandomBelow(running_.size())));
    const RequestId request = it->first;
    // Requests at endpoints with an even id mostly fail.
    const bool fails = it->second.value() % 2 == 0;
    running_.erase(it);
    const auto outcome = fails || RandomBelow(5) == 0
                             ? static_cast<WorkOutcome>(RandomBelow(5))
                             : WorkOutcome::kAnswered;
    scheduler_->Finish(now_, request, outcome, verdicts_);
    RecordVerdicts();
  }

  void CancelOne() {
    if (waiting_.empty()) {
      return;
    }
    const RequestId request = waiting_.begin()->first;
    Require(scheduler_->Cancel(now_, request),
            "a waiting request could not be cancelled");
    Require(!scheduler_->Cancel(now_, request),
            "a request was cancelled twice");
    waiting_.erase(request);
  }

  void Tick() {
    scheduler_->OnTick(now_, verdicts_);
    RecordVerdicts();
  }

  void RecordVerdicts() {
    for (const Verdict& it : verdicts_) {
      const auto waiting = waiting_.find(it.request);
      Require(waiting != waiting_.end(),
              "a verdict on a request that does not wait");
      if (it.kind == Verdict::Kind::kStart) {
        CheckStart(waiting->second, it.endpoint);
        running_.emplace(it.request, it.endpoint);
      } else {
        Require(AnswerFor(it.error).not_run,
                "refused with an error that may mean it ran");
        Require(it.retry_after > Duration::zero(),
                "refused without a retry-after time");
      }
      waiting_.erase(waiting);
    }
    verdicts_.clear();
  }

  void CheckStart(const Work& work, EndpointId endpoint) {
    const auto it = endpoints_.find(endpoint);
    Require(it != endpoints_.end(), "started on a missing endpoint");
    Require(work.pinned ? endpoint == *work.pinned
                        : it->second.state == EndpointState::kReady,
            "started on a wrong or leaving endpoint");
    std::uint32_t busy = 1;
    for (const auto& [request, endpoint_id] : running_) {
      busy += endpoint_id == endpoint ? 1 : 0;
    }
    Require(busy <= it->second.slots,
            "an endpoint runs more requests than it has slots");
    Require(now_ < work.deadline, "started after its deadline");
  }

  void CheckCounts() {
    Require(waiting_.size() <= kMaxQueue, "the queue exceeds max_queue");
    std::uint32_t queued = 0;
    std::size_t busy = 0;
    const pb::ServiceReport report = scheduler_->Report(now_);
    for (const auto& it : report.classes()) {
      queued += it.queued();
    }
    std::size_t ejected = 0;
    std::size_t in_service = 0;
    for (const auto& it : report.endpoints()) {
      busy += it.busy();
      ejected += it.state() == "ejected" || it.state() == "probing" ? 1 : 0;
      in_service += it.state() != "leaving" ? 1 : 0;
    }
    Require(queued == waiting_.size(), "the reported queue length is wrong");
    Require(busy == running_.size(),
            "the reported number of busy slots is wrong");
    // More than half may be ejected because healthy endpoints left, but not by
    // a further ejection.
    Require(ejected <= ejected_ || ejected * 2 <= in_service,
            "an ejection left more than half ejected");
    ejected_ = ejected;
    const TimePoint wake = scheduler_->NextWake();
    Require(waiting_.empty() || wake < kNever,
            "requests wait but NextWake() is never");
  }

  std::mt19937_64 random_;
  TimePoint now_{std::chrono::seconds(100)};
  std::unique_ptr<SlotScheduler> scheduler_;
  std::map<EndpointId, Endpoint> endpoints_;
  std::map<RequestId, Work> waiting_;
  std::map<RequestId, EndpointId> running_;
  std::vector<Verdict> verdicts_;
  std::size_t ejected_ = 0;  // Ejected or probing after the last step.
  std::uint64_t last_endpoint_ = 0;
  std::uint64_t last_request_ = 0;
};

TEST_CASE("Slots and verdicts stay consistent in random runs") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    InvariantChecker checker(seed);
    for (int i = 0; i < kSteps; ++i) {
      checker.Step();
    }
    checker.Drain();
  }
}

}  // namespace
}  // namespace vanillalatch
