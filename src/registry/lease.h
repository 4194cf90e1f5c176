// One lease as a VM holds it, its life cycle and its wire form.
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

inline constexpr std::size_t kBuckets = 32;

enum class LeaseState : std::uint8_t { kReady, kLeaving, kLapsed, kGone };
enum class LeaseEvent : std::uint8_t { kRenew, kLeave, kExpire, kReplace };

struct Lease {
  Endpoint endpoint;  // Its state and expiry are filled in by View().
  LeaseState state = LeaseState::kReady;
  std::uint64_t claim = 0;
  Duration lifetime{};
  TimePoint renewed;       // Last renewal at any VM.
  TimePoint renewed_here;  // Last renewal at this VM.
  TimePoint changed;       // Last change of the state at this VM.
  TimePoint confirmed;     // When a peer last held the same.

  bool live() const {
    return state == LeaseState::kReady || state == LeaseState::kLeaving;
  }
  TimePoint expires() const { return renewed + lifetime; }
};

// The id of a registration; binds it to its service.
EndpointId EndpointIdOf(ServiceId service, std::string_view name,
                        std::uint64_t epoch);

std::size_t BucketOf(EndpointId id);

// By charts/endpoint.json; nullopt if the event means nothing.
std::optional<LeaseState> NextLeaseState(LeaseState state, LeaseEvent event);

// Takes a renewal of this time into account; false if it is no news. Small
// gains are no news: each is as large as the delay of a message, and taken
// hop by hop they would keep a dead lease alive.
bool Renew(Lease& lease, TimePoint renewed);

// News of renewals would have come: a peer compared the lease within the last
// third of its lifetime, or within the last 1.5 s.
bool ConfirmedOfLate(const Lease& lease, TimePoint now);

// A renewal is sent at once only if less than a third of the lease is left and
// no peer compared it of late. Else the ages in the digests carry it.
bool RenewalIsUrgent(const Lease& lease, TimePoint now);

// Equal for equal ids, versions and states, whenever they were renewed.
std::uint32_t DigestOf(const Lease& lease);

// The age of the last renewal in 1/250 of the lifetime, rounded up;
// kAgeUnknown if it is longer ago than the lifetime.
inline constexpr std::uint8_t kAgeUnknown = 255;
std::uint8_t AgeOf(const Lease& lease, TimePoint now);
TimePoint RenewedFromAge(const Lease& lease, std::uint8_t age, TimePoint now);

void ToUpdate(const Lease& lease, TimePoint now, pb::LeaseUpdate& update);
// nullopt if the update contradicts itself.
std::optional<Lease> FromUpdate(const pb::LeaseUpdate& update, TimePoint now);

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_REGISTRY_LEASE_H_
