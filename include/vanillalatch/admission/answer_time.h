// Estimates the answer time of endpoints: a smoothed mean and mean deviation of
// the observed times, computed in the manner of RFC 6298. The estimate expires
// without recent samples; otherwise, an estimate that is too high would refuse
// all work, get no new samples and never be corrected.
//
//   AnswerTime time(16);
//   time.Add(now, finished - started);
//   if (time.HasRecentSample(now) && now + time.mean() > deadline) {
//     ...  // The answer would come too late.
//   }
#ifndef VANILLALATCH_ADMISSION_ANSWER_TIME_H_
#define VANILLALATCH_ADMISSION_ANSWER_TIME_H_

#include <cstdint>

#include "vanillalatch/base/time.h"

namespace vanillalatch {

class AnswerTime {
 public:
  // The estimate expires when its latest sample is older than this.
  static constexpr Duration kMaxSampleAge = std::chrono::seconds(2);

  // A new sample has the weight 1 / `smoothing`. A small value follows changes
  // faster, a large value varies less from sample to sample.
  explicit AnswerTime(std::uint64_t smoothing) : smoothing_(smoothing) {}

  // Adds one observed answer time.
  void Add(TimePoint now, Duration sample);

  // True if the latest sample is at most kMaxSampleAge old at `now`. Otherwise
  // mean() and upper_estimate() are out of date.
  bool HasRecentSample(TimePoint now) const {
    return samples_ > 0 && now - last_sample_at_ <= kMaxSampleAge;
  }
  // Number of samples since construction.
  std::uint64_t samples() const { return samples_; }

  // Smoothed mean; zero without samples.
  Duration mean() const { return mean_; }
  // Mean plus four mean deviations: an estimate that few answers exceed.
  Duration upper_estimate() const { return mean_ + 4 * deviation_; }

 private:
  std::uint64_t smoothing_;
  Duration mean_{};
  Duration deviation_{};
  TimePoint last_sample_at_;
  std::uint64_t samples_ = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_ADMISSION_ANSWER_TIME_H_
