// Serializes the registered endpoints that a control VM stores, so that it has
// them immediately after a start. Decides when they are stored again and
// whether stored endpoints are recent enough to be used. Performs no I/O.
//
//   StoredEndpoints stored;
//   if (auto text =
//           stored.TakeTextToStore(now, unix_ms, registry.Leases(now))) {
//     Store(*text);
//   }
//   RestoredEndpoints restored = StoredEndpoints::Restore(text, unix_ms);
#ifndef VANILLALATCH_SRC_RUNTIME_STORED_ENDPOINTS_H_
#define VANILLALATCH_SRC_RUNTIME_STORED_ENDPOINTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "membership.pb.h"
#include "vanillalatch/base/time.h"

namespace vanillalatch {

// The endpoints in a stored text.
struct RestoredEndpoints {
  std::vector<pb::LeaseUpdate> endpoints;
  std::int64_t age_ms = 0;  // Since they were stored, by the system clock.
  bool usable = false;      // The age is at most StoredEndpoints::kMaxAge.
};

class StoredEndpoints {
 public:
  // The shortest time between two writes. Several disk syncs per second would
  // use a large part of a small disk's capacity.
  static constexpr Duration kMinStoreInterval = std::chrono::seconds(1);
  // The shortest time between two writes after an endpoint began to leave. A
  // start after a failure of all VMs would use the endpoint again if its
  // departure was not stored.
  static constexpr Duration kMinDepartureInterval =
      std::chrono::milliseconds(100);
  // Unchanged endpoints are stored again after this interval. It is a fraction
  // of kMaxAge, because the age must tell when the endpoints were last
  // confirmed, not when they last changed.
  static constexpr Duration kUnchangedInterval = std::chrono::seconds(5);
  // Endpoints that were stored longer ago have probably changed since.
  static constexpr Duration kMaxAge = std::chrono::seconds(30);

  // True if the endpoints must be compared with the stored ones.
  bool IsDue(TimePoint now) const {
    return !last_compared_at_ ||
           now >= *last_compared_at_ + (departure_pending_
                                            ? kMinDepartureInterval
                                            : kMinStoreInterval);
  }
  // Records that an endpoint began to leave, which is to be stored soon.
  void OnDeparture() { departure_pending_ = true; }
  // Returns the text to store now; nullopt if it is not due, or if the same
  // endpoints were stored less than kUnchangedInterval ago. `unix_ms`: the
  // current Unix time.
  std::optional<std::string> TakeTextToStore(
      TimePoint now, std::int64_t unix_ms,
      std::vector<pb::LeaseUpdate> endpoints);
  // Parses a stored text. The result is empty and not usable if the text is
  // empty or malformed.
  static RestoredEndpoints Restore(const std::string& text,
                                   std::int64_t unix_ms);

 private:
  std::uint64_t stored_digest_ = 0;
  std::optional<TimePoint> last_compared_at_;
  std::optional<TimePoint> last_stored_at_;
  bool departure_pending_ = false;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_RUNTIME_STORED_ENDPOINTS_H_
