#include "vanillalatch/catalog/state_machine.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <functional>

#include "vanillalatch/catalog/catalog_image.h"

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
      {"warm-up above 10 minutes",
       [&](pb::Change& it) { service(it)->set_warm_up_ms(600'001); }},
      {"rate above 1,000,000",
       [&](pb::Change& it) { service(it)->set_warm_up_per_second(1'000'001); }},
      {"rate below 0",
       [&](pb::Change& it) { service(it)->set_warm_up_per_second(-1); }},
      {"rate that is no number",
       [&](pb::Change& it) {
         service(it)->set_warm_up_per_second(std::nan(""));
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

pb::Change OrderChange(const std::string& data_center, bool end,
                       const std::string& id, const std::string& author) {
  pb::Change change;
  change.set_change_id(id);
  change.set_author(author);
  change.set_unix_ms(7);
  change.mutable_evacuation()->set_data_center(data_center);
  change.mutable_evacuation()->set_end(end);
  return change;
}

// The data centres that are evacuated, each with the revision and the author.
std::string Evacuations(const pb::Catalog& catalog) {
  std::string text;
  for (const pb::Evacuation& it : catalog.evacuations()) {
    text += it.data_center() + " " + std::to_string(it.revision()) + " " +
            it.author() + ";";
  }
  return text;
}

// Guards against an order that is lost in a later change of the catalog, or
// that a repetition reverts or moves to another revision.
TEST_CASE("the last order of a data centre is valid", "[state_machine]") {
  struct Row {
    const char* name;
    pb::Change change;
    bool accepted;
    std::uint64_t revision;  // Afterwards.
    const char* evacuations;
  };
  pb::Change service_with_order_id = MakeChange("o1", 3, {"plans"});
  // The fields beside the order are unused.
  pb::Change mixed = OrderChange("east", false, "o6", "bob");
  mixed.mutable_flows()->set_version(99);
  mixed.set_base_revision(77);
  const Row rows[] = {
      {"catalog", MakeChange("a", 0, {"records"}), true, 1, ""},
      {"start", OrderChange("north", false, "o1", "alice"), true, 2,
       "north 2 alice;"},
      {"the same start", OrderChange("north", false, "o1", "alice"), true, 2,
       "north 2 alice;"},
      {"start by another operator", OrderChange("north", false, "o2", "bob"),
       true, 2, "north 2 alice;"},
      {"end of one not in force", OrderChange("west", true, "o3", "bob"), true,
       2, "north 2 alice;"},
      {"second data centre, ordered by name",
       OrderChange("east", false, "o4", "bob"), true, 3,
       "east 3 bob;north 2 alice;"},
      {"catalog from the revision before", MakeChange("b", 1, {"plans"}), false,
       3, "east 3 bob;north 2 alice;"},
      {"catalog with the id of an order", service_with_order_id, true, 4,
       "east 3 bob;north 2 alice;"},
      {"flow table", FlowChange(5, "five"), true, 5,
       "east 3 bob;north 2 alice;"},
      {"end", OrderChange("north", true, "o5", "bob"), true, 6, "east 3 bob;"},
      {"the same end", OrderChange("north", true, "o5", "bob"), true, 6,
       "east 3 bob;"},
      {"late repeat of the start", OrderChange("north", false, "o1", "alice"),
       true, 7, "east 3 bob;north 7 alice;"},
      {"order with other fields set", mixed, true, 7,
       "east 3 bob;north 7 alice;"},
  };
  CatalogState state;
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const pb::ChangeOutcome outcome = state.Apply(row.change);
    CHECK(outcome.accepted() == row.accepted);
    CHECK(outcome.revision() == row.revision);
    CHECK(state.catalog().revision() == row.revision);
    CHECK(Evacuations(state.catalog()) == row.evacuations);
  }
  CHECK(state.catalog().flows().version() == 5);
  CHECK(state.outcomes().size() == 3);  // Those of the catalog.
}

// Guards against stored data or differences that drop evacuations, and against
// a start from stored data of a version that has none.
TEST_CASE("evacuations survive a snapshot and a difference",
          "[state_machine]") {
  const bool evacuated = GENERATE(false, true);
  CatalogState state;
  state.Apply(MakeChange("a", 0, {"records"}));
  const CatalogImage before = CatalogImage::Encode(state.catalog());
  if (evacuated) {
    state.Apply(OrderChange("north", false, "o1", "alice"));
  }
  pb::Catalog stored;
  REQUIRE(stored.ParseFromString(state.catalog().SerializeAsString()));
  CatalogState restored;
  restored.Restore(stored, state.outcomes());
  CHECK(IsEvacuated(restored.catalog(), "north") == evacuated);
  const CatalogImage after = CatalogImage::Encode(state.catalog());
  const Result<CatalogImage> received =
      CatalogImage::Apply(before, CatalogImage::Difference(before, after));
  REQUIRE(received.ok());
  CHECK(IsEvacuated(received->Decode().value(), "north") == evacuated);
}

TEST_CASE("the name of a data centre", "[state_machine]") {
  const auto [name, valid] = GENERATE(table<std::string, bool>({
      {"", false},
      {"north", true},
      {"A-z_0.9", true},
      {std::string(64, 'a'), true},
      {std::string(65, 'a'), false},
      {"a b", false},
      {"a/b", false},
      {"n\xc3\xb6rd", false},
      {std::string("a\0b", 3), false},
  }));
  CAPTURE(name);
  CHECK(IsDataCenterName(name) == valid);
}

}  // namespace
}  // namespace vanillalatch
