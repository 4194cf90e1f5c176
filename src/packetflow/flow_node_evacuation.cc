// Evacuated data centres and cold endpoints in FlowNodeImpl.
#include <algorithm>

#include "src/packetflow/flow_node_impl.h"

namespace vanillalatch::internal {
namespace {

// How often endpoints are read again after the end of an evacuation, and always
// if a service states a rate for cold endpoints.
constexpr Duration kRefreshInterval = std::chrono::milliseconds(100);
// For how long: at least the time for which an endpoint counts as cold then if
// its service states none.
constexpr Duration kMinRefreshTime = std::chrono::seconds(6);
// A new dispatcher gives cold endpoints nothing for this long: the earlier one
// may have used up what they bear in a second.
constexpr Duration kNewDispatcherHold = std::chrono::seconds(1);
// A VM that places alone uses the stated rate divided by this, times the number
// of entry VMs: all of them may place alone, beside a dispatcher.
constexpr double kAloneDivisor = 2;

bool Lists(const EvacuationState& state, const std::string& data_center) {
  return std::find(state.data_centers.begin(), state.data_centers.end(),
                   data_center) != state.data_centers.end();
}

}  // namespace

void FlowNodeImpl::UpdateEvacuations(TimePoint now) {
  const EvacuationState& known = peers_->members().evacuations();
  if (known.revision == evacuations_.revision &&
      known.data_centers == evacuations_.data_centers) {
    return;
  }
  const EvacuationState before = std::exchange(evacuations_, known);
  if (before.data_centers == evacuations_.data_centers) {
    return;
  }
  const bool from_peer = evacuations_.revision > revision_;
  for (const std::string& it : evacuations_.data_centers) {
    if (!Lists(before, it)) {
      evacuation_events_.push_back(
          {it, true, evacuations_.revision, from_peer});
    }
  }
  for (const std::string& it : before.data_centers) {
    if (Lists(evacuations_, it)) {
      continue;
    }
    evacuation_events_.push_back({it, false, evacuations_.revision, from_peer});
    Duration longest = kMinRefreshTime;
    for (const auto& [service, warm_up] : warm_ups_) {
      longest = std::max(longest, warm_up.duration);
    }
    refresh_until_ = now + longest;
  }
  dispatcher_->SetEvacuated(now, evacuations_.data_centers, actions_);
}

bool FlowNodeImpl::TakeEndpointRefresh(TimePoint now) {
  if ((now >= refresh_until_ && warm_ups_.empty()) || now < refresh_due_) {
    return false;
  }
  refresh_due_ = now + kRefreshInterval;
  return true;
}

void FlowNodeImpl::ApplyWarmUps(TimePoint now, const pb::Catalog& catalog) {
  std::map<ServiceId, WarmUp> warm_ups;
  for (const pb::FlowServiceWarmUp& it : catalog.flows().warm_ups()) {
    if (it.duration_ms() > 0 && it.flows_per_second() > 0) {
      warm_ups[FlowServiceId(it.service())] = {
          std::chrono::milliseconds(it.duration_ms()), it.flows_per_second()};
    }
  }
  for (const auto& entry : warm_ups_) {
    const ServiceId service = entry.first;
    if (!warm_ups.contains(service)) {
      dispatcher_->SetWarmUp(now, service, {});
      std::erase_if(roles_, [service](const auto& it) {
        return it.first.service == service;
      });
    }
  }
  for (const auto& [service, warm_up] : warm_ups) {
    dispatcher_->SetWarmUp(now, service, warm_up);
  }
  warm_ups_ = std::move(warm_ups);
  UpdateColdUse(now);
}

// The share of a dispatcher is the part of the known entry VMs that it sees:
// in a partition, both sides have a dispatcher that reaches the endpoints.
void FlowNodeImpl::UpdateColdUse(TimePoint now) {
  if (warm_ups_.empty()) {
    return;
  }
  double known = 0;
  double seen = 0;
  for (const Member& it : peers_->members().members()) {
    known += it.dispatches ? 1 : 0;
    seen += it.dispatches && it.state != MemberState::kDead ? 1 : 0;
  }
  for (const auto& [service, warm_up] : warm_ups_) {
    for (const ShardId& it : ShardsOfService(service)) {
      UpdateColdUse(now, it, seen / known, 1 / (kAloneDivisor * known));
    }
  }
}

void FlowNodeImpl::UpdateColdUse(TimePoint now, const ShardId& shard,
                                 double dispatcher_share, double alone_share) {
  // A VM that is not settled may not know of the other VMs yet.
  const bool is_dispatcher =
      settled_ &&
      ShardDispatcherOf(shard, peers_->members().members(), 0) == self();
  const auto [entry, added] = roles_.try_emplace(shard);
  DispatcherRole& role = entry->second;
  if (added || role.is_dispatcher != is_dispatcher) {
    role = {is_dispatcher, now, std::nullopt};
  }
  ColdUse use;
  use.share = is_dispatcher ? dispatcher_share : alone_share;
  use.only_without_warm = !is_dispatcher;
  use.from = role.since + kNewDispatcherHold;
  if (role.use != use) {
    role.use = use;
    dispatcher_->SetColdUse(now, shard, use);
  }
}

}  // namespace vanillalatch::internal
