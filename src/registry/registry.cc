// Registrations of backend servers at this VM, and which lease holds an
// address.
#include "vanillalatch/registry/registry.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "src/registry/registry_impl.h"

namespace vanillalatch {
namespace internal {
namespace {

// A renewal may extend the time until an endpoint is warm by more than this, as
// after a pause of its data centre. Smaller differences are delays of messages.
constexpr Duration kMinWarmUpGain = std::chrono::milliseconds(50);
// It also ends a warm-up that lasts longer than it says by more than this, as
// after a report that came from another writer.
constexpr Duration kMinWarmUpLoss = std::chrono::seconds(5);
// A start that takes over reports at least twice, with this part of the
// takeover silence in between: less than a heartbeat interval.
constexpr int kTakeoverReportDivisor = 5;
constexpr std::size_t kMaxRefusedTakeovers = 4096;
constexpr Duration kMinLifetime = std::chrono::seconds(1);
constexpr Duration kMaxLifetime = std::chrono::hours(24);

// The claim of an endpoint that was the first at its address. VMs that let the
// same endpoint claim it, each on its own, thus agree.
constexpr std::uint64_t kFirstClaim = 1;

// Of the leases that claim the same address, the one with the highest rank
// holds it.
auto AddressRank(const Lease& lease) {
  return std::tuple(lease.claim, lease.endpoint.epoch, lease.endpoint.id);
}

}  // namespace

std::optional<Error> RegistryImpl::Validate(TimePoint now,
                                            const Registration& registration) {
  if (!options_.data_center.empty() &&
      registration.data_center != options_.data_center) {
    return Error(ErrorKind::kWrongDataCenter,
                 "registration for data centre " + registration.data_center);
  }
  Endpoint endpoint;
  endpoint.name = registration.name;
  endpoint.address = registration.address;
  endpoint.slots = registration.slots;
  endpoint.data_center = registration.data_center;
  if (!IsValidEndpoint(endpoint) || registration.lifetime < kMinLifetime ||
      registration.lifetime > kMaxLifetime) {
    return Error(ErrorKind::kInvalidArgument,
                 "a registration needs a name, a unicast address, 1 to " +
                     std::to_string(kMaxEndpointSlots) +
                     " slots, a data centre of at most " +
                     std::to_string(kMaxDataCenterBytes) +
                     " bytes and a lifetime between 1 s and 1 day");
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
  return CheckTakeover(now, registration,
                       MakeEndpointId(registration.service, registration.name,
                                      registration.epoch));
}

Lease* RegistryImpl::FindDisplaced(const Registration& registration,
                                   EndpointId id) {
  Lease* newest = store_.FindNewest(registration.service, registration.name);
  if (newest != nullptr && newest->is_live() &&
      newest->endpoint.epoch < registration.epoch) {
    return newest;
  }
  const Lease* own = store_.Find(id);
  if (!registration.claims_address ||
      (own != nullptr && own->is_live() && own->claims_address())) {
    return nullptr;
  }
  Lease* latest = nullptr;
  store_.ForEach([&](Lease& it) {
    // A lease that was received before its service was named may claim its
    // address at another VM only.
    const bool claims =
        it.claims_address() || named_services_.contains(it.endpoint.service);
    const bool is_other = std::pair(it.endpoint.service, it.endpoint.name) !=
                          std::pair(registration.service, registration.name);
    if (it.is_live() && claims && is_other &&
        it.endpoint.address == registration.address &&
        (latest == nullptr || latest->renewed_at < it.renewed_at)) {
      latest = &it;
    }
  });
  return latest;
}

std::optional<Error> RegistryImpl::CheckTakeover(
    TimePoint now, const Registration& registration, EndpointId id) {
  Lease* displaced = FindDisplaced(registration, id);
  if (displaced == nullptr || options_.takeover_silence == Duration::zero()) {
    refused_since_.erase(id);
    return std::nullopt;
  }
  if (refused_since_.size() < kMaxRefusedTakeovers) {
    refused_since_.try_emplace(id, now);
  }
  const auto since = refused_since_.find(id);
  const bool goes_on =
      since != refused_since_.end() &&
      now - since->second >= options_.takeover_silence / kTakeoverReportDivisor;
  if (goes_on && now - displaced->renewed_at >= options_.takeover_silence) {
    refused_since_.erase(since);
    return std::nullopt;
  }
  ExtendWarmUp(now, registration, *displaced);
  return Error(ErrorKind::kConflict,
               displaced->endpoint.name + " at " +
                   displaced->endpoint.address.ToString() +
                   " may not have ended; report again");
}

void RegistryImpl::ExtendWarmUp(TimePoint now, const Registration& registration,
                                Lease& lease) {
  Endpoint& endpoint = lease.endpoint;
  const TimePoint warm_at = now + registration.warm_in;
  const bool is_start_of_it = endpoint.name == registration.name &&
                              endpoint.service == registration.service &&
                              endpoint.address == registration.address;
  if (is_start_of_it && warm_at > endpoint.warm_at + kMinWarmUpGain &&
      registration.warm_in > Duration::zero()) {
    endpoint.warm_at = warm_at;
    ++endpoint.version;
    QueueUpdate(endpoint.id);
    UpdateView(now, lease);
  }
}

Result<EndpointId> RegistryImpl::Register(TimePoint now,
                                          const Registration& registration) {
  if (std::optional<Error> error = Validate(now, registration)) {
    return *std::move(error);
  }
  const EndpointId id = MakeEndpointId(registration.service, registration.name,
                                       registration.epoch);
  if (Lease* lease = store_.Find(id)) {
    return RenewLocally(now, registration, *lease);
  }
  return AddLease(now, registration, id);
}

Result<EndpointId> RegistryImpl::RenewLocally(TimePoint now,
                                              const Registration& registration,
                                              Lease& lease) {
  Endpoint& endpoint = lease.endpoint;
  if (lease.state == LeaseState::kGone ||
      endpoint.address != registration.address) {
    return Error(ErrorKind::kConflict,
                 registration.name + " needs a new epoch to register again");
  }
  const bool urgent = IsRenewalUrgent(lease, now);
  if (lease.state == LeaseState::kLapsed && !ClaimAddress(now, lease)) {
    Remove(now, lease);
    return Error(ErrorKind::kConflict,
                 "the address of " + registration.name + " was reused");
  }
  const TimePoint warm_at = now + registration.warm_in;
  const bool cold_again = registration.warm_in > Duration::zero() &&
                          warm_at > endpoint.warm_at + kMinWarmUpGain;
  const bool warm_earlier = warm_at + kMinWarmUpLoss < endpoint.warm_at;
  const bool claimed = registration.claims_address && !lease.claims_address() &&
                       BeginClaim(now, lease);
  const bool changed = claimed || endpoint.slots != registration.slots ||
                       lease.lifetime != registration.lifetime || cold_again ||
                       warm_earlier;
  if (cold_again || warm_earlier) {
    endpoint.warm_at = warm_at;
  }
  endpoint.slots = registration.slots;
  endpoint.load_percent = registration.load_percent;
  endpoint.load_reported = now;
  lease.lifetime = registration.lifetime;
  lease.renewed_at = now;
  lease.renewed_locally_at = now;
  store_.Apply(lease, LeaseEvent::kRenew, now);
  if (changed) {
    ++endpoint.version;
  }
  if (changed || urgent) {
    QueueUpdate(endpoint.id);
  }
  UpdateView(now, lease);
  return endpoint.id;
}

EndpointId RegistryImpl::AddLease(TimePoint now,
                                  const Registration& registration,
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
    // Otherwise it is the same for all endpoints.
    endpoint.data_center = registration.data_center;
  }
  endpoint.warm_at = now + registration.warm_in;
  lease.claim =
      registration.claims_address ? NextClaim(registration.address, id) : 0;
  lease.lifetime = registration.lifetime;
  lease.renewed_at = now;
  lease.renewed_locally_at = now;
  lease.changed_at = now;
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
    QueueUpdate(id);
    UpdateView(now, *lease);
  }
  return id;
}

bool RegistryImpl::ClaimAddress(TimePoint now, const Lease& lease) {
  const Endpoint& endpoint = lease.endpoint;
  Lease* holder = store_.FindByAddress(endpoint.address);
  if (holder != nullptr && holder->endpoint.id == endpoint.id) {
    return true;
  }
  if (!lease.claims_address()) {
    return holder == nullptr || !options_.epochs_are_start_times ||
           holder->endpoint.epoch <= endpoint.epoch;
  }
  if (holder != nullptr) {
    if (AddressRank(*holder) > AddressRank(lease)) {
      return false;
    }
    Remove(now, *holder);
  }
  RemoveEarlierStarts(now, lease);
  return true;
}

bool RegistryImpl::BeginClaim(TimePoint now, Lease& lease) {
  lease.claim = NextClaim(lease.endpoint.address, lease.endpoint.id);
  const bool contested = lease.claim > kFirstClaim;
  ClaimAddress(now, lease);  // It has the highest claim.
  store_.HoldAddress(lease);
  return contested;
}

void RegistryImpl::RemoveEarlierStarts(TimePoint now, const Lease& lease) {
  store_.ForEach([&](Lease& it) {
    if (it.is_live() && !it.claims_address() &&
        it.endpoint.address == lease.endpoint.address &&
        it.endpoint.epoch < lease.endpoint.epoch) {
      Remove(now, it);
    }
  });
}

std::uint64_t RegistryImpl::NextClaim(SocketAddress address,
                                      EndpointId claimant) {
  std::uint64_t highest = 0;
  store_.ForEach([&](const Lease& it) {
    if (it.endpoint.address == address && it.endpoint.id != claimant) {
      highest = std::max({highest, it.claim, kFirstClaim});
    }
  });
  return highest + 1;
}

void RegistryImpl::Remove(TimePoint now, Lease& lease) {
  store_.Apply(lease, LeaseEvent::kReplace, now);
  lease.lifetime = std::max(lease.lifetime, options_.tombstone_retention);
  lease.renewed_at = now;
  QueueUpdate(lease.endpoint.id);
  UpdateView(now, lease);
}

const Endpoint* RegistryImpl::FindByName(std::string_view name) const {
  const auto rank = [](const Lease& it) {
    return std::pair(it.claims_address(), it.endpoint.epoch);
  };
  const Lease* newest = nullptr;
  store_.ForEach([&](const Lease& it) {
    if (it.is_live() && it.endpoint.name == name &&
        (newest == nullptr || rank(*newest) < rank(it))) {
      newest = &it;
    }
  });
  return newest == nullptr ? nullptr : Find(newest->endpoint.id);
}

std::vector<pb::LeaseUpdate> RegistryImpl::Leases(TimePoint now) const {
  std::vector<pb::LeaseUpdate> updates;
  store_.ForEach([&](const Lease& it) {
    if (it.is_live()) {
      ToUpdate(it, now, updates.emplace_back());
    }
  });
  return updates;
}

std::vector<pb::LeaseUpdate> RegistryImpl::LeasesAndTombstones(
    TimePoint now) const {
  std::vector<pb::LeaseUpdate> updates;
  store_.ForEach([&](const Lease& it) {
    if (it.state != LeaseState::kLapsed) {
      ToUpdate(it, now, updates.emplace_back());
    }
  });
  return updates;
}

}  // namespace internal

Result<std::unique_ptr<Registry>> Registry::Create(RegistryOptions options) {
  return std::unique_ptr<Registry>(
      std::make_unique<internal::RegistryImpl>(std::move(options)));
}

}  // namespace vanillalatch
