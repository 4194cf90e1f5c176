// Merges leases received from peers.
#include <algorithm>
#include <utility>

#include "src/registry/registry_impl.h"

namespace vanillalatch::internal {

void RegistryImpl::MergeLease(TimePoint now, const pb::LeaseUpdate& update,
                              bool gossip) {
  std::optional<Lease> incoming = FromUpdate(update, now);
  if (!incoming) {
    return;
  }
  if (!gossip) {
    incoming->changed_at = TimePoint{};  // Not a recent change.
  }
  if (Lease* lease = store_.Find(incoming->endpoint.id)) {
    MergeExisting(now, *lease, *incoming, gossip);
  } else if (incoming->expires() > now) {
    MergeNew(now, *std::move(incoming), gossip);
  }
}

void RegistryImpl::MergeExisting(TimePoint now, Lease& lease,
                                 const Lease& incoming, bool gossip) {
  if (lease.state == LeaseState::kGone) {
    if (incoming.state == LeaseState::kGone) {
      CountPeerSend(lease.endpoint.id);
    }
    return;
  }
  if (incoming.state == LeaseState::kGone) {
    Remove(now, lease);
    return;
  }
  bool is_new = false;
  const bool urgent = IsRenewalUrgent(lease, now);
  const bool begins_claim =
      !lease.claims_address() && incoming.claims_address();
  lease.claim = std::max(lease.claim, incoming.claim);
  lease.endpoint.registered =
      std::min(lease.endpoint.registered, incoming.endpoint.registered);
  if (incoming.endpoint.version > lease.endpoint.version) {
    lease.endpoint.version = incoming.endpoint.version;
    lease.endpoint.slots = incoming.endpoint.slots;
    lease.endpoint.warm_at = incoming.endpoint.warm_at;
    lease.lifetime = incoming.lifetime;
    is_new = true;
  }
  if (MergeRenewal(now, lease, incoming.renewed_at)) {
    lease.endpoint.load_percent = incoming.endpoint.load_percent;
    lease.endpoint.load_reported = incoming.endpoint.load_reported;
    is_new |= urgent;
  }
  if (lease.state == LeaseState::kGone) {
    return;
  }
  if (begins_claim && lease.is_live()) {
    if (!ClaimAddress(now, lease)) {
      Remove(now, lease);
      return;
    }
    store_.HoldAddress(lease);
  }
  if (incoming.state == LeaseState::kLeaving &&
      lease.state != LeaseState::kLeaving) {
    if (lease.state == LeaseState::kLapsed) {
      Remove(now, lease);
      return;
    }
    store_.Apply(lease, LeaseEvent::kLeave, now);
    is_new = true;
  }
  if (is_new && gossip) {
    QueueUpdate(lease.endpoint.id);
  } else {
    CountPeerSend(lease.endpoint.id);
  }
  UpdateView(now, lease);
}

bool RegistryImpl::MergeRenewal(TimePoint now, Lease& lease,
                                TimePoint renewed_at) {
  if (!AdvanceRenewalTime(lease, renewed_at)) {
    return false;
  }
  if (lease.state == LeaseState::kLapsed && now < lease.expires()) {
    if (ClaimAddress(now, lease)) {
      store_.Apply(lease, LeaseEvent::kRenew, now);
    } else {
      Remove(now, lease);
    }
  }
  return true;
}

void RegistryImpl::MergeNew(TimePoint now, Lease incoming, bool gossip) {
  const EndpointId id = incoming.endpoint.id;
  Lease* newest =
      store_.FindNewest(incoming.endpoint.service, incoming.endpoint.name);
  if (newest != nullptr && newest->state != LeaseState::kGone) {
    if (newest->endpoint.epoch > incoming.endpoint.epoch) {
      return;
    }
    Remove(now, *newest);
  }
  const bool holds_address = !incoming.is_live() || ClaimAddress(now, incoming);
  if (!holds_address) {
    incoming.state = LeaseState::kGone;
  }
  Lease& lease = store_.Insert(std::move(incoming));
  if (!holds_address) {
    Remove(now, lease);
    return;
  }
  if (gossip) {
    QueueUpdate(id);
  }
  UpdateView(now, lease);
}

}  // namespace vanillalatch::internal
