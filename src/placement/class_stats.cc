#include "src/placement/class_stats.h"

#include <algorithm>

namespace vanillalatch::internal {

void ClassStats::OnAnswered(TimePoint now, Duration latency, Duration target) {
  ++answered_;
  within_target_ += latency <= target ? 1 : 0;
  if (samples_.size() < kMaxSamples) {
    samples_.emplace_back(now, latency);
    return;
  }
  samples_[next_sample_] = {now, latency};
  next_sample_ = (next_sample_ + 1) % kMaxSamples;
}

void ClassStats::Fill(TimePoint now, pb::ClassReport& report) const {
  report.set_answered(answered_);
  report.set_within(within_target_);
  report.set_refused(refused_);
  report.set_failed(failed_);
  report.set_p99_us(static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(Percentile99(now))
          .count()));
}

Duration ClassStats::Percentile99(TimePoint now) const {
  std::vector<Duration> recent;
  for (const auto& [at, latency] : samples_) {
    if (now - at <= kLatencyWindow) {
      recent.push_back(latency);
    }
  }
  if (recent.empty()) {
    return Duration::zero();
  }
  const auto nth = recent.begin() +
                   static_cast<std::ptrdiff_t>((recent.size() - 1) * 99 / 100);
  std::nth_element(recent.begin(), nth, recent.end());
  return *nth;
}

}  // namespace vanillalatch::internal
