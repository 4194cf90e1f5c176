// Maps the cookie in a flow's packets to the endpoint that serves the flow.
//
//   EndpointTable table;
//   table.SetEndpoints(now, service, registry.EndpointsOf(service));
//   if (const FlowTarget* it = table.Find(packet.cookie)) Send(it->address);
#ifndef VANILLALATCH_PACKETFLOW_ENDPOINT_TABLE_H_
#define VANILLALATCH_PACKETFLOW_ENDPOINT_TABLE_H_

#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "vanillalatch/packetflow/packet.h"
#include "vanillalatch/registry/registry.h"

namespace vanillalatch {

// Parses the name that an endpoint registers under: its instance id as a
// hexadecimal number. Returns nullopt for any other name.
std::optional<InstanceId> ParseInstanceName(std::string_view name);
// Returns the name under which an instance registers: its id in hexadecimal.
std::string FormatInstanceName(InstanceId instance);

// An endpoint to which packets of flows are forwarded.
struct FlowTarget {
  SocketAddress address;
  InstanceId instance;
  FlowCookie cookie;
  ServiceId service;
  EndpointId endpoint;
  std::uint64_t epoch = 0;  // Orders the starts of endpoints: higher is later.
};

class EndpointTable {
 public:
  // How long an endpoint stays in the table after it is no longer registered,
  // so that its open flows continue: a lost lease does not prove that the
  // endpoint has stopped. No flow of the known deployments lives longer.
  static constexpr Duration kLostEndpointRetention = std::chrono::seconds(60);

  // Replaces the registered endpoints of one service. Endpoints that are no
  // longer registered stay for kLostEndpointRetention. Endpoints whose name is
  // no instance id are ignored. An instance that registers again replaces its
  // earlier entry. Of two registered instances with the same cookie, the one
  // with the lower epoch holds it, on every VM; with equal epochs, the one with
  // the lower endpoint id.
  void SetEndpoints(TimePoint now, ServiceId service,
                    std::span<const Endpoint> endpoints);
  // Removes endpoints that have not been registered for
  // kLostEndpointRetention.
  void DropLost(TimePoint now);

  // Returns the endpoint with this cookie; nullptr if there is none.
  const FlowTarget* Find(FlowCookie cookie) const;
  // Returns the target of an endpoint. Returns nullptr if the endpoint is
  // unknown, or if another endpoint holds its cookie; no new flow may be placed
  // on it then.
  const FlowTarget* Find(EndpointId endpoint) const;

  std::size_t size() const { return by_cookie_.size(); }

 private:
  struct Entry {
    FlowTarget target;
    // When it was first found unregistered; nullopt while it is registered.
    std::optional<TimePoint> lost_at;
  };

  absl::flat_hash_map<FlowCookie, Entry> by_cookie_;
  absl::flat_hash_map<EndpointId, FlowCookie> by_endpoint_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_PACKETFLOW_ENDPOINT_TABLE_H_
