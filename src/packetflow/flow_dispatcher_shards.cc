// Endpoints and shards of FlowDispatcherImpl.
#include <algorithm>
#include <utility>

#include "src/packetflow/flow_dispatcher_impl.h"

namespace vanillalatch::internal {

SlotScheduler& FlowDispatcherImpl::SchedulerOf(const ShardId& shard) {
  std::unique_ptr<SlotScheduler>& scheduler = schedulers_[shard];
  if (scheduler == nullptr) {
    SlotSchedulerOptions options;
    options.overlap_percent = options_.overlap_percent;
    options.endpoints_report_warm_up = true;
    // A reset can't tell the caller when to come back.
    options.queue_late_requests = true;
    scheduler =
        SlotScheduler::Create(options, StableHash(seed_, shard.service.value()))
            .value();
    scheduler->SetClasses(classes_);
    scheduler->SetEvacuated(TimePoint{}, evacuated_);
    if (const auto it = warm_ups_.find(shard.service); it != warm_ups_.end()) {
      scheduler->SetWarmUp(TimePoint{}, it->second);
    }
  }
  return *scheduler;
}

void FlowDispatcherImpl::SetWarmUp(TimePoint now, ServiceId service,
                                   const WarmUp& warm_up) {
  warm_ups_[service] = warm_up;
  for (auto it = schedulers_.lower_bound({service, {}});
       it != schedulers_.end() && it->first.service == service; ++it) {
    it->second->SetWarmUp(now, warm_up);
  }
}

ShardId FlowDispatcherImpl::ShardOf(ServiceId service,
                                    EndpointId endpoint) const {
  const auto endpoints = data_centers_.find(service);
  if (!sharded_.contains(service) || endpoints == data_centers_.end()) {
    return {service, {}};
  }
  const auto it = endpoints->second.find(endpoint);
  return {service, it == endpoints->second.end() ? std::string() : it->second};
}

void FlowDispatcherImpl::SetEndpoints(TimePoint now, ServiceId service,
                                      std::span<const Endpoint> endpoints,
                                      FlowActions& actions) {
  std::map<EndpointId, std::string>& data_centers = data_centers_[service];
  data_centers.clear();
  std::map<ShardId, std::vector<Endpoint>> shards;
  for (const Endpoint& it : endpoints) {
    data_centers[it.id] = it.data_center;
    shards[ShardOf(service, it.id)].push_back(it);
  }
  if (!sharded_.contains(service)) {
    SchedulerOf({service, {}});
  }
  for (const auto& [shard, it] : shards) {
    SchedulerOf(shard);
  }
  for (auto it = schedulers_.lower_bound({service, {}});
       it != schedulers_.end() && it->first.service == service; ++it) {
    it->second->SetEndpoints(now, shards[it->first]);
    it->second->OnTick(now, verdicts_);
  }
  silence_detector_.RetainOnly(service, endpoints);
  ApplyVerdicts(now, actions);
}

void FlowDispatcherImpl::SetSharded(TimePoint now, ServiceId service,
                                    bool sharded) {
  if (sharded == sharded_.contains(service)) {
    return;
  }
  if (sharded) {
    sharded_.insert(service);
  } else {
    sharded_.erase(service);
  }
  std::vector<Flow*> flows;
  for (auto& [id, it] : flows_) {
    if (it.placed && it.opening.service == service) {
      flows.push_back(&it);
    }
  }
  // Sorted, as the iteration order of a hash map differs from run to run.
  std::sort(flows.begin(), flows.end(), [](const Flow* a, const Flow* b) {
    return a->opening.id < b->opening.id;
  });
  for (Flow* it : flows) {
    const ShardId from = it->shard();
    it->opening.shard = ShardOf(service, it->endpoint).data_center;
    if (it->idle) {
      continue;
    }
    SchedulerOf(from).Finish(now, it->work, WorkOutcome::kCancelled, verdicts_);
    Work work;
    work.request = it->work;
    work.work_class = it->opening.work_class;
    SchedulerOf(it->shard()).AddRunning(now, work, it->endpoint);
  }
}

void FlowDispatcherImpl::StopSilenceDetection(const ShardId& shard) {
  for (auto& [id, it] : flows_) {
    if (it.shard() == shard) {
      it.opening.progress_reported = false;
    }
  }
}

std::vector<FlowOpening> FlowDispatcherImpl::TakeWaiting(TimePoint now,
                                                         const ShardId& shard) {
  return TakeWaiting(now, [&](const FlowOpening& it) {
    return it.service == shard.service && it.shard == shard.data_center;
  });
}

std::vector<FlowOpening> FlowDispatcherImpl::TakeWaiting(
    TimePoint now, const std::function<bool(const FlowOpening&)>& takes) {
  std::vector<FlowOpening> waiting;
  for (auto it = flows_.begin(); it != flows_.end();) {
    const auto next = std::next(it);
    if (!it->second.placed && takes(it->second.opening)) {
      Release(now, it->second, WorkOutcome::kCancelled);
      it->second.opening.age = now - it->second.opened_at;
      waiting.push_back(std::move(it->second.opening));
      flows_.erase(it);
    }
    it = next;
  }
  std::sort(waiting.begin(), waiting.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  return waiting;
}

std::size_t FlowDispatcherImpl::DropWaiting(
    TimePoint now, const std::function<bool(const FlowOpening&)>& drops) {
  const std::size_t before = flows_.size();
  absl::erase_if(flows_, [&](auto& it) {
    Flow& flow = it.second;
    if (flow.placed) {
      return false;
    }
    flow.opening.age = now - flow.opened_at;
    if (!drops(flow.opening)) {
      return false;
    }
    Release(now, flow, WorkOutcome::kCancelled);
    return true;
  });
  return before - flows_.size();
}

}  // namespace vanillalatch::internal
