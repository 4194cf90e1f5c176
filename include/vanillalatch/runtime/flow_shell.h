// Runs a FlowNode: its packet socket, its peer socket, its timer and its link
// to the control VMs. The packets' format is the codec's.
//
//   auto shell = FlowShell<MyCodec>::Create(settings).value();
//   shell->Start(reactor);
#ifndef VANILLALATCH_RUNTIME_FLOW_SHELL_H_
#define VANILLALATCH_RUNTIME_FLOW_SHELL_H_

#include <array>
#include <atomic>
#include <concepts>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "vanillalatch/packetflow/flow_node.h"
#include "vanillalatch/runtime/reactor.h"
#include "vanillalatch/runtime/udp_socket.h"
#include "vanillalatch/settings/settings.h"

namespace vanillalatch {

// How packets look on the wire.
template <typename C>
concept PacketCodec = requires(ByteSpan bytes, std::span<std::uint8_t> packet,
                               FlowCookie cookie, InstanceId instance,
                               std::uint8_t* headroom, const FlowPacket& head) {
  // nullopt for what is no packet of a flow.
  { C::Decode(bytes) } -> std::same_as<std::optional<FlowPacket>>;
  // Writes C::kPrefixBytes in front of a packet for this endpoint.
  { C::kPrefixBytes } -> std::convertible_to<std::size_t>;
  {C::WritePrefix(instance, headroom)};
  {C::WriteCookie(cookie, packet)};
  // A packet that tells the caller that its flow is not there.
  { C::Reset(head) } -> std::convertible_to<std::vector<std::uint8_t>>;
};

// The part of the shell that does not depend on the codec.
class FlowShellCore {
 public:
  virtual ~FlowShellCore();

  void Start(Reactor& reactor);
  // Planned stop: callers' packets are carried for the drain limit.
  // Suspends the calling fiber.
  void Stop();

  // Callers' packets may come. Any thread may ask.
  bool Ready() const { return ready_; }
  FlowNode& node() { return *node_; }

 protected:
  struct Sockets {
    UdpSocket packets;
    UdpSocket peers;
  };

  // Errors: those of UdpSocket::Bind().
  static Result<Sockets> Bind(const Settings& settings);
  static Result<std::unique_ptr<FlowNode>> MakeNode(const Settings& settings);

  FlowShellCore(const Settings& settings, Sockets sockets,
                std::unique_ptr<FlowNode> node);

  // Receives one batch; returns how many packets came.
  virtual std::size_t ReceivePackets(TimePoint now) = 0;
  virtual void SendPlaced(const FlowNodeActions::Placement& place) = 0;
  virtual void SendRefused(const FlowRefusal& refusal) = 0;

  void LogMalformed(SocketAddress from, std::size_t bytes);
  void LogRefusal(const FlowPacket& packet, const FlowRefusal& refusal);
  // A packet that was answered with a reset, as no route is known, or dropped.
  void LogNotForwarded(const FlowPacket& packet, bool reset);
  // Where a caller takes packets.
  SocketAddress CallerAddress(const FlowPacket& packet) const {
    return {packet.caller.ip, packet_port_};
  }
  FlowNode& mutable_node() { return *node_; }
  UdpSocket& packet_socket() { return sockets_.packets; }

 private:
  struct Link;
  void ServePackets(FdWaiter& waiter);
  void ServePeers(FdWaiter& waiter);
  void RunTimer();
  void TakeSync(const pb::SyncReply& reply);
  // Sends what the node decided.
  void Flush();

  Sockets sockets_;
  std::unique_ptr<FlowNode> node_;
  std::unique_ptr<Link> link_;
  std::string vm_;
  std::string data_center_;
  std::uint16_t packet_port_;
  Duration drain_limit_;
  Outbox out_;
  std::atomic<bool> ready_ = false;
  bool stopping_ = false;  // Callers are sent elsewhere; packets go on.
  bool stopped_ = false;
};

template <PacketCodec Codec>
class FlowShell final : public FlowShellCore {
 public:
  // Errors: those of UdpSocket::Bind() and FlowNode::Create().
  static Result<std::unique_ptr<FlowShell>> Create(const Settings& settings) {
    Result<Sockets> sockets = Bind(settings);
    if (!sockets.ok()) {
      return sockets.error();
    }
    Result<std::unique_ptr<FlowNode>> node = MakeNode(settings);
    if (!node.ok()) {
      return node.error();
    }
    return std::unique_ptr<FlowShell>(
        new FlowShell(settings, std::move(*sockets), std::move(*node)));
  }

 private:
  static_assert(Codec::kPrefixBytes <= UdpSocket::kHeadroomBytes);

  using FlowShellCore::FlowShellCore;

  std::size_t ReceivePackets(TimePoint now) override {
    sent_.clear();
    return packet_socket().Receive(
        [&](SocketAddress from, std::span<std::uint8_t> bytes) {
          OnPacket(now, from, bytes);
        });
  }

  void OnPacket(TimePoint now, SocketAddress from,
                std::span<std::uint8_t> bytes) {
    const std::optional<FlowPacket> packet = Codec::Decode(bytes);
    if (!packet) {
      mutable_node().OnMalformed();
      LogMalformed(from, bytes.size());
      return;
    }
    const FlowVerdict verdict = mutable_node().OnPacket(now, *packet, bytes);
    if (verdict.kind == FlowVerdict::Kind::kForward) {
      std::uint8_t* start = bytes.data() - Codec::kPrefixBytes;
      Codec::WritePrefix(verdict.target->instance, start);
      packet_socket().Queue(verdict.target->address,
                            {start, bytes.size() + Codec::kPrefixBytes});
    } else if (verdict.kind == FlowVerdict::Kind::kReset) {
      SendReset(*packet);
      LogNotForwarded(*packet, true);
    } else if (verdict.kind == FlowVerdict::Kind::kDrop) {
      LogNotForwarded(*packet, false);
    }
  }

  void SendPlaced(const FlowNodeActions::Placement& place) override {
    std::vector<std::uint8_t> bytes(Codec::kPrefixBytes);
    Codec::WritePrefix(place.target.instance, bytes.data());
    bytes.insert(bytes.end(), place.packet.begin(), place.packet.end());
    Codec::WriteCookie(place.target.cookie,
                       std::span(bytes).subspan(Codec::kPrefixBytes));
    Send(place.target.address, std::move(bytes));
  }

  void SendRefused(const FlowRefusal& refusal) override {
    const auto* data =
        reinterpret_cast<const std::uint8_t*>(refusal.packet.data());
    if (const auto packet = Codec::Decode({data, refusal.packet.size()})) {
      SendReset(*packet);
      LogRefusal(*packet, refusal);
    }
  }

  void SendReset(const FlowPacket& packet) {
    Send(CallerAddress(packet), Codec::Reset(packet));
  }

  // Keeps the bytes until the batch is sent.
  void Send(SocketAddress to, std::vector<std::uint8_t> bytes) {
    sent_.push_back(std::move(bytes));
    packet_socket().Queue(to, sent_.back());
  }

  std::vector<std::vector<std::uint8_t>> sent_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_RUNTIME_FLOW_SHELL_H_
