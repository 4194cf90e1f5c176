// Lease: the lease of one endpoint as stored on one VM, with its life cycle and
// its conversion to and from protobuf.
#ifndef VANILLALATCH_SRC_REGISTRY_LEASE_H_
#define VANILLALATCH_SRC_REGISTRY_LEASE_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "membership.pb.h"
#include "vanillalatch/base/strong.h"
#include "vanillalatch/base/time.h"
#include "vanillalatch/registry/registry.h"

namespace vanillalatch::internal {

// Leases are divided by endpoint id into buckets, whose digests are compared
// between VMs.
inline constexpr std::size_t kBucketCount = 32;

// The states and events of charts/endpoint.json. A lapsed lease has expired on
// this VM, but comes back if a renewal at another VM is received. A lease that
// is gone is a tombstone.
enum class LeaseState : std::uint8_t { kReady, kLeaving, kLapsed, kGone };
enum class LeaseEvent : std::uint8_t { kRenew, kLeave, kExpire, kReplace };

struct Lease {
  Endpoint endpoint;  // LeaseStore::UpdateView() sets its state and expiry.
  LeaseState state = LeaseState::kReady;
  // Increases each time the address passes to another endpoint; the highest
  // claim holds the address. A lease with claim 0 claims no address.
  std::uint64_t claim = 0;
  Duration lifetime{};
  TimePoint renewed_at;          // Last renewal at any VM.
  TimePoint renewed_locally_at;  // Last renewal at this VM.
  TimePoint changed_at;          // Last change of the state on this VM.
  TimePoint confirmed_at;        // When a peer's digest last agreed.

  bool is_live() const {
    return state == LeaseState::kReady || state == LeaseState::kLeaving;
  }
  bool claims_address() const { return claim > 0; }
  TimePoint expires() const { return renewed_at + lifetime; }
};

// True if a registration may have these values.
bool IsValidEndpoint(const Endpoint& endpoint);

// The id of a registration: the hash of service, name and epoch.
EndpointId MakeEndpointId(ServiceId service, std::string_view name,
                          std::uint64_t epoch);

std::size_t BucketOf(EndpointId id);

// The next state by charts/endpoint.json; nullopt if the state has no
// transition for the event.
std::optional<LeaseState> NextLeaseState(LeaseState state, LeaseEvent event);

// Sets the time of the last renewal. Ignores it and returns false if it is
// older or at most 1/16 of the lifetime newer. Such small differences come
// from message delay, because a message contains the age of a renewal; accepted
// hop by hop they would keep the lease of a failed backend server alive.
bool AdvanceRenewalTime(Lease& lease, TimePoint renewed_at);

// True if a peer's digest agreed with the lease within the last 1.5 s or, if
// that is longer, within the last third of its lifetime. A renewal at another
// VM would then have been received.
bool IsRecentlyConfirmed(const Lease& lease, TimePoint now);

// True if a renewal must be sent immediately: less than a third of the lease is
// left and no peer's digest confirmed it recently. Otherwise the ages in the
// digests distribute the renewal.
bool IsRenewalUrgent(const Lease& lease, TimePoint now);

// Digest of id, version and whether it leaves. Renewals do not change it.
std::uint32_t DigestOf(const Lease& lease);

// The age of the last renewal in units of 1/250 of the lifetime, rounded up;
// kAgeUnknown if that is 255 or more, which is longer ago than the lifetime.
inline constexpr std::uint8_t kAgeUnknown = 255;
std::uint8_t EncodeRenewalAge(const Lease& lease, TimePoint now);
// The inverse: the time of the renewal that has this age at `now`.
TimePoint DecodeRenewalTime(const Lease& lease, std::uint8_t age,
                            TimePoint now);

// Writes `lease` to `update`, with times relative to `now`.
void ToUpdate(const Lease& lease, TimePoint now, pb::LeaseUpdate& update);
// nullopt if the update is invalid: a value that no registration may have, no
// lifetime, or more time left than the lifetime.
std::optional<Lease> FromUpdate(const pb::LeaseUpdate& update, TimePoint now);

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_REGISTRY_LEASE_H_
