// Smooths the round trip of messages to one VM and derives from it how long to
// wait for an answer, as a retransmission timer does (RFC 6298): the mean plus
// four deviations.
//
//   RoundTrip trip;
//   trip.Add(now - sent_at);
//   Duration limit = std::clamp(trip.Limit(), kMin, kMax);
#ifndef VANILLALATCH_SRC_PACKETFLOW_ROUND_TRIP_H_
#define VANILLALATCH_SRC_PACKETFLOW_ROUND_TRIP_H_

#include <optional>

#include "vanillalatch/base/time.h"

namespace vanillalatch::internal {

class RoundTrip {
 public:
  // Records the time from a message to its answer. Answers that come after the
  // limit have to be recorded as well; otherwise the limit could never follow
  // a round trip that has become longer.
  void Add(Duration sample) {
    if (!mean_) {
      mean_ = sample;
      deviation_ = sample / 2;
      return;
    }
    const Duration error = sample > *mean_ ? sample - *mean_ : *mean_ - sample;
    deviation_ += (error - deviation_) / 4;
    *mean_ += (sample - *mean_) / 8;
  }

  // Zero without a sample.
  Duration Limit() const {
    return mean_ ? *mean_ + 4 * deviation_ : Duration::zero();
  }

 private:
  std::optional<Duration> mean_;
  Duration deviation_{};
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_PACKETFLOW_ROUND_TRIP_H_
