// Counts the requests of one class by outcome for operators, and keeps recent
// latencies for their 99th percentile.
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
  // The 99th percentile is computed from at most kMaxSamples latencies, none
  // older than kLatencyWindow.
  static constexpr std::size_t kMaxSamples = 1024;
  static constexpr Duration kLatencyWindow = std::chrono::seconds(10);

  // Counts an answered request. `target` is the class's latency target.
  void OnAnswered(TimePoint now, Duration latency, Duration target);
  void OnRefused() { ++refused_; }
  void OnFailed() { ++failed_; }

  // Sets all fields of `report` except the class id and the queue length.
  void Fill(TimePoint now, pb::ClassReport& report) const;

 private:
  Duration Percentile99(TimePoint now) const;

  std::uint64_t answered_ = 0;
  std::uint64_t within_target_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t failed_ = 0;
  std::vector<std::pair<TimePoint, Duration>> samples_;  // Ring buffer.
  std::size_t next_sample_ = 0;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_PLACEMENT_CLASS_STATS_H_
