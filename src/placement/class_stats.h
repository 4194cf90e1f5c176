// Counts of one class for operators, and its recent latencies.
//
//   stats.OnAnswered(now, latency, target.latency);
//   stats.Fill(now, report);
#ifndef VANILLALATCH_PLACEMENT_CLASS_STATS_H_
#define VANILLALATCH_PLACEMENT_CLASS_STATS_H_

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "control.pb.h"
#include "vanillalatch/base/time.h"

namespace vanillalatch::internal {

class ClassStats {
 public:
  // Bounds of the latencies that the p99 is taken from.
  static constexpr std::size_t kMaxSamples = 1024;
  static constexpr Duration kWindow = std::chrono::seconds(10);

  void OnAnswered(TimePoint now, Duration latency, Duration target);
  void OnRefused() { ++refused_; }
  void OnFailed() { ++failed_; }

  // Fills in all but the id and the queue length.
  void Fill(TimePoint now, pb::ClassReport& report) const;

 private:
  Duration Percentile99(TimePoint now) const;

  std::uint64_t answered_ = 0;
  std::uint64_t within_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t failed_ = 0;
  std::vector<std::pair<TimePoint, Duration>> samples_;  // A ring.
  std::size_t next_sample_ = 0;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_PLACEMENT_CLASS_STATS_H_
