#include "src/runtime/kept_endpoints.h"

#include <cstdlib>
#include <utility>

#include "vanillalatch/base/hash.h"

namespace vanillalatch {

std::optional<std::string> KeptEndpoints::Next(
    TimePoint now, std::int64_t unix_ms,
    std::vector<pb::LeaseUpdate> endpoints) {
  if (!Due(now)) {
    return std::nullopt;
  }
  compared_ = now;
  pb::KeptEndpoints kept;
  std::uint64_t digest = 0;
  for (pb::LeaseUpdate& it : endpoints) {
    digest ^= StableHash(StableHash(it.name()),
                         StableHash(it.epoch(), it.version() * 4 + it.state()));
    it.set_ttl_ms(it.lifetime_ms());
    *kept.add_endpoints() = std::move(it);
  }
  if (stored_ && digest == digest_ && now < *stored_ + kSameInterval) {
    return std::nullopt;
  }
  digest_ = digest;
  stored_ = now;
  kept.set_unix_ms(unix_ms);
  return kept.SerializeAsString();
}

RestoredEndpoints KeptEndpoints::Restore(const std::string& text,
                                         std::int64_t unix_ms) {
  RestoredEndpoints restored;
  pb::KeptEndpoints kept;
  if (text.empty() || !kept.ParseFromString(text)) {
    return restored;
  }
  restored.age_ms = unix_ms - kept.unix_ms();
  // The clock may have been set back since.
  restored.usable = std::abs(restored.age_ms) <= ToMilliseconds(kUsableFor);
  restored.endpoints = {kept.endpoints().begin(), kept.endpoints().end()};
  return restored;
}

}  // namespace vanillalatch
