// The endpoints of one service: which of them gets the next request, and
// which are out of use because they look sick.
//
//   EndpointPool pool(ramp, seed);
//   pool.Set(now, endpoints);
//   if (EndpointTrack* it = pool.Choose(now, work, latest_finish, probes)) {
//     it->Start(now);
//   }
//   pool.Finish(now, endpoint, outcome, held);
#ifndef VANILLALATCH_PLACEMENT_ENDPOINT_POOL_H_
#define VANILLALATCH_PLACEMENT_ENDPOINT_POOL_H_

#include <cstdint>
#include <map>
#include <random>
#include <span>
#include <tuple>
#include <vector>

#include "src/placement/endpoint_track.h"

namespace vanillalatch::internal {

class EndpointPool {
 public:
  // Answers this many times slower than the median make an endpoint slow.
  static constexpr double kSlowFactor = 2;
  // Busy without an answer for this many usual answer times is stalled.
  static constexpr int kStalledFactor = 10;
  static constexpr Duration kMinStall = std::chrono::milliseconds(50);
  // How often the median is taken anew.
  static constexpr Duration kReviewInterval = std::chrono::milliseconds(50);
  static constexpr Duration kFirstBackOff = std::chrono::seconds(1);
  static constexpr Duration kLongestBackOff = std::chrono::seconds(30);
  static constexpr Duration kDoubtInterval = std::chrono::seconds(1);
  // A reported load says nothing when it is older.
  static constexpr Duration kLoadMaxAge = std::chrono::seconds(2);

  EndpointPool(const SlotSchedulerOptions& options, std::uint64_t seed)
      : ramp_(options.told_when_warm ? Duration::zero()
                                     : options.cold_start_ramp),
        overlap_percent_(options.overlap_percent),
        random_(seed) {}

  void Set(TimePoint now, std::span<const Endpoint> endpoints);
  // Moves on ramps, back-offs and the usual answer time.
  void Advance(TimePoint now);
  // When a ramp, back-off or probe is due; kNever if nothing is.
  TimePoint NextWake(TimePoint now) const;

  // An endpoint with a free slot for unpinned work, or nullptr. A slow one is
  // chosen last, and only if it likely answers by `latest_finish`. `probes`:
  // the work may go to an endpoint that is being probed.
  EndpointTrack* Choose(TimePoint now, const Work& work,
                        TimePoint latest_finish, bool probes);
  // nullptr if it is unknown.
  EndpointTrack* Find(EndpointId id);
  // Like Find(), but counts an unknown endpoint as one that is missing.
  EndpointTrack& FindOrAdd(TimePoint now, EndpointId id);
  void Finish(TimePoint now, EndpointId id, WorkOutcome outcome, Duration held);

  // Some endpoint takes unpinned work now or after a back-off.
  bool AnyInService() const;
  // Slots that unpinned work may use.
  std::uint32_t UsableSlots(TimePoint now) const;
  // Slots that are free for unpinned work.
  std::uint32_t FreeSlots(TimePoint now) const;
  // Some endpoint waits for a probe.
  bool AnyProbe(TimePoint now) const;
  // Mean answer time of the median endpoint; zero if unknown.
  Duration usual() const { return usual_; }

  const std::map<EndpointId, EndpointTrack>& tracks() const { return tracks_; }

 private:
  // Lower is better: kind of trouble, all slots in use, still cold, in another
  // data centre, busy share, reported load, last start.
  using Rank = std::tuple<int, bool, bool, bool, double, double, TimePoint>;

  Rank RankOf(TimePoint now, const Work& work,
              const EndpointTrack& track) const;
  bool IsSlow(TimePoint now, const EndpointTrack& track) const;
  EndpointTrack* ChooseProbe(TimePoint now, const Work& work);
  // Some endpoint takes new work and is not silent.
  bool AnyAnswers() const;
  bool OthersTakeNew(EndpointId id) const;
  void ReviewUsual(TimePoint now);
  void EjectOrDoubt(TimePoint now, EndpointTrack& track);
  bool MayEject() const;
  Duration BackOff(std::uint32_t ejections);

  Duration ramp_;
  std::uint32_t overlap_percent_;
  std::mt19937_64 random_;
  std::map<EndpointId, EndpointTrack> tracks_;
  Duration usual_{};
  TimePoint reviewed_;
  TimePoint doubted_;
  std::vector<Duration> means_;  // Reused by ReviewUsual().
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_PLACEMENT_ENDPOINT_POOL_H_
