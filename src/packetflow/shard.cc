#include "src/packetflow/shard.h"

#include <algorithm>
#include <functional>
#include <set>
#include <tuple>

#include "vanillalatch/base/hash.h"
#include "vanillalatch/placement/rendezvous.h"

namespace vanillalatch::internal {
namespace {

constexpr double kBytesPerMbit = 1e6 / 8;
// A dispatcher's link also carries the packets that the VM forwards.
constexpr double kLinkShare = 0.5;
constexpr std::uint32_t kHundredPercent = 100;
// Used until answers were observed; see kRequestsPerSlot.
constexpr Duration kDefaultAnswerTime = std::chrono::milliseconds(50);

// Slots that are free if endpoints take one flow per slot.
std::uint32_t IdleSlots(const ShardLoad& load, std::uint32_t overlap_percent) {
  const std::uint32_t slots =
      load.usable_slots * kHundredPercent / overlap_percent;
  const std::uint32_t busy = load.usable_slots - load.free_slots;
  return slots - std::min(slots, busy);
}

// How long a flow would wait for a slot, at an endpoint or in the queue: the
// flows beyond one per slot are served at the rate at which slots become free.
Duration ExpectedWait(const ShardLoad& home, std::uint32_t overlap_percent) {
  const std::uint32_t slots =
      home.usable_slots * kHundredPercent / overlap_percent;
  const std::uint32_t busy = home.usable_slots - home.free_slots;
  if (busy < slots) {
    return Duration::zero();
  }
  if (home.answer_time == Duration::zero()) {
    return kDefaultAnswerTime * (busy - slots + home.queued + 1) /
           std::max(1U, busy);
  }
  return home.expected_wait +
         home.answer_time * (busy - slots + 1) / std::max(1U, busy);
}

}  // namespace

bool IsSharded(double link_mbit_per_s, std::span<const Endpoint> endpoints) {
  if (link_mbit_per_s <= 0) {
    return false;
  }
  double slots = 0;
  bool several = false;
  for (const Endpoint& it : endpoints) {
    slots += it.slots;
    several |= it.data_center != endpoints.front().data_center;
  }
  return several && slots > link_mbit_per_s * kBytesPerMbit * kLinkShare /
                                (kBytesPerRequest * kRequestsPerSlot);
}

std::vector<std::string> ShardsOf(std::span<const Endpoint> endpoints,
                                  std::span<const Member> members) {
  std::set<std::string> names;
  for (const Endpoint& it : endpoints) {
    names.insert(it.data_center);
  }
  for (const Member& it : members) {
    if (it.dispatches && it.state != MemberState::kDead &&
        !it.data_center.empty()) {
      names.insert(it.data_center);
    }
  }
  return {names.begin(), names.end()};
}

std::optional<NodeId> ShardDispatcherOf(const ShardId& shard,
                                        std::span<const Member> members,
                                        std::size_t rank) {
  if (shard.data_center.empty()) {
    return DispatcherOf(shard.service, members, rank);
  }
  const std::uint64_t key =
      StableHash(shard.service.value(), StableHash(shard.data_center));
  // The node id breaks ties of equal scores.
  std::vector<std::tuple<bool, std::uint64_t, NodeId>> scores;
  for (const Member& it : members) {
    if (CanDispatch(it)) {
      scores.emplace_back(it.data_center == shard.data_center,
                          StableHash(key, it.id.value()), it.id);
    }
  }
  if (rank >= scores.size()) {
    return std::nullopt;
  }
  const auto nth = scores.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(scores.begin(), nth, scores.end(), std::greater<>());
  return std::get<NodeId>(*nth);
}

bool HasEntryVms(const std::string& data_center,
                 std::span<const Member> members) {
  return std::any_of(members.begin(), members.end(), [&](const Member& it) {
    return it.dispatches && it.data_center == data_center;
  });
}

std::optional<std::size_t> SelectOtherShard(TimePoint now,
                                            const ShardLoad& home,
                                            std::span<const OtherShard> others,
                                            std::uint32_t overlap_percent) {
  const Duration wait = ExpectedWait(home, overlap_percent);
  const bool has_endpoint = home.usable_slots > 0;
  std::optional<std::size_t> best;
  std::uint32_t most = 0;
  for (std::size_t n = 0; n < others.size(); ++n) {
    const OtherShard& it = others[n];
    const bool is_recent = it.received != TimePoint::min() &&
                           now - it.received <= kMaxShardReportAge;
    if (!is_recent || (has_endpoint && wait <= it.way)) {
      continue;
    }
    ShardLoad load = it.load;
    load.free_slots = static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        std::int64_t{load.free_slots} - it.passed_on, 0, load.usable_slots));
    // Without an endpoint here, any free slot there is better.
    const bool must_be_idle = has_endpoint && home.free_slots > 0;
    const std::uint32_t room =
        must_be_idle ? IdleSlots(load, overlap_percent) : load.free_slots;
    const std::uint32_t least =
        has_endpoint ? load.usable_slots / kMinFreeDivisor : 0;
    if (room > least && room > most) {
      best = n;
      most = room;
    }
  }
  return best;
}

}  // namespace vanillalatch::internal
