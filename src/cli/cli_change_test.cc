// Changes of the catalog by the command line: lost answers, conflicts, drains.
#include <grpcpp/grpcpp.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <set>

#include "src/cli/fake_control.h"

namespace vanillalatch {
namespace {

using Catch::Contains;

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

}  // namespace
}  // namespace vanillalatch
