// Tests of the parsing of command lines and of the commands that only read.
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

#include "src/cli/fake_control.h"
#include "src/cli/status_text.h"
#include "vanillalatch/base/hash.h"

namespace vanillalatch {
namespace {

using Catch::Contains;

TEST_CASE("a wrong command line is refused with exit code 2", "[cli]") {
  const auto arguments = GENERATE(values<std::vector<std::string>>({
      {},
      {"srve"},
      {"serve"},
      {"serve", "--config"},
      {"serve", "--nonsense"},
      {"check"},
      {"ctl", "--control", "127.0.0.1:1"},
      {"ctl", "--control", "127.0.0.1", "get"},
      {"ctl", "--control", "127.0.0.1:1", "apply"},
      {"ctl", "--control", "127.0.0.1:1", "get", "extra"},
      {"ctl", "--control", "127.0.0.1:1", "status", "--wait"},
      {"ctl", "--control", "127.0.0.1:1", "get", "--limit", "3"},
      {"ctl", "--control", "127.0.0.1:1", "get", "--timeout", "0"},
      {"ctl", "--control", "127.0.0.1:1", "explain", "xyz"},
      {"ctl", "--control", "127.0.0.1:1", "apply", "CMakeLists.txt"},
      {"logs", "nonsense"},
      {"logs", "explain", "CMakeLists.txt"},
      {"logs", "explain", "--flow", "100.64.0.1:4"},
      {"logs", "explain", "CMakeLists.txt", "--flow", "nowhere"},
  }));
  const CommandResult result = Run(arguments);
  CHECK(result.exit_code == 2);
  CHECK(result.out.empty());
  CHECK_THAT(result.err, Contains("vanillalatch: "));
}

TEST_CASE("help and version need nothing", "[cli]") {
  const auto arguments =
      GENERATE(values<std::vector<std::string>>({{"--help"},
                                                 {"serve", "--help"},
                                                 {"check", "-h"},
                                                 {"ctl", "--help"},
                                                 {"ctl", "apply", "--help"},
                                                 {"logs", "--help"},
                                                 {"logs", "explain", "-h"},
                                                 {"version"}}));
  const CommandResult result = Run(arguments);
  CHECK(result.exit_code == 0);
  CHECK_THAT(result.out, Contains("vanillalatch"));
  CHECK(result.err.empty());
}

TEST_CASE("logs explain names the cause and shows the lines", "[cli]") {
  const std::string path = "build/test-data/explain.jsonl";
  std::filesystem::create_directories("build/test-data");
  std::ofstream(path)
      << "no event\n"
      << R"({"time":"2026-01-02T03:04:05.000000Z","level":"warn","vm":"front-1",)"
      << R"("event":"flow_refused","caller":"100.64.0.1:4000",)"
      << R"("route":"198.18.0.1:443","sequence":7,"kind":"no_endpoint"})"
      << "\n";
  const CommandResult result =
      Run({"logs", "explain", path, "--flow", "100.64.0.1:4000"});
  CHECK(result.exit_code == 0);
  CHECK_THAT(result.out, Contains("cause: no_endpoint"));
  CHECK_THAT(result.out, Contains("sequence=7"));
  CHECK_THAT(result.err, Contains("1 lines are not log events"));
}

TEST_CASE("without an address, ctl says where to state one", "[cli]") {
  unsetenv("VANILLALATCH_CONTROL");
  const CommandResult result = Run({"ctl", "get"});
  CHECK(result.exit_code == 2);
  CHECK_THAT(result.err, Contains("VANILLALATCH_CONTROL"));
}

TEST_CASE("the verdict on a target says why it is missed", "[cli]") {
  struct Row {
    std::uint64_t answered;
    std::uint64_t within;
    std::uint64_t refused;
    std::uint64_t failed;
    std::string expected;
  };
  const auto row = GENERATE(values<Row>({
      {0, 0, 0, 0, "no requests yet"},
      {1000, 999, 0, 0, "met"},
      {1000, 998, 0, 0,
       "missed: 99.8% of 99.9% in time; 0 refused, 0 failed, 2 late"},
      {970, 960, 20, 10,
       "missed: 96.0% of 99.9% in time; 20 refused, 10 failed, 10 late"},
      {0, 0, 5, 0,
       "missed: 0.0% of 99.9% in time; 5 refused, 0 failed, 0 late"},
  }));
  pb::ClassTarget target;
  target.set_success_permille(999);
  pb::ClassReport report;
  report.set_answered(row.answered);
  report.set_within(row.within);
  report.set_refused(row.refused);
  report.set_failed(row.failed);
  CHECK(TargetResultText(target, report) == row.expected);
}

TEST_CASE("status shows VMs, classes and endpoints", "[cli]") {
  FakeControl control;
  CatalogState state;
  ApplyChangesTo(state, control);
  REQUIRE(RunCtlAgainst(control, {"apply", kCatalogPath}).exit_code == 0);
  *control.status.mutable_catalog() = state.catalog();
  control.status.mutable_catalog()->set_revision(3);
  pb::EntryStatus entry = MakeEntryStatus("entry-1", "north", 1);
  pb::ServiceReport& report = *entry.mutable_last_sync()->add_services();
  report.set_service_id(state.catalog().services(0).id());
  pb::ClassReport& urgent = *report.add_classes();
  urgent.set_class_id(state.catalog().services(0).classes(0).id());
  urgent.set_p99_us(12'500);
  pb::EndpointReport& endpoint = *report.add_endpoints();
  endpoint.set_name("lookup-1");
  endpoint.set_state("warming");
  endpoint.set_slots(2);
  endpoint.set_busy(1);
  *control.status.add_entries() = entry;
  *control.status.add_entries() = MakeEntryStatus("entry-2", "south", 3);
  control.status.mutable_entries(1)->set_age_ms(60'000);
  pb::ControlStatus& leader = *control.status.add_controls();
  leader.set_vm("control-1");
  leader.set_voters(4);
  leader.add_silent_voters("control-2");
  const std::string out = RunCtlAgainst(control, {"status"}).out;
  CHECK_THAT(out, Contains("Catalog: revision 3, 2 services"));
  CHECK_THAT(out, Contains("Control group: 4 voters, silent: control-2; "
                           "tolerates no further loss"));
  CHECK_THAT(out, Contains("revision 1, 2 behind"));
  CHECK_THAT(out, Contains("silent"));
  CHECK_THAT(out, Contains("12.5 ms"));
  CHECK_THAT(out, Contains("no requests yet"));
  CHECK_THAT(out, Contains("1 of 2"));
  const auto json =
      nlohmann::json::parse(RunCtlAgainst(control, {"status", "--json"}).out);
  CHECK(json["entries"][1]["age_ms"] == 60'000);
}

TEST_CASE("explain puts the hops of all VMs in order", "[cli]") {
  FakeControl control;
  FakeControl second;
  const auto add_hop = [](FakeControl& vm, const std::string& name,
                          std::int64_t unix_us, const std::string& event) {
    pb::Hop& hop = *vm.hops.add_hops();
    hop.set_vm(name);
    hop.set_unix_us(unix_us);
    hop.set_event(event);
  };
  add_hop(control, "entry-1", 1000, "received");
  add_hop(control, "entry-1", 1100, "handed_over");
  add_hop(second, "entry-2", 1050, "accepted");
  // Hops have the hash of a VM's name instead of the name.
  const std::uint64_t id = StableHash("entry-2");
  std::ostringstream subject;
  subject << std::hex << std::setw(16) << std::setfill('0') << id;
  control.hops.mutable_hops(1)->set_subject(subject.str());
  *control.status.add_entries() = MakeEntryStatus("entry-1", "north", 1);
  *control.status.add_entries() = MakeEntryStatus("entry-2", "north", 1);
  *control.status.add_entries() = MakeEntryStatus("entry-3", "north", 1);
  control.status.mutable_entries(0)->mutable_last_sync()->set_admin_address(
      control.address());
  control.status.mutable_entries(1)->mutable_last_sync()->set_admin_address(
      second.address());
  control.status.mutable_entries(2)->mutable_last_sync()->set_admin_address(
      "127.0.0.1:1");
  const CommandResult result =
      RunCtlAgainst(control, {"explain", "00000000000000ab", "--json"});
  CHECK(result.exit_code == 0);
  CHECK_THAT(result.err, Contains("entry-3 can't be asked"));
  const auto json = nlohmann::json::parse(result.out);
  CHECK(json["hops"][1]["event"] == "accepted");
  CHECK(json["hops"].size() == 3);
  CHECK(json["hops"][2]["subject"] == "entry-2");
  control.hops.clear_hops();
  second.hops.clear_hops();
  CHECK(RunCtlAgainst(control, {"explain", "00000000000000ab"}).exit_code == 3);
}

}  // namespace
}  // namespace vanillalatch
