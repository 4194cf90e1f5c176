// The placement policies that the simulation compares: SlotScheduler on one
// dispatcher, and the baselines.
//
//   RunSim(options, DispatcherPolicy(options));
//   RunSim(options,
//          LocalCountsPolicy(options, LocalCountsPolicy::Choice::kRandom));
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

// SlotScheduler on entry VM 0, to which the other entry VMs hand over their
// requests.
class DispatcherPolicy {
 public:
  explicit DispatcherPolicy(const SimOptions& options);

  Duration HandoverDelay(const SimRequest& request) const {
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

// One FIFO queue for all requests, without the delay of a hand-over. It uses
// the true speed of each endpoint and selects the fastest free slot.
class IdealQueuePolicy {
 public:
  explicit IdealQueuePolicy(const SimOptions& options);

  Duration HandoverDelay(const SimRequest& request) const {
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
    bool joined = false;
  };
  std::vector<Server> servers_;
  std::deque<RequestId> queue_;
};

// Each entry VM places its own requests immediately. It counts only the
// requests that it placed itself, not those of the other VMs. The endpoints
// queue the requests for which they have no free slot.
class LocalCountsPolicy {
 public:
  // How an entry VM selects an endpoint: at random; the one with fewer open
  // requests of this VM among two random ones; or the one with the fewest open
  // requests of this VM among all.
  enum class Choice : std::uint8_t { kRandom, kTwoChoices, kLeastLoaded };

  LocalCountsPolicy(const SimOptions& options, Choice choice);

  Duration HandoverDelay(const SimRequest& request) const {
    return Duration::zero();
  }
  void SetEndpoints(TimePoint now, std::span<const Endpoint> endpoints) {
    joined_ = IndexesOf(endpoints);
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
  // Returns the indexes of the endpoints in SimOptions::endpoints.
  static std::vector<std::size_t> IndexesOf(
      std::span<const Endpoint> endpoints);
  std::size_t SelectEndpoint(const std::vector<std::uint32_t>& open);

  Choice choice_;
  std::mt19937_64 random_;
  std::vector<std::size_t> joined_;  // Indexes of registered endpoints.
  std::vector<std::vector<std::uint32_t>> open_;  // By VM, then endpoint.
};

}  // namespace vanillalatch::sim

#endif  // VANILLALATCH_SRC_PLACEMENT_SIM_POLICIES_H_
