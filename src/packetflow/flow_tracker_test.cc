// Tests which packets of a flow make an ingress report progress.
#include "vanillalatch/packetflow/flow_tracker.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace vanillalatch {
namespace {

struct Step {
  bool data;
  std::uint32_t acknowledged;
  // The update: "" for none, "on" if the flow continues, "request" if a request
  // was sent, or "answer" if the answer has started.
  const char* expected;
};

std::string Describe(const std::optional<FlowUpdate>& update) {
  if (!update) {
    return "";
  }
  return update->answer_started ? "answer"
         : update->request_sent ? "request"
                                : "on";
}

FlowPacket PacketOf(std::uint16_t port, const Step& step) {
  FlowPacket packet;
  packet.caller = {1, port};
  packet.route = {2, 443};
  packet.carries_data = step.data;
  packet.acknowledged = step.acknowledged;
  return packet;
}

TEST_CASE("updates of a flow") {
  const std::vector<Step> steps = GENERATE(
      // One request: handshake, request, two acknowledgements of the answer.
      std::vector<Step>{{false, 100, "on"},
                        {true, 100, "request"},
                        {false, 102, "answer"},
                        {false, 104, ""}},
      // A request of several packets, and one sent again.
      std::vector<Step>{{true, 100, "request"},
                        {true, 100, "request"},
                        {true, 100, ""},
                        {false, 100, ""},
                        {false, 101, "answer"}},
      // A flow that stays open: each later request and answer is reported.
      std::vector<Step>{{false, 100, "on"},
                        {true, 100, "request"},
                        {false, 110, "answer"},
                        {true, 110, "request"},
                        {false, 110, ""},
                        {false, 120, "answer"},
                        {true, 120, "request"},
                        {false, 121, "answer"}},
      // Acknowledgement numbers that wrap around to zero.
      std::vector<Step>{{true, 0xfffffff0U, "request"},
                        {false, 0xfffffff0U, "on"},
                        {false, 5, "answer"}},
      // The first packet that this VM receives acknowledges a part of the
      // answer.
      std::vector<Step>{
          {false, 500, "on"}, {false, 510, "on"}, {false, 520, ""}});
  FlowTracker tracker;
  for (std::size_t n = 0; n < steps.size(); ++n) {
    CAPTURE(n);
    CHECK(Describe(tracker.OnPacket(PacketOf(1, steps[n]))) ==
          steps[n].expected);
  }
}

TEST_CASE("flows are removed two generations after their last packet") {
  FlowTracker tracker;
  tracker.OnPacket(PacketOf(1, {true, 1, ""}));
  tracker.OnPacket(PacketOf(2, {true, 1, ""}));
  tracker.AdvanceGeneration();
  tracker.OnPacket(PacketOf(1, {true, 1, ""}));
  CHECK(tracker.size() == 2);
  tracker.AdvanceGeneration();
  CHECK(tracker.size() == 1);
  tracker.Erase(PacketOf(1, {true, 1, ""}).id());
  CHECK(tracker.size() == 0);
}

TEST_CASE("the VM that placed a flow is known until the flow ends") {
  FlowTracker tracker;
  FlowPacket packet;
  packet.caller = {0x64400001U, 4000};
  packet.route = {0xC6120001U, 443};
  CHECK_FALSE(tracker.PlacerOf(packet.id()).has_value());
  tracker.OnPlaced(packet.id(), NodeId(5));
  tracker.OnPacket(packet);
  CHECK(tracker.PlacerOf(packet.id()) == NodeId(5));
  tracker.AdvanceGeneration();
  CHECK(tracker.PlacerOf(packet.id()) == NodeId(5));
  tracker.OnPacket(packet);
  tracker.AdvanceGeneration();
  CHECK(tracker.PlacerOf(packet.id()) == NodeId(5));
  // The caller reuses the port; another dispatcher places the new flow.
  tracker.OnPlaced(packet.id(), NodeId(6));
  CHECK(tracker.OnPacket(packet).has_value());
  CHECK(tracker.PlacerOf(packet.id()) == NodeId(6));
  tracker.Erase(packet.id());
  CHECK_FALSE(tracker.PlacerOf(packet.id()).has_value());
}

TEST_CASE("a port that is used again tells of its new flow") {
  FlowTracker tracker;
  FlowPacket packet;
  packet.caller = {0x64400001U, 4000};
  packet.route = {0xC6120001U, 443};
  tracker.OnPlaced(packet.id(), NodeId(5));
  for (int n = 0; n < 10; ++n) {
    tracker.OnPacket(packet);
  }
  CHECK_FALSE(tracker.OnPacket(packet).has_value());
  // The packet that ended the earlier flow reached another VM.
  tracker.OnPlaced(packet.id(), NodeId(5));
  CHECK(tracker.OnPacket(packet).has_value());
}

}  // namespace
}  // namespace vanillalatch
