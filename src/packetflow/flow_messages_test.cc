// Tests the forms of messages. Guards against a VM of an earlier build that
// receives messages without the fields that it needs.
#include "src/packetflow/flow_messages.h"

#include <catch2/catch.hpp>

#include "peer.pb.h"
#include "src/packetflow/flow_world.h"

namespace vanillalatch {
namespace {

using internal::MessageForm;

TEST_CASE("the id of an opening is the same in every form") {
  FlowPacket packet;
  packet.caller = {0x64400001U, 20001};
  packet.route = {0xC6120001U, 81};
  FlowOpening opening;
  opening.caller = packet.caller;
  opening.route = packet.route;
  opening.id = packet.id();
  const MessageForm form = GENERATE(MessageForm::kFull, MessageForm::kCompact);
  const pb::FlowOpening message = internal::ToMessage(opening, 1, form);
  CHECK((message.id() == 0) == (form == MessageForm::kCompact));
  CHECK(internal::FromMessage(message).id == opening.id);
  // An id that does not follow from the other fields is kept.
  opening.id = FlowId(7);
  CHECK(internal::FromMessage(internal::ToMessage(opening, 1, form)).id ==
        FlowId(7));
}

TEST_CASE("messages are full until their receiver states a form") {
  FlowWorld world(1);
  world.AddVms(2);
  world.AddEndpoint("a1", "records", "north");
  world.SetRoutes(1, {"records"}, 250);
  world.Publish();
  world.Run(std::chrono::seconds(6));
  const std::size_t dispatcher = world.DispatcherIndex("records");
  pb::FlowMessage received;
  pb::FlowMessage sent;
  world.set_tap([&](int, int to, ByteSpan bytes) {
    pb::PeerDatagram datagram;
    datagram.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
    (to == static_cast<int>(dispatcher) ? received : sent)
        .MergeFrom(datagram.flow());
  });
  for (int n = 0; n < 2; ++n) {
    const int flow = world.Open("records", 1 - dispatcher);
    world.Run(std::chrono::seconds(1));
    CHECK(world.FlowOf(flow).answered);
  }
  CHECK(sent.form() == static_cast<std::uint32_t>(MessageForm::kCompact));
  REQUIRE(received.openings_size() == 2);
  CHECK(received.openings(0).id() != 0);
  CHECK(received.openings(1).id() == 0);
  CHECK(received.openings(1).service() != 0);
}

}  // namespace
}  // namespace vanillalatch
