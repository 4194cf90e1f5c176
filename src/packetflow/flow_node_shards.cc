// Shards of FlowNodeImpl: which services have one dispatcher per data centre,
// passing openings on from one shard to another, and the reports of load
// between the dispatchers of a service.
#include <algorithm>
#include <utility>

#include "src/packetflow/flow_node_impl.h"
#include "vanillalatch/base/hash.h"

namespace vanillalatch::internal {
namespace {

// How often the loads of this VM's shards are compared with those reported
// last.
constexpr Duration kLoadCheckInterval = std::chrono::milliseconds(20);
// Minimum time between two reports of a shard, unless it became full or free.
constexpr Duration kMinReportInterval = std::chrono::milliseconds(100);
// A report is repeated after this time, also without a change.
constexpr Duration kMaxReportInterval = std::chrono::milliseconds(250);
// The way to another data centre until a handover there was measured.
constexpr Duration kDefaultWay = std::chrono::milliseconds(5);
// Weight of a measured way in the mean is 1 / kWaySmoothing.
constexpr int kWaySmoothing = 8;
// A flow that was passed on occupies a slot for this long if no answer time is
// known; see kRequestsPerSlot.
constexpr Duration kDefaultAnswerTime = std::chrono::milliseconds(50);

bool HasRoom(const ShardLoad& load) {
  return load.free_slots > load.usable_slots / kMinFreeDivisor;
}

bool HasReadyEndpoint(std::span<const Endpoint> endpoints,
                      const std::string& data_center) {
  return std::any_of(endpoints.begin(), endpoints.end(), [&](const auto& it) {
    return it.data_center == data_center && it.state == EndpointState::kReady;
  });
}

}  // namespace

std::vector<ShardId> FlowNodeImpl::ShardsOfService(ServiceId service) const {
  const auto it = shards_.find(service);
  if (it == shards_.end()) {
    return {{service, {}}};
  }
  std::vector<ShardId> shards;
  for (const std::string& name : it->second) {
    shards.push_back({service, name});
  }
  return shards;
}

ShardId FlowNodeImpl::ShardOfEndpoint(const FlowTarget& target) const {
  if (!HasShards(target.service)) {
    return {target.service, {}};
  }
  const Endpoint* it = peers_->registry().Find(target.endpoint);
  return {target.service, it == nullptr ? data_center_ : it->data_center};
}

void FlowNodeImpl::SetShard(FlowOpening& opening) const {
  if (!HasShards(opening.service)) {
    opening.shard.clear();
  } else if (opening.hops == 0 || opening.shard.empty()) {
    opening.shard = opening.data_center;
  }
}

bool FlowNodeImpl::IsDispatcherOf(const ShardId& shard) const {
  return ShardDispatcherOf(shard, peers_->members().members(), 0) == self();
}

std::vector<NodeId> FlowNodeImpl::ReportingVms(const ShardId& shard) const {
  std::vector<NodeId> vms;
  for (std::size_t rank = 0; rank < kReportingRanks; ++rank) {
    const std::optional<NodeId> it =
        ShardDispatcherOf(shard, peers_->members().members(), rank);
    if (it) {
      vms.push_back(*it);
    }
  }
  return vms;
}

bool FlowNodeImpl::ReportsLoadOf(TimePoint now, const ShardId& shard) const {
  // If a data centre has entry VMs but this VM sees none of them, the data
  // centre may be cut off. Its free slots are then out of reach.
  const bool may_be_cut_off =
      shard.data_center != data_center_ &&
      HasEntryVms(shard.data_center, peers_->members().members());
  if (!settled_ || may_be_cut_off) {
    return false;
  }
  const std::vector<NodeId> vms = ReportingVms(shard);
  const auto rank = std::find(vms.begin(), vms.end(), self());
  if (rank == vms.begin() || rank == vms.end()) {
    return rank != vms.end();
  }
  const auto placed = placed_for_others_at_.find(shard);
  return placed != placed_for_others_at_.end() &&
         now - placed->second <= kMaxReportInterval;
}

std::optional<std::string> FlowNodeImpl::PassOn(TimePoint now,
                                                const FlowOpening& opening) {
  if (!HasShards(opening.service) || dispatcher_->IsKnown(now, opening)) {
    return std::nullopt;
  }
  if (opening.hops > 0) {
    // Its endpoints may have left since this shard reported free slots.
    const bool goes_home =
        IsPassedOn(opening) &&
        !dispatcher_
             ->LoadOf(now, {opening.service, opening.shard}, opening.work_class)
             .in_service;
    return goes_home ? std::optional(opening.data_center) : std::nullopt;
  }
  if (const std::string* it = directory_.PassedOnTo(now, opening)) {
    return *it;
  }
  const ShardId home{opening.service, opening.shard};
  const ShardLoad load = dispatcher_->LoadOf(now, home, opening.work_class);
  // All endpoints are silent: some flows have to find out whether they answer.
  if (load.in_service && load.usable_slots == 0 &&
      now >= silent_shard_probe_due_[home]) {
    silent_shard_probe_due_[home] = now + FlowDispatcher::kSilentProbeInterval;
    return std::nullopt;
  }
  const Duration answer_time = load.answer_time == Duration::zero()
                                   ? kDefaultAnswerTime
                                   : load.answer_time;
  std::vector<OtherShard> others;
  for (const std::string& it : shards_.at(opening.service)) {
    if (it == opening.shard) {
      continue;
    }
    ShardReport& report = shard_reports_[{opening.service, it}];
    report.answer_time = answer_time;
    const auto way = ways_.find(it);
    others.push_back({it, report.load, report.received,
                      way == ways_.end() ? kDefaultWay : way->second,
                      report.FlowsAt(now) - report.reported_flows});
  }
  std::optional<std::string> selected;
  if (const auto it = SelectOtherShard(now, load, others, overlap_percent_)) {
    selected = others[*it].data_center;
  } else if (!load.in_service) {
    selected = AnyOtherShard(now, opening);
  }
  if (!selected) {
    return std::nullopt;
  }
  ++(load.usable_slots > 0 ? counters_.passed_on_full
                           : counters_.passed_on_no_endpoint);
  shard_reports_[{opening.service, *selected}].passed_on.push_back(now);
  directory_.OnPassedOn(now, opening, *selected);
  return selected;
}

std::optional<std::string> FlowNodeImpl::AnyOtherShard(
    TimePoint now, const FlowOpening& opening) const {
  const std::span<const Endpoint> endpoints =
      peers_->registry().EndpointsOf(opening.service);
  std::vector<std::string> usable;
  std::optional<std::string> shortest;
  double least = 0;
  for (const std::string& it : shards_.at(opening.service)) {
    const ShardId shard{opening.service, it};
    const auto report = shard_reports_.find(shard);
    const bool has_reported = report != shard_reports_.end() &&
                              report->second.received != TimePoint::min();
    const ShardLoad load = has_reported ? report->second.load : ShardLoad{};
    if (it != opening.shard && load.usable_slots > 0 &&
        now - report->second.received <= kMaxShardReportAge) {
      const double queue_per_slot =
          static_cast<double>(load.queued) / load.usable_slots;
      if (!shortest || queue_per_slot < least) {
        shortest = it;
        least = queue_per_slot;
      }
    }
    if (it != opening.shard && !has_reported &&
        HasReadyEndpoint(endpoints, it) && !IsDispatcherOf(shard)) {
      usable.push_back(it);
    }
  }
  if (shortest || usable.empty()) {
    return shortest;
  }
  return usable[StableHash(opening.id.value(), 0) % usable.size()];
}

void FlowNodeImpl::DispatchTo(TimePoint now, FlowOpening opening,
                              const std::string& data_center,
                              pb::OpeningPurpose purpose) {
  opening.hops = 1;
  opening.shard = data_center;
  const ShardId shard{opening.service, data_center};
  const NodeId to = DispatcherFor(now, shard);
  if (to != self()) {
    HandOver(now, std::move(opening), to, purpose);
  } else if (IsDispatcherOf(shard)) {
    flow_tracker_.OnPlaced(opening.id, to);
    Place(now, std::move(opening));
  } else {
    ReturnHome(now, std::move(opening));
  }
}

void FlowNodeImpl::ReturnHome(TimePoint now, FlowOpening opening) {
  ++counters_.returned;
  directory_.OnReturned(opening.id);
  opening.shard = opening.data_center;
  Dispatch(now, std::move(opening));
}

std::string FlowNodeImpl::LocalShardFor(TimePoint now,
                                        const FlowOpening& opening) {
  const ShardId home{opening.service, opening.shard};
  if (!HasShards(opening.service) || dispatcher_->IsKnown(now, opening)) {
    return opening.shard;
  }
  const ShardLoad load = dispatcher_->LoadOf(now, home, opening.work_class);
  if (load.in_service && (load.free_slots > 0 || IsDispatcherOf(home))) {
    return opening.shard;
  }
  std::string best = opening.shard;
  // Without an endpoint in its own shard the flow may wait in another one.
  std::pair<std::uint32_t, std::uint32_t> most{
      0, load.in_service ? load.usable_slots : 0};
  for (const ShardId& it : ShardsOfService(opening.service)) {
    const ShardLoad other = dispatcher_->LoadOf(now, it, opening.work_class);
    const std::pair room{other.free_slots, other.usable_slots};
    if (room > most && (other.free_slots > 0 || !load.in_service)) {
      best = it.data_center;
      most = room;
    }
  }
  return best;
}

void FlowNodeImpl::OnHandoverAnswered(TimePoint now,
                                      const PendingHandover& handover) {
  if (shards_.empty()) {
    return;
  }
  const std::span<const Member> members = peers_->members().members();
  const auto member = std::find_if(
      members.begin(), members.end(),
      [&](const Member& it) { return it.id == handover.dispatcher; });
  if (member == members.end() || member->data_center == data_center_) {
    return;
  }
  const Duration way = (now - handover.sent_at) / 2;
  const auto [it, added] = ways_.try_emplace(member->data_center, way);
  if (!added) {
    it->second += (way - it->second) / kWaySmoothing;
  }
}

void FlowNodeImpl::OnShardLoad(TimePoint now, NodeId from,
                               const pb::ShardLoad& message) {
  const ShardId shard{ServiceId(message.service()), message.data_center()};
  // After a change of dispatcher the report of the earlier one may arrive late.
  const std::vector<NodeId> vms = ReportingVms(shard);
  const auto rank = std::find(vms.begin(), vms.end(), from);
  if (!HasShards(shard.service) || rank == vms.end()) {
    return;
  }
  ShardReport& report = shard_reports_[shard];
  const bool is_recent = report.received != TimePoint::min() &&
                         now - report.received <= kMaxShardReportAge;
  if (rank != vms.begin() && report.from != from && is_recent) {
    return;
  }
  report.from = from;
  report.load = {};
  report.load.usable_slots = message.usable_slots();
  report.load.free_slots =
      std::min(message.free_slots(), message.usable_slots());
  report.load.queued = message.queued();
  report.received = now;
  // The report includes what had arrived there when it was sent.
  const auto way = ways_.find(shard.data_center);
  const Duration round_trip =
      2 * (way == ways_.end() ? kDefaultWay : way->second);
  report.reported_flows = report.FlowsAt(now - round_trip);
  const TimePoint oldest = now - round_trip - report.answer_time;
  while (!report.passed_on.empty() && report.passed_on.front() < oldest) {
    report.passed_on.pop_front();
  }
}

std::int32_t FlowNodeImpl::ShardReport::FlowsAt(TimePoint at) const {
  const auto first =
      std::upper_bound(passed_on.begin(), passed_on.end(), at - answer_time);
  const auto last = std::upper_bound(passed_on.begin(), passed_on.end(), at);
  return static_cast<std::int32_t>(last - first);
}

void FlowNodeImpl::SendShardLoads(TimePoint now) {
  if (shards_.empty() || routes_.classes().empty() || now < loads_due_) {
    return;
  }
  loads_due_ = now + kLoadCheckInterval;
  for (const auto& [service, data_centers] : shards_) {
    for (const std::string& name : data_centers) {
      const ShardId shard{service, name};
      if (!ReportsLoadOf(now, shard)) {
        continue;
      }
      const ShardLoad load =
          dispatcher_->LoadOf(now, shard, routes_.classes().front().id);
      const auto [sent, added] = sent_loads_.try_emplace(shard);
      const Duration age = now - sent->second.sent_at;
      const ShardLoad& last = sent->second.load;
      const bool changed = load.free_slots != last.free_slots ||
                           load.usable_slots != last.usable_slots ||
                           load.queued != last.queued;
      if (!added && age < kMaxReportInterval &&
          !(changed && age >= kMinReportInterval) &&
          HasRoom(load) == HasRoom(last)) {
        continue;
      }
      sent->second = {load, now};
      pb::ShardLoad message;
      message.set_service(service.value());
      message.set_data_center(name);
      message.set_usable_slots(load.usable_slots);
      message.set_free_slots(load.free_slots);
      message.set_queued(load.queued);
      std::set<NodeId> receivers;
      for (const std::string& other : data_centers) {
        const std::vector<NodeId> vms = ReportingVms({service, other});
        if (other != name) {
          receivers.insert(vms.begin(), vms.end());
        }
      }
      for (const NodeId to : receivers) {
        if (to == self()) {
          OnShardLoad(now, to, message);
        } else {
          PendingMessageTo(to).AddLoad() = message;
        }
      }
    }
  }
}

std::vector<FlowOpening> FlowNodeImpl::UpdateShards(TimePoint now,
                                                    ServiceId service) {
  const std::span<const Endpoint> endpoints =
      peers_->registry().EndpointsOf(service);
  const std::vector<ShardId> before = ShardsOfService(service);
  const bool was_sharded = HasShards(service);
  const bool is_sharded = IsSharded(link_mbit_per_s_, endpoints);
  if (!was_sharded && !is_sharded) {
    return {};
  }
  std::vector<FlowOpening> waiting;
  for (const ShardId& it : before) {
    if (was_sharded == is_sharded &&
        HasReadyEndpoint(endpoints, it.data_center)) {
      continue;
    }
    for (FlowOpening& opening : dispatcher_->TakeWaiting(now, it)) {
      // One that was passed on to this shard returns to its own.
      opening.hops = was_sharded && IsPassedOn(opening) ? 1 : 0;
      opening.shard = opening.data_center;
      waiting.push_back(std::move(opening));
    }
  }
  if (is_sharded) {
    shards_[service] = ShardsOf(endpoints, peers_->members().members());
  } else {
    shards_.erase(service);
  }
  if (was_sharded != is_sharded) {
    dispatcher_->SetSharded(now, service, is_sharded);
    sharding_changes_.push_back(
        {routes_.NameOf(service),
         is_sharded ? shards_[service] : std::vector<std::string>()});
    UpdateFirstDispatchers(now);
  }
  return waiting;
}

}  // namespace vanillalatch::internal
