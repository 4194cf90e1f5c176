// Finds the endpoint of a flow from the cookie in its packets.
//
//   EndpointTable table;
//   table.Set(now, service, registry.EndpointsOf(service));
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

// The instance that an endpoint's registered name stands for: a hexadecimal
// number. nullopt for another name.
std::optional<InstanceId> InstanceOfName(std::string_view name);
// The name to register an instance under.
std::string NameOfInstance(InstanceId instance);

struct FlowTarget {
  SocketAddress address;
  InstanceId instance;
  FlowCookie cookie;
  ServiceId service;
  EndpointId endpoint;
  std::uint64_t epoch = 0;
};

class EndpointTable {
 public:
  // A flow may go on this long after its endpoint is no longer registered: a
  // lost lease does not prove that the endpoint has ended. The longest
  // lifetime of a flow on the deployments known.
  static constexpr Duration kKeepLost = std::chrono::seconds(60);

  // Takes over the registered endpoints of one service.
  void Set(TimePoint now, ServiceId service,
           std::span<const Endpoint> endpoints);
  // Forgets what was lost for kKeepLost.
  void Forget(TimePoint now);

  // nullptr if the cookie is unknown.
  const FlowTarget* Find(FlowCookie cookie) const;
  // nullptr if it is unknown or its cookie belongs to another endpoint, so
  // that no new flow may go there.
  const FlowTarget* Find(EndpointId endpoint) const;

  std::size_t size() const { return by_cookie_.size(); }

 private:
  struct Entry {
    FlowTarget target;
    std::optional<TimePoint> lost;  // When it was no longer registered.
  };

  absl::flat_hash_map<FlowCookie, Entry> by_cookie_;
  absl::flat_hash_map<EndpointId, FlowCookie> by_endpoint_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_PACKETFLOW_ENDPOINT_TABLE_H_
