// The policies that the test bench compares: the project's scheduler on one
// dispatcher, and the baselines.
//
//   RunSim(options, Dispatcher(options));
//   RunSim(options, OwnCounts(options, OwnCounts::Choice::kTwoChoices));
#ifndef VANILLALATCH_SRC_PLACEMENT_SIM_POLICIES_H_
#define VANILLALATCH_SRC_PLACEMENT_SIM_POLICIES_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <span>
#include <vector>

#include "src/placement/sim/placement_sim.h"

namespace vanillalatch::sim {

// SlotScheduler on entry VM 0; the other VMs hand their requests to it.
class Dispatcher {
 public:
  explicit Dispatcher(const SimOptions& options);

  Duration HandoverOf(const SimRequest& request) const {
    return request.vm == 0 ? Duration::zero() : handover_;
  }
  void SetEndpoints(TimePoint now, std::span<const Endpoint> endpoints) {
    scheduler_->SetEndpoints(now, endpoints);
  }
  void Submit(TimePoint now, const SimRequest& request,
              std::vector<Verdict>& verdicts);
  void Finish(TimePoint now, const SimRequest& request, WorkOutcome outcome,
              std::vector<Verdict>& verdicts) {
    scheduler_->Finish(now, request.id, outcome, verdicts);
  }
  void Tick(TimePoint now, std::vector<Verdict>& verdicts) {
    scheduler_->OnTick(now, verdicts);
  }
  TimePoint NextWake() const { return scheduler_->NextWake(); }

 private:
  Duration handover_;
  std::vector<ClassId> classes_;
  std::unique_ptr<SlotScheduler> scheduler_;
};

// One queue without hand-over that knows the true speed of every endpoint
// and takes the fastest free slot.
class IdealQueue {
 public:
  explicit IdealQueue(const SimOptions& options);

  Duration HandoverOf(const SimRequest& request) const {
    return Duration::zero();
  }
  void SetEndpoints(TimePoint now, std::span<const Endpoint> endpoints);
  void Submit(TimePoint now, const SimRequest& request,
              std::vector<Verdict>& verdicts);
  void Finish(TimePoint now, const SimRequest& request, WorkOutcome outcome,
              std::vector<Verdict>& verdicts);
  void Tick(TimePoint now, std::vector<Verdict>& verdicts) {}
  TimePoint NextWake() const { return kNever; }

 private:
  void StartWaiting(std::vector<Verdict>& verdicts);

  struct Server {
    std::uint32_t slots;
    std::uint32_t busy;
    double slowness;
    bool known = false;
  };
  std::vector<Server> servers_;
  std::deque<RequestId> queue_;
};

// Each entry VM places its own requests at once, knowing only its own counts;
// the endpoints queue what they can't run.
class OwnCounts {
 public:
  enum class Choice : std::uint8_t { kRandom, kTwoChoices, kLeast };

  OwnCounts(const SimOptions& options, Choice choice);

  Duration HandoverOf(const SimRequest& request) const {
    return Duration::zero();
  }
  void SetEndpoints(TimePoint now, std::span<const Endpoint> endpoints) {
    known_ = KnownOf(endpoints);
  }
  void Submit(TimePoint now, const SimRequest& request,
              std::vector<Verdict>& verdicts);
  void Finish(TimePoint now, const SimRequest& request, WorkOutcome outcome,
              std::vector<Verdict>& verdicts) {
    --open_[request.vm][request.endpoint];
  }
  void Tick(TimePoint now, std::vector<Verdict>& verdicts) {}
  TimePoint NextWake() const { return kNever; }

 private:
  static std::vector<std::size_t> KnownOf(std::span<const Endpoint> endpoints);
  std::size_t Choose(const std::vector<std::uint32_t>& open);

  Choice choice_;
  std::mt19937_64 random_;
  std::vector<std::size_t> known_;                // Endpoints that have joined.
  std::vector<std::vector<std::uint32_t>> open_;  // By VM, then endpoint.
};

}  // namespace vanillalatch::sim

#endif  // VANILLALATCH_SRC_PLACEMENT_SIM_POLICIES_H_
