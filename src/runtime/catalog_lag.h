// Tracks for how long this VM has been behind its peers with the catalog.
//
//   CatalogLag lag;
//   if (const auto it = lag.Update(now, newer)) { Log(*it); }
#ifndef VANILLALATCH_SRC_RUNTIME_CATALOG_LAG_H_
#define VANILLALATCH_SRC_RUNTIME_CATALOG_LAG_H_

#include <cstdint>
#include <optional>
#include <utility>

#include "vanillalatch/base/time.h"

namespace vanillalatch {

class CatalogLag {
 public:
  // A new catalog reaches the VMs within this time of each other; a longer lag
  // is reported.
  static constexpr Duration kReportedLag = std::chrono::milliseconds(500);

  struct Report {
    bool ended = false;       // False: the lag has reached kReportedLag.
    std::uint64_t newer = 0;  // The highest revision stated meanwhile.
    Duration lag{};           // Since a peer first stated a newer one.
  };

  // To be called at every event. `newer`: the highest revision above that of
  // this VM which a peer states; 0 if there is none. Returns what is to be
  // logged: once when a lag has become long, and once when it has ended.
  std::optional<Report> Update(TimePoint now, std::uint64_t newer) {
    if (newer == 0) {
      const std::optional<TimePoint> since = std::exchange(since_, {});
      if (!since || !std::exchange(reported_, false)) {
        return std::nullopt;
      }
      return Report{true, std::exchange(newer_, 0), now - *since};
    }
    since_ = since_.value_or(now);
    newer_ = newer;
    if (reported_ || now < *since_ + kReportedLag) {
      return std::nullopt;
    }
    reported_ = true;
    return Report{false, newer_, now - *since_};
  }

  // Zero if no peer states a newer revision.
  Duration Current(TimePoint now) const {
    return since_ ? now - *since_ : Duration::zero();
  }

 private:
  std::optional<TimePoint> since_;
  bool reported_ = false;
  std::uint64_t newer_ = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_RUNTIME_CATALOG_LAG_H_
