// The scenario world of scenarios/placement: one SlotScheduler in virtual time.
// A scenario submits and finishes each request itself. The verbs are:
//
//   class 1 latency=200ms share=50
//   endpoint 7 slots=2 [state=leaving|gone] [warm=no]
//   max_queue 3                      only before all other verbs
//   submit 1 class=1 [pinned=7] [avoid=7] [deadline=50ms]
//   burst 10 5 class=1               requests 10 to 14
//   finish 1 answered|failed|refused|timed_out|cancelled
//   cycle 40 took=5ms [fail=7] [class=1]
//       40 requests, each submitted, started and finished before the next;
//       those started at endpoint 7 fail
//   run 2s                           advances the virtual time
//   expect started 1 7 | waiting 1 | refused 1 overloaded
//   expect state 7 ejected | busy 7 2 | queued 3
//   expect at_most 7 10 | at_least 7 2
//       number of requests started at endpoint 7 so far
//   expect retry yes                 takes a retry if the budget allows one
#ifndef VANILLALATCH_SRC_PLACEMENT_SIM_PLACEMENT_WORLD_H_
#define VANILLALATCH_SRC_PLACEMENT_SIM_PLACEMENT_WORLD_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "vanillalatch/placement/slot_scheduler.h"
#include "vanillalatch/scenario/scenario.h"

namespace vanillalatch::sim {

class PlacementWorld {
 public:
  explicit PlacementWorld(std::uint64_t seed) : seed_(seed) {}

  // Carries out one step; throws scenario::Failure if an expectation does not
  // hold.
  void Do(const scenario::Step& step);
  // The verdicts and finished requests in order, one per line.
  std::string Journal() const { return journal_; }

 private:
  SlotScheduler& scheduler();
  void SetClass(const scenario::Step& step);
  void SetEndpoint(const scenario::Step& step);
  void Submit(RequestId request, const scenario::Step& step);
  void Finish(RequestId request, const std::string& outcome);
  void Cycle(const scenario::Step& step);
  // Advances the virtual time and calls OnTick() when it is due.
  void Run(Duration duration);
  void Expect(const scenario::Step& step);
  void ExpectEndpoint(const scenario::Step& step,
                      const pb::EndpointReport& report);
  // Stores the new verdicts in results_ and appends them to the journal. Throws
  // scenario::Failure if a verdict names a request that does not await one.
  void RecordVerdicts();
  void AppendToJournal(const std::string& line);
  // "waiting", "started ENDPOINT" or "refused ERROR".
  std::string ResultOf(RequestId request) const;

  std::uint64_t seed_;
  // Virtual time. Starts at 100 s; endpoints registered at 0 s are warmed up.
  TimePoint now_{std::chrono::seconds(100)};
  SlotSchedulerOptions options_;
  std::unique_ptr<SlotScheduler> scheduler_;
  std::map<ClassId, ClassTarget> classes_;
  std::map<EndpointId, Endpoint> endpoints_;
  std::vector<Verdict> verdicts_;
  std::map<RequestId, Verdict> results_;
  std::set<RequestId> submitted_;
  std::uint64_t next_cycle_request_ = 1000000;  // Next id for "cycle".
  std::string journal_;
};

}  // namespace vanillalatch::sim

#endif  // VANILLALATCH_SRC_PLACEMENT_SIM_PLACEMENT_WORLD_H_
