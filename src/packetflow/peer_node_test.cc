// Tests to which addresses PeerNode sends messages for VMs that are no members.
#include "vanillalatch/packetflow/peer_node.h"

#include <catch2/catch.hpp>
#include <optional>
#include <vector>

namespace vanillalatch {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(100)};

// A VM without any other member.
class LoneNode {
 public:
  LoneNode() {
    MemberListOptions options;
    options.name = "vm";
    options.data_center = "fleet";
    options.peer = {1, 1};
    node_ = PeerNode::Create(options, 1).value();
  }

  // Receives a flow message from the VM `id`.
  void Receive(std::uint64_t id, SocketAddress from) {
    pb::PeerDatagram datagram;
    datagram.set_from(id);
    datagram.mutable_flow()->add_ends()->set_id(7);
    const std::string text = datagram.SerializeAsString();
    Outbox out;
    REQUIRE(
        node_->OnDatagram(
            kNow, from,
            {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()},
            out) != nullptr);
  }

  // The address that an answer to the VM `id` is sent to; nullopt if the answer
  // is dropped.
  std::optional<SocketAddress> AnswerTo(std::uint64_t id) {
    pb::FlowMessage message;
    message.add_taken()->set_id(7);
    Outbox out;
    node_->Send(NodeId(id), message, out);
    if (out.items().empty()) {
      return std::nullopt;
    }
    return out.items().front().to;
  }

 private:
  std::unique_ptr<PeerNode> node_;
};

TEST_CASE("a VM that is no member yet is answered where it asked from",
          "[packetflow]") {
  LoneNode node;
  CHECK_FALSE(node.AnswerTo(5).has_value());
  node.Receive(5, {50, 1});
  CHECK(node.AnswerTo(5) == SocketAddress{50, 1});
}

TEST_CASE("unknown VMs are limited in number and may change their address",
          "[packetflow]") {
  LoneNode node;
  const std::uint64_t max_senders = PeerNode::kMaxUnknownSenders;
  for (std::uint64_t id = 1; id <= max_senders + 10; ++id) {
    node.Receive(id, {static_cast<std::uint32_t>(id), 1});
  }
  CHECK(node.AnswerTo(max_senders).has_value());
  CHECK_FALSE(node.AnswerTo(max_senders + 1).has_value());
  // A sender that is already stored changes its address.
  node.Receive(1, {9999, 1});
  CHECK(node.AnswerTo(1) == SocketAddress{9999, 1});
}

}  // namespace
}  // namespace vanillalatch
