// Tests which evacuation notices of peers a VM follows.
#include "src/membership/evacuation_board.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace vanillalatch::internal {
namespace {

using Names = std::vector<std::string>;

const TimePoint kStart{std::chrono::seconds(100)};
constexpr std::size_t kAmple = 1000;

pb::MembershipMessage Notice(std::uint64_t revision, const Names& names) {
  pb::MembershipMessage message;
  message.mutable_evacuations()->set_revision(revision);
  for (const std::string& it : names) {
    message.mutable_evacuations()->add_data_centers(it);
  }
  return message;
}

// Guards against an evacuation that a damaged or a late message starts or ends.
TEST_CASE("Of two notices the valid one with the higher revision counts") {
  struct Row {
    std::uint64_t revision;
    Names names;
    Names expected;
  };
  const Row row =
      GENERATE_REF(values<Row>({{6, {"south"}, {"south"}},
                                {6, {}, {}},
                                {5, {"south"}, {"north"}},
                                {4, {}, {"north"}},
                                {0, {"south"}, {"north"}},
                                {6, {""}, {"north"}},
                                {6, {std::string(65, 'x')}, {"north"}},
                                {6, Names(17, "south"), {"north"}}}));
  EvacuationBoard board;
  board.Set(kStart, {5, {"north"}});
  board.Merge(kStart, Notice(row.revision, row.names));
  CHECK(board.state().data_centers == row.expected);
  board.Merge(kStart, {});
  CHECK(board.state().data_centers == row.expected);
}

// Guards against a catalog that is older than what a neighbour knows.
TEST_CASE("A catalog replaces a notice unless the notice is newer") {
  EvacuationBoard board;
  board.Merge(kStart, Notice(7, {"north"}));
  board.Set(kStart, {6, {}});
  CHECK(board.state().data_centers == Names{"north"});
  board.Set(kStart, {7, {"south"}});
  CHECK(board.state().data_centers == Names{"south"});
}

// Guards against bytes in each probe of a fleet without evacuations, and
// against a neighbour that misses the end.
TEST_CASE("A notice is sent while in force and for a time after the end") {
  EvacuationBoard board;
  const auto is_sent = [&](TimePoint now, std::size_t max_bytes = kAmple) {
    pb::MembershipMessage message;
    board.Append(now, max_bytes, message);
    return message.has_evacuations();
  };
  board.Set(kStart, {1, {}});
  CHECK(!is_sent(kStart));
  board.Set(kStart, {2, {"north"}});
  CHECK(is_sent(kStart));
  CHECK(is_sent(kStart + std::chrono::hours(5)));
  CHECK(!is_sent(kStart, 5));
  board.Set(kStart, {3, {}});
  board.Set(kStart + std::chrono::seconds(30), {4, {}});
  CHECK(is_sent(kStart + std::chrono::seconds(59)));
  CHECK(!is_sent(kStart + EvacuationBoard::kEndNoticeTime));
}

}  // namespace
}  // namespace vanillalatch::internal
