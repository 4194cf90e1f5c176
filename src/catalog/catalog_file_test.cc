#include "vanillalatch/catalog/catalog_file.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <string>

#include "vanillalatch/jsonc/document.h"

namespace vanillalatch {
namespace {

constexpr std::string_view kValid = R"({
  "services": [{
    "name": "records", "work": "sessions",
    "classes": [
      // The tighter class.
      {"name": "notes", "paths": ["/notes", "/notes/old"],
       "latency": "100ms", "success": "99.9%",
       "share": "60%"},
      {"name": "reads", "latency": "2s", "success": "98%",
       "share": "40%"}
    ]
  }, {
    "name": "plans",
    "classes": [
      {"name": "files", "latency": "1m", "success": "100%", "share": "100%"}
    ]
  }]
})";

pb::Change Valid() { return ParseCatalogFile("c.json", kValid).value(); }

pb::Catalog CatalogOf(const pb::Change& change) {
  pb::Catalog catalog;
  *catalog.mutable_services() = change.services();
  *catalog.mutable_draining_vms() = change.draining_vms();
  return catalog;
}

TEST_CASE("every field of a catalog file is read", "[catalog]") {
  const pb::Change change = Valid();
  REQUIRE(change.services_size() == 2);
  const pb::Service& records = change.services(0);
  CHECK(records.name() == "records");
  CHECK(records.work() == pb::WORK_SESSIONS);
  CHECK(records.classes(0).name() == "notes");
  CHECK(records.classes(0).path_prefixes(1) == "/notes/old");
  CHECK(records.classes(0).latency_ms() == 100);
  CHECK(records.classes(0).success_permille() == 999);
  CHECK(records.classes(0).share_percent() == 60);
  CHECK(records.classes(1).path_prefixes().empty());
  CHECK(records.classes(1).latency_ms() == 2000);
  CHECK(change.services(1).work() == pb::WORK_REQUESTS);
  CHECK(change.services(1).classes(0).latency_ms() == 60'000);
}

struct Refusal {
  std::string_view from;
  std::string_view to;
  std::string expected;  // The message after "c.json:".
};

TEST_CASE("each fault is refused with its line and key", "[catalog]") {
  const auto row = GENERATE(values<Refusal>({
      // Keys: a catalog file contains no weights and no addresses.
      {"\"work\": \"sessions\"", "\"address\": \"127.0.0.1:80\"",
       "3: services[0].address: expected one of the keys name, work, classes, "
       "warm_up, warm_up_per_second, got an unknown key"},
      {"\"work\": \"sessions\"", "\"warm_up\": \"11m\"",
       "3: services[0].warm_up: expected a time from \"1ms\" to \"10m\", got "
       "\"11m\""},
      {"\"work\": \"sessions\"", "\"warm_up_per_second\": 0",
       "3: services[0].warm_up_per_second: expected a whole number from 1 to "
       "1000000, got 0"},
      {"\"share\": \"60%\"", "\"weight\": 3",
       "8: services[0].classes[0].weight: expected one of the keys name, "
       "paths, latency, success, share, got an unknown key"},
      {"{\n  \"services\"", "{\n \"draining_vms\": [],\n  \"services\"",
       "2: draining_vms: expected one of the keys services, got an unknown "
       "key"},
      {"\"name\": \"plans\",", "",
       "12: services[1].name: expected this key, got nothing"},
      {"\"success\": \"99.9%\",", "",
       "6: services[0].classes[0].success: expected this key, got nothing"},
      // Types.
      {"\"100ms\"", "100",
       "7: services[0].classes[0].latency: expected a time from \"1ms\" to "
       "\"60m\", got 100"},
      {"\"60%\"", "0.6",
       "8: services[0].classes[0].share: expected a percentage from \"1%\" to "
       "\"100%\", got 0.6"},
      {"[\"/notes\", \"/notes/old\"]", "\"/notes\"",
       "6: services[0].classes[0].paths: expected an array, got \"/notes\""},
      {"\"sessions\"", "true",
       "3: services[0].work: expected one of \"requests\" \"sessions\", got "
       "true"},
      // Ranges.
      {"\"100ms\"", "\"0ms\"",
       "7: services[0].classes[0].latency: expected a time from \"1ms\" to "
       "\"60m\", got \"0ms\""},
      {"\"99.9%\"", "\"100.1%\"",
       "7: services[0].classes[0].success: expected a percentage from \"0.1%\" "
       "to \"100%\", got \"100.1%\""},
      {"\"99.9%\"", "\"99.95%\"",
       "7: services[0].classes[0].success: expected a percentage from \"0.1%\" "
       "to \"100%\", got \"99.95%\""},
      {"\"60%\"", "\"0%\"",
       "8: services[0].classes[0].share: expected a percentage from \"1%\" to "
       "\"100%\", got \"0%\""},
      {"\"60%\"", "\"1.5%\"",
       "8: services[0].classes[0].share: expected a whole percentage, got "
       "\"1.5%\""},
      {"\"40%\"", "\"41%\"",
       "10: services[0].classes[1].share: expected shares of at most 100% in a "
       "service, here they sum up to 101%, got \"41%\""},
      {"\"/notes/old\"", "\"notes\"",
       "6: services[0].classes[0].paths[1]: expected the start of a path, such "
       "as \"/urgent\", got \"notes\""},
      {"[\"/notes\", \"/notes/old\"]", "[]",
       "6: services[0].classes[0].paths: expected at least one path, or no key "
       "\"paths\" for all others, got an array"},
      // Duplicates.
      {"\"name\": \"plans\"", "\"name\": \"records\"",
       "13: services[1].name: expected each service name once, got "
       "\"records\""},
      {"\"name\": \"reads\"", "\"name\": \"notes\"",
       "9: services[0].classes[1].name: expected each class name once in a "
       "service, got \"notes\""},
      {"\"/notes/old\"", "\"/notes\"",
       "6: services[0].classes[0].paths[1]: expected each path once in a "
       "service, got \"/notes\""},
      {"\"paths\": [\"/notes\", \"/notes/old\"],", "",
       "9: services[0].classes[1]: expected only one class without \"paths\" "
       "in a service, got an object"},
      // A service name must not be an address.
      {"\"name\": \"plans\"", "\"name\": \"127.0.0.1:80\"",
       "13: services[1].name: expected a name of 1 to 63 letters, digits, "
       "'.', '_' or '-', a letter or digit first, got \"127.0.0.1:80\""},
      {"{\"name\": \"files\", \"latency\": \"1m\", \"success\": \"100%\", "
       "\"share\": \"100%\"}",
       "",
       "14: services[1].classes: expected at least one class, got an array"},
  }));
  std::string text(kValid);
  REQUIRE(text.find(row.from) != std::string::npos);
  text.replace(text.find(row.from), row.from.size(), row.to);
  const Result<pb::Change> change = ParseCatalogFile("c.json", text);
  REQUIRE_FALSE(change.ok());
  CHECK(change.error().kind() == ErrorKind::kInvalidArgument);
  CHECK(change.error().what() == "c.json:" + row.expected);
}

TEST_CASE("a catalog that was printed reads back the same", "[catalog]") {
  const pb::Change change = Valid();
  const pb::Change again =
      ParseCatalogFile("printed", FormatCatalog(CatalogOf(change))).value();
  CHECK(again.SerializeAsString() == change.SerializeAsString());
}

using Lines = std::vector<std::string>;

TEST_CASE("differences are named one by one", "[catalog]") {
  struct Row {
    std::string_view from;
    std::string_view to;
    Lines expected;
  };
  const auto row = GENERATE(values<Row>({
      {"", "", {}},
      {"\"100ms\"",
       "\"80ms\"",
       {"service records: class notes: latency 100ms -> 80ms"}},
      {"\"99.9%\"",
       "\"99%\"",
       {"service records: class notes: success 99.9% -> 99%"}},
      {"\"40%\"",
       "\"30%\"",
       {"service records: class reads: share 40% -> 30%"}},
      {", \"work\": \"sessions\"",
       "",
       {"service records: work sessions -> requests"}},
      {", \"/notes/old\"",
       "",
       {"service records: class notes: paths /notes, /notes/old -> /notes"}},
      {"\"reads\"",
       "\"rest\"",
       {"service records: class rest: new, latency 2s, success 98%, share 40%, "
        "paths all others",
        "service records: class reads: deleted"}},
      {"\"plans\"",
       "\"sheets\"",
       {"service sheets: new, work requests",
        "service sheets: class files: new, latency 1m, success 100%, share "
        "100%, paths all others",
        "service plans: deleted"}},
  }));
  std::string text(kValid);
  text.replace(text.find(row.from), row.from.size(), row.to);
  const pb::Change change = ParseCatalogFile("c.json", text).value();
  CHECK(DescribeDifference(CatalogOf(Valid()), change) == row.expected);
}

TEST_CASE("drained VMs are part of the difference", "[catalog]") {
  pb::Change change = Valid();
  change.add_draining_vms("one");
  CHECK(DescribeDifference(CatalogOf(Valid()), change) ==
        Lines{"VM one: drained"});
  CHECK(DescribeDifference(CatalogOf(change), Valid()) ==
        Lines{"VM one: no longer drained"});
}

TEST_CASE("the longest matching path names the class", "[catalog]") {
  struct Row {
    std::string path;
    std::string expected;
  };
  const auto row = GENERATE(values<Row>({{"/notes", "notes"},
                                         {"/notes/old/3", "notes"},
                                         {"/note", "reads"},
                                         {"/", "reads"},
                                         {"/urgent", "reads"}}));
  const pb::Change change = Valid();
  CHECK(FindClassByPath(change.services(0), row.path)->name() == row.expected);
  pb::Service without_default = change.services(0);
  without_default.mutable_classes()->RemoveLast();
  const pb::ClassTarget* target = FindClassByPath(without_default, row.path);
  CHECK((target == nullptr) == (row.expected == "reads"));
}

TEST_CASE("the catalogs in examples are valid", "[catalog]") {
  int files = 0;
  for (const auto& it :
       std::filesystem::recursive_directory_iterator("examples")) {
    const std::string path = it.path();
    const std::string name = it.path().filename();
    if (!it.is_regular_file() || !name.starts_with("catalog")) {
      continue;  // settings_test.cc reads these.
    }
    ++files;
    const Result<pb::Change> change =
        ParseCatalogFile(path, ReadWholeFile(path).value());
    INFO((change.ok() ? path : change.error().what()));
    CHECK(change.ok());
  }
  CHECK(files == 3);
}

// Guards against a warm-up bound that is lost when an operator reads the
// catalog and applies it again.
TEST_CASE("a warm-up bound is read, shown and written", "[catalog]") {
  std::string text(kValid);
  text.replace(text.find("\"name\": \"plans\""), 15,
               "\"name\": \"plans\", \"warm_up\": \"1500ms\", "
               "\"warm_up_per_second\": 5");
  const pb::Change change = ParseCatalogFile("c.json", text).value();
  CHECK(change.services(0).warm_up_ms() == 0);
  CHECK(change.services(1).warm_up_ms() == 1500);
  CHECK(change.services(1).warm_up_per_second() == 5);
  CHECK(DescribeDifference(CatalogOf(Valid()), change) ==
        std::vector<std::string>{
            "service plans: warm-up none -> 1500ms",
            "service plans: requests per second while warming up no bound -> "
            "5"});
  const std::string written = FormatCatalog(CatalogOf(change));
  CHECK(ParseCatalogFile("c.json", written).value().SerializeAsString() ==
        change.SerializeAsString());
}

}  // namespace
}  // namespace vanillalatch
