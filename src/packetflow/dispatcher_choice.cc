#include "src/packetflow/dispatcher_choice.h"

#include <algorithm>
#include <optional>

#include "vanillalatch/placement/rendezvous.h"

namespace vanillalatch::internal {
namespace {

// A VM that has just started declines for 50 ms to two seconds; asked this
// often, it is used soon after.
constexpr Duration kDeclinePause = std::chrono::milliseconds(100);
// A VM that did not answer in time costs each caller 0.1 s that is sent to it;
// asked this often, then half as often, one in hundreds of a busy service is.
constexpr Duration kSilentPause = std::chrono::milliseconds(500);
constexpr int kMostDoublings = 3;
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
    const auto silent = silent_.find(*it);
    const bool able =
        (silent == silent_.end() ||
         (silent->second.heard && now >= silent->second.until)) &&
        (declined == declined_until_.end() || now >= declined->second);
    if (*it == self || able) {
      return *it;
    }
  }
  return self;
}

void DispatcherChoice::OnSilent(TimePoint now, NodeId vm) {
  Silence& silence = silent_[vm];
  silence.heard = false;
  silence.until =
      now + kSilentPause * (1 << std::min(silence.failures, kMostDoublings));
  ++silence.failures;
}

void DispatcherChoice::OnHeard(NodeId vm) {
  const auto it = silent_.find(vm);
  if (it != silent_.end()) {
    it->second.heard = true;
  }
}

void DispatcherChoice::OnDeclined(TimePoint now, NodeId vm) {
  declined_until_[vm] = now + kDeclinePause;
}

}  // namespace vanillalatch::internal
