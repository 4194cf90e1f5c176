#include "vanillalatch/catalog/state_machine.h"

#include <catch2/catch.hpp>
#include <functional>

namespace vanillalatch {
namespace {

pb::Change MakeChange(const std::string& id, std::uint64_t base,
                      const std::vector<std::string>& services) {
  pb::Change change;
  change.set_change_id(id);
  change.set_base_revision(base);
  for (const std::string& it : services) {
    pb::Service& service = *change.add_services();
    service.set_name(it);
    pb::ClassTarget& target = *service.add_classes();
    target.set_name("all");
    target.set_latency_ms(100);
    target.set_share_percent(60);
  }
  return change;
}

TEST_CASE("a change from the current revision is accepted once",
          "[state_machine]") {
  CatalogState state;
  const pb::ChangeOutcome first = state.Apply(MakeChange("a", 0, {"records"}));
  CHECK(first.accepted());
  CHECK(first.revision() == 1);
  const pb::ChangeOutcome other = state.Apply(MakeChange("b", 0, {"plans"}));
  CHECK(other.error_kind() == "conflict");
  CHECK(other.revision() == 1);
  state.Apply(MakeChange("c", 1, {"records", "plans"}));
  CHECK(state.Apply(MakeChange("a", 0, {"records"})).SerializeAsString() ==
        first.SerializeAsString());
  CHECK(state.Apply(MakeChange("b", 2, {"plans"})).SerializeAsString() ==
        other.SerializeAsString());
  CHECK(state.catalog().revision() == 2);
}

TEST_CASE("ids are never used twice", "[state_machine]") {
  CatalogState state;
  state.Apply(MakeChange("a", 0, {"records", "plans"}));
  const std::uint32_t plans = state.catalog().services(1).id();
  state.Apply(MakeChange("b", 1, {"records"}));
  state.Apply(MakeChange("c", 2, {"plans", "records"}));
  CHECK(state.catalog().services(0).id() > plans);
  CHECK(state.catalog().services(0).classes(0).id() > 2);
  CHECK(state.catalog().services(1).id() == 1);
}

TEST_CASE("the oldest outcomes are forgotten, also after a restore",
          "[state_machine]") {
  CatalogState state;
  for (std::size_t n = 0; n <= CatalogState::kMaxStoredOutcomes; ++n) {
    state.Apply(MakeChange("c" + std::to_string(n), n, {"records"}));
  }
  CatalogState restored;
  restored.Restore(state.catalog(), state.outcomes());
  for (const CatalogState* it : {&state, &restored}) {
    CHECK_FALSE(it->FindOutcome("c0").has_value());
    CHECK(it->FindOutcome("c1")->revision() == 2);
    CHECK(it->outcomes().size() == CatalogState::kMaxStoredOutcomes);
  }
}

struct InvalidChange {
  std::string name;
  std::function<void(pb::Change&)> invalidate;
};

TEST_CASE("an invalid catalog is refused", "[state_machine]") {
  const auto service = [](pb::Change& it) { return it.mutable_services(0); };
  const InvalidChange row = GENERATE_REF(values<InvalidChange>({
      {"no name", [&](pb::Change& it) { service(it)->clear_name(); }},
      {"twice", [](pb::Change& it) { *it.add_services() = it.services(0); }},
      {"no class name",
       [&](pb::Change& it) { service(it)->mutable_classes(0)->clear_name(); }},
      {"no latency",
       [&](pb::Change& it) {
         service(it)->mutable_classes(0)->clear_latency_ms();
       }},
      {"success",
       [&](pb::Change& it) {
         service(it)->mutable_classes(0)->set_success_permille(1001);
       }},
      {"two classes of 60%",
       [&](pb::Change& it) {
         pb::ClassTarget& more = *service(it)->add_classes();
         more = it.services(0).classes(0);
         more.set_name("more");
         more.add_path_prefixes("/more");
       }},
      {"two defaults",
       [&](pb::Change& it) {
         pb::ClassTarget& more = *service(it)->add_classes();
         more = it.services(0).classes(0);
         more.set_name("more");
         more.set_share_percent(1);
       }},
      {"draining twice",
       [](pb::Change& it) {
         it.add_draining_vms("entry-1");
         it.add_draining_vms("entry-1");
       }},
  }));
  CAPTURE(row.name);
  pb::Change change = MakeChange("a", 0, {"records"});
  REQUIRE(FindCatalogError(change).empty());
  row.invalidate(change);
  CHECK_FALSE(FindCatalogError(change).empty());
  CatalogState state;
  CHECK(state.Apply(change).error_kind() == "invalid_argument");
  CHECK(state.catalog().revision() == 0);
}

pb::Change FlowChange(std::uint64_t version, const std::string& document) {
  pb::Change change;
  change.mutable_flows()->set_version(version);
  change.mutable_flows()->set_document(document);
  return change;
}

TEST_CASE("the flow table with the highest version takes effect",
          "[state_machine]") {
  struct Row {
    std::uint64_t version;
    const char* document;
    std::uint64_t revision;  // In force afterwards.
    const char* in_force;
  };
  CatalogState state;
  state.Apply(MakeChange("a", 0, {"records"}));
  // In this order: a version after a gap, an older version, the same version
  // with other content, a resent change, the next version.
  for (const Row& row : {Row{4, "four", 2, "four"}, Row{3, "three", 2, "four"},
                         Row{4, "other", 2, "four"}, Row{4, "four", 2, "four"},
                         Row{9, "nine", 3, "nine"}}) {
    const pb::ChangeOutcome outcome =
        state.Apply(FlowChange(row.version, row.document));
    CAPTURE(row.version, row.document);
    CHECK(outcome.accepted());
    CHECK(outcome.revision() == row.revision);
    CHECK(state.catalog().flows().document() == row.in_force);
  }
  // Only outcomes that can conflict are stored.
  CHECK(state.outcomes().size() == 1);
}

TEST_CASE("a change of services keeps the flow table", "[state_machine]") {
  CatalogState state;
  state.Apply(FlowChange(4, "four"));
  state.Apply(MakeChange("a", 1, {"records"}));
  CHECK(state.catalog().revision() == 2);
  CHECK(state.catalog().flows().document() == "four");
  CatalogState restored;
  restored.Restore(state.catalog(), state.outcomes());
  CHECK(restored.catalog().flows().version() == 4);
}

}  // namespace
}  // namespace vanillalatch
