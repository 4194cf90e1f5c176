// Tests which files a loss of power may leave, over many seeds.
#include "src/powerloss/file_history.h"

#include <catch2/catch.hpp>
#include <set>
#include <sstream>

namespace vanillalatch::powerloss {
namespace {

// The file "log" after each of many losses; "-" if it is missing.
std::set<std::string> LogsAfterLoss(const std::string& record,
                                    const std::string& content) {
  std::istringstream in(record);
  const FileHistory history = FileHistory::Parse(in).value();
  std::set<std::string> found;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    const auto left = history.LosePower(random, [&](Inode it) {
      return it == Inode(1) ? content : std::string("new");
    });
    const auto it = left.find("log");
    std::string text = it == left.end() ? "-" : it->second;
    for (char& c : text) {
      c = c == '\0' ? '.' : c;
    }
    found.insert(text);
  }
  return found;
}

TEST_CASE("a loss of power leaves what was synced, and any part of the rest") {
  struct Row {
    const char* what;
    const char* record;
    std::set<std::string> want;  // Torn writes end with a changed byte.
  };
  const Row row = GENERATE(values<Row>({
      {"synced",
       R"(create 1 log
write 1 0 1
sync 1
)",
       {"A"}},
      {"a new file", "create 1 log\n", {"-", ""}},
      {"one write of two is lost",
       R"(base 1 log 1
write 1 1 1
write 1 2 1
)",
       {"A", "AB", "ABC", "AB\x03", "A\x02", "A\x02\x43", "A\x02\x03", "A.C",
        "A.\x03"}},
      {"a later sync covers both",
       R"(base 1 log 1
write 1 1 1
write 1 2 1
sync 1
)",
       {"ABC"}},
      {"a replaced file",
       R"(base 1 log 3
create 2 log.tmp
write 2 0 3
sync 2
rename 2 log.tmp log
)",
       {"ABC", "new"}},
      {"a replaced file, names synced",
       R"(base 1 log 3
create 2 log.tmp
write 2 0 3
sync 2
rename 2 log.tmp log
sync-names
)",
       {"new"}},
      {"a removed file", "base 1 log 3\nremove log\n", {"ABC", "-"}},
      {"a line that was cut off", "base 1 log 3\nremove l", {"ABC"}},
  }));
  CAPTURE(row.what);
  CHECK(LogsAfterLoss(row.record, "ABC") == row.want);
}

}  // namespace
}  // namespace vanillalatch::powerloss
