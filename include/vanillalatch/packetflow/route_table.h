// The routes in force, and the services that take their new flows.
//
//   RouteTable routes = RouteTable::From(catalog.flows());
//   if (const FlowRoute* it = routes.Find(packet.route)) {
//     ServiceId service = it->ServiceFor(packet.id());
//   }
#ifndef VANILLALATCH_PACKETFLOW_ROUTE_TABLE_H_
#define VANILLALATCH_PACKETFLOW_ROUTE_TABLE_H_

#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "catalog.pb.h"
#include "vanillalatch/admission/class_target.h"
#include "vanillalatch/packetflow/packet.h"

namespace vanillalatch {

// A service whose flows are carried unread is identified by the hash of its
// name: an endpoint can then register before the catalog names its service.
ServiceId FlowServiceId(std::string_view name);

struct FlowRoute {
  // Services and the sum of weights up to each.
  std::vector<std::pair<ServiceId, std::uint64_t>> shares;
  ClassId work_class;
  Duration timeout{};  // The caller gives up after this time.

  // The same for every packet of a flow, on every VM.
  ServiceId ServiceFor(FlowId id) const;
};

class RouteTable {
 public:
  static RouteTable From(const pb::FlowTable& table);

  // nullptr if there is none.
  const FlowRoute* Find(SocketAddress address) const;
  // The services that some route names, each once.
  const std::vector<ServiceId>& services() const { return services_; }
  // Routes with the same target and urgency share a class.
  const std::vector<ClassTarget>& classes() const { return classes_; }

 private:
  absl::flat_hash_map<SocketAddress, FlowRoute> routes_;
  std::vector<ServiceId> services_;
  std::vector<ClassTarget> classes_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_PACKETFLOW_ROUTE_TABLE_H_
