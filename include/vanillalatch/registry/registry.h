// Endpoints of backend servers: registrations, leases, leaving. Every entry
// VM of a data centre holds the same registry, spread by membership. Pointers
// and spans are valid until the next call that is not const.
//
//   Result<EndpointId> id = registry->Register(now, registration);
//   for (const Endpoint& it : registry->EndpointsOf(service)) ...
#ifndef VANILLALATCH_REGISTRY_REGISTRY_H_
#define VANILLALATCH_REGISTRY_REGISTRY_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "membership.pb.h"
#include "vanillalatch/base/address.h"
#include "vanillalatch/base/result.h"
#include "vanillalatch/base/strong.h"
#include "vanillalatch/base/time.h"
#include "vanillalatch/membership/member_list.h"

namespace vanillalatch {

enum class EndpointState : std::uint8_t { kReady, kLeaving, kGone };

// One registered backend server of one service.
struct Endpoint {
  EndpointId id;
  ServiceId service;
  std::string name;
  SocketAddress address;
  std::uint32_t slots = 1;  // Requests that it runs at the same time.
  EndpointState state = EndpointState::kReady;
  TimePoint registered;            // Start of its cold-start ramp.
  TimePoint expires;               // End of its lease.
  std::uint32_t load_percent = 0;  // As it reports; a hint that may be wrong.
  TimePoint load_reported;
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;
  std::string data_center;
  TimePoint warm_at;  // It is slow after its start until then.

  friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

// What a backend server announces (RFC 9176: ep, d, lt, base).
struct Registration {
  std::string name;
  ServiceId service;
  std::string data_center;
  SocketAddress address;
  std::uint32_t slots = 1;
  std::uint32_t load_percent = 0;
  Duration lifetime = std::chrono::seconds(10);
  std::uint64_t epoch = 0;  // Grows at each start of the backend server.
  Duration warm_in{};       // How much longer it is slow after its start.
};

struct RegistryOptions {
  // Only registrations for this data centre are taken; empty: all are.
  std::string data_center;
  // Epochs are start times, so that those of two endpoints can be compared: an
  // address belongs to the one that started last.
  bool epochs_are_start_times = false;
  // How long a removed endpoint is remembered, so that late updates can't
  // bring it back.
  Duration tombstone = std::chrono::seconds(60);
  // A VM that hears from no peer for this long may have missed that an
  // endpoint leaves. Until it is in touch again it shows as kLeaving every
  // endpoint that did not renew at this VM itself within first_hand_bound.
  Duration doubt_after = std::chrono::milliseconds(1000);
  Duration first_hand_bound = std::chrono::milliseconds(1800);
};

class Registry : public LeaseExchange {
 public:
  static Result<std::unique_ptr<Registry>> Create(RegistryOptions options);

  // Registers, or renews a lease that is held. Errors: kWrongDataCenter,
  // kInvalidArgument (no slots, no name, lifetime out of 1 s to 1 day),
  // kConflict (removed, older than a registration that is known, or with
  // another address than before: start again with a higher epoch).
  virtual Result<EndpointId> Register(TimePoint now,
                                      const Registration& registration) = 0;
  // The backend server leaves: nothing new is sent to it. Error: kNotFound.
  virtual Result<EndpointId> BeginLeave(TimePoint now, EndpointId id) = 0;
  // Drops leases that ran out and notices that peers fell silent. Call it
  // before placing work after a pause. True if something changed.
  virtual bool OnTick(TimePoint now) = 0;

  // Endpoints of one service that are ready or leaving, ordered by id.
  virtual std::span<const Endpoint> EndpointsOf(ServiceId service) const = 0;
  // nullptr if it is unknown or gone.
  virtual const Endpoint* Find(EndpointId id) const = 0;
  // The endpoint that holds an address now; nullptr if there is none.
  virtual const Endpoint* FindByAddress(SocketAddress address) const = 0;
  // The endpoint of this name that started last, of whatever service; nullptr
  // if there is none.
  virtual const Endpoint* FindByName(std::string_view name) const = 0;
  // Every lease that is ready or leaving, to be merged elsewhere.
  virtual std::vector<pb::LeaseUpdate> Leases(TimePoint now) const = 0;
  // Grows whenever the endpoints of `service` change in more than a renewal.
  virtual std::uint64_t VersionOf(ServiceId service) const = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_REGISTRY_REGISTRY_H_
