// Tests which new flows are taken for the next try of a refused one.
#include "src/packetflow/recent_refusals.h"

#include <catch2/catch.hpp>

namespace vanillalatch::internal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

FlowOpening OpeningOf(std::uint32_t ip, std::uint16_t route_port,
                      std::uint32_t work_class) {
  FlowOpening opening;
  opening.caller = SocketAddress{ip, 4000};
  opening.route = SocketAddress{1, route_port};
  opening.work_class = ClassId(work_class);
  opening.timeout = seconds(2);
  return opening;
}

TEST_CASE("a refused caller's next flow keeps the time of its request") {
  struct Row {
    FlowOpening next;
    int refusals;  // Of the same address, route and class.
    Duration age;  // Of the request at the refusal.
    Duration gap;  // From the refusal to the next flow.
    bool taken;
  };
  const FlowOpening refused = OpeningOf(7, 443, 1);
  const auto row = GENERATE_COPY(values<Row>(
      {{refused, 1, milliseconds(300), milliseconds(5), true},
       {OpeningOf(8, 443, 1), 1, milliseconds(300), milliseconds(5), false},
       {OpeningOf(7, 444, 1), 1, milliseconds(300), milliseconds(5), false},
       {OpeningOf(7, 443, 2), 1, milliseconds(300), milliseconds(5), false},
       {refused, 1, milliseconds(300), RecentRefusals::kRetryWindow, false},
       {refused, 3, milliseconds(300), milliseconds(5), true},
       // Many callers share the address.
       {refused, 4, milliseconds(300), milliseconds(5), false},
       // The caller has no time left.
       {refused, 1, seconds(2), milliseconds(5), false}}));
  const TimePoint now(seconds(100));
  RecentRefusals refusals;
  for (int i = 0; i < row.refusals; ++i) {
    refusals.Add(now, refused, now - row.age);
  }
  const auto issued_at = refusals.TakeIssued(now + row.gap, row.next);
  REQUIRE(issued_at.has_value() == row.taken);
  if (row.taken) {
    CHECK(*issued_at == now - row.age);
  }
}

TEST_CASE("a refusal is used for one flow") {
  const FlowOpening opening = OpeningOf(7, 443, 1);
  const TimePoint now(seconds(100));
  RecentRefusals refusals;
  refusals.Add(now, opening, now - milliseconds(300));
  CHECK(refusals.TakeIssued(now + milliseconds(5), opening));
  CHECK_FALSE(refusals.TakeIssued(now + milliseconds(6), opening));
}

}  // namespace
}  // namespace vanillalatch::internal
