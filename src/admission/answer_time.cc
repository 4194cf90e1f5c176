#include "vanillalatch/admission/answer_time.h"

#include <algorithm>

namespace vanillalatch {
void AnswerTime::Add(TimePoint now, Duration sample) {
  ++samples_;
  last_sample_at_ = now;
  if (samples_ == 1) {
    mean_ = sample;
    deviation_ = sample / 2;
    return;
  }
  // Until there are `smoothing_` samples, all samples have the same weight.
  const auto weight = static_cast<std::int64_t>(std::min(samples_, smoothing_));
  const Duration error = sample - mean_;
  mean_ += error / weight;
  deviation_ += (std::chrono::abs(error) - deviation_) / weight;
}

}  // namespace vanillalatch
