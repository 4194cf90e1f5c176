// Tests RouteTable (weights, classes), EndpointTable (cookies, also colliding
// ones, and lost endpoints), the registry's rules for restarted endpoints, and
// PeerNode::IsIsolated().
#include <catch2/catch.hpp>
#include <map>

#include "vanillalatch/packetflow/endpoint_table.h"
#include "vanillalatch/packetflow/peer_node.h"
#include "vanillalatch/packetflow/route_table.h"

namespace vanillalatch {
namespace {

const TimePoint kNow{std::chrono::seconds(100)};
const ServiceId kService = FlowServiceId("records");

Endpoint EndpointNamed(const std::string& name, std::uint64_t epoch,
                       std::uint32_t ip = 1) {
  Endpoint endpoint;
  endpoint.name = name;
  endpoint.id = EndpointId(StableHash(name) + epoch);
  endpoint.service = kService;
  endpoint.epoch = epoch;
  endpoint.address = {ip, 80};
  return endpoint;
}

TEST_CASE("names of instances") {
  struct Row {
    const char* name;
    std::optional<std::uint64_t> instance;
  };
  const Row row = GENERATE(
      Row{"7f3a91c2", 0x7f3a91c2}, Row{"c32598d9e3", 0xc32598d9e3}, Row{"", {}},
      Row{"xyz", {}}, Row{"12z", {}}, Row{"1ffffffffffffffff", {}});
  const std::optional<InstanceId> instance = ParseInstanceName(row.name);
  CHECK(instance.has_value() == row.instance.has_value());
  if (instance) {
    CHECK(instance->value() == *row.instance);
    CHECK(FormatInstanceName(*instance) == row.name);
  }
}

TEST_CASE("a cookie is never zero") {
  CHECK(CookieOf(InstanceId(0x500000000)) == FlowCookie(1));
  CHECK(CookieOf(InstanceId(0x5000000ff)) == FlowCookie(0xff));
}

TEST_CASE("of two endpoints with one cookie the older keeps it") {
  const bool older_first = GENERATE(true, false);
  const Endpoint older = EndpointNamed("1000000aa", 5, 1);
  const Endpoint younger = EndpointNamed("2000000aa", 9, 2);
  EndpointTable table;
  const std::vector<Endpoint> both =
      older_first ? std::vector{older, younger} : std::vector{younger, older};
  table.SetEndpoints(kNow, kService, both);
  REQUIRE(table.Find(FlowCookie(0xaa)) != nullptr);
  CHECK(table.Find(FlowCookie(0xaa))->endpoint == older.id);
  CHECK(table.Find(older.id) != nullptr);
  // No new flow may be placed on the other endpoint.
  CHECK(table.Find(younger.id) == nullptr);
}

TEST_CASE("an endpoint that starts again under its name is found anew") {
  EndpointTable table;
  table.SetEndpoints(kNow, kService, std::vector{EndpointNamed("aa", 5, 1)});
  table.SetEndpoints(kNow, kService, std::vector{EndpointNamed("aa", 6, 2)});
  CHECK(table.Find(FlowCookie(0xaa))->address.ip == 2);
  CHECK(table.Find(EndpointNamed("aa", 5).id) == nullptr);
}

TEST_CASE("packets reach an endpoint for a while after its lease was lost") {
  EndpointTable table;
  table.SetEndpoints(kNow, kService, std::vector{EndpointNamed("aa", 5)});
  table.SetEndpoints(kNow, kService, {});
  table.DropLost(kNow + EndpointTable::kLostEndpointRetention / 2);
  CHECK(table.Find(FlowCookie(0xaa)) != nullptr);
  table.DropLost(kNow + EndpointTable::kLostEndpointRetention);
  CHECK(table.Find(FlowCookie(0xaa)) == nullptr);
}

TEST_CASE("endpoints of one service leave those of another alone") {
  EndpointTable table;
  table.SetEndpoints(kNow, kService, std::vector{EndpointNamed("aa", 5)});
  table.SetEndpoints(kNow, FlowServiceId("plans"), {});
  table.DropLost(kNow + 2 * EndpointTable::kLostEndpointRetention);
  CHECK(table.Find(FlowCookie(0xaa)) != nullptr);
}

TEST_CASE("an endpoint is found by its name, the latest start of it") {
  RegistryOptions options;
  options.epochs_are_start_times = true;
  const auto registry = Registry::Create(options).value();
  CHECK(registry->FindByName("aa") == nullptr);
  Registration registration;
  registration.name = "aa";
  registration.service = kService;
  registration.address = {1, 80};
  registration.epoch = 5;
  REQUIRE(registry->Register(kNow, registration).ok());
  registration.epoch = 9;
  registration.service = FlowServiceId("plans");
  registration.address = {2, 80};
  const EndpointId latest = registry->Register(kNow, registration).value();
  REQUIRE(registry->FindByName("aa") != nullptr);
  CHECK(registry->FindByName("aa")->id == latest);
  CHECK(registry->FindByName("bb") == nullptr);
}

TEST_CASE("a report of an earlier start does not take an address back") {
  RegistryOptions options;
  options.epochs_are_start_times = true;
  const auto registry = Registry::Create(options).value();
  Registration later;
  later.name = "bb";
  later.service = kService;
  later.address = {1, 80};
  later.epoch = 9;
  REQUIRE(registry->Register(kNow, later).ok());
  Registration earlier = later;
  earlier.name = "aa";
  earlier.epoch = 5;
  const Result<EndpointId> result = registry->Register(kNow, earlier);
  REQUIRE(!result.ok());
  CHECK(result.error().kind() == ErrorKind::kConflict);
  CHECK(registry->FindByAddress({1, 80})->name == "bb");
}

TEST_CASE("a VM that hears nobody says so, and no longer when it is heard") {
  MemberListOptions members;
  members.data_center = "fleet";
  members.name = "a";
  members.peer = {1, 7000};
  members.seeds = {{2, 7000}};
  const auto a = PeerNode::Create(members, 1).value();
  members.name = "b";
  members.peer = {2, 7000};
  members.seeds = {{1, 7000}};
  const auto b = PeerNode::Create(members, 2).value();
  Outbox out;
  TimePoint now = kNow;
  a->OnTick(now, out);
  CHECK(!a->IsIsolated(now));  // It may not have met the others yet.
  now += std::chrono::milliseconds(1100);
  CHECK(a->IsIsolated(now));
  out.Clear();
  b->OnTick(now, out);
  REQUIRE(!out.items().empty());
  const ByteSpan span = out.Bytes(out.items()[0]);
  const std::vector<std::uint8_t> bytes(span.begin(), span.end());
  out.Clear();
  a->OnDatagram(now, {2, 7000}, bytes, out);
  CHECK(!a->IsIsolated(now));
}

pb::FlowTable SharedRouteTable(std::uint32_t first, std::uint32_t second) {
  pb::FlowTable table;
  pb::FlowRoute& route = *table.add_routes();
  route.set_ip(1);
  route.set_port(2);
  route.set_timeout_ms(500);
  route.set_latency_ms(100);
  for (const auto& [name, weight] :
       {std::pair("a", first), std::pair("b", second)}) {
    pb::FlowShare& share = *route.add_shares();
    share.set_service(name);
    share.set_weight(weight);
  }
  return table;
}

TEST_CASE("new flows are shared by weight, each flow always alike") {
  struct Row {
    std::uint32_t first;
    std::uint32_t second;
    double expected;  // Share of the first service.
  };
  const Row row =
      GENERATE(Row{90, 10, 0.9}, Row{1, 1, 0.5}, Row{1, 0, 1}, Row{0, 7, 0});
  const RouteTable table =
      RouteTable::From(SharedRouteTable(row.first, row.second));
  const FlowRoute* route = table.Find({1, 2});
  REQUIRE(route != nullptr);
  int first = 0;
  constexpr int kFlows = 20'000;
  for (std::uint64_t n = 0; n < kFlows; ++n) {
    const FlowId id(StableHash(n, 1));
    const ServiceId service = route->ServiceFor(id);
    CHECK(service == route->ServiceFor(id));
    first += service == FlowServiceId("a") ? 1 : 0;
  }
  CHECK(first / static_cast<double>(kFlows) ==
        Approx(row.expected).margin(0.015));
}

TEST_CASE("routes with one target share a class, the urgent one goes first") {
  pb::FlowTable table = SharedRouteTable(1, 1);
  *table.add_routes() = table.routes(0);
  table.mutable_routes(1)->set_port(3);
  *table.add_routes() = table.routes(0);
  table.mutable_routes(2)->set_port(4);
  table.mutable_routes(2)->set_urgency(1);
  const RouteTable routes = RouteTable::From(table);
  CHECK(routes.classes().size() == 2);
  CHECK(routes.Find({1, 2})->work_class == routes.Find({1, 3})->work_class);
  CHECK(routes.Find({1, 2})->work_class != routes.Find({1, 4})->work_class);
  CHECK(routes.Find({1, 5}) == nullptr);
  CHECK(routes.services().size() == 2);
}

// Guards against a request whose body leaves the regions that its route allows,
// and against a route without regions that loses its endpoints because regions
// are not known.
TEST_CASE("a route reaches only the data centres in its regions") {
  struct Row {
    std::vector<std::string> regions;
    const char* data_center;
    const char* ingress;  // Data centre of the caller.
    bool reaches;
    bool carries;
  };
  const Row row = GENERATE(
      Row{{}, "a1", "b1", true, true}, Row{{}, "unknown", "b1", true, true},
      Row{{"a"}, "a1", "b1", true, true}, Row{{"a"}, "a2", "b1", true, true},
      Row{{"a"}, "b1", "a1", false, false}, Row{{"a"}, "b1", "b2", false, true},
      Row{{"a"}, "c1", "b1", false, false},
      Row{{"c", "b"}, "b1", "a1", true, true},
      Row{{"a"}, "unknown", "unknown", false, false},
      Row{{"a"}, "unset", "unset", false, false},
      // A region without endpoints, and one that can't be read.
      Row{{"d"}, "a1", "b1", false, false}, Row{{""}, "a1", "b1", false, false},
      Row{{""}, "unset", "unset", false, false});
  CAPTURE(row.regions, row.data_center, row.ingress);
  const DataCenterRegions regions({{"a1", "a"},
                                   {"a2", "a"},
                                   {"b1", "b"},
                                   {"b2", "b"},
                                   {"c1", "c"},
                                   {"unset", ""}});
  pb::FlowTable table;
  pb::FlowRoute& route = *table.add_routes();
  route.set_ip(1);
  route.set_port(2);
  route.add_shares()->set_service("s");
  route.mutable_shares(0)->set_weight(1);
  route.mutable_regions()->Add(row.regions.begin(), row.regions.end());
  const RouteTable routes = RouteTable::From(table);
  const FlowRoute* found = routes.Find({1, 2});
  REQUIRE(found != nullptr);
  const std::string_view region = regions.RegionOf(row.data_center);
  CHECK(found->MayReach(region) == row.reaches);
  CHECK(found->MayCarry(region, regions.RegionOf(row.ingress)) == row.carries);
}

}  // namespace
}  // namespace vanillalatch
