// The feature levels of control VMs that run a build from before levels were
// stated, as their answers to MakeLevelProbe() show them.
//
//   if (!levels.Find(now, id) && levels.BeginProbe(now, id)) SendProbe(id);
#ifndef VANILLALATCH_SRC_CONTROL_PROBED_LEVELS_H_
#define VANILLALATCH_SRC_CONTROL_PROBED_LEVELS_H_

#include <cstdint>
#include <map>
#include <optional>

#include "vanillalatch/base/time.h"
#include "vanillalatch/feature/feature_level.h"

namespace vanillalatch::internal {

class ProbedLevels {
 public:
  // The level that replica `id` has answered recently; nullopt if unknown. It
  // expires, as the VM may have been restarted with another build.
  std::optional<FeatureLevel> Find(TimePoint now, std::uint64_t id) const;
  // Returns true if a probe is to be sent to `id` now: at most one per
  // interval.
  bool BeginProbe(TimePoint now, std::uint64_t id);
  void Record(TimePoint now, std::uint64_t id, FeatureLevel level);

 private:
  struct Entry {
    FeatureLevel level;  // kUnstatedLevel: no answer yet.
    TimePoint answered_at = TimePoint::min();
    TimePoint asked_at = TimePoint::min();
  };
  std::map<std::uint64_t, Entry> entries_;  // By replica id.
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_CONTROL_PROBED_LEVELS_H_
