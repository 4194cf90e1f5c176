#include "src/membership/member_table.h"

#include <catch2/catch.hpp>

#include "vanillalatch/base/hash.h"

namespace vanillalatch::internal {
namespace {

pb::MemberUpdate Update(std::uint64_t incarnation, const char* data_center) {
  Member member;
  member.name = "vm";
  member.id = NodeId(StableHash(member.name));
  member.incarnation = incarnation;
  member.data_center = data_center;
  pb::MemberUpdate update;
  ToUpdate(member, true, update);
  return update;
}

// All VMs must select the same dispatcher of a data centre. A VM of an older
// build drops the data centre from the members that it passes on; a VM that
// heard of a member from it must still learn the data centre.
TEST_CASE("a member's data centre", "[membership]") {
  struct Row {
    pb::MemberUpdate first;
    pb::MemberUpdate second;
    std::string data_center;
  };
  const Row row =
      GENERATE(Row{Update(1, "north"), Update(1, "north"), "north"},
               Row{Update(1, "north"), Update(1, ""), "north"},
               Row{Update(1, ""), Update(1, "north"), "north"},
               Row{Update(1, ""), Update(1, ""), ""},
               Row{Update(1, "north"), Update(2, "south"), "south"},
               Row{Update(2, "north"), Update(1, "south"), "north"});
  MemberTable table(std::chrono::seconds(1));
  table.Merge(TimePoint{}, row.first);
  table.Merge(TimePoint{}, row.second);
  CHECK(table.Find(NodeId(row.first.id()))->member.data_center ==
        row.data_center);
}

}  // namespace
}  // namespace vanillalatch::internal
