// Expiry of leases, and treatment of leases as unverified after lost contact.
#include <utility>
#include <vector>

#include "src/registry/registry_impl.h"

namespace vanillalatch::internal {
namespace {

constexpr BucketMask kAllBuckets = ~BucketMask{0};
// A lease that no peer's digest confirmed recently is kept for this many
// lifetimes. During a burst of changes, renewals at other VMs may not be
// received in time.
constexpr int kGraceLifetimes = 3;
// A takeover that was refused and is not repeated within this many times the
// takeover silence is forgotten.
constexpr int kRefusedTakeoverRetention = 4;

}  // namespace

bool RegistryImpl::HasExpired(TimePoint now, const Lease& lease) const {
  if (now < lease.expires()) {
    return false;
  }
  return alone_ || IsRecentlyConfirmed(lease, now) ||
         now >= lease.renewed_at + kGraceLifetimes * lease.lifetime;
}

void RegistryImpl::Expire(TimePoint now, Lease& lease) {
  if (lease.state == LeaseState::kLeaving) {
    Remove(now, lease);
    return;
  }
  store_.Apply(lease, LeaseEvent::kExpire, now);
  UpdateView(now, lease);
}

bool RegistryImpl::OnTick(TimePoint now) {
  bool changed = false;
  std::vector<EndpointId> to_erase;
  CheckContact(now);
  store_.ForEach([&](Lease& it) {
    if (unverified_buckets_ != 0) {
      UpdateView(now, it);
    }
    if (it.is_live()) {
      if (HasExpired(now, it)) {
        Expire(now, it);
        changed = true;
      }
    } else if (now >= it.expires() + (it.state == LeaseState::kGone
                                          ? Duration::zero()
                                          : options_.tombstone_retention)) {
      to_erase.push_back(it.endpoint.id);
    }
  });
  for (const EndpointId& it : to_erase) {
    store_.Erase(it);
  }
  absl::erase_if(refused_since_, [&](const auto& it) {
    return now - it.second >=
           kRefusedTakeoverRetention * options_.takeover_silence;
  });
  return changed;
}

void RegistryImpl::CheckContact(TimePoint now) {
  if (!last_contact_) {
    last_contact_ = now;
    in_contact_since_ = now;
  }
  if (now - *last_contact_ > options_.contact_timeout) {
    unverified_buckets_ = kAllBuckets;
  }
}

void RegistryImpl::OnContact(TimePoint now, bool alone) {
  alone_ = alone;
  const bool was_out_of_contact =
      last_contact_ && now - *last_contact_ > options_.contact_timeout;
  CheckContact(now);
  if (was_out_of_contact) {
    in_contact_since_ = now;
  }
  last_contact_ = now;
  if (unverified_buckets_ != 0 &&
      now - in_contact_since_ > options_.contact_timeout) {
    unverified_buckets_ = 0;
    store_.ForEach([&](const Lease& it) { UpdateView(now, it); });
  }
}

void RegistryImpl::UpdateView(TimePoint now, const Lease& lease) {
  const bool unverified =
      ((unverified_buckets_ >> BucketOf(lease.endpoint.id)) & 1) != 0 &&
      lease.renewed_locally_at + options_.max_local_renewal_age < now;
  store_.UpdateView(lease, unverified);
}

}  // namespace vanillalatch::internal
