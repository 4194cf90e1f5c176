#include "vanillalatch/admission/answer_time.h"

#include <algorithm>

namespace vanillalatch {
namespace {

// Weight of a new sample once there are as many; before, all weigh the same.
constexpr std::uint64_t kSmoothing = 16;

}  // namespace

void AnswerTime::Add(TimePoint now, Duration sample) {
  ++samples_;
  updated_ = now;
  if (samples_ == 1) {
    mean_ = sample;
    deviation_ = sample / 2;
    return;
  }
  const auto weight = static_cast<std::int64_t>(std::min(samples_, kSmoothing));
  const Duration error = sample - mean_;
  mean_ += error / weight;
  deviation_ += (std::chrono::abs(error) - deviation_) / weight;
}

}  // namespace vanillalatch
