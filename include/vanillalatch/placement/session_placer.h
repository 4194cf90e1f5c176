// Chooses the endpoint of each new flow of a service with sessions, by the
// fewest open flows per slot. Runs on the service's dispatcher, which counts
// the flows. A flow that is open never moves.
//
//   auto placer = SessionPlacer::Create(seed).value();
//   placer->SetEndpoints(now, registry.EndpointsOf(service));
//   if (std::optional<EndpointId> it = placer->PlaceNew(now)) {
//     placer->Open(*it);
//   }
//   placer->Close(endpoint);  // When the flow ends.
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
  // `seed` orders endpoints that are equally loaded.
  static Result<std::unique_ptr<SessionPlacer>> Create(std::uint64_t seed);
  virtual ~SessionPlacer() = default;

  // Endpoints that are leaving or missing get no new flow; the flows that
  // are open there stay counted until they are closed.
  virtual void SetEndpoints(TimePoint now,
                            std::span<const Endpoint> endpoints) = 0;
  // The ready endpoint with the fewest open flows per slot; nullopt if there
  // is none. Counts nothing: call Open() when the flow is established.
  virtual std::optional<EndpointId> PlaceNew(TimePoint now) = 0;

  // Counts a flow, also one that was taken over from a lost dispatcher.
  virtual void Open(EndpointId endpoint) = 0;
  // Uncounts a flow. Without effect if none is counted there.
  virtual void Close(EndpointId endpoint) = 0;
  // Flows that are counted at `endpoint`.
  virtual std::uint32_t OpenFlows(EndpointId endpoint) const = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_PLACEMENT_SESSION_PLACER_H_
