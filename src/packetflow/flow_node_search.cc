// The search for the VM that holds an opening packet of which FlowNodeImpl has
// received a copy. OpeningDirectory says which VMs to ask; the functions here
// ask them.
#include <algorithm>
#include <utility>

#include "src/packetflow/flow_messages.h"
#include "src/packetflow/flow_node_impl.h"

namespace vanillalatch::internal {
namespace {

// A copy is asked for at so many VMs at most: each question takes a round trip.
constexpr std::size_t kMaxAskedVms = 12;

}  // namespace

bool FlowNodeImpl::CanBeAsked(NodeId vm, const Search& search) const {
  return vm != self() && !HasFailed(vm) && !dispatcher_selector_.IsSilent(vm) &&
         std::find(search.asked.begin(), search.asked.end(), vm) ==
             search.asked.end();
}

std::optional<NodeId> FlowNodeImpl::UsableHolder(
    TimePoint now, const FlowOpening& opening) const {
  const std::optional<NodeId> holder =
      directory_.RecordedHolder(now, opening, HasShards(opening.service));
  return holder && CanBeAsked(*holder, {}) ? holder : std::nullopt;
}

bool FlowNodeImpl::HandOverIfUnknown(TimePoint now, FlowOpening& opening,
                                     std::optional<NodeId> forwarder) {
  if (!MayBeCopy(opening) || dispatcher_->IsKnown(now, opening) ||
      (HasShards(opening.service) &&
       directory_.PassedOnTo(now, opening) != nullptr)) {
    return false;
  }
  const NodeId dispatcher =
      DispatcherFor(now, {opening.service, opening.shard});
  Search search;
  search.hint = UsableHolder(now, opening);
  if (forwarder) {
    search.asked.push_back(*forwarder);
  } else if (dispatcher != self()) {
    search.tries_dispatcher = true;
    ContinueSearch(now, std::move(opening), std::move(search));
    return true;
  }
  return AskNext(now, opening, std::move(search));
}

bool FlowNodeImpl::AskNext(TimePoint now, FlowOpening& opening, Search search) {
  if (search.asked.size() >= kMaxAskedVms) {
    return false;
  }
  std::vector<NodeId> candidates;
  if (search.hint) {
    candidates.push_back(*search.hint);
  }
  if (!search.tries_dispatcher) {
    const ShardId shard{opening.service, opening.shard};
    const auto first = ShardDispatcherOf(shard, peers_->members().members(), 0);
    OpeningDirectory::Fleet fleet;
    fleet.self = self();
    fleet.members = peers_->members().members();
    fleet.shard_of = [&](ServiceId it) {
      return ShardId{it, HasShards(it) ? opening.data_center : ""};
    };
    if (HasShards(shard.service) && first &&
        dispatcher_selector_.IsSilent(*first)) {
      fleet.other_shards = ShardsOfService(shard.service);
    }
    for (const NodeId it :
         directory_.MayHold(now, opening, fleet, search.unready)) {
      candidates.push_back(it);
    }
  }
  const auto next =
      std::find_if(candidates.begin(), candidates.end(),
                   [&](NodeId vm) { return CanBeAsked(vm, search); });
  if (next == candidates.end()) {
    return false;
  }
  search.asked.push_back(*next);
  search.hint.reset();
  HandOver(now, std::move(opening), *next, pb::OPENING_IF_KNOWN).search =
      std::move(search);
  return true;
}

void FlowNodeImpl::ContinueSearch(TimePoint now, FlowOpening opening,
                                  Search search) {
  if (AskNext(now, opening, search)) {
    return;
  }
  const NodeId to = DispatcherFor(now, {opening.service, opening.shard});
  if (search.tries_dispatcher && to != self()) {
    HandOver(now, std::move(opening), to, pb::OPENING_FORWARDED);
    return;
  }
  if (std::exchange(search.tries_dispatcher, false) &&
      AskNext(now, opening, std::move(search))) {
    return;
  }
  PassOnOrPlace(now, std::move(opening), pb::OPENING_FORWARDED);
}

bool FlowNodeImpl::ProcessIfKnown(TimePoint now, NodeId from,
                                  FlowOpening opening) {
  const auto pending = pending_handovers_.find(opening.id);
  if (pending != pending_handovers_.end() &&
      pending->second.opening.sequence == opening.sequence) {
    if (pending->second.dispatcher == from) {
      // The handover may be lost; the VM that asks places the flow.
      pending_handovers_.erase(pending);
      return false;
    }
    // If the VM that asks has got this very transmission, by way of others,
    // this VM does not hold another one.
    return pending->second.opening.copy != opening.copy;
  }
  if (parked_.contains(opening.id)) {
    return true;
  }
  if (!dispatcher_->IsKnown(now, opening)) {
    return false;
  }
  if (IsLate()) {
    ++counters_.too_late;
    return true;
  }
  SetShard(opening);
  Place(now, std::move(opening), true);
  return true;
}

}  // namespace vanillalatch::internal
