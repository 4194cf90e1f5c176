#include "src/packetflow/dispatcher_selector.h"

#include <optional>

#include "src/packetflow/shard.h"

namespace vanillalatch::internal {
namespace {

// How long a VM that declined is not selected. A VM declines for 50 ms to two
// seconds after its start; with this backoff it is used soon afterwards.
constexpr Duration kDeclineBackoff = std::chrono::milliseconds(100);
// Number of VMs, in the order of their ranks, that are considered before this
// VM places flows itself. If half of the members start at once, one in 256
// shards has none among them that has run for longer.
constexpr std::size_t kDispatcherRanks = 8;

}  // namespace

NodeId DispatcherSelector::Select(TimePoint now, const ShardId& shard,
                                  std::span<const Member> members,
                                  NodeId self) const {
  for (std::size_t rank = 0; rank < kDispatcherRanks; ++rank) {
    const std::optional<NodeId> it = ShardDispatcherOf(shard, members, rank);
    if (!it) {
      break;
    }
    const auto declined = declined_until_.find(*it);
    const bool usable =
        !silent_.contains(*it) &&
        (declined == declined_until_.end() || now >= declined->second);
    if (*it == self || usable) {
      return *it;
    }
  }
  return self;
}

void DispatcherSelector::OnDeclined(TimePoint now, NodeId vm) {
  declined_until_[vm] = now + kDeclineBackoff;
}

}  // namespace vanillalatch::internal
