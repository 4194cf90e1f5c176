#include "vanillalatch/packetflow/endpoint_table.h"

#include <array>
#include <charconv>

#include "absl/container/flat_hash_set.h"

namespace vanillalatch {
namespace {

constexpr int kHexadecimal = 16;

}  // namespace

std::optional<InstanceId> ParseInstanceName(std::string_view name) {
  std::uint64_t value = 0;
  const char* end = name.data() + name.size();
  const auto [stop, ec] =
      std::from_chars(name.data(), end, value, kHexadecimal);
  if (ec != std::errc() || stop != end) {
    return std::nullopt;
  }
  return InstanceId(value);
}

std::string FormatInstanceName(InstanceId instance) {
  std::array<char, 16> buf{};
  const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(),
                                       instance.value(), kHexadecimal);
  return {buf.data(), end};
}

void EndpointTable::SetEndpoints(TimePoint now, ServiceId service,
                                 std::span<const Endpoint> endpoints) {
  absl::flat_hash_set<EndpointId> registered;
  registered.reserve(endpoints.size());
  for (const Endpoint& it : endpoints) {
    registered.insert(it.id);
  }
  for (auto& [cookie, entry] : by_cookie_) {
    if (entry.target.service == service && !entry.lost_at &&
        !registered.contains(entry.target.endpoint)) {
      entry.lost_at = now;
    }
  }
  for (const Endpoint& it : endpoints) {
    const std::optional<InstanceId> instance = ParseInstanceName(it.name);
    if (!instance) {
      continue;
    }
    const FlowTarget target{it.address, *instance, CookieOf(*instance),
                            service,    it.id,     it.epoch};
    const auto [entry, added] =
        by_cookie_.try_emplace(target.cookie, Entry{target, std::nullopt});
    const FlowTarget& holder = entry->second.target;
    // Of two endpoints with the same cookie, the older one holds it. The rule
    // does not depend on the order of arrival, so that all VMs agree.
    const bool replaces = added || holder.instance == *instance ||
                          entry->second.lost_at ||
                          std::pair(target.epoch, target.endpoint) <
                              std::pair(holder.epoch, holder.endpoint);
    if (replaces) {
      if (holder.endpoint != target.endpoint) {
        by_endpoint_.erase(holder.endpoint);
      }
      entry->second = {target, std::nullopt};
      by_endpoint_[target.endpoint] = target.cookie;
    }
  }
}

void EndpointTable::DropLost(TimePoint now) {
  absl::erase_if(by_cookie_, [&](const auto& it) {
    if (!it.second.lost_at ||
        now < *it.second.lost_at + kLostEndpointRetention) {
      return false;
    }
    by_endpoint_.erase(it.second.target.endpoint);
    return true;
  });
}

const FlowTarget* EndpointTable::Find(FlowCookie cookie) const {
  const auto it = by_cookie_.find(cookie);
  return it == by_cookie_.end() ? nullptr : &it->second.target;
}

const FlowTarget* EndpointTable::Find(EndpointId endpoint) const {
  const auto it = by_endpoint_.find(endpoint);
  return it == by_endpoint_.end() ? nullptr : Find(it->second);
}

}  // namespace vanillalatch
