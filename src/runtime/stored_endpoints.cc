#include "src/runtime/stored_endpoints.h"

#include <cstdlib>
#include <utility>

#include "vanillalatch/base/hash.h"

namespace vanillalatch {

std::optional<std::string> StoredEndpoints::TakeTextToStore(
    TimePoint now, std::int64_t unix_ms,
    std::vector<pb::LeaseUpdate> endpoints) {
  if (!IsDue(now)) {
    return std::nullopt;
  }
  last_compared_at_ = now;
  departure_pending_ = false;
  pb::KeptEndpoints message;
  std::uint64_t digest = 0;
  for (pb::LeaseUpdate& it : endpoints) {
    // The digest does not depend on the order of the endpoints. The factor
    // leaves two bits for the state, which has three values.
    digest ^= StableHash(StableHash(it.name()),
                         StableHash(it.epoch(), it.version() * 4 + it.state()));
    it.set_ttl_ms(it.lifetime_ms());
    *message.add_endpoints() = std::move(it);
  }
  if (last_stored_at_ && digest == stored_digest_ &&
      now < *last_stored_at_ + kUnchangedInterval) {
    return std::nullopt;
  }
  stored_digest_ = digest;
  last_stored_at_ = now;
  message.set_unix_ms(unix_ms);
  return message.SerializeAsString();
}

RestoredEndpoints StoredEndpoints::Restore(const std::string& text,
                                           std::int64_t unix_ms) {
  RestoredEndpoints restored;
  pb::KeptEndpoints message;
  if (text.empty() || !message.ParseFromString(text)) {
    return restored;
  }
  restored.age_ms = unix_ms - message.unix_ms();
  // The age is negative if the system clock has been set back since.
  restored.usable = std::abs(restored.age_ms) <= ToMilliseconds(kMaxAge);
  restored.endpoints = {message.endpoints().begin(), message.endpoints().end()};
  return restored;
}

}  // namespace vanillalatch
