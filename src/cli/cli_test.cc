// The command line against control VMs that answer as the test says.
#include <grpcpp/grpcpp.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iomanip>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "control.grpc.pb.h"
#include "src/cli/command_line.h"
#include "src/cli/status_text.h"
#include "vanillalatch/base/error.h"
#include "vanillalatch/base/hash.h"
#include "vanillalatch/catalog/catalog_file.h"
#include "vanillalatch/catalog/state_machine.h"
#include "vanillalatch/jsonc/document.h"

namespace vanillalatch {
namespace {

using Catch::Contains;

constexpr const char* kCatalogPath = "examples/sheets/catalog.json";

// A control VM whose answers are functions.
class FakeControl : public pb::Control::Service, public pb::Admin::Service {
 public:
  FakeControl() {
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(),
                             &port_);
    builder.RegisterService(static_cast<pb::Control::Service*>(this));
    builder.RegisterService(static_cast<pb::Admin::Service*>(this));
    server_ = builder.BuildAndStart();
  }
  ~FakeControl() override { server_->Shutdown(); }

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  // Null pointer: the answer is lost.
  std::function<grpc::Status(const pb::Change&, pb::ApplyReply&)> apply;
  pb::GetReply get;
  pb::StatusReply status;
  pb::HistoryReply history;
  pb::ExplainReply hops;

 private:
  grpc::Status Apply(grpc::ServerContext* context,
                     const pb::ApplyRequest* request,
                     pb::ApplyReply* reply) override {
    return apply(request->change(), *reply);
  }
  grpc::Status Get(grpc::ServerContext* context, const pb::GetRequest* request,
                   pb::GetReply* reply) override {
    *reply = get;
    return grpc::Status::OK;
  }
  grpc::Status Status(grpc::ServerContext* context,
                      const pb::StatusRequest* request,
                      pb::StatusReply* reply) override {
    *reply = status;
    return grpc::Status::OK;
  }
  grpc::Status History(grpc::ServerContext* context,
                       const pb::HistoryRequest* request,
                       pb::HistoryReply* reply) override {
    *reply = history;
    return grpc::Status::OK;
  }
  grpc::Status Explain(grpc::ServerContext* context,
                       const pb::ExplainRequest* request,
                       pb::ExplainReply* reply) override {
    *reply = hops;
    return grpc::Status::OK;
  }

  int port_ = 0;
  std::unique_ptr<grpc::Server> server_;
};

struct Ran {
  int exit_code;
  std::string out;
  std::string err;
};

Ran Run(const std::vector<std::string>& arguments) {
  std::ostringstream out;
  std::ostringstream err;
  const auto serve = [](const Settings&, const std::string&) { return 0; };
  const int exit_code = RunCommandLine(arguments, serve, Console{out, err});
  return {exit_code, out.str(), err.str()};
}

Ran Ctl(const FakeControl& control, std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), {"ctl", "--control", control.address()});
  return Run(arguments);
}

// Applies changes as a control VM does.
void ApplyTo(CatalogState& state, FakeControl& control) {
  control.apply = [&](const pb::Change& change, pb::ApplyReply& reply) {
    *reply.mutable_outcome() = state.Apply(change);
    *reply.mutable_catalog() = state.catalog();
    *control.get.mutable_catalog() = state.catalog();
    return grpc::Status::OK;
  };
}

pb::EntryStatus Entry(const std::string& vm, const std::string& data_center,
                      std::uint64_t revision) {
  pb::EntryStatus entry;
  entry.mutable_last_sync()->set_vm(vm);
  entry.mutable_last_sync()->set_data_center(data_center);
  entry.mutable_last_sync()->set_revision(revision);
  entry.mutable_last_sync()->set_state("serving");
  entry.set_age_ms(120);
  return entry;
}

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
  }));
  const Ran ran = Run(arguments);
  CHECK(ran.exit_code == 2);
  CHECK(ran.out.empty());
  CHECK_THAT(ran.err, Contains("vanillalatch: "));
}

TEST_CASE("help and version need nothing", "[cli]") {
  const auto arguments =
      GENERATE(values<std::vector<std::string>>({{"--help"},
                                                 {"serve", "--help"},
                                                 {"check", "-h"},
                                                 {"ctl", "--help"},
                                                 {"ctl", "apply", "--help"},
                                                 {"version"}}));
  const Ran ran = Run(arguments);
  CHECK(ran.exit_code == 0);
  CHECK_THAT(ran.out, Contains("vanillalatch"));
  CHECK(ran.err.empty());
}

TEST_CASE("without an address, ctl says where to state one", "[cli]") {
  unsetenv("VANILLALATCH_CONTROL");
  const Ran ran = Run({"ctl", "get"});
  CHECK(ran.exit_code == 2);
  CHECK_THAT(ran.err, Contains("VANILLALATCH_CONTROL"));
}

TEST_CASE("apply shows the difference, then changes the catalog", "[cli]") {
  FakeControl control;
  CatalogState state;
  ApplyTo(state, control);
  const Ran dry = Ctl(control, {"apply", kCatalogPath, "--dry-run"});
  CHECK(dry.exit_code == 0);
  CHECK_THAT(dry.out, Contains("service lookup: class urgent: new, latency "
                               "100ms, success 99.9%, share 60%"));
  CHECK(state.catalog().revision() == 0);

  const Ran ran = Ctl(control, {"apply", kCatalogPath, "--author", "ann"});
  CHECK(ran.exit_code == 0);
  CHECK_THAT(ran.out, Contains("accepted as revision 1"));
  CHECK(state.catalog().services_size() == 2);
  CHECK(state.outcomes().back().author() == "ann");

  const Ran again = Ctl(control, {"apply", kCatalogPath});
  CHECK(again.exit_code == 0);
  CHECK_THAT(again.err, Contains("nothing to change"));
  CHECK(state.catalog().revision() == 1);
}

TEST_CASE("a change whose answers were lost is applied once", "[cli]") {
  FakeControl control;
  CatalogState state;
  ApplyTo(state, control);
  const auto honest = control.apply;
  int calls = 0;
  std::set<std::string> ids;
  control.apply = [&](const pb::Change& change, pb::ApplyReply& reply) {
    ids.insert(change.change_id());
    const grpc::Status status = honest(change, reply);
    return ++calls < 3 ? grpc::Status(grpc::UNAVAILABLE, "lost") : status;
  };
  const Ran ran = Ctl(control, {"apply", kCatalogPath});
  CHECK(ran.exit_code == 0);
  CHECK(calls == 3);
  CHECK(ids.size() == 1);
  CHECK(state.catalog().revision() == 1);
}

TEST_CASE("a change that was not confirmed is sent again", "[cli]") {
  FakeControl control;
  CatalogState state;
  ApplyTo(state, control);
  const auto honest = control.apply;
  const auto kind = GENERATE(
      values<std::string>({"outcome_unknown", "no_quorum", "stopping"}));
  int calls = 0;
  control.apply = [&](const pb::Change& change, pb::ApplyReply& reply) {
    if (++calls == 1) {
      reply.mutable_outcome()->set_error_kind(kind);
      return grpc::Status::OK;
    }
    return honest(change, reply);
  };
  const Ran ran = Ctl(control, {"apply", kCatalogPath});
  CHECK(ran.exit_code == 0);
  CHECK(calls == 2);
  CHECK(state.catalog().revision() == 1);
}

TEST_CASE("if no answer comes, the change can be repeated by its id", "[cli]") {
  FakeControl control;
  CatalogState state;
  ApplyTo(state, control);
  const auto honest = control.apply;
  std::string id;
  control.apply = [&](const pb::Change& change, pb::ApplyReply& reply) {
    id = change.change_id();
    honest(change, reply);
    return grpc::Status(grpc::UNAVAILABLE, "lost");
  };
  const Ran lost = Ctl(control, {"apply", kCatalogPath, "--timeout", "1"});
  CHECK(lost.exit_code == 5);
  CHECK_THAT(lost.err, Contains("--change-id " + id + " --from-revision 0"));

  control.apply = honest;
  const Ran ran = Ctl(control, {"apply", kCatalogPath, "--change-id", id,
                                "--from-revision", "0"});
  CHECK(ran.exit_code == 0);
  CHECK_THAT(ran.out, Contains("accepted as revision 1"));
  CHECK(state.catalog().revision() == 1);
}

TEST_CASE("a change from an old revision is a conflict", "[cli]") {
  FakeControl control;
  CatalogState state;
  ApplyTo(state, control);
  REQUIRE(Ctl(control, {"apply", kCatalogPath}).exit_code == 0);
  const Ran ran = Ctl(control, {"apply", "examples/records/catalog.json",
                                "--from-revision", "0", "--json"});
  CHECK(ran.exit_code == 4);
  CHECK(nlohmann::json::parse(ran.out)["error_kind"] == "conflict");
  CHECK(state.catalog().services(0).name() == "lookup");
}

TEST_CASE("ctl follows the leader and passes over silent VMs", "[cli]") {
  FakeControl leader;
  CatalogState state;
  ApplyTo(state, leader);
  leader.get.mutable_catalog()->set_revision(41);
  FakeControl follower;
  follower.get.set_error_kind("not_leader");
  follower.get.set_leader_address(leader.address());
  FakeControl cut_off;
  cut_off.get.set_error_kind("no_quorum");
  const std::vector<std::string> get = {"get"};
  CHECK_THAT(Ctl(follower, get).out, Contains("Revision 41"));
  const Ran ran =
      Run({"ctl", "--control", "127.0.0.1:1", "--control", cut_off.address(),
           "--control", follower.address(), "get"});
  CHECK(ran.exit_code == 0);
  CHECK_THAT(ran.out, Contains("Revision 41"));
  const Ran alone = Ctl(cut_off, {"get", "--timeout", "1"});
  CHECK(alone.exit_code == 5);
  CHECK_THAT(alone.err, Contains("no_quorum"));
}

TEST_CASE("apply --wait reports each data centre and who lags", "[cli]") {
  FakeControl control;
  CatalogState state;
  ApplyTo(state, control);
  *control.status.add_entries() = Entry("entry-1", "north", 1);
  *control.status.add_entries() = Entry("entry-2", "south", 0);
  const Ran late =
      Ctl(control, {"apply", kCatalogPath, "--wait", "--wait-timeout", "1"});
  CHECK(late.exit_code == 7);
  CHECK_THAT(late.out, Contains("north        1 of 1 entry VMs  none"));
  CHECK_THAT(late.out, Contains("south        0 of 1 entry VMs  entry-2 "
                                "(revision 0, heard 120ms ago)"));
  control.status.mutable_entries(1)->mutable_last_sync()->set_revision(1);
  const Ran ran = Ctl(control, {"apply", kCatalogPath, "--wait"});
  CHECK(ran.exit_code == 0);
  CHECK_THAT(ran.out, Contains("south        1 of 1 entry VMs  none"));
}

TEST_CASE("drain wins against changes that race it", "[cli]") {
  FakeControl control;
  CatalogState state;
  ApplyTo(state, control);
  *control.status.add_entries() = Entry("entry-1", "north", 0);
  const auto honest = control.apply;
  int races = 0;
  control.apply = [&](const pb::Change& change, pb::ApplyReply& reply) {
    if (++races == 1) {
      pb::Change other;
      other.set_change_id("other");
      pb::ApplyReply ignored;
      honest(other, ignored);
    }
    return honest(change, reply);
  };
  CHECK(Ctl(control, {"drain", "entry-1"}).exit_code == 0);
  CHECK(races == 2);
  CHECK(state.catalog().draining_vms(0) == "entry-1");
  CHECK(state.catalog().revision() == 2);
  // A file that is applied later leaves the drain alone.
  CHECK(Ctl(control, {"apply", kCatalogPath}).exit_code == 0);
  CHECK(state.catalog().draining_vms_size() == 1);
  CHECK(Ctl(control, {"undrain", "entry-1"}).exit_code == 0);
  CHECK(state.catalog().draining_vms().empty());
  const Ran unknown = Ctl(control, {"drain", "entry-9"});
  CHECK(unknown.exit_code == 3);
  CHECK_THAT(unknown.err, Contains("known are: entry-1"));
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
  CHECK(TargetVerdict(target, report) == row.expected);
}

TEST_CASE("status shows VMs, classes and endpoints", "[cli]") {
  FakeControl control;
  CatalogState state;
  ApplyTo(state, control);
  REQUIRE(Ctl(control, {"apply", kCatalogPath}).exit_code == 0);
  *control.status.mutable_catalog() = state.catalog();
  control.status.mutable_catalog()->set_revision(3);
  pb::EntryStatus entry = Entry("entry-1", "north", 1);
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
  *control.status.add_entries() = Entry("entry-2", "south", 3);
  control.status.mutable_entries(1)->set_age_ms(60'000);
  const std::string out = Ctl(control, {"status"}).out;
  CHECK_THAT(out, Contains("Catalog: revision 3, 2 services"));
  CHECK_THAT(out, Contains("revision 1, 2 behind"));
  CHECK_THAT(out, Contains("silent"));
  CHECK_THAT(out, Contains("12.5 ms"));
  CHECK_THAT(out, Contains("no requests yet"));
  CHECK_THAT(out, Contains("1 of 2"));
  const auto json =
      nlohmann::json::parse(Ctl(control, {"status", "--json"}).out);
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
  // The id of entry-2, as its peers derive it from its name.
  const std::uint64_t id = StableHash("entry-2");
  std::ostringstream subject;
  subject << std::hex << std::setw(16) << std::setfill('0') << id;
  control.hops.mutable_hops(1)->set_subject(subject.str());
  *control.status.add_entries() = Entry("entry-1", "north", 1);
  *control.status.add_entries() = Entry("entry-2", "north", 1);
  *control.status.add_entries() = Entry("entry-3", "north", 1);
  control.status.mutable_entries(0)->mutable_last_sync()->set_admin_address(
      control.address());
  control.status.mutable_entries(1)->mutable_last_sync()->set_admin_address(
      second.address());
  control.status.mutable_entries(2)->mutable_last_sync()->set_admin_address(
      "127.0.0.1:1");
  const Ran ran = Ctl(control, {"explain", "00000000000000ab", "--json"});
  CHECK(ran.exit_code == 0);
  CHECK_THAT(ran.err, Contains("entry-3 can't be asked"));
  const auto json = nlohmann::json::parse(ran.out);
  CHECK(json["hops"][1]["event"] == "accepted");
  CHECK(json["hops"].size() == 3);
  CHECK(json["hops"][2]["subject"] == "entry-2");
  control.hops.clear_hops();
  second.hops.clear_hops();
  CHECK(Ctl(control, {"explain", "00000000000000ab"}).exit_code == 3);
}

}  // namespace
}  // namespace vanillalatch
