// Registry: the endpoints of backend servers, each held by a lease that the
// backend server renews. A backend server registers with any entry VM. The VMs
// of a data centre gossip leases through MemberList, so that all have the same
// endpoints shortly after a change. Returned pointers and spans are valid until
// the next call that is not const.
//
//   Result<EndpointId> id = registry->Register(now, registration);
//   for (const Endpoint& it : registry->EndpointsOf(service)) ...
#ifndef VANILLALATCH_REGISTRY_REGISTRY_H_
#define VANILLALATCH_REGISTRY_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "membership.pb.h"
#include "vanillalatch/base/address.h"
#include "vanillalatch/base/result.h"
#include "vanillalatch/base/strong.h"
#include "vanillalatch/base/time.h"
#include "vanillalatch/membership/member_list.h"

namespace vanillalatch {

// Leases are sent in datagrams, so the texts in them are bounded.
inline constexpr std::size_t kMaxDataCenterBytes = 128;
// Keeps sums over the endpoints of a service within 32 bits.
inline constexpr std::uint32_t kMaxEndpointSlots = 1U << 16;

enum class EndpointState : std::uint8_t {
  kReady,    // Takes work.
  kLeaving,  // Takes no new work.
  kGone      // Removed; not contained in EndpointsOf().
};

// One registered backend server of one service.
struct Endpoint {
  EndpointId id;
  ServiceId service;
  std::string name;
  SocketAddress address;
  std::uint32_t slots = 1;  // Maximum number of concurrent requests.
  EndpointState state = EndpointState::kReady;
  TimePoint registered;            // Start of its cold-start ramp; see
                                   // SlotSchedulerOptions.
  TimePoint expires;               // End of its lease.
  TimePoint renewed;               // Last renewal of its lease, at any VM.
  std::uint32_t load_percent = 0;  // As it reports; a hint that may be wrong.
  TimePoint load_reported;         // When it reported load_percent.
  std::uint64_t epoch = 0;         // See Registration.
  std::uint64_t version = 0;       // Increases with each change but renewals.
  // Only set if RegistryOptions::data_center is empty.
  std::string data_center;
  TimePoint warm_at;  // Until then it is slow because it started recently.

  friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

// What a backend server sends to register, also for renewal (RFC 9176: ep, d,
// lt and base are name, data_center, lifetime and address).
struct Registration {
  std::string name;
  ServiceId service;
  std::string data_center;
  SocketAddress address;
  std::uint32_t slots = 1;
  std::uint32_t load_percent = 0;
  Duration lifetime = std::chrono::seconds(10);
  std::uint64_t epoch = 0;  // Increases at each start of the backend server.
  Duration warm_in{};       // How much longer it is slow after its start.
  // False while it is unknown whether the service exists. The endpoint is then
  // listed, but displaces none that is registered at the same address. The
  // first renewal with true claims the address.
  bool claims_address = true;
};

struct RegistryOptions {
  // Registrations for other data centres are rejected. Empty: all are accepted.
  std::string data_center;
  // True if epochs are start times, so that those of two endpoints can be
  // compared: an address belongs to the endpoint that started last.
  bool epochs_are_start_times = false;
  // A registration takes over the name or address of another one only if that
  // was not renewed within this time, and if it is itself sent twice, a fifth
  // of this time apart or more: an endpoint that has ended stays silent, and
  // one that has started goes on reporting. 0: it takes over at once.
  Duration takeover_silence{};
  // How long a removed endpoint is kept as a tombstone, so that late updates
  // cannot bring it back; the lifetime of its lease if that is longer. Also how
  // long an expired lease is kept, which a renewal at another VM may restore.
  Duration tombstone_retention = std::chrono::seconds(60);
  // A VM that receives nothing from peers for this long may have missed that an
  // endpoint leaves. It then lists as kLeaving every endpoint that did not
  // renew its lease at this VM within max_local_renewal_age, until the leases
  // of a peer turn out equal or contact has lasted for contact_timeout.
  Duration contact_timeout = std::chrono::milliseconds(1000);
  Duration max_local_renewal_age = std::chrono::milliseconds(1800);
};

class Registry : public LeaseExchange {
 public:
  // Returns a registry without endpoints. Accepts all options.
  static Result<std::unique_ptr<Registry>> Create(RegistryOptions options);

  // Registers an endpoint, or renews its lease, and returns its id. Errors:
  // kWrongDataCenter; kInvalidArgument (no name, no address that can be sent
  // to, no slots or more than kMaxEndpointSlots, a data centre's name above
  // kMaxDataCenterBytes, a lifetime outside 1 s to 1 day); kConflict (the
  // endpoint was removed, a newer registration of its name or address exists,
  // the one to be taken over is still renewed, or its address changed: the
  // backend server must register again with a higher epoch).
  virtual Result<EndpointId> Register(TimePoint now,
                                      const Registration& registration) = 0;
  // Marks the endpoint as leaving, so that it gets no new work, and returns
  // `id`. Error: kNotFound.
  virtual Result<EndpointId> BeginLeave(TimePoint now, EndpointId id) = 0;
  // Expires leases and checks for lost contact with peers. Must be called
  // before work is placed after a pause of this VM. True if a lease expired.
  virtual bool OnTick(TimePoint now) = 0;

  // Sets the services that the catalog names. Their endpoints keep their
  // addresses also where this VM does not know yet that they claim them.
  virtual void SetNamedServices(absl::flat_hash_set<ServiceId> services) = 0;

  // Endpoints of one service that are ready or leaving, ordered by id.
  virtual std::span<const Endpoint> EndpointsOf(ServiceId service) const = 0;
  // nullptr if there is no such endpoint that is ready or leaving.
  virtual const Endpoint* Find(EndpointId id) const = 0;
  // The endpoint that claims this address; nullptr if there is none.
  virtual const Endpoint* FindByAddress(SocketAddress address) const = 0;
  // The endpoint of this name with the highest epoch, of any service; nullptr
  // if there is none. Those that claim their address precede the others.
  virtual const Endpoint* FindByName(std::string_view name) const = 0;
  // Every lease that is ready or leaving, for MergeLease() of another registry.
  virtual std::vector<pb::LeaseUpdate> Leases(TimePoint now) const = 0;
  // Like Leases(), with the tombstones of endpoints that are gone. Where leases
  // are stored, the tombstones prevent an older copy of another VM from
  // restoring an endpoint that has left.
  virtual std::vector<pb::LeaseUpdate> LeasesAndTombstones(
      TimePoint now) const = 0;
  // Increases whenever the endpoints of `service` change, except by a renewal.
  virtual std::uint64_t VersionOf(ServiceId service) const = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_REGISTRY_REGISTRY_H_
