// The endpoints that a control VM stores, to have them at once after a start:
// when they are stored again, and whether what was stored is still of use.
// No I/O.
//
//   KeptEndpoints kept;
//   if (auto text = kept.Next(now, unix_ms, registry.Leases(now)))
//   Store(*text); RestoredEndpoints known = KeptEndpoints::Restore(text,
//   unix_ms);
#ifndef VANILLALATCH_SRC_RUNTIME_KEPT_ENDPOINTS_H_
#define VANILLALATCH_SRC_RUNTIME_KEPT_ENDPOINTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "membership.pb.h"
#include "vanillalatch/base/time.h"

namespace vanillalatch {

struct RestoredEndpoints {
  std::vector<pb::LeaseUpdate> endpoints;
  std::int64_t age_ms = 0;
  bool usable = false;  // Not too old.
};

class KeptEndpoints {
 public:
  // Endpoints that changed are stored this often at most: some syncs a second
  // would be a good part of what a small disk does.
  static constexpr Duration kChangedInterval = std::chrono::seconds(1);
  // The same endpoints are stored again after this time, a part of kUsableFor:
  // their age says when they were known to hold, not when they changed.
  static constexpr Duration kSameInterval = std::chrono::seconds(5);
  // Endpoints that were stored longer ago have likely changed meanwhile.
  static constexpr Duration kUsableFor = std::chrono::seconds(30);

  // True if it is time to compare the endpoints with what was stored.
  bool Due(TimePoint now) const {
    return !compared_ || now >= *compared_ + kChangedInterval;
  }
  // The text to store now; nullopt if it is not due, or the same was stored
  // lately.
  std::optional<std::string> Next(TimePoint now, std::int64_t unix_ms,
                                  std::vector<pb::LeaseUpdate> endpoints);
  // What a stored text says; empty and not usable for what can't be read.
  static RestoredEndpoints Restore(const std::string& text,
                                   std::int64_t unix_ms);

 private:
  std::uint64_t digest_ = 0;
  std::optional<TimePoint> compared_;
  std::optional<TimePoint> stored_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_RUNTIME_KEPT_ENDPOINTS_H_
