#include "vanillalatch/placement/session_placer.h"

#include <algorithm>
#include <tuple>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "vanillalatch/base/hash.h"

namespace vanillalatch {
namespace {

struct Candidate {
  EndpointId id;
  std::uint32_t slots = 1;
};

class FewestFlowsPlacer : public SessionPlacer {
 public:
  explicit FewestFlowsPlacer(std::uint64_t seed) : seed_(seed) {}

  void SetEndpoints(TimePoint now,
                    std::span<const Endpoint> endpoints) override {
    candidates_.clear();
    for (const Endpoint& it : endpoints) {
      if (it.state == EndpointState::kReady && it.slots > 0) {
        candidates_.push_back({it.id, it.slots});
      }
    }
  }

  std::optional<EndpointId> SelectEndpoint(TimePoint now) override {
    if (candidates_.empty()) {
      return std::nullopt;
    }
    ++placements_;
    const auto rank = [this](const Candidate& it) {
      const double per_slot = static_cast<double>(OpenFlows(it.id)) / it.slots;
      const std::uint64_t tie_breaker =
          StableHash(seed_ ^ placements_, it.id.value());
      return std::tuple(per_slot, tie_breaker);
    };
    const auto it =
        std::min_element(candidates_.begin(), candidates_.end(),
                         [&](const Candidate& a, const Candidate& b) {
                           return rank(a) < rank(b);
                         });
    return it->id;
  }

  void Open(EndpointId endpoint) override { ++open_flows_[endpoint]; }

  void Close(EndpointId endpoint) override {
    const auto it = open_flows_.find(endpoint);
    if (it != open_flows_.end() && --it->second == 0) {
      open_flows_.erase(it);
    }
  }

  std::uint32_t OpenFlows(EndpointId endpoint) const override {
    const auto it = open_flows_.find(endpoint);
    return it == open_flows_.end() ? 0 : it->second;
  }

 private:
  std::uint64_t seed_;
  std::uint64_t placements_ = 0;
  std::vector<Candidate> candidates_;
  absl::flat_hash_map<EndpointId, std::uint32_t> open_flows_;
};

}  // namespace

Result<std::unique_ptr<SessionPlacer>> SessionPlacer::Create(
    std::uint64_t seed) {
  return std::unique_ptr<SessionPlacer>(
      std::make_unique<FewestFlowsPlacer>(seed));
}

}  // namespace vanillalatch
