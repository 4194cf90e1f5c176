// Runs a FlowNode and does all of its I/O. The node decides, without I/O, what
// happens to each packet; the shell owns the packet socket, the peer socket,
// the timer, the connection to the control VMs and the log. The codec, a
// template parameter, defines the format of the packets.
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

struct CatalogNews;

// How current the catalog of a VM is.
struct FlowCatalogFreshness {
  // gRPC address of the control VM that this VM follows; empty: none.
  std::string control;
  Duration age{};  // Since a control VM with a majority last confirmed it.
  Duration lag{};  // Since a peer first stated a newer one; 0: none does.
};

// Reads and writes the wire format of packets.
template <typename C>
concept PacketCodec = requires(ByteSpan bytes, std::span<std::uint8_t> packet,
                               FlowCookie cookie, InstanceId instance,
                               std::uint8_t* headroom, const FlowPacket& head) {
  // Returns nullopt if the bytes are not a packet of a flow.
  { C::Decode(bytes) } -> std::same_as<std::optional<FlowPacket>>;
  // The size of the prefix that WritePrefix() writes in front of a packet for
  // this instance.
  { C::kPrefixBytes } -> std::convertible_to<std::size_t>;
  // Writes the prefix for this instance into the C::kPrefixBytes bytes at
  // `headroom`.
  {C::WritePrefix(instance, headroom)};
  // Replaces the cookie in the header of the packet.
  {C::WriteCookie(cookie, packet)};
  // Returns a packet that informs the caller that its flow does not exist.
  { C::Reset(head) } -> std::convertible_to<std::vector<std::uint8_t>>;
};

// The part of FlowShell that does not depend on the codec.
class FlowShellCore {
 public:
  virtual ~FlowShellCore();

  // Starts the fibers of the shell on this thread.
  void Start(Reactor& reactor);
  // Performs a planned stop: announces the stop to the other VMs and forwards
  // callers' packets for the drain limit of the settings. Suspends the calling
  // fiber meanwhile.
  void Stop();

  // True while callers may send packets to this VM. Thread-safe.
  bool Ready() const { return ready_; }
  FlowNode& node() { return *node_; }
  FlowCatalogFreshness CatalogFreshness() const;

 protected:
  struct Sockets {
    UdpSocket packets;
    UdpSocket peers;
  };

  // Errors: those of UdpSocket::Bind().
  static Result<Sockets> Bind(const Settings& settings);
  static Result<std::unique_ptr<FlowNode>> CreateNode(const Settings& settings);

  FlowShellCore(const Settings& settings, Sockets sockets,
                std::unique_ptr<FlowNode> node);

  // Receives and handles one batch. Returns the number of packets received.
  virtual std::size_t ReceivePackets(TimePoint now) = 0;
  // Sends a packet to the endpoint on which its flow was placed.
  virtual void SendPlaced(const FlowNodeActions::Placement& place) = 0;
  // Answers a refused opening packet with a reset, and logs the refusal.
  virtual void SendRefusal(const FlowRefusal& refusal) = 0;

  void LogMalformed(SocketAddress from, std::size_t bytes);
  void LogRefusal(const FlowPacket& packet, const FlowRefusal& refusal);
  // Logs a packet that was answered with a reset because its route is unknown
  // (`reset`), or was dropped.
  void LogNotForwarded(const FlowPacket& packet, bool reset);
  // The address at which a caller receives packets.
  SocketAddress CallerAddress(const FlowPacket& packet) const {
    return {packet.caller.ip, packet_port_};
  }
  FlowNode& mutable_node() { return *node_; }
  UdpSocket& packet_socket() { return sockets_.packets; }

 private:
  struct Internals;
  void ServePackets(FdWaiter& waiter);
  void ServePeers(FdWaiter& waiter);
  void RunTimer();
  void OnNews(const CatalogNews& news);
  // Passes on which catalogs and control VMs the peers know of.
  void UpdateFollower();
  void ReportCatalogLag();
  // Carries out the node's pending actions: sends packets and peer messages,
  // and logs events.
  void Flush();
  // Reports to the node what the sockets received and sent since the last call.
  void ReportTraffic(TimePoint now);

  Sockets sockets_;
  std::unique_ptr<FlowNode> node_;
  std::unique_ptr<Internals> internals_;
  std::string vm_;
  std::string data_center_;
  std::uint16_t packet_port_;
  std::uint16_t control_port_;
  Duration drain_limit_;
  Outbox out_;
  // As of the last ReportTraffic().
  std::uint64_t bytes_received_ = 0;
  std::uint64_t bytes_sent_ = 0;
  std::atomic<bool> ready_ = false;
  // A planned stop has begun: Ready() is false, but packets are still
  // forwarded.
  bool stopping_ = false;
  bool stopped_ = false;  // The fibers end.
};

template <PacketCodec Codec>
class FlowShell final : public FlowShellCore {
 public:
  // Binds the sockets and creates the node. Errors: those of UdpSocket::Bind()
  // and FlowNode::Create().
  static Result<std::unique_ptr<FlowShell>> Create(const Settings& settings) {
    Result<Sockets> sockets = Bind(settings);
    if (!sockets.ok()) {
      return sockets.error();
    }
    Result<std::unique_ptr<FlowNode>> node = CreateNode(settings);
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
    sent_packets_.clear();
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

  void SendRefusal(const FlowRefusal& refusal) override {
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

  // Queues a packet and stores its bytes until the batch is sent.
  void Send(SocketAddress to, std::vector<std::uint8_t> bytes) {
    sent_packets_.push_back(std::move(bytes));
    packet_socket().Queue(to, sent_packets_.back());
  }

  std::vector<std::vector<std::uint8_t>> sent_packets_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_RUNTIME_FLOW_SHELL_H_
