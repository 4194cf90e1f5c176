// Tests when a VM counts as late. Guards against a full link that looks idle,
// as datagrams never arrive faster than the link carries them, and against
// verdicts that are withheld for long after the link is free again.
#include "src/packetflow/link_meter.h"

#include <catch2/catch.hpp>

namespace vanillalatch::internal {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kRate = 250'000;  // Bytes per second; 2 Mbit/s.
constexpr TimePoint kStart{std::chrono::seconds(100)};

// Sends or receives at a share of the rate for a time, in steps of 1 ms.
TimePoint Load(LinkMeter& meter, TimePoint now, double share, Duration time,
               bool receives) {
  const auto n = static_cast<std::uint64_t>(share * kRate / 1000);
  for (const TimePoint end = now + time; now < end; now += milliseconds(1)) {
    meter.OnTraffic(now, receives ? n : 0, receives ? 0 : n);
  }
  return now;
}

TEST_CASE("a link is late if it is full for a while") {
  struct Row {
    double share;
    Duration time;
    bool late;
  };
  const Row row = GENERATE(
      Row{0.8, milliseconds(5000), false}, Row{1, milliseconds(50), false},
      Row{1, milliseconds(200), true}, Row{3, milliseconds(20), true});
  const bool receives = GENERATE(true, false);
  LinkMeter meter(kRate);
  const TimePoint now = Load(meter, kStart, row.share, row.time, receives);
  CHECK(meter.WasLate(now) == row.late);
  CHECK((receives ? meter.SendQueue(now) : meter.ReceiveQueue(now)) ==
        Duration::zero());
}

TEST_CASE("a link is no longer late 180 ms after any load") {
  LinkMeter meter(kRate);
  const TimePoint end =
      Load(meter, kStart, 4, std::chrono::seconds(8), GENERATE(true, false));
  const bool idle = GENERATE(true, false);
  CHECK(meter.WasLate(end + milliseconds(150)));
  const TimePoint after = end + milliseconds(185);
  if (!idle) {
    Load(meter, end, 0.2, milliseconds(250), true);
    CHECK(!meter.WasLate(end + milliseconds(250)));
    return;
  }
  CHECK(!meter.WasLate(after));
}

TEST_CASE("without a known rate a VM is never late") {
  LinkMeter meter(0);
  CHECK(!meter.WasLate(Load(meter, kStart, 9, milliseconds(500), true)));
}

}  // namespace
}  // namespace vanillalatch::internal
