#include "src/registry/lease_store.h"

#include <algorithm>

namespace vanillalatch::internal {
namespace {

// True if `a` and `b` differ in more than a renewal.
bool Differs(const Endpoint& a, const Endpoint& b) {
  return a.state != b.state || a.version != b.version || a.slots != b.slots;
}

bool HasIdBelow(const Lease* lease, EndpointId id) {
  return lease->endpoint.id < id;
}

}  // namespace

Lease* LeaseStore::Find(EndpointId id) {
  const auto it = leases_.find(id);
  return it == leases_.end() ? nullptr : &it->second;
}

Lease* LeaseStore::FindByAddress(SocketAddress address) {
  const auto it = by_address_.find(address);
  return it == by_address_.end() ? nullptr : Find(it->second);
}

Lease* LeaseStore::FindNewest(ServiceId service, const std::string& name) {
  const auto it = by_name_.find(std::pair(service, name));
  return it == by_name_.end() ? nullptr : Find(it->second);
}

Lease& LeaseStore::Insert(Lease incoming) {
  const EndpointId id = incoming.endpoint.id;
  Lease& lease = leases_[id] = std::move(incoming);
  const Endpoint& endpoint = lease.endpoint;
  const std::size_t bucket = BucketOf(id);
  std::vector<Lease*>& all = buckets_[bucket];
  all.insert(std::lower_bound(all.begin(), all.end(), id, HasIdBelow), &lease);
  changed_[bucket] = std::max(changed_[bucket], lease.changed_at);
  HoldAddress(lease);
  const Lease* newest = FindNewest(endpoint.service, endpoint.name);
  if (newest == nullptr || newest->endpoint.epoch < endpoint.epoch) {
    by_name_[std::pair(endpoint.service, endpoint.name)] = id;
  }
  return lease;
}

void LeaseStore::Erase(EndpointId id) {
  const auto it = leases_.find(id);
  const Endpoint& endpoint = it->second.endpoint;
  const auto name = by_name_.find(std::pair(endpoint.service, endpoint.name));
  if (name != by_name_.end() && name->second == id) {
    by_name_.erase(name);
  }
  std::vector<Lease*>& all = buckets_[BucketOf(id)];
  all.erase(std::lower_bound(all.begin(), all.end(), id, HasIdBelow));
  leases_.erase(it);
}

bool LeaseStore::Apply(Lease& lease, LeaseEvent event, TimePoint now) {
  const std::optional<LeaseState> next = NextLeaseState(lease.state, event);
  if (!next) {
    return false;
  }
  if (*next == lease.state) {
    return true;
  }
  const bool local =
      *next == LeaseState::kLapsed || lease.state == LeaseState::kLapsed;
  lease.state = *next;
  if (!local || *next == LeaseState::kGone) {
    lease.changed_at = now;
    changed_[BucketOf(lease.endpoint.id)] = now;
  }
  HoldAddress(lease);
  const auto holder = by_address_.find(lease.endpoint.address);
  if (!lease.is_live() && holder != by_address_.end() &&
      holder->second == lease.endpoint.id) {
    by_address_.erase(holder);
  }
  return true;
}

void LeaseStore::HoldAddress(const Lease& lease) {
  if (lease.is_live() && lease.claims_address()) {
    by_address_[lease.endpoint.address] = lease.endpoint.id;
  }
}

std::span<const Endpoint> LeaseStore::ViewOf(ServiceId service) const {
  const auto it = views_.find(service);
  return it == views_.end() ? std::span<const Endpoint>()
                            : std::span<const Endpoint>(it->second.endpoints);
}

std::uint64_t LeaseStore::VersionOf(ServiceId service) const {
  const auto it = views_.find(service);
  return it == views_.end() ? 0 : it->second.version;
}

const Endpoint* LeaseStore::FindInView(EndpointId id) const {
  const auto lease = leases_.find(id);
  if (lease == leases_.end()) {
    return nullptr;
  }
  const std::span<const Endpoint> view = ViewOf(lease->second.endpoint.service);
  const auto it = std::lower_bound(
      view.begin(), view.end(), id,
      [](const Endpoint& a, EndpointId b) { return a.id < b; });
  return it != view.end() && it->id == id ? &*it : nullptr;
}

EndpointId LeaseStore::AddressHolder(SocketAddress address) const {
  const auto it = by_address_.find(address);
  return it == by_address_.end() ? EndpointId{} : it->second;
}

void LeaseStore::UpdateView(const Lease& lease, bool unverified) {
  View& view = views_[lease.endpoint.service];
  std::vector<Endpoint>& all = view.endpoints;
  const auto it = std::lower_bound(
      all.begin(), all.end(), lease.endpoint.id,
      [](const Endpoint& a, EndpointId b) { return a.id < b; });
  const bool shown = it != all.end() && it->id == lease.endpoint.id;
  if (!lease.is_live()) {
    if (shown) {
      all.erase(it);
      ++view.version;
    }
    return;
  }
  Endpoint endpoint = lease.endpoint;
  endpoint.expires = lease.expires();
  endpoint.renewed = lease.renewed_at;
  endpoint.state = unverified || lease.state == LeaseState::kLeaving
                       ? EndpointState::kLeaving
                       : EndpointState::kReady;
  if (!shown) {
    all.insert(it, std::move(endpoint));
    ++view.version;
    return;
  }
  view.version += Differs(*it, endpoint) ? 1 : 0;
  *it = std::move(endpoint);
}

}  // namespace vanillalatch::internal
