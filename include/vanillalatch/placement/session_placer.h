// Selects the endpoint of each new flow of a service with sessions: the one
// with the fewest open flows per slot. Runs on the service's dispatcher, which
// counts the flows. An open flow never moves to another endpoint.
//
//   auto placer = SessionPlacer::Create(seed).value();
//   placer->SetEndpoints(now, registry.EndpointsOf(service));
//   if (std::optional<EndpointId> it = placer->SelectEndpoint(now)) {
//     placer->Open(*it);   // When the flow is established.
//     placer->Close(*it);  // When the flow ends.
//   }
#ifndef VANILLALATCH_PLACEMENT_SESSION_PLACER_H_
#define VANILLALATCH_PLACEMENT_SESSION_PLACER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>

#include "vanillalatch/base/result.h"
#include "vanillalatch/base/strong.h"
#include "vanillalatch/base/time.h"
#include "vanillalatch/registry/registry.h"

namespace vanillalatch {

class SessionPlacer {
 public:
  // `seed` seeds the order of endpoints with equal load. Never fails.
  static Result<std::unique_ptr<SessionPlacer>> Create(std::uint64_t seed);
  virtual ~SessionPlacer() = default;

  // Replaces the list of endpoints. Endpoints that are leaving or not listed
  // get no new flow; their open flows stay counted until Close().
  virtual void SetEndpoints(TimePoint now,
                            std::span<const Endpoint> endpoints) = 0;
  // Returns the ready endpoint with the fewest open flows per slot, or nullopt
  // if no endpoint is ready. Does not count the flow: call Open() when the flow
  // is established.
  virtual std::optional<EndpointId> SelectEndpoint(TimePoint now) = 0;

  // Counts an open flow at `endpoint`, also one taken over from a failed
  // dispatcher.
  virtual void Open(EndpointId endpoint) = 0;
  // Removes one flow from the count. No effect if the count is zero.
  virtual void Close(EndpointId endpoint) = 0;
  // Number of open flows counted at `endpoint`.
  virtual std::uint32_t OpenFlows(EndpointId endpoint) const = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_PLACEMENT_SESSION_PLACER_H_
