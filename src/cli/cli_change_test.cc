// Tests of the commands that change the catalog: lost answers, conflicts,
// drains.
#include <grpcpp/grpcpp.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>
#include <tuple>

#include "src/cli/fake_control.h"

namespace vanillalatch {
namespace {

using Catch::Contains;

TEST_CASE("apply shows the difference, then changes the catalog", "[cli]") {
  FakeControl control;
  CatalogState state;
  ApplyChangesTo(state, control);
  const CommandResult dry_run =
      RunCtlAgainst(control, {"apply", kCatalogPath, "--dry-run"});
  CHECK(dry_run.exit_code == 0);
  CHECK_THAT(dry_run.out, Contains("service lookup: class urgent: new, latency "
                                   "100ms, success 99.9%, share 60%"));
  CHECK(state.catalog().revision() == 0);

  const CommandResult result =
      RunCtlAgainst(control, {"apply", kCatalogPath, "--author", "ann"});
  CHECK(result.exit_code == 0);
  CHECK_THAT(result.out, Contains("accepted as revision 1"));
  CHECK(state.catalog().services_size() == 2);
  CHECK(state.outcomes().back().author() == "ann");

  const CommandResult again = RunCtlAgainst(control, {"apply", kCatalogPath});
  CHECK(again.exit_code == 0);
  CHECK_THAT(again.err, Contains("nothing to change"));
  CHECK(state.catalog().revision() == 1);
}

TEST_CASE("a change whose answers were lost is applied once", "[cli]") {
  FakeControl control;
  CatalogState state;
  ApplyChangesTo(state, control);
  const auto apply_normally = control.apply;
  int calls = 0;
  std::set<std::string> ids;
  control.apply = [&](const pb::Change& change, pb::ApplyReply& reply) {
    ids.insert(change.change_id());
    const grpc::Status status = apply_normally(change, reply);
    return ++calls < 3 ? grpc::Status(grpc::UNAVAILABLE, "lost") : status;
  };
  const CommandResult result = RunCtlAgainst(control, {"apply", kCatalogPath});
  CHECK(result.exit_code == 0);
  CHECK(calls == 3);
  CHECK(ids.size() == 1);
  CHECK(state.catalog().revision() == 1);
}

TEST_CASE("a change that was not confirmed is sent again", "[cli]") {
  FakeControl control;
  CatalogState state;
  ApplyChangesTo(state, control);
  const auto apply_normally = control.apply;
  const auto kind = GENERATE(
      values<std::string>({"outcome_unknown", "no_quorum", "stopping"}));
  int calls = 0;
  control.apply = [&](const pb::Change& change, pb::ApplyReply& reply) {
    if (++calls == 1) {
      reply.mutable_outcome()->set_error_kind(kind);
      return grpc::Status::OK;
    }
    return apply_normally(change, reply);
  };
  const CommandResult result = RunCtlAgainst(control, {"apply", kCatalogPath});
  CHECK(result.exit_code == 0);
  CHECK(calls == 2);
  CHECK(state.catalog().revision() == 1);
}

TEST_CASE("if no answer comes, the change can be repeated by its id", "[cli]") {
  FakeControl control;
  CatalogState state;
  ApplyChangesTo(state, control);
  const auto apply_normally = control.apply;
  std::string id;
  control.apply = [&](const pb::Change& change, pb::ApplyReply& reply) {
    id = change.change_id();
    apply_normally(change, reply);
    return grpc::Status(grpc::UNAVAILABLE, "lost");
  };
  const CommandResult unanswered =
      RunCtlAgainst(control, {"apply", kCatalogPath, "--timeout", "1"});
  CHECK(unanswered.exit_code == 5);
  CHECK_THAT(unanswered.err,
             Contains("--change-id " + id + " --from-revision 0"));

  control.apply = apply_normally;
  const CommandResult result = RunCtlAgainst(
      control,
      {"apply", kCatalogPath, "--change-id", id, "--from-revision", "0"});
  CHECK(result.exit_code == 0);
  CHECK_THAT(result.out, Contains("accepted as revision 1"));
  CHECK(state.catalog().revision() == 1);
}

TEST_CASE("a change from an old revision is a conflict", "[cli]") {
  FakeControl control;
  CatalogState state;
  ApplyChangesTo(state, control);
  REQUIRE(RunCtlAgainst(control, {"apply", kCatalogPath}).exit_code == 0);
  const CommandResult result =
      RunCtlAgainst(control, {"apply", "examples/records/catalog.json",
                              "--from-revision", "0", "--json"});
  CHECK(result.exit_code == 4);
  CHECK(nlohmann::json::parse(result.out)["error_kind"] == "conflict");
  CHECK(state.catalog().services(0).name() == "lookup");
}

TEST_CASE("ctl follows the leader and passes over silent VMs", "[cli]") {
  FakeControl leader;
  CatalogState state;
  ApplyChangesTo(state, leader);
  leader.get.mutable_catalog()->set_revision(41);
  FakeControl follower;
  follower.get.set_error_kind("not_leader");
  follower.get.set_leader_address(leader.address());
  FakeControl partitioned;
  partitioned.get.set_error_kind("no_quorum");
  const std::vector<std::string> get = {"get"};
  CHECK_THAT(RunCtlAgainst(follower, get).out, Contains("Revision 41"));
  const CommandResult result =
      Run({"ctl", "--control", "127.0.0.1:1", "--control",
           partitioned.address(), "--control", follower.address(), "get"});
  CHECK(result.exit_code == 0);
  CHECK_THAT(result.out, Contains("Revision 41"));
  const CommandResult no_quorum =
      RunCtlAgainst(partitioned, {"get", "--timeout", "1"});
  CHECK(no_quorum.exit_code == 5);
  CHECK_THAT(no_quorum.err, Contains("no_quorum"));
}

// Guards against an operator who learns of the client's own timeout in place of
// what the control VM said.
TEST_CASE("ctl's own timeout does not hide what a control VM answered",
          "[cli]") {
  FakeControl control;
  int calls = 0;
  control.apply = [&](const pb::Change&, pb::ApplyReply& reply) {
    if (++calls > 1) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    }
    reply.mutable_outcome()->set_error_kind("no_quorum");
    return grpc::Status::OK;
  };
  const CommandResult result =
      RunCtlAgainst(control, {"apply", kCatalogPath, "--timeout", "1"});
  CHECK(result.exit_code != 0);
  CHECK(calls >= 2);
  CHECK_THAT(result.err, Contains("no_quorum"));
}

TEST_CASE("apply --wait reports each data centre and who lags", "[cli]") {
  FakeControl control;
  CatalogState state;
  ApplyChangesTo(state, control);
  *control.status.add_entries() = MakeEntryStatus("entry-1", "north", 1);
  *control.status.add_entries() = MakeEntryStatus("entry-2", "south", 0);
  const CommandResult timed_out = RunCtlAgainst(
      control, {"apply", kCatalogPath, "--wait", "--wait-timeout", "1"});
  CHECK(timed_out.exit_code == 7);
  CHECK_THAT(timed_out.out, Contains("north        1 of 1 entry VMs  none"));
  CHECK_THAT(timed_out.out, Contains("south        0 of 1 entry VMs  entry-2 "
                                     "(revision 0, heard 120ms ago)"));
  control.status.mutable_entries(1)->mutable_last_sync()->set_revision(1);
  const CommandResult result =
      RunCtlAgainst(control, {"apply", kCatalogPath, "--wait"});
  CHECK(result.exit_code == 0);
  CHECK_THAT(result.out, Contains("south        1 of 1 entry VMs  none"));
}

TEST_CASE("drain is retried after a concurrent change", "[cli]") {
  FakeControl control;
  CatalogState state;
  ApplyChangesTo(state, control);
  *control.status.add_entries() = MakeEntryStatus("entry-1", "north", 0);
  const auto apply_normally = control.apply;
  int calls = 0;
  control.apply = [&](const pb::Change& change, pb::ApplyReply& reply) {
    if (++calls == 1) {
      pb::Change other;
      other.set_change_id("other");
      pb::ApplyReply ignored;
      apply_normally(other, ignored);
    }
    return apply_normally(change, reply);
  };
  CHECK(RunCtlAgainst(control, {"drain", "entry-1"}).exit_code == 0);
  CHECK(calls == 2);
  CHECK(state.catalog().draining_vms(0) == "entry-1");
  CHECK(state.catalog().revision() == 2);
  // Applying a file does not change which VMs drain.
  CHECK(RunCtlAgainst(control, {"apply", kCatalogPath}).exit_code == 0);
  CHECK(state.catalog().draining_vms_size() == 1);
  CHECK(RunCtlAgainst(control, {"undrain", "entry-1"}).exit_code == 0);
  CHECK(state.catalog().draining_vms().empty());
  const CommandResult unknown = RunCtlAgainst(control, {"drain", "entry-9"});
  CHECK(unknown.exit_code == 3);
  CHECK_THAT(unknown.err, Contains("entry VMs: entry-1"));
}

// Guards against an evacuation that is forgotten, because the status does not
// show it, and against one that silently leaves a service without endpoints.
TEST_CASE("evacuate starts, shows and ends an evacuation", "[cli]") {
  FakeControl control;
  CatalogState state;
  ApplyChangesTo(state, control);
  REQUIRE(RunCtlAgainst(control, {"apply", kCatalogPath}).exit_code == 0);
  for (const auto& [vm, data_center, flows] :
       {std::tuple("e1", "north", 3), std::tuple("e2", "south", 4)}) {
    pb::EntryStatus entry = MakeEntryStatus(vm, data_center, 2);
    pb::OpenFlows& open = *entry.mutable_last_sync()->add_open_flows();
    open.set_data_center("north");
    open.set_flows(static_cast<std::uint64_t>(flows));
    *control.status.add_entries() = entry;
  }
  pb::ServiceReport& report =
      *control.status.mutable_entries(0)->mutable_last_sync()->add_services();
  report.set_service_id(state.catalog().services(0).id());
  report.add_endpoints()->set_name("0000000a");
  *control.status.mutable_catalog() = state.catalog();
  const CommandResult start = RunCtlAgainst(
      control, {"evacuate", "north", "--author", "ann", "--wait"});
  CHECK(start.exit_code == 0);
  CHECK_THAT(start.out, Contains("accepted as revision 2"));
  CHECK_THAT(start.err, Contains("warning: service " +
                                 state.catalog().services(0).name()));
  CHECK_THAT(start.err, !Contains("every data centre"));
  *control.status.mutable_catalog() = state.catalog();
  control.status.mutable_entries(1)->mutable_last_sync()->set_revision(1);
  const CommandResult status = RunCtlAgainst(control, {"status"});
  CHECK_THAT(status.out, Contains("north") && Contains("ann") &&
                             Contains("1 of 2 entry VMs"));
  CHECK_THAT(status.out, Catch::Matches("[^]*1 of 2 entry VMs +7[^]*"));
  const CommandResult again = RunCtlAgainst(control, {"evacuate", "north"});
  CHECK(again.exit_code == 0);
  CHECK_THAT(again.err, Contains("north is evacuated already"));
  CHECK_THAT(RunCtlAgainst(control, {"evacuate", "south"}).err,
             Contains("every data centre"));
  CHECK(RunCtlAgainst(control, {"evacuate", "north", "--end"}).exit_code == 0);
  CHECK_FALSE(IsEvacuated(state.catalog(), "north"));
  CHECK_THAT(RunCtlAgainst(control, {"evacuate", "north", "--end"}).err,
             Contains("north is not evacuated"));
  CHECK(RunCtlAgainst(control, {"evacuate"}).exit_code == 2);
  CHECK(RunCtlAgainst(control, {"status", "--end"}).exit_code == 2);
}

}  // namespace
}  // namespace vanillalatch
