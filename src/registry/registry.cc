#include "vanillalatch/registry/registry.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>
#include <vector>

#include "src/registry/registry_impl.h"

namespace vanillalatch {
namespace internal {
namespace {

using std::chrono::milliseconds;

constexpr Duration kMinLifetime = std::chrono::seconds(1);
constexpr Duration kMaxLifetime = std::chrono::hours(24);
constexpr BucketMask kAllBuckets = ~BucketMask{0};
// A lease without news of a renewal runs out at the end of its lifetime if
// news would have come: a peer compared it within the last third of the
// lifetime, at least kConfirmTime. Else it is kept for
// kGraceLifetimes, so that a burst of changes doesn't cost renewals.
constexpr Duration kConfirmTime = milliseconds(1500);
constexpr int kGraceLifetimes = 3;

// News of renewals would have come: a peer compared the lease of late.
bool ConfirmedOfLate(const Lease& lease, TimePoint now) {
  return now - lease.confirmed <= std::max(lease.lifetime / 3, kConfirmTime);
}

// A renewal is sent at once only if less than a third of the lease is left and
// no peer compared it of late. Else the ages in the digests carry it.
bool RenewalIsUrgent(const Lease& lease, TimePoint now) {
  return lease.expires() - now < lease.lifetime / 3 &&
         !ConfirmedOfLate(lease, now);
}

// Which of two registrations of one address holds it.
auto AddressRank(const Lease& lease) {
  return std::tuple(lease.claim, lease.endpoint.epoch, lease.endpoint.id);
}

}  // namespace

std::optional<Error> RegistryImpl::Check(const Registration& registration) {
  if (!options_.data_center.empty() &&
      registration.data_center != options_.data_center) {
    return Error(ErrorKind::kWrongDataCenter,
                 "registration for data centre " + registration.data_center);
  }
  if (registration.name.empty() || registration.slots == 0 ||
      registration.lifetime < kMinLifetime ||
      registration.lifetime > kMaxLifetime) {
    return Error(ErrorKind::kInvalidArgument,
                 "a registration needs a name, slots and a lifetime between "
                 "1 s and 1 day");
  }
  const Lease* newest =
      store_.FindNewest(registration.service, registration.name);
  if (newest != nullptr && registration.epoch < newest->endpoint.epoch) {
    return Error(ErrorKind::kConflict,
                 "a later registration of " + registration.name + " is known");
  }
  const Lease* holder = store_.FindByAddress(registration.address);
  if (options_.epochs_are_start_times && holder != nullptr &&
      registration.epoch < holder->endpoint.epoch) {
    return Error(ErrorKind::kConflict, holder->endpoint.name +
                                           " started later at " +
                                           registration.address.ToString());
  }
  return std::nullopt;
}

Result<EndpointId> RegistryImpl::Register(TimePoint now,
                                          const Registration& registration) {
  if (std::optional<Error> error = Check(registration)) {
    return *std::move(error);
  }
  const EndpointId id =
      EndpointIdOf(registration.service, registration.name, registration.epoch);
  if (Lease* lease = store_.Find(id)) {
    return RenewHere(now, registration, *lease);
  }
  return Add(now, registration, id);
}

Result<EndpointId> RegistryImpl::RenewHere(TimePoint now,
                                           const Registration& registration,
                                           Lease& lease) {
  Endpoint& endpoint = lease.endpoint;
  if (lease.state == LeaseState::kGone ||
      endpoint.address != registration.address) {
    return Error(ErrorKind::kConflict,
                 registration.name + " needs a new epoch to register again");
  }
  const bool urgent = RenewalIsUrgent(lease, now);
  if (lease.state == LeaseState::kLapsed && !TakeAddress(now, lease)) {
    Remove(now, lease);
    return Error(ErrorKind::kConflict,
                 "the address of " + registration.name + " was reused");
  }
  const bool changed = endpoint.slots != registration.slots ||
                       lease.lifetime != registration.lifetime;
  endpoint.slots = registration.slots;
  endpoint.load_percent = registration.load_percent;
  endpoint.load_reported = now;
  lease.lifetime = registration.lifetime;
  lease.renewed = now;
  lease.renewed_here = now;
  store_.Apply(lease, LeaseEvent::kRenew, now);
  if (changed) {
    ++endpoint.version;
  }
  if (changed || urgent) {
    Spread(endpoint.id);
  }
  Show(now, lease);
  return endpoint.id;
}

EndpointId RegistryImpl::Add(TimePoint now, const Registration& registration,
                             EndpointId id) {
  Lease lease;
  Endpoint& endpoint = lease.endpoint;
  endpoint.id = id;
  endpoint.service = registration.service;
  endpoint.name = registration.name;
  endpoint.address = registration.address;
  endpoint.slots = registration.slots;
  endpoint.registered = now;
  endpoint.load_percent = registration.load_percent;
  endpoint.load_reported = now;
  endpoint.epoch = registration.epoch;
  endpoint.version = 1;
  if (options_.data_center.empty()) {
    endpoint.data_center = registration.data_center;  // Else all have the same.
  }
  endpoint.warm_at = now + registration.warm_in;
  lease.claim = NextClaim(registration.address);
  lease.lifetime = registration.lifetime;
  lease.renewed = now;
  lease.renewed_here = now;
  lease.changed = now;
  MergeNew(now, std::move(lease), true);
  return id;
}

Result<EndpointId> RegistryImpl::BeginLeave(TimePoint now, EndpointId id) {
  Lease* lease = store_.Find(id);
  if (lease == nullptr || lease->state == LeaseState::kGone) {
    return Error(ErrorKind::kNotFound, "no such endpoint");
  }
  if (lease->state == LeaseState::kLapsed) {
    Remove(now, *lease);
    return id;
  }
  if (lease->state == LeaseState::kReady) {
    ++lease->endpoint.version;
    store_.Apply(*lease, LeaseEvent::kLeave, now);
    Spread(id);
    Show(now, *lease);
  }
  return id;
}

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

bool RegistryImpl::TakeAddress(TimePoint now, const Lease& lease) {
  Lease* holder = store_.FindByAddress(lease.endpoint.address);
  if (holder == nullptr || holder->endpoint.id == lease.endpoint.id) {
    return true;
  }
  if (AddressRank(*holder) > AddressRank(lease)) {
    return false;
  }
  Remove(now, *holder);
  return true;
}

std::uint64_t RegistryImpl::NextClaim(SocketAddress address) {
  std::uint64_t highest = 0;
  store_.ForEach([&](const Lease& it) {
    if (it.endpoint.address == address) {
      highest = std::max(highest, it.claim);
    }
  });
  return highest + 1;
}

void RegistryImpl::Remove(TimePoint now, Lease& lease) {
  store_.Apply(lease, LeaseEvent::kReplace, now);
  lease.lifetime = std::max(lease.lifetime, options_.tombstone);
  lease.renewed = now;
  Spread(lease.endpoint.id);
  Show(now, lease);
}

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

const Endpoint* RegistryImpl::FindByName(std::string_view name) const {
  const Lease* newest = nullptr;
  store_.ForEach([&](const Lease& it) {
    if (it.live() && it.endpoint.name == name &&
        (newest == nullptr || newest->endpoint.epoch < it.endpoint.epoch)) {
      newest = &it;
    }
  });
  return newest == nullptr ? nullptr : Find(newest->endpoint.id);
}

std::vector<pb::LeaseUpdate> RegistryImpl::Leases(TimePoint now) const {
  std::vector<pb::LeaseUpdate> updates;
  store_.ForEach([&](const Lease& it) {
    if (it.live()) {
      ToUpdate(it, now, updates.emplace_back());
    }
  });
  return updates;
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

}  // namespace internal

Result<std::unique_ptr<Registry>> Registry::Create(RegistryOptions options) {
  return std::unique_ptr<Registry>(
      std::make_unique<internal::RegistryImpl>(std::move(options)));
}

}  // namespace vanillalatch
