// Tests which reports wait and which are merged. Guards against requests that
// wait, and against reports that are taken for those of another flow.
#include "src/packetflow/pending_message.h"

#include <catch2/catch.hpp>

namespace vanillalatch::internal {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kNow{std::chrono::seconds(100)};

pb::FlowSeen Seen(std::uint64_t id, bool requests, bool answered) {
  pb::FlowSeen report;
  report.set_id(id);
  report.set_requests(requests);
  report.set_answered(answered);
  return report;
}

pb::FlowEnd End(std::uint64_t id) {
  pb::FlowEnd report;
  report.set_id(id);
  return report;
}

TEST_CASE("reports wait with their age until a request is sent") {
  PendingMessage pending(milliseconds(5));
  CHECK(pending.due() == kNever);
  pending.AddSeen(kNow, Seen(1, false, true));
  pending.AddEnd(kNow + milliseconds(1), End(2));
  CHECK(pending.due() == kNow + milliseconds(5));
  pending.AddSeen(kNow + milliseconds(3), Seen(3, true, false));
  CHECK(pending.due() <= kNow);
  const pb::FlowMessage message = pending.Take(kNow + milliseconds(3));
  REQUIRE(message.seen_size() == 2);
  CHECK(DecodeAge(message.seen(0).age()) == milliseconds(3));
  CHECK(message.seen(1).age() == 0);
  CHECK(DecodeAge(message.ends(0).age()) == milliseconds(2));
  CHECK(pending.due() == kNever);
}

TEST_CASE("only a request of the same flow replaces a handshake") {
  PendingMessage pending(milliseconds(5));
  const bool answered = GENERATE(false, true);
  const std::uint64_t id = GENERATE(1, 2);
  pending.AddSeen(kNow, Seen(1, false, answered));
  pending.AddSeen(kNow, Seen(id, true, false));
  const bool merged = id == 1 && !answered;
  CHECK(pending.Take(kNow).seen_size() == (merged ? 1 : 2));
}

TEST_CASE("the end of a flow does not follow the opening that reuses its id") {
  PendingMessage pending(milliseconds(5));
  pending.AddEnd(kNow, End(1));
  pending.AddEnd(kNow + milliseconds(1), End(2));
  pending.AddOpening(1);
  const pb::FlowMessage message = pending.Take(kNow + milliseconds(2));
  REQUIRE(message.ends_size() == 1);
  CHECK(message.ends(0).id() == 2);
  CHECK(DecodeAge(message.ends(0).age()) == milliseconds(1));
}

}  // namespace
}  // namespace vanillalatch::internal
