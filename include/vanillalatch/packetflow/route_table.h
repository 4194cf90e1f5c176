// Holds the routes of the catalog in force and selects the service of each new
// flow. A route is an address and port that callers connect to.
//
//   RouteTable routes = RouteTable::From(catalog.flows());
//   if (const FlowRoute* it = routes.Find(packet.route)) {
//     ServiceId service = it->ServiceFor(packet.id());
//   }
#ifndef VANILLALATCH_PACKETFLOW_ROUTE_TABLE_H_
#define VANILLALATCH_PACKETFLOW_ROUTE_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "catalog.pb.h"
#include "vanillalatch/admission/class_target.h"
#include "vanillalatch/membership/member_list.h"
#include "vanillalatch/packetflow/packet.h"

namespace vanillalatch {

// Returns the id of a service whose flows are forwarded as opaque packets: the
// hash of its name. Therefore an endpoint can register before the catalog
// contains its service.
ServiceId FlowServiceId(std::string_view name);

// The regions of the data centres, from the settings.
//
//   DataCenterRegions regions({{"tas-hob", "tas"}});
//   bool ok = route->MayReach(regions.RegionOf(endpoint.data_center));
class DataCenterRegions {
 public:
  DataCenterRegions() = default;
  // Pairs of a data centre and its region.
  explicit DataCenterRegions(
      const std::vector<std::pair<std::string, std::string>>& regions)
      : regions_(regions.begin(), regions.end()) {}

  // Returns an empty text for a data centre without a known region.
  std::string_view RegionOf(std::string_view data_center) const;

 private:
  std::map<std::string, std::string, std::less<>> regions_;
};

struct FlowRoute {
  // The services of this route, each with the cumulative weight up to and
  // including it. Not empty; no weight is zero.
  std::vector<std::pair<ServiceId, std::uint64_t>> shares;
  ClassId work_class;
  Duration timeout{};  // The caller gives up after this time.
  // The regions in which the route is at home. Empty: everywhere.
  std::vector<std::string> regions;

  // True if flows of this route may reach the endpoints of a data centre in
  // `region`. A restricted route reaches none in an unknown region (an empty
  // text).
  bool MayReach(std::string_view region) const;
  // True if an opening packet, which contains a request's body, may be sent to
  // a VM in `region`: the route's flows may reach the region, or it is that of
  // the caller, which is the region of the ingress.
  bool MayCarry(std::string_view region, std::string_view caller_region) const;

  // Selects a service by weight. The result depends only on the flow id and the
  // weights, so that it is the same for every packet of a flow and on every VM.
  ServiceId ServiceFor(FlowId id) const;
};

// The evacuations of a catalog.
EvacuationState EvacuationsOf(const pb::Catalog& catalog);

class RouteTable {
 public:
  // Builds the table from a catalog's flow table. Shares of weight zero are
  // ignored, and so are routes with no other share.
  static RouteTable From(const pb::FlowTable& table);

  // Returns the route for an address and port; nullptr if there is none.
  const FlowRoute* Find(SocketAddress address) const;
  // Every service that a route can select, without duplicates.
  const std::vector<ServiceId>& services() const { return services_; }
  // Name of a service; empty if no route can select it.
  std::string NameOf(ServiceId service) const;
  // The classes of all routes. Routes with the same latency target and urgency
  // share a class.
  const std::vector<ClassTarget>& classes() const { return classes_; }

 private:
  absl::flat_hash_map<SocketAddress, FlowRoute> routes_;
  std::vector<ServiceId> services_;
  absl::flat_hash_map<ServiceId, std::string> names_;
  std::vector<ClassTarget> classes_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_PACKETFLOW_ROUTE_TABLE_H_
