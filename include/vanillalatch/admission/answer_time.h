// How long answers take, as seen: a smoothed mean and deviation in the manner
// of RFC 6298. An estimate without a recent sample is unknown, so that a
// wrong one can't refuse work for ever.
//
//   AnswerTime time(16);
//   time.Add(now, finished - started);
//   if (time.KnownAt(now) && now + time.mean() > deadline) ...
#ifndef VANILLALATCH_ADMISSION_ANSWER_TIME_H_
#define VANILLALATCH_ADMISSION_ANSWER_TIME_H_

#include <cstdint>

#include "vanillalatch/base/time.h"

namespace vanillalatch {

class AnswerTime {
 public:
  // Samples that are older say nothing.
  static constexpr Duration kMaxAge = std::chrono::seconds(2);

  // Weight of a new sample: one part in `smoothing`. A small number notices
  // changes sooner, a large one varies less.
  explicit AnswerTime(std::uint64_t smoothing) : smoothing_(smoothing) {}

  void Add(TimePoint now, Duration sample);

  bool KnownAt(TimePoint now) const {
    return samples_ > 0 && now - updated_ <= kMaxAge;
  }
  std::uint64_t samples() const { return samples_; }

  Duration mean() const { return mean_; }
  // Nearly all answers are faster: mean plus four mean deviations.
  Duration high() const { return mean_ + 4 * deviation_; }

 private:
  std::uint64_t smoothing_;
  Duration mean_{};
  Duration deviation_{};
  TimePoint updated_;
  std::uint64_t samples_ = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_ADMISSION_ANSWER_TIME_H_
