#include "src/placement/sim/placement_world.h"

#include <array>
#include <cstdio>

namespace vanillalatch::sim {
namespace {

using scenario::Failure;
using scenario::Step;

constexpr std::array<const char*, 5> kOutcomes = {
    "answered", "failed", "refused", "timed_out", "cancelled"};

WorkOutcome OutcomeOf(const std::string& name) {
  for (std::size_t i = 0; i < kOutcomes.size(); ++i) {
    if (name == kOutcomes[i]) {
      return static_cast<WorkOutcome>(i);
    }
  }
  throw Failure("unknown outcome " + name);
}

void Compare(const std::string& actual, const std::string& expected) {
  if (actual != expected) {
    throw Failure("got " + actual + ", expected " + expected);
  }
}

std::string Milliseconds(Duration duration) {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(duration);
  return std::to_string(ms.count()) + "ms";
}

}  // namespace

SlotScheduler& PlacementWorld::scheduler() {
  if (scheduler_ == nullptr) {
    scheduler_ = SlotScheduler::Create(options_, seed_).value();
  }
  return *scheduler_;
}

void PlacementWorld::Do(const Step& step) {
  if (step.verb == "max_queue") {
    options_.max_queue = step.Number(0);
  } else if (step.verb == "class") {
    SetClass(step);
  } else if (step.verb == "endpoint") {
    SetEndpoint(step);
  } else if (step.verb == "submit") {
    Submit(RequestId(step.Number(0)), step);
  } else if (step.verb == "burst") {
    for (std::uint64_t i = 0; i < step.Number(1); ++i) {
      Submit(RequestId(step.Number(0) + i), step);
    }
  } else if (step.verb == "finish") {
    Finish(RequestId(step.Number(0)), step.Word(1));
  } else if (step.verb == "cycle") {
    Cycle(step);
  } else if (step.verb == "run") {
    Run(step.Time(0));
  } else if (step.verb == "expect") {
    Expect(step);
  } else {
    throw Failure("unknown verb " + step.verb);
  }
}

void PlacementWorld::SetClass(const Step& step) {
  ClassTarget target;
  target.id = ClassId(static_cast<std::uint32_t>(step.Number(0)));
  target.latency = step.NamedTime("latency", target.latency);
  target.share_percent =
      static_cast<std::uint32_t>(step.NamedNumber("share", 0));
  classes_[target.id] = target;
  std::vector<ClassTarget> all;
  for (const auto& [id, it] : classes_) {
    all.push_back(it);
  }
  scheduler().SetClasses(all);
}

void PlacementWorld::SetEndpoint(const Step& step) {
  const EndpointId id(step.Number(0));
  const std::string state = step.Named("state", "ready");
  Endpoint& endpoint = endpoints_[id];
  if (endpoint.id != id) {
    endpoint.id = id;
    endpoint.name = std::to_string(id.value());
    // A warm endpoint registered long ago, so its cold-start ramp is over.
    endpoint.registered =
        step.Named("warm", "yes") == "yes" ? TimePoint() : now_;
  }
  endpoint.slots =
      static_cast<std::uint32_t>(step.NamedNumber("slots", endpoint.slots));
  endpoint.state =
      state == "leaving" ? EndpointState::kLeaving : EndpointState::kReady;
  if (state == "gone") {
    endpoints_.erase(id);
  }
  std::vector<Endpoint> all;
  for (const auto& [endpoint_id, it] : endpoints_) {
    all.push_back(it);
  }
  scheduler().SetEndpoints(now_, all);
  Run(Duration::zero());
}

void PlacementWorld::Submit(RequestId request, const Step& step) {
  Work work;
  work.request = request;
  work.work_class =
      ClassId(static_cast<std::uint32_t>(step.NamedNumber("class", 1)));
  if (const Duration deadline = step.NamedTime("deadline", Duration::zero());
      deadline > Duration::zero()) {
    work.deadline = now_ + deadline;
  }
  if (const std::uint64_t id = step.NamedNumber("pinned", 0); id != 0) {
    work.pinned = EndpointId(id);
  }
  if (const std::uint64_t id = step.NamedNumber("avoid", 0); id != 0) {
    work.avoid = EndpointId(id);
  }
  results_.erase(request);
  submitted_.insert(request);
  scheduler().Submit(now_, work, verdicts_);
  RecordVerdicts();
}

void PlacementWorld::Finish(RequestId request, const std::string& outcome) {
  AppendToJournal("finish " + std::to_string(request.value()) + " " + outcome);
  scheduler().Finish(now_, request, OutcomeOf(outcome), verdicts_);
  RecordVerdicts();
}

void PlacementWorld::Cycle(const Step& step) {
  const EndpointId failing(step.NamedNumber("fail", 0));
  const Duration took = step.NamedTime("took", std::chrono::milliseconds(10));
  for (std::uint64_t i = 0; i < step.Number(0); ++i) {
    const RequestId request(next_cycle_request_++);
    Submit(request, step);
    Run(took);
    const auto result = results_.find(request);
    if (result == results_.end() ||
        result->second.kind != Verdict::Kind::kStart) {
      throw Failure("a request of the cycle was not started");
    }
    const bool fails = result->second.endpoint == failing;
    Finish(request, fails ? "failed" : "answered");
  }
}

void PlacementWorld::Run(Duration duration) {
  const TimePoint until = now_ + duration;
  while (scheduler().NextWake() <= until) {
    now_ = std::max(now_, scheduler().NextWake());
    scheduler().OnTick(now_, verdicts_);
    RecordVerdicts();
  }
  now_ = until;
  scheduler().OnTick(now_, verdicts_);
  RecordVerdicts();
}

void PlacementWorld::RecordVerdicts() {
  for (const Verdict& it : verdicts_) {
    if (results_.contains(it.request) || !submitted_.contains(it.request)) {
      throw Failure("unexpected verdict on request " +
                    std::to_string(it.request.value()));
    }
    results_[it.request] = it;
    std::string line = std::to_string(it.request.value()) + " ";
    line += ResultOf(it.request);
    if (it.kind == Verdict::Kind::kRefuse) {
      line += " retry_after=" + Milliseconds(it.retry_after);
    }
    AppendToJournal(line);
  }
  verdicts_.clear();
}

std::string PlacementWorld::ResultOf(RequestId request) const {
  const auto it = results_.find(request);
  if (it == results_.end()) {
    return "waiting";
  }
  if (it->second.kind == Verdict::Kind::kStart) {
    return "started " + std::to_string(it->second.endpoint.value());
  }
  return "refused " + std::string(AnswerFor(it->second.error).name);
}

void PlacementWorld::Expect(const Step& step) {
  const std::string& what = step.Word(0);
  const pb::ServiceReport report = scheduler().Report(now_);
  if (what == "started" || what == "refused") {
    Compare(ResultOf(RequestId(step.Number(1))), what + " " + step.Word(2));
  } else if (what == "waiting") {
    Compare(ResultOf(RequestId(step.Number(1))), what);
  } else if (what == "queued") {
    std::uint32_t queued = 0;
    for (const pb::ClassReport& it : report.classes()) {
      queued += it.queued();
    }
    Compare(std::to_string(queued), step.Word(1));
  } else if (what == "retry") {
    Compare(scheduler().TakeRetry(now_) ? "yes" : "no", step.Word(1));
  } else {
    for (const pb::EndpointReport& it : report.endpoints()) {
      if (it.name() == step.Word(1)) {
        ExpectEndpoint(step, it);
        return;
      }
    }
    throw Failure("no such endpoint: " + step.Word(1));
  }
}

void PlacementWorld::ExpectEndpoint(const Step& step,
                                    const pb::EndpointReport& report) {
  const std::string& what = step.Word(0);
  if (what == "state") {
    Compare(report.state(), step.Word(2));
  } else if (what == "busy") {
    Compare(std::to_string(report.busy()), step.Word(2));
  } else if (what == "at_most" || what == "at_least") {
    const std::uint64_t bound = step.Number(2);
    const bool is_met = what == "at_most" ? report.requests() <= bound
                                          : report.requests() >= bound;
    if (!is_met) {
      throw Failure("the endpoint got " + std::to_string(report.requests()) +
                    " requests");
    }
  } else {
    throw Failure("unknown expectation " + what);
  }
}

void PlacementWorld::AppendToJournal(const std::string& line) {
  const auto elapsed = now_ - TimePoint(std::chrono::seconds(100));
  journal_ += Milliseconds(elapsed) + " " + line + "\n";
}

}  // namespace vanillalatch::sim
