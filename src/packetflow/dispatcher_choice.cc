#include "src/packetflow/dispatcher_choice.h"

#include <optional>

#include "vanillalatch/placement/rendezvous.h"

namespace vanillalatch::internal {
namespace {

// A VM that has just started declines for 50 ms to two seconds; asked this
// often, it is used soon after.
constexpr Duration kDeclinePause = std::chrono::milliseconds(100);
// Ranks of dispatchers that are tried before this VM places alone.
constexpr std::size_t kDispatcherRanks = 3;

}  // namespace

NodeId DispatcherChoice::For(TimePoint now, ServiceId service,
                             std::span<const Member> members,
                             NodeId self) const {
  for (std::size_t rank = 0; rank < kDispatcherRanks; ++rank) {
    const std::optional<NodeId> it = DispatcherOf(service, members, rank);
    if (!it) {
      break;
    }
    const auto declined = declined_until_.find(*it);
    const bool able =
        !silent_.contains(*it) &&
        (declined == declined_until_.end() || now >= declined->second);
    if (*it == self || able) {
      return *it;
    }
  }
  return self;
}

void DispatcherChoice::OnDeclined(TimePoint now, NodeId vm) {
  declined_until_[vm] = now + kDeclinePause;
}

}  // namespace vanillalatch::internal
