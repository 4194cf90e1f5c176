// What time and silence do to leases: they run out, or are doubted.
#include <utility>
#include <vector>

#include "src/registry/registry_impl.h"

namespace vanillalatch::internal {
namespace {

constexpr BucketMask kAllBuckets = ~BucketMask{0};
// A lease that no peer has compared of late is kept for so many lifetimes, so
// that a burst of changes doesn't cost renewals.
constexpr int kGraceLifetimes = 3;

}  // namespace

bool RegistryImpl::HasExpired(TimePoint now, const Lease& lease) const {
  if (now < lease.expires()) {
    return false;
  }
  return alone_ || ConfirmedOfLate(lease, now) ||
         now >= lease.renewed + kGraceLifetimes * lease.lifetime;
}

void RegistryImpl::Expire(TimePoint now, Lease& lease) {
  if (lease.state == LeaseState::kLeaving) {
    Remove(now, lease);
    return;
  }
  store_.Apply(lease, LeaseEvent::kExpire, now);
  Show(now, lease);
}

bool RegistryImpl::OnTick(TimePoint now) {
  bool changed = false;
  std::vector<EndpointId> forgotten;
  UpdateDoubt(now);
  store_.ForEach([&](Lease& it) {
    if (doubted_ != 0) {
      Show(now, it);
    }
    if (it.live()) {
      if (HasExpired(now, it)) {
        Expire(now, it);
        changed = true;
      }
    } else if (now >= it.expires() + (it.state == LeaseState::kGone
                                          ? Duration::zero()
                                          : options_.tombstone)) {
      forgotten.push_back(it.endpoint.id);
    }
  });
  for (const EndpointId& it : forgotten) {
    store_.Erase(it);
  }
  return changed;
}

void RegistryImpl::UpdateDoubt(TimePoint now) {
  if (!last_contact_) {
    last_contact_ = now;
    contact_since_ = now;
  }
  if (now - *last_contact_ > options_.doubt_after) {
    doubted_ = kAllBuckets;
  }
}

void RegistryImpl::OnContact(TimePoint now, bool alone) {
  alone_ = alone;
  const bool silent =
      last_contact_ && now - *last_contact_ > options_.doubt_after;
  UpdateDoubt(now);
  if (silent) {
    contact_since_ = now;
  }
  last_contact_ = now;
  if (doubted_ != 0 && now - contact_since_ > options_.doubt_after) {
    doubted_ = 0;
    store_.ForEach([&](const Lease& it) { Show(now, it); });
  }
}

void RegistryImpl::Show(TimePoint now, const Lease& lease) {
  const bool doubted = ((doubted_ >> BucketOf(lease.endpoint.id)) & 1) != 0 &&
                       lease.renewed_here + options_.first_hand_bound < now;
  store_.Show(lease, doubted);
}

}  // namespace vanillalatch::internal
