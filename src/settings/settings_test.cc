#include "vanillalatch/settings/settings.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <string>

namespace vanillalatch {
namespace {

constexpr std::string_view kValid = R"({
  // Both roles.
  "vm": "one",
  "data_center": "north",
  "entry": {
    "listen": "127.0.0.1:5683",
    "backend": "127.0.0.1:5684",
    "peer": "127.0.0.1:7100",
    "admin": "127.0.0.1:7101",
    "seeds": ["127.0.0.1:7100", "127.0.0.2:7100"],
    "control": ["127.0.0.1:7000"],
    "drain_limit": "3s",
    "backend_timeout": "250ms"
  },
  "control": {
    "listen": "127.0.0.1:7000",
    "data_folder": "/data",
    "voters": [
      {"vm": "one", "address": "127.0.0.1:7000", "data_center": "north"},
      {"vm": "two", "address": "127.0.0.2:7000", "data_center": "south"}
    ]
  },
  "log": {"level": "debug", "file": "one.jsonl"},
  "trace_file": "traces.jsonl",
  "metrics": "127.0.0.1:9100"
})";

// Returns kValid with the first `from` replaced by `to`.
std::string ReplaceInValid(std::string_view from, std::string_view to) {
  std::string text(kValid);
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

TEST_CASE("every setting is read", "[settings]") {
  const Settings s = ParseSettings("vm.json", kValid).value();
  CHECK(s.vm == "one");
  CHECK(s.data_center == "north");
  CHECK(s.entry->listen.ToString() == "127.0.0.1:5683");
  CHECK(s.entry->backend.ToString() == "127.0.0.1:5684");
  CHECK(s.entry->peer.ToString() == "127.0.0.1:7100");
  CHECK(s.entry->admin.ToString() == "127.0.0.1:7101");
  CHECK(s.entry->seeds.size() == 2);
  CHECK(s.entry->control.size() == 1);
  CHECK(s.entry->drain_limit == std::chrono::seconds(3));
  CHECK(s.entry->backend_timeout == std::chrono::milliseconds(250));
  CHECK(s.control->listen.ToString() == "127.0.0.1:7000");
  CHECK(s.control->data_folder == "/data");
  CHECK(s.control->voters[1].vm == "two");
  CHECK(s.control->voters[1].data_center == "south");
  CHECK(s.log_level == "debug");
  CHECK(s.log_file == "one.jsonl");
  CHECK(s.trace_file == "traces.jsonl");
  CHECK(s.metrics->ToString() == "127.0.0.1:9100");
}

// The platform's template writes the rate with a fraction. A rate that can't be
// right must not decide how many dispatchers a service has.
TEST_CASE("the rate of the fleet's links", "[settings]") {
  const auto parse = [](const std::string& rate) {
    return ParseSettings(
        "vm.json", R"({"vm": "one", "data_center": "north",
      "fleet": {"listen": "127.0.0.1:7100", "seeds": [], "control_port": 7000)" +
                       rate + R"(}, "flows": {"listen": "127.0.0.1:80"}})");
  };
  CHECK(parse("").value().fleet->link_mbit_per_s == std::nullopt);
  CHECK(parse(R"(, "link_mbit_per_s": 2.5)").value().fleet->link_mbit_per_s ==
        2.5);
  CHECK(parse(R"(, "link_mbit_per_s": 200)").value().fleet->link_mbit_per_s ==
        200.0);
  for (const char* it : {"0", "-1", "1e9", "\"2\"", "null"}) {
    CAPTURE(it);
    CHECK(!parse(std::string(R"(, "link_mbit_per_s": )") + it).ok());
  }
}

// A replacement in kValid that makes it invalid, and the error it causes.
struct InvalidSetting {
  std::string_view from;
  std::string_view to;
  std::string expected;  // The message after "vm.json:".
};

const std::string kAddressText =
    "expected the address and port of one machine, \"A.B.C.D:PORT\", got ";
const std::string kNameText =
    "expected a name of 1 to 63 letters, digits, '.', '_' or '-', a letter or "
    "digit first, got ";

struct LevelCase {
  std::string_view level;    // Member of the file.
  std::string_view unknown;  // Member with an unknown key.
  std::string_view error;    // Part of the message; empty: accepted.
  std::vector<std::string> ignored_keys;
};

// Guards against a process that exits when the settings of the next version are
// installed before its binary, and against a typo that goes unnoticed.
TEST_CASE("only a file for a newer build may have unknown keys", "[settings]") {
  const std::string current =
      "\"level\": " + std::to_string(kCurrentLevel.value()) + ",";
  const auto row = GENERATE_COPY(values<LevelCase>({
      {"", "", "", {}},
      {current, "", "", {}},
      {"\"level\": 999,", "", "", {}},
      {"\"level\": 999,", "\"depth\": 3,", "", {"vm.json:5: entry.depth"}},
      {"", "\"depth\": 3,", "entry.depth: expected one of the keys", {}},
      {current, "\"depth\": 3,", "entry.depth: expected one of the keys", {}},
      {"\"level\": 0,", "", "level: expected", {}},
      {"\"level\": \"6\",", "", "level: expected", {}},
      {"\"level\": 2026000,", "", "level: expected", {}},
  }));
  CAPTURE(row.level, row.unknown);
  std::string text =
      ReplaceInValid("\"entry\": {", "\"entry\": {" + std::string(row.unknown));
  text.insert(text.find("\"vm\""), row.level);
  const Result<Settings> settings = ParseSettings("vm.json", text);
  if (!row.error.empty()) {
    REQUIRE_FALSE(settings.ok());
    CHECK_THAT(std::string(settings.error().what()),
               Catch::Contains(std::string(row.error)));
    return;
  }
  REQUIRE(settings.ok());
  CHECK(settings->ignored_keys == row.ignored_keys);
}

TEST_CASE("each fault is refused with its line and key", "[settings]") {
  const auto row = GENERATE(values<InvalidSetting>({
      // Keys.
      {"\"vm\": \"one\"", "\"name\": \"one\"",
       "3: name: expected one of the keys vm, data_center, level, "
       "data_centers, entry, control, "
       "fleet, flows, doors, log, trace_file, metrics, got an unknown key"},
      {"\"vm\": \"one\",", "", "1: vm: expected this key, got nothing"},
      {"\"data_center\"", "\"vm\"",
       "4: vm: expected each key once, got it twice"},
      {"\"admin\": \"127.0.0.1:7101\",", "\"weight\": 3,",
       "9: entry.weight: expected one of the keys listen, backend, peer, "
       "admin, seeds, control, drain_limit, backend_timeout, got an unknown "
       "key"},
      {"\"admin\": \"127.0.0.1:7101\",", "",
       "5: entry.admin: expected this key, got nothing"},
      {"\"vm\": \"two\", ", "",
       "20: control.voters[1].vm: expected this key, got nothing"},
      // Types.
      {"\"vm\": \"one\"", "\"vm\": 1", "3: vm: expected a quoted text, got 1"},
      {"\"north\"", "[]",
       "4: data_center: expected a quoted text, got an array"},
      {"{\"level\": \"debug\", \"file\": \"one.jsonl\"}", "\"debug\"",
       "23: log: expected an object, got \"debug\""},
      {"[\"127.0.0.1:7000\"]", "\"127.0.0.1:7000\"",
       "11: entry.control: expected an array, got \"127.0.0.1:7000\""},
      {"\"127.0.0.1:9100\"", "9100", "25: metrics: " + kAddressText + "9100"},
      {"\"traces.jsonl\"", "null",
       "24: trace_file: expected a quoted text, got null"},
      // Names.
      {"\"one\"", "\"\"", "3: vm: " + kNameText + "\"\""},
      {"\"one\"", "\"a b\"", "3: vm: " + kNameText + "\"a b\""},
      {"\"north\"", "\"-north\"",
       "4: data_center: " + kNameText + "\"-north\""},
      // Ranges.
      {"\"3s\"", "\"3\"",
       "12: entry.drain_limit: expected a time from \"100ms\" to \"10m\", got "
       "\"3\""},
      {"\"3s\"", "\"99ms\"",
       "12: entry.drain_limit: expected a time from \"100ms\" to \"10m\", got "
       "\"99ms\""},
      {"\"250ms\"", "\"3m\"",
       "13: entry.backend_timeout: expected a time from \"10ms\" to \"2m\", "
       "got \"3m\""},
      {"\"250ms\"", "\"-5s\"",
       "13: entry.backend_timeout: expected a time from \"10ms\" to \"2m\", "
       "got \"-5s\""},
      {"\"debug\"", "\"loud\"",
       "23: log.level: expected one of \"trace\" \"debug\" \"info\" \"warn\" "
       "\"error\", got \"loud\""},
      {"[\"127.0.0.1:7000\"]", "[]",
       "11: entry.control: expected at least one control VM's address, got an "
       "array"},
      {"\"/data\"", "\"\"",
       "17: control.data_folder: expected the path of a folder, got \"\""},
      // Addresses.
      {"127.0.0.1:5683", "127.0.0.1",
       "6: entry.listen: " + kAddressText + "\"127.0.0.1\""},
      {"127.0.0.1:5683", "127.0.0.1:0",
       "6: entry.listen: " + kAddressText + "\"127.0.0.1:0\""},
      {"127.0.0.1:5683", "0.0.0.0:5683",
       "6: entry.listen: " + kAddressText + "\"0.0.0.0:5683\""},
      {"127.0.0.1:5683", "224.0.0.1:5683",
       "6: entry.listen: " + kAddressText + "\"224.0.0.1:5683\""},
      {"127.0.0.1:5683", "localhost:5683",
       "6: entry.listen: " + kAddressText + "\"localhost:5683\""},
      {"127.0.0.1:5683", "127.0.0.1:65536",
       "6: entry.listen: " + kAddressText + "\"127.0.0.1:65536\""},
      {"127.0.0.1:5684", "127.0.0.1:5683",
       "7: entry.backend: expected an address that entry.listen does not use "
       "already, got \"127.0.0.1:5683\""},
      {"127.0.0.1:9100", "127.0.0.1:7101",
       "25: metrics: expected an address that entry.admin does not use "
       "already, got \"127.0.0.1:7101\""},
      {"127.0.0.2:7100", "127.0.0.1:7100",
       "10: entry.seeds[1]: expected each address once, got "
       "\"127.0.0.1:7100\""},
      // Voters.
      {"\"vm\": \"two\"", "\"vm\": \"one\"",
       "20: control.voters[1].vm: expected each voter's name once, got "
       "\"one\""},
      {"127.0.0.2:7000", "127.0.0.1:7000",
       "20: control.voters[1].address: expected each voter's address once, got "
       "\"127.0.0.1:7000\""},
      {"\"address\": \"127.0.0.1:7000\"", "\"address\": \"127.0.0.3:7000\"",
       "19: control.voters[0].address: expected the address of this VM's "
       "\"listen\", \"127.0.0.1:7000\", got \"127.0.0.3:7000\""},
      {"\"data_center\": \"north\"}", "\"data_center\": \"south\"}",
       "19: control.voters[0].data_center: expected the data centre of this "
       "VM, \"north\", got \"south\""},
      {"{\"vm\": \"one\", \"address\"", "{\"vm\": \"three\", \"address\"",
       "19: control.voters[0].address: expected another address than this "
       "VM's \"listen\", got \"127.0.0.1:7000\""},
      // Syntax errors.
      {"\"vm\": \"one\",", "\"vm\": \"one\"",
       "4: expected JSON with comments, got a syntax error while parsing "
       "object - unexpected string literal; expected '}'"},
  }));
  const Result<Settings> settings =
      ParseSettings("vm.json", ReplaceInValid(row.from, row.to));
  REQUIRE_FALSE(settings.ok());
  CHECK(settings.error().kind() == ErrorKind::kInvalidArgument);
  CHECK(settings.error().what() == "vm.json:" + row.expected);
}

// Guards against a process that is ended by a file of few bytes when it reads
// its settings again.
TEST_CASE("a file that is nested too deeply is refused", "[settings]") {
  struct Row {
    std::size_t levels;  // With that of the file itself.
    bool too_deep;
  };
  const Row row = GENERATE(Row{64, false}, Row{65, true}, Row{100'000, true});
  const std::string text = R"({"vm": )" + std::string(row.levels - 1, '[') +
                           std::string(row.levels - 1, ']') + "}";
  const Result<Settings> settings = ParseSettings("vm.json", text);
  REQUIRE(!settings.ok());
  const std::string error = settings.error().what();
  CHECK((error.find("at most 64 nested levels") != std::string::npos) ==
        row.too_deep);
}

TEST_CASE("a process needs a role", "[settings]") {
  const auto text = GENERATE(values<std::string>(
      {R"({"vm": "one", "data_center": "north"})", "[]", "", "{", "7"}));
  CHECK(ParseSettings("vm.json", text).error().kind() ==
        ErrorKind::kInvalidArgument);
}

TEST_CASE("what is left out has its default", "[settings]") {
  const Settings s =
      ParseSettings("vm.json", R"({"vm": "a", "data_center": "b", "entry": {
        "listen": "127.0.0.1:1", "backend": "127.0.0.1:2",
        "peer": "127.0.0.1:3", "admin": "127.0.0.1:3",
        "control": ["127.0.0.1:4"]}})")
          .value();
  CHECK(s.entry->seeds.empty());
  CHECK(s.entry->drain_limit == EntrySettings{}.drain_limit);
  CHECK(s.entry->backend_timeout == EntrySettings{}.backend_timeout);
  CHECK(s.log_level == "info");
  CHECK(s.log_file.empty());
  CHECK(s.trace_file.empty());
  CHECK_FALSE(s.metrics.has_value());
  CHECK_FALSE(s.control.has_value());
}

TEST_CASE("a file that does not exist is not found", "[settings]") {
  CHECK(ReadSettings("/nonexistent/vm.json").error().kind() ==
        ErrorKind::kNotFound);
}

TEST_CASE("the settings in examples are valid", "[settings]") {
  int files = 0;
  for (const auto& it :
       std::filesystem::recursive_directory_iterator("examples")) {
    const std::string path = it.path();
    const std::string name = it.path().filename();
    if (!it.is_regular_file() || name.starts_with("catalog")) {
      continue;  // Tested in catalog_file_test.cc.
    }
    ++files;
    const Result<Settings> settings = ReadSettings(path);
    INFO((settings.ok() ? path : settings.error().what()));
    CHECK(settings.ok());
  }
  CHECK(files == 14);
}

// Guards against a list that lacks this VM's own data centre or names one
// twice, and against a VM that does not start where the platform fills in no
// list.
TEST_CASE("the list of data centres is read", "[settings]") {
  struct Row {
    const char* list;
    std::size_t count;
    const char* error;  // Part of it; empty: valid.
  };
  const Row row = GENERATE(
      Row{"[]", 0, ""}, Row{R"([{"name": "north", "region": "r 1"}])", 1, ""},
      Row{R"([{"name": "south", "region": ""},
              {"name": "north", "region": "r1"}])",
          2, ""},
      Row{R"([{"name": "south", "region": "r1"}])", 0, "\"north\""},
      Row{R"([{"name": "north", "region": "r1"},
              {"name": "north", "region": "r2"}])",
          0, "once"},
      Row{R"([{"name": "", "region": "r1"}])", 0, "name"},
      Row{R"([{"name": "north"}])", 0, "region"},
      Row{R"([{"name": "north", "region": 1}])", 0, "region"},
      Row{R"([{"name": "north", "region": "r", "x": 1}])", 0, "x"},
      Row{R"({"north": "r1"})", 0, "data_centers"});
  CAPTURE(row.list);
  const Result<Settings> settings = ParseSettings(
      "vm.json",
      ReplaceInValid("\"entry\"", "\"data_centers\": " + std::string(row.list) +
                                      ", \"entry\""));
  REQUIRE(settings.ok() == (*row.error == '\0'));
  if (settings.ok()) {
    CHECK(settings->data_centers.size() == row.count);
  } else {
    CHECK_THAT(settings.error().what(), Catch::Contains(row.error));
  }
}

}  // namespace
}  // namespace vanillalatch
