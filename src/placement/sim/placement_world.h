// The world of scenarios/placement: one scheduler, driven by hand.
//
//   class 1 latency=200ms share=50
//   endpoint 7 slots=2 [state=leaving|gone] [warm=no]
//   max_queue 3                      before anything else
//   submit 1 class=1 [pinned=7] [avoid=7] [deadline=50ms]
//   burst 10 5 class=1               requests 10 to 14
//   finish 1 answered|failed|refused|timed_out|cancelled
//   cycle 40 took=5ms [fail=7] [class=1]
//       one request after the other; those at endpoint 7 fail
//   run 2s
//   expect started 1 7 | waiting 1 | refused 1 overloaded
//   expect state 7 ejected | busy 7 2 | queued 3
//   expect at_most 7 10 | at_least 7 2     requests that it got
//   expect retry yes
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

  void Do(const scenario::Step& step);
  std::string Journal() const { return journal_; }

 private:
  SlotScheduler& scheduler();
  void SetClass(const scenario::Step& step);
  void SetEndpoint(const scenario::Step& step);
  void Submit(RequestId request, const scenario::Step& step);
  void Finish(RequestId request, const std::string& outcome);
  void Cycle(const scenario::Step& step);
  void Run(Duration duration);
  void Expect(const scenario::Step& step);
  void ExpectEndpoint(const scenario::Step& step,
                      const pb::EndpointReport& report);
  void Apply();
  void Note(const std::string& line);
  std::string FateOf(RequestId request) const;

  std::uint64_t seed_;
  TimePoint now_{std::chrono::seconds(100)};
  SlotSchedulerOptions options_;
  std::unique_ptr<SlotScheduler> scheduler_;
  std::map<ClassId, ClassTarget> classes_;
  std::map<EndpointId, Endpoint> endpoints_;
  std::vector<Verdict> verdicts_;
  std::map<RequestId, Verdict> fates_;
  std::set<RequestId> asked_;
  std::uint64_t next_cycle_ = 1000000;  // Ids of the requests of cycles.
  std::string journal_;
};

}  // namespace vanillalatch::sim

#endif  // VANILLALATCH_SRC_PLACEMENT_SIM_PLACEMENT_WORLD_H_
