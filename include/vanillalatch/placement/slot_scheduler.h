// Places the requests of one service on the slots of its endpoints, queues
// what finds no free slot, and refuses what can't meet its target. Runs on
// the service's dispatcher, which alone counts the slots.
//
//   auto scheduler = SlotScheduler::Create(options, seed).value();
//   scheduler->SetClasses(classes);
//   scheduler->SetEndpoints(now, registry.EndpointsOf(service));
//   scheduler->Submit(now, work, verdicts);
//   for (const Verdict& it : verdicts) ...  // start, refuse
//   scheduler->Finish(now, request, endpoint, outcome, verdicts);
#ifndef VANILLALATCH_PLACEMENT_SLOT_SCHEDULER_H_
#define VANILLALATCH_PLACEMENT_SLOT_SCHEDULER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "control.pb.h"
#include "vanillalatch/admission/class_target.h"
#include "vanillalatch/base/error.h"
#include "vanillalatch/base/result.h"
#include "vanillalatch/base/strong.h"
#include "vanillalatch/base/time.h"
#include "vanillalatch/registry/registry.h"

namespace vanillalatch {

// One request that wants a slot.
struct Work {
  RequestId request;
  ClassId work_class;
  TimePoint deadline = kNever;
  // Set for a flow with a session and for the later blocks of an answer: only
  // this endpoint will do.
  std::optional<EndpointId> pinned;
  // Endpoints that already failed this request; tried last.
  std::optional<EndpointId> avoid;
  // Taken if it has a free slot, whatever it looks like: to try it again.
  std::optional<EndpointId> try_first{};
  // A free slot of this data centre is taken before one elsewhere.
  std::string data_center{};
};

// How a request that had a slot ended, as the dispatcher itself saw it.
enum class WorkOutcome : std::uint8_t {
  kAnswered,   // A whole answer that is no server error.
  kFailed,     // A server error.
  kRefused,    // The endpoint shed it: it was not run.
  kTimedOut,   // No answer.
  kCancelled,  // By the caller; says nothing about the endpoint.
};

// What a refusal was decided by.
struct RefusalCause {
  Duration expected_wait{};
  std::uint32_t queued = 0;
  std::uint32_t usable_slots = 0;
  std::uint32_t free_slots = 0;
};

// What to do with one request.
struct Verdict {
  enum class Kind : std::uint8_t { kStart, kRefuse };
  Kind kind = Kind::kStart;
  RequestId request;
  EndpointId endpoint;                             // kStart
  ErrorKind error = ErrorKind::kOverloaded;        // kRefuse
  Duration retry_after = std::chrono::seconds(1);  // kRefuse
  RefusalCause cause{};                            // kRefuse
};

struct SlotSchedulerOptions {
  // A new endpoint's usable slots grow from one to all over this time.
  Duration cold_start_ramp = std::chrono::seconds(5);
  std::size_t max_queue = 4096;  // Requests.
  // Work started at an endpoint for each of its slots, in percent. Above 100
  // where work is seen to take longer than it holds its slot.
  std::uint32_t overlap_percent = 100;
  // Endpoints say themselves when they are warm (Endpoint::warm_at); else a
  // new one ramps up over cold_start_ramp.
  bool told_when_warm = false;
};

class SlotScheduler {
 public:
  static Result<std::unique_ptr<SlotScheduler>> Create(
      SlotSchedulerOptions options, std::uint64_t seed);
  virtual ~SlotScheduler() = default;

  virtual void SetClasses(std::span<const ClassTarget> classes) = 0;
  // Endpoints that are missing take nothing new; what runs there goes on.
  virtual void SetEndpoints(TimePoint now,
                            std::span<const Endpoint> endpoints) = 0;

  // Appends to `verdicts`: at once kStart or kRefuse, or nothing while the
  // request waits in the queue.
  virtual void Submit(TimePoint now, const Work& work,
                      std::vector<Verdict>& verdicts) = 0;
  // Counts a slot as in use without placing: work taken over from a lost
  // dispatcher.
  virtual void Adopt(TimePoint now, const Work& work, EndpointId endpoint) = 0;
  // Frees the slot and starts what waits.
  virtual void Finish(TimePoint now, RequestId request, WorkOutcome outcome,
                      std::vector<Verdict>& verdicts) = 0;
  // Takes a waiting request out of the queue. False if it does not wait.
  virtual bool Cancel(TimePoint now, RequestId request) = 0;
  // Starts what a ramp allows, refuses what can no longer meet its deadline.
  virtual void OnTick(TimePoint now, std::vector<Verdict>& verdicts) = 0;
  virtual TimePoint NextWake() const = 0;

  // An endpoint that answers nobody takes nothing new while another one does.
  virtual void SetSilent(EndpointId endpoint, bool silent) = 0;

  // True while the service's retry budget has room; takes one from it.
  virtual bool TakeRetry(TimePoint now) = 0;

  // Figures for operators.
  virtual pb::ServiceReport Report(TimePoint now) const = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_PLACEMENT_SLOT_SCHEDULER_H_
