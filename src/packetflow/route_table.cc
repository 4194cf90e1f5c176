#include "vanillalatch/packetflow/route_table.h"

#include <algorithm>
#include <set>

namespace vanillalatch {
namespace {

ClassTarget TargetOf(const pb::FlowRoute& route) {
  ClassTarget target;
  const std::uint64_t key =
      (std::uint64_t{route.urgency()} << 32) | route.latency_ms();
  target.id = ClassId(static_cast<std::uint32_t>(StableHash(key, 0)));
  target.latency = std::chrono::milliseconds(route.latency_ms());
  target.urgency = route.urgency();
  return target;
}

}  // namespace

ServiceId FlowServiceId(std::string_view name) {
  return ServiceId(static_cast<std::uint32_t>(StableHash(name)));
}

EvacuationState EvacuationsOf(const pb::Catalog& catalog) {
  EvacuationState state;
  state.revision = catalog.revision();
  for (const pb::Evacuation& it : catalog.evacuations()) {
    state.data_centers.push_back(it.data_center());
  }
  return state;
}

ServiceId FlowRoute::ServiceFor(FlowId id) const {
  const std::uint64_t total = shares.back().second;
  // Other code selects entry VMs by the bits of the id. Hashing the id again
  // makes the selection of the service independent of that.
  const std::uint64_t point = StableHash(id.value(), total) % total;
  return std::find_if(shares.begin(), shares.end(),
                      [&](const auto& it) { return point < it.second; })
      ->first;
}

std::string_view DataCenterRegions::RegionOf(
    std::string_view data_center) const {
  const auto it = regions_.find(data_center);
  return it == regions_.end() ? std::string_view() : it->second;
}

bool FlowRoute::MayReach(std::string_view region) const {
  return regions.empty() ||
         (!region.empty() &&
          std::find(regions.begin(), regions.end(), region) != regions.end());
}

bool FlowRoute::MayCarry(std::string_view region,
                         std::string_view caller_region) const {
  return MayReach(region) || (!region.empty() && region == caller_region);
}

RouteTable RouteTable::From(const pb::FlowTable& table) {
  RouteTable result;
  std::set<ServiceId> services;
  std::set<ClassId> classes;
  for (const pb::FlowRoute& it : table.routes()) {
    FlowRoute route;
    std::uint64_t sum = 0;
    for (const pb::FlowShare& share : it.shares()) {
      if (share.weight() == 0) {
        continue;
      }
      sum += share.weight();
      route.shares.emplace_back(FlowServiceId(share.service()), sum);
      services.insert(route.shares.back().first);
      result.names_[route.shares.back().first] = share.service();
    }
    if (route.shares.empty()) {
      continue;
    }
    ClassTarget target = TargetOf(it);
    route.work_class = target.id;
    route.timeout = std::chrono::milliseconds(it.timeout_ms());
    route.regions.assign(it.regions().begin(), it.regions().end());
    if (classes.insert(target.id).second) {
      result.classes_.push_back(std::move(target));
    }
    result.routes_.emplace(
        SocketAddress{it.ip(), static_cast<std::uint16_t>(it.port())},
        std::move(route));
  }
  result.services_.assign(services.begin(), services.end());
  return result;
}

std::string RouteTable::NameOf(ServiceId service) const {
  const auto it = names_.find(service);
  return it == names_.end() ? std::string() : it->second;
}

const FlowRoute* RouteTable::Find(SocketAddress address) const {
  const auto it = routes_.find(address);
  return it == routes_.end() ? nullptr : &it->second;
}

}  // namespace vanillalatch
