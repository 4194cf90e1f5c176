// Tests which revisions a VM takes for newer than its own.
#include "src/membership/revision_board.h"

#include <catch2/catch.hpp>
#include <limits>
#include <vector>

namespace vanillalatch::internal {
namespace {

using std::chrono::seconds;

const TimePoint kStart{seconds(100)};

pb::MembershipMessage Stating(std::uint64_t revision) {
  pb::MembershipMessage message;
  message.set_catalog_revision(revision);
  return message;
}

// Guards against a VM that does not notice that its neighbours have a newer
// catalog.
TEST_CASE("the highest revision above the own one counts") {
  struct Row {
    std::uint64_t own;
    std::vector<std::uint64_t> stated;  // By a sender each.
    Duration age;                       // Of the statements.
    std::uint64_t newer;
  };
  const Row row = GENERATE_REF(values<Row>({{0, {}, {}, 0},
                                            {0, {0}, {}, 0},
                                            {0, {3}, {}, 3},
                                            {3, {3, 2}, {}, 0},
                                            {3, {4, 9, 5}, {}, 9},
                                            {3, {4}, seconds(4), 4},
                                            {3, {4}, seconds(5), 0}}));
  RevisionBoard board;
  board.Set(row.own);
  std::uint64_t sender = 0;
  for (const std::uint64_t it : row.stated) {
    board.Merge(kStart, NodeId(++sender), Stating(it));
  }
  CHECK(board.Newer(kStart + row.age) == row.newer);
}

// Guards against a statement that outlives its cause.
TEST_CASE("a statement ends with the catalog it announced or its sender's") {
  RevisionBoard board;
  board.Set(3);
  board.Merge(kStart, NodeId(1), Stating(5));
  board.Merge(kStart, NodeId(2), Stating(4));
  board.Merge(kStart, NodeId(1), Stating(3));  // Has started again.
  CHECK(board.Newer(kStart) == 4);
  board.Set(4);
  CHECK(board.Newer(kStart) == 0);
  board.Set(2);
  CHECK(board.own() == 4);
}

// Guards against unbounded memory, and against a foreign writer that hides the
// statements of real peers for long.
TEST_CASE("statements of many senders are bounded and expire") {
  RevisionBoard board;
  constexpr auto kHuge = std::numeric_limits<std::uint64_t>::max();
  for (std::uint64_t it = 1; it <= 10 * RevisionBoard::kMaxStatements; ++it) {
    board.Merge(kStart, NodeId(it), Stating(kHuge));
  }
  CHECK(board.Newer(kStart) == kHuge);
  const TimePoint later = kStart + RevisionBoard::kStatementLifetime;
  board.Merge(later, NodeId(7), Stating(6));
  CHECK(board.Newer(later) == 6);
}

}  // namespace
}  // namespace vanillalatch::internal
