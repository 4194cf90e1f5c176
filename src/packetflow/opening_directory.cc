#include "src/packetflow/opening_directory.h"

#include <algorithm>
#include <utility>

#include "src/packetflow/shard.h"

namespace vanillalatch::internal {
namespace {

constexpr Duration kExpireInterval = std::chrono::milliseconds(500);
// No copy of an opening that was sent before an event arrives later than this
// after the event.
constexpr Duration kRetention = FlowDispatcher::kOpeningTimeout;
// Catalogs that are replaced more often than this within kRetention come from
// an operator's mistake; the routes of the earlier ones are dropped.
constexpr std::size_t kMaxFormerRoutes = 8;
// The first one in rank, and the second one, which stands in for it.
constexpr std::size_t kAskedRanks = 2;

// A VM that is not listed yet may be running: this one may have just started.
bool HasFailed(NodeId vm, std::span<const Member> members) {
  return std::any_of(members.begin(), members.end(), [&](const Member& it) {
    return it.id == vm && it.state == MemberState::kDead;
  });
}

}  // namespace

void OpeningDirectory::Record(TimePoint now, const FlowOpening& opening,
                              NodeId vm, bool in_other_shard, bool replaces) {
  const Holder holder{opening.sequence, vm, now - opening.age + kRetention,
                      in_other_shard};
  const auto it = holders_.find(opening.id);
  if (it == holders_.end()) {
    if (holders_.size() < kMaxRecords) {
      holders_[opening.id] = holder;
    }
  } else if (replaces || it->second.sequence != opening.sequence ||
             now >= it->second.until) {
    it->second = holder;
  }
}

void OpeningDirectory::OnHandedOver(TimePoint now, const FlowOpening& opening,
                                    NodeId to, bool in_other_shard) {
  Record(now, opening, to, in_other_shard, true);
}

void OpeningDirectory::OnDeclined(TimePoint now, const FlowOpening& opening,
                                  NodeId from) {
  Record(now, opening, from, false, false);
}

void OpeningDirectory::OnPassedOn(TimePoint now, const FlowOpening& opening,
                                  const std::string& data_center) {
  if (passed_on_.size() < kMaxRecords || passed_on_.contains(opening.id)) {
    passed_on_[opening.id] = {opening.sequence, data_center, now + kRetention};
  }
}

void OpeningDirectory::OnRoutesReplaced(TimePoint now, RouteTable former) {
  former_routes_.push_front({std::move(former), now + kRetention});
  if (former_routes_.size() > kMaxFormerRoutes) {
    former_routes_.pop_back();
  }
}

bool OpeningDirectory::SetFirstDispatcher(TimePoint now, const ShardId& shard,
                                          NodeId first) {
  const auto [it, added] = first_dispatchers_.try_emplace(shard);
  FirstDispatcher& entry = it->second;
  if (!added && entry.vm == first) {
    return false;
  }
  if (!added) {
    entry.former = entry.vm;
    entry.former_until = now + kRetention;
  }
  entry.vm = first;
  return true;
}

void OpeningDirectory::OnTick(TimePoint now) {
  if (now < expire_due_) {
    return;
  }
  expire_due_ = now + kExpireInterval;
  const auto has_expired = [&](const auto& it) {
    return now >= it.second.until;
  };
  absl::erase_if(holders_, has_expired);
  absl::erase_if(passed_on_, has_expired);
  while (!former_routes_.empty() && now >= former_routes_.back().until) {
    former_routes_.pop_back();
  }
}

std::optional<NodeId> OpeningDirectory::RecordedHolder(
    TimePoint now, const FlowOpening& opening, bool is_sharded) const {
  const auto it = holders_.find(opening.id);
  if (it == holders_.end() || it->second.sequence != opening.sequence ||
      now >= it->second.until || (it->second.in_other_shard && is_sharded)) {
    return std::nullopt;
  }
  return it->second.vm;
}

const std::string* OpeningDirectory::PassedOnTo(
    TimePoint now, const FlowOpening& opening) const {
  const auto it = passed_on_.find(opening.id);
  return it != passed_on_.end() && it->second.sequence == opening.sequence &&
                 now < it->second.until
             ? &it->second.data_center
             : nullptr;
}

void OpeningDirectory::AddDispatchersOf(TimePoint now, const ShardId& shard,
                                        const Fleet& fleet, std::size_t ranks,
                                        std::vector<NodeId>& vms) const {
  const auto first = first_dispatchers_.find(shard);
  for (std::size_t rank = 0; rank < ranks; ++rank) {
    if (const auto vm = ShardDispatcherOf(shard, fleet.members, rank)) {
      vms.push_back(*vm);
    }
    if (rank == 0 && first != first_dispatchers_.end() &&
        now < first->second.former_until) {
      vms.push_back(first->second.former);
    }
  }
}

std::vector<NodeId> OpeningDirectory::MayHold(TimePoint now,
                                              const FlowOpening& opening,
                                              const Fleet& fleet,
                                              std::size_t unready) const {
  std::vector<NodeId> vms;
  if (const std::optional<NodeId> it =
          RecordedHolder(now, opening, !opening.shard.empty())) {
    vms.push_back(*it);
  }
  // While this VM was not ready, the VMs that rank after it placed the flows.
  AddDispatchersOf(now, {opening.service, opening.shard}, fleet,
                   kAskedRanks + unready, vms);
  for (const FormerRoutes& it : former_routes_) {
    const FlowRoute* route =
        now < it.until ? it.routes.Find(opening.route) : nullptr;
    if (route != nullptr && route->ServiceFor(opening.id) != opening.service) {
      AddDispatchersOf(now, fleet.shard_of(route->ServiceFor(opening.id)),
                       fleet, kAskedRanks, vms);
    }
  }
  for (const ShardId& it : fleet.other_shards) {
    AddDispatchersOf(now, it, fleet, 1, vms);
  }
  std::vector<NodeId> unique;
  for (const NodeId it : vms) {
    if (it != fleet.self && !HasFailed(it, fleet.members) &&
        std::find(unique.begin(), unique.end(), it) == unique.end()) {
      unique.push_back(it);
    }
  }
  return unique;
}

}  // namespace vanillalatch::internal
