// What peers tell of leases.
#include <algorithm>
#include <utility>

#include "src/registry/registry_impl.h"

namespace vanillalatch::internal {

void RegistryImpl::MergeLease(TimePoint now, const pb::LeaseUpdate& update,
                              bool spread) {
  std::optional<Lease> incoming = FromUpdate(update, now);
  if (!incoming) {
    return;
  }
  if (!spread) {
    incoming->changed = TimePoint{};  // No recent change.
  }
  if (Lease* lease = store_.Find(incoming->endpoint.id)) {
    MergeKnown(now, *lease, *incoming, spread);
  } else if (incoming->expires() > now) {
    MergeNew(now, *std::move(incoming), spread);
  }
}

void RegistryImpl::MergeKnown(TimePoint now, Lease& lease,
                              const Lease& incoming, bool spread) {
  if (lease.state == LeaseState::kGone) {
    if (incoming.state == LeaseState::kGone) {
      Heard(lease.endpoint.id);
    }
    return;
  }
  if (incoming.state == LeaseState::kGone) {
    Remove(now, lease);
    return;
  }
  bool news = false;
  const bool urgent = RenewalIsUrgent(lease, now);
  lease.claim = std::max(lease.claim, incoming.claim);
  lease.endpoint.registered =
      std::min(lease.endpoint.registered, incoming.endpoint.registered);
  if (incoming.endpoint.version > lease.endpoint.version) {
    lease.endpoint.version = incoming.endpoint.version;
    lease.endpoint.slots = incoming.endpoint.slots;
    lease.lifetime = incoming.lifetime;
    news = true;
  }
  if (TakeRenewal(now, lease, incoming.renewed)) {
    lease.endpoint.load_percent = incoming.endpoint.load_percent;
    lease.endpoint.load_reported = incoming.endpoint.load_reported;
    news |= urgent;
  }
  if (lease.state == LeaseState::kGone) {
    return;
  }
  if (incoming.state == LeaseState::kLeaving &&
      lease.state != LeaseState::kLeaving) {
    if (lease.state == LeaseState::kLapsed) {
      Remove(now, lease);
      return;
    }
    store_.Apply(lease, LeaseEvent::kLeave, now);
    news = true;
  }
  if (news && spread) {
    Spread(lease.endpoint.id);
  } else {
    Heard(lease.endpoint.id);
  }
  Show(now, lease);
}

bool RegistryImpl::TakeRenewal(TimePoint now, Lease& lease, TimePoint renewed) {
  if (!Renew(lease, renewed)) {
    return false;
  }
  if (lease.state == LeaseState::kLapsed && now < lease.expires()) {
    if (TakeAddress(now, lease)) {
      store_.Apply(lease, LeaseEvent::kRenew, now);
    } else {
      Remove(now, lease);
    }
  }
  return true;
}

void RegistryImpl::MergeNew(TimePoint now, Lease incoming, bool spread) {
  const EndpointId id = incoming.endpoint.id;
  Lease* newest =
      store_.FindNewest(incoming.endpoint.service, incoming.endpoint.name);
  if (newest != nullptr && newest->state != LeaseState::kGone) {
    if (newest->endpoint.epoch > incoming.endpoint.epoch) {
      return;
    }
    Remove(now, *newest);
  }
  const bool holds = !incoming.live() || TakeAddress(now, incoming);
  if (!holds) {
    incoming.state = LeaseState::kGone;
  }
  Lease& lease = store_.Insert(std::move(incoming));
  if (!holds) {
    Remove(now, lease);
    return;
  }
  if (spread) {
    Spread(id);
  }
  Show(now, lease);
}

}  // namespace vanillalatch::internal
