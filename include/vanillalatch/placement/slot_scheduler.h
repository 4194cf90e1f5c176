// Places the requests of one service on the slots of its endpoints, queues
// requests for which no slot is free, and refuses requests that can't meet
// their deadline or the latency target of their class. Runs on the service's
// dispatcher, the only VM that counts the slots in use.
//
//   auto scheduler = SlotScheduler::Create(options, seed).value();
//   scheduler->SetClasses(classes);
//   scheduler->SetEndpoints(now, registry.EndpointsOf(service));
//   scheduler->Submit(now, work, verdicts);
//   for (const Verdict& it : verdicts) ...  // Start or refuse it.
//   scheduler->Finish(now, request, outcome, verdicts);
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

// One request that needs a slot.
struct Work {
  RequestId request;
  ClassId work_class;
  TimePoint deadline = kNever;
  // When the caller sent the request; nullopt: when it is submitted. The
  // latency target counts from then.
  std::optional<TimePoint> issued{};
  // The request is of no use to the caller if it starts later.
  TimePoint start_by = kNever;
  // The only endpoint that may get the request. Set for a flow with a session
  // and for the later blocks of an answer.
  std::optional<EndpointId> pinned;
  // The endpoint at which the previous attempt failed. It is only used if no
  // other endpoint takes new work. Set for retries.
  std::optional<EndpointId> avoid;
  // An endpoint that gets the request whenever it has a free slot, even if it
  // is silent, slow or unhealthy, unless it is leaving, ejected or being
  // probed. Set to test whether a silent endpoint answers again.
  std::optional<EndpointId> try_first{};
  // Free slots in this data centre are preferred; empty for no preference.
  std::string data_center{};
};

// How long the endpoints of a service are cold after their start, and how much
// new work per second a cold one bears. A rate of zero states no bound.
struct WarmUp {
  Duration duration{};
  double per_second = 0;
  friend bool operator==(const WarmUp&, const WarmUp&) = default;
};

// What this VM may give to cold endpoints of a service that states a rate.
struct ColdUse {
  double share = 1;  // Part of the stated rate.
  // Only while no warm endpoint takes new work. Set on a VM that is not the
  // service's dispatcher.
  bool only_without_warm = false;
  TimePoint from = TimePoint::min();  // Nothing before this time.
  friend bool operator==(const ColdUse&, const ColdUse&) = default;
};

// Whether the first packet of work that runs may be sent to its endpoint again.
enum class Resend : std::uint8_t {
  kSend,
  kWait,  // The endpoint is cold and has received as much as it bears.
  kMove   // The endpoint is evacuated.
};

// How a request that had a slot ended, as the dispatcher observed it.
enum class WorkOutcome : std::uint8_t {
  kAnswered,   // The endpoint sent a complete answer that is no server error.
  kFailed,     // The endpoint sent a server error.
  kRefused,    // The endpoint shed the request without running it.
  kTimedOut,   // The endpoint did not answer in time.
  kCancelled,  // The caller cancelled; the endpoint's health is not affected.
};

// The state of the service at the time of a refusal.
struct RefusalCause {
  Duration expected_wait{};        // Mean wait for a slot.
  std::uint32_t queued = 0;        // Waiting requests of all classes.
  std::uint32_t usable_slots = 0;  // Slots that unpinned work may use.
  std::uint32_t free_slots = 0;    // Usable slots that are free.
};

// The scheduler's decision on one request: start it at `endpoint`, or refuse it
// with `error`. The comments name the kind for which a field is set.
struct Verdict {
  enum class Kind : std::uint8_t { kStart, kRefuse };
  Kind kind = Kind::kStart;
  RequestId request;
  EndpointId endpoint;                             // kStart
  ErrorKind error = ErrorKind::kOverloaded;        // kRefuse
  Duration retry_after = std::chrono::seconds(1);  // kRefuse
  RefusalCause cause{};                            // kRefuse
  bool late = false;  // kStart: from the queue of late requests.
};

// The slots of the service, and what a request of one class would find.
struct SlotLoad {
  // Slots that unpinned work may use. 0 if all endpoints are silent.
  std::uint32_t usable_slots = 0;
  std::uint32_t free_slots = 0;  // Usable slots that are free.
  std::uint32_t queued = 0;      // Waiting requests of all classes.
  Duration expected_wait{};      // Mean wait for a slot.
  Duration answer_time{};        // Mean time from the start to the answer.
  // Some endpoint takes unpinned work now or after a back-off, or would if it
  // was not silent.
  bool in_service = false;
};

struct SlotSchedulerOptions {
  // A new endpoint's usable slots grow from one to all over this time.
  Duration cold_start_ramp = std::chrono::seconds(5);
  std::size_t max_queue = 4096;  // Waiting requests of all classes.
  // Requests that may run at an endpoint at the same time, in percent of its
  // slots. Above 100 where work lasts longer, as the dispatcher sees it, than
  // it occupies a slot of the endpoint.
  std::uint32_t overlap_percent = 100;
  // If true, endpoints report when they are warmed up (Endpoint::warm_at), and
  // all their slots are usable from the start. If false, the usable slots of a
  // new endpoint grow over cold_start_ramp.
  bool endpoints_report_warm_up = false;
  // If true, a request that can't meet its latency target any more waits for
  // slots that no other request needs, as long as its deadline can be met. If
  // false, it is refused. True where a refusal can't tell the caller when to
  // come back.
  bool queue_late_requests = false;
};

class SlotScheduler {
 public:
  // `seed` seeds the jitter of back-offs and retry-after times. Returns
  // kInvalidArgument if max_queue is zero or cold_start_ramp is negative.
  static Result<std::unique_ptr<SlotScheduler>> Create(
      SlotSchedulerOptions options, std::uint64_t seed);
  virtual ~SlotScheduler() = default;

  // Replaces the targets of the classes. A class that is not listed loses its
  // share of the slots.
  virtual void SetClasses(std::span<const ClassTarget> classes) = 0;
  // Replaces the list of endpoints. Endpoints that are not listed get no new
  // requests; requests that run there continue.
  virtual void SetEndpoints(TimePoint now,
                            std::span<const Endpoint> endpoints) = 0;

  // Replaces the data centres that are evacuated. An endpoint in one of them
  // gets no new unpinned work, also not as a probe or by Work::try_first, and
  // its slots are not usable; requests that run there continue. Waiting work is
  // refused with kNoEndpoint by the next call if no endpoint elsewhere is in
  // service.
  virtual void SetEvacuated(TimePoint now,
                            std::span<const std::string> data_centers) = 0;

  // Sets the bound for cold endpoints.
  virtual void SetWarmUp(TimePoint now, const WarmUp& warm_up) = 0;
  // Sets this VM's part of that bound. If it changes the role or the start, the
  // token buckets of all cold endpoints become empty.
  virtual void SetColdUse(TimePoint now, const ColdUse& use) = 0;
  // Decides on a repetition to `endpoint`, and counts it if it is sent.
  virtual Resend TryResend(TimePoint now, EndpointId endpoint) = 0;

  // Places, queues or refuses a request. Appends its verdict to `verdicts`, or
  // none if the request waits in the queue; a later call then appends it. May
  // also append verdicts on other requests. No effect if the request already
  // waits or runs.
  virtual void Submit(TimePoint now, const Work& work,
                      std::vector<Verdict>& verdicts) = 0;
  // Counts a slot of `endpoint` as in use by a request that already runs there.
  // For requests taken over from a failed dispatcher. No effect if the
  // scheduler already counts the request as running.
  virtual void AddRunning(TimePoint now, const Work& work,
                          EndpointId endpoint) = 0;
  // Frees the request's slot, if it has one, and starts waiting requests.
  // Appends verdicts on waiting requests only. `report_age`: how long ago the
  // request ended; measured answer times exclude it.
  virtual void Finish(TimePoint now, RequestId request, WorkOutcome outcome,
                      Duration report_age, std::vector<Verdict>& verdicts) = 0;
  void Finish(TimePoint now, RequestId request, WorkOutcome outcome,
              std::vector<Verdict>& verdicts) {
    Finish(now, request, outcome, Duration::zero(), verdicts);
  }
  // Removes a request from the queue. Returns false if it does not wait there.
  virtual bool Cancel(TimePoint now, RequestId request) = 0;
  // Applies what is due by time: starts waiting requests on slots that became
  // usable, and refuses waiting requests that expired.
  virtual void OnTick(TimePoint now, std::vector<Verdict>& verdicts) = 0;
  // When OnTick() is due next; kNever if no request waits.
  virtual TimePoint NextWake() const = 0;

  // Marks an endpoint that answers no flow or request as silent, or clears the
  // mark. It gets no new unpinned work while another endpoint takes new work
  // and is not silent. No effect if the scheduler does not have the endpoint.
  virtual void SetSilent(EndpointId endpoint, bool silent) = 0;

  // Takes one retry from the service's retry budget. Returns false if the
  // budget is used up or the service is overloaded.
  virtual bool TakeRetry(TimePoint now) = 0;

  // Returns the slots of the service, and the expected times of a request of
  // class `id` that is submitted now.
  virtual SlotLoad Load(TimePoint now, ClassId id) = 0;

  // Returns the counts and states of classes and endpoints for operators.
  virtual pb::ServiceReport Report(TimePoint now) const = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_PLACEMENT_SLOT_SCHEDULER_H_
