// The endpoints of one service. Selects the endpoint for the next request,
// ejects unhealthy endpoints and probes ejected ones after a back-off.
//
//   EndpointPool pool(options, seed);
//   pool.Set(now, endpoints);
//   if (TrackedEndpoint* it = pool.Select(now, work, finish, may_probe)) {
//     it->Start(now);
//   }
//   pool.Finish(now, endpoint, outcome, slot_time);
#ifndef VANILLALATCH_PLACEMENT_ENDPOINT_POOL_H_
#define VANILLALATCH_PLACEMENT_ENDPOINT_POOL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <span>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "src/placement/tracked_endpoint.h"

namespace vanillalatch::internal {

class EndpointPool {
 public:
  // An endpoint is slow if its mean answer time exceeds the median of all
  // endpoints times this factor.
  static constexpr double kSlowFactor = 2;
  // An endpoint is stalled, and treated as slow, if it is busy and has not
  // answered for this many median answer times, and for at least kMinStallTime.
  static constexpr int kStallFactor = 10;
  static constexpr Duration kMinStallTime = std::chrono::milliseconds(50);
  // How often the median answer time is recomputed.
  static constexpr Duration kMedianUpdateInterval =
      std::chrono::milliseconds(50);
  // Back-off before probing an ejected endpoint: doubled by each ejection in a
  // row, from kMinBackOff to kMaxBackOff, plus up to a quarter of jitter.
  static constexpr Duration kMinBackOff = std::chrono::seconds(1);
  static constexpr Duration kMaxBackOff = std::chrono::seconds(30);
  // Minimum time between two skips of all back-offs (see EjectOrSkipBackOffs).
  static constexpr Duration kBackOffSkipInterval = std::chrono::seconds(1);
  // A load report that is older is ignored.
  static constexpr Duration kMaxLoadReportAge = std::chrono::seconds(2);

  EndpointPool(const SlotSchedulerOptions& options, std::uint64_t seed)
      : ramp_(options.endpoints_report_warm_up ? Duration::zero()
                                               : options.cold_start_ramp),
        overlap_percent_(options.overlap_percent),
        random_(seed) {}

  // Replaces the list of endpoints and scales the slots of each by
  // overlap_percent, rounded up. An endpoint that is not listed gets no new
  // work and is removed when no request runs there.
  void Set(TimePoint now, std::span<const Endpoint> endpoints);
  // Replaces the evacuated data centres. An endpoint in one of them is not in
  // service.
  void SetEvacuated(TimePoint now, std::span<const std::string> data_centers);
  // See SlotScheduler.
  void SetWarmUp(TimePoint now, const WarmUp& warm_up);
  void SetColdUse(TimePoint now, const ColdUse& use);
  // Applies what is due by time: cold-start ramps, back-offs, slot limits and
  // the median answer time.
  void Advance(TimePoint now);
  // When the next ramp step, slot-limit step, end of a back-off or probe is
  // due; kNever if none is.
  TimePoint NextWake(TimePoint now) const;

  // Selects an endpoint with a free slot for unpinned work, or returns nullptr.
  // A slow endpoint is only selected if no better one has a free slot and it is
  // likely to answer by `latest_finish`. `may_probe`: the work may be used as a
  // probe of an endpoint that was ejected.
  TrackedEndpoint* Select(TimePoint now, const Work& work,
                          TimePoint latest_finish, bool may_probe);
  // Returns nullptr if the pool has no such endpoint.
  TrackedEndpoint* Find(EndpointId id);
  // Like Find(), but adds an endpoint that the pool does not have, as missing.
  TrackedEndpoint& FindOrAdd(TimePoint now, EndpointId id);
  // Records the end of a request. `slot_time`: how long it used the slot.
  // Ejects the endpoint if it is now unhealthy.
  void Finish(TimePoint now, EndpointId id, WorkOutcome outcome,
              Duration slot_time);

  // If all endpoints that take new work are cold and bounded: how much new work
  // per second this VM may start on them together. Otherwise zero.
  double BoundedRate(TimePoint now) const;
  // When this VM may start work on cold endpoints at the earliest.
  TimePoint cold_use_from() const { return cold_use_.from; }
  // True if some endpoint takes unpinned work now or after a back-off.
  bool AnyInService() const;
  // True if some endpoint takes new work and is not silent.
  bool AnyResponsive() const;
  // Number of slots, free or not, that unpinned work may use.
  std::uint32_t UsableSlots(TimePoint now) const;
  // Number of slots that are free for unpinned work.
  std::uint32_t FreeSlots(TimePoint now) const;
  // True if some endpoint may be probed now.
  bool AnyProbeDue(TimePoint now) const;
  // Median of the endpoints' mean answer times; zero until enough answers have
  // been observed.
  Duration median_answer_time() const { return median_answer_time_; }

  const std::map<EndpointId, TrackedEndpoint>& endpoints() const {
    return endpoints_;
  }

 private:
  // Sort key of an endpoint, lower is better: impairment, all slots in use, not
  // warmed up, missing tokens if it is bounded, in another data centre, busy
  // share of the slots, reported load, time of the last start.
  using Rank =
      std::tuple<int, bool, bool, double, bool, double, double, TimePoint>;

  Rank RankOf(TimePoint now, const Work& work,
              const TrackedEndpoint& tracked) const;
  bool IsSlow(TimePoint now, const TrackedEndpoint& tracked) const;
  TrackedEndpoint* SelectForProbe(TimePoint now, const Work& work);
  // Adds an endpoint to the pool unless it has it. Returns it, and whether it
  // was added.
  std::pair<TrackedEndpoint*, bool> Add(TimePoint now,
                                        const Endpoint& endpoint);
  // True if some endpoint takes new work, is not silent and is warm.
  bool AnyWarm(TimePoint now) const;
  // True if new work may start at the endpoint as far as its being cold is
  // concerned.
  bool MayUseCold(TimePoint now, const TrackedEndpoint& tracked) const;
  // Slots of an endpoint that unpinned work may use, and those that are free. A
  // bounded endpoint counts as many as its rate keeps busy.
  std::uint32_t UsableSlotsOf(TimePoint now,
                              const TrackedEndpoint& tracked) const;
  std::uint32_t FreeSlotsOf(TimePoint now,
                            const TrackedEndpoint& tracked) const;
  // True if some endpoint other than `id` takes new work.
  bool AnyOtherTakesNewWork(EndpointId id) const;
  void UpdateMedianAnswerTime(TimePoint now);
  // Ejects an unhealthy endpoint. If CanEject() is false, it ends the back-offs
  // of all ejected endpoints instead, at most once per kBackOffSkipInterval.
  void EjectOrSkipBackOffs(TimePoint now, TrackedEndpoint& tracked);
  bool CanEject() const;
  // `ejections`: number of earlier ejections in a row.
  Duration ComputeBackOff(std::uint32_t ejections);

  Duration ramp_;
  std::uint32_t overlap_percent_;
  std::mt19937_64 random_;
  std::map<EndpointId, TrackedEndpoint> endpoints_;
  std::set<std::string, std::less<>> evacuated_;  // Data centres.
  // When the last evacuation of a data centre ended.
  std::map<std::string, TimePoint, std::less<>> evacuation_ended_;
  WarmUp warm_up_;
  ColdUse cold_use_;
  Duration median_answer_time_{};
  TimePoint median_updated_at_;
  TimePoint back_offs_skipped_at_;
  // Reused by UpdateMedianAnswerTime().
  std::vector<Duration> mean_answer_times_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_PLACEMENT_ENDPOINT_POOL_H_
