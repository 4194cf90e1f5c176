// Maintains a VM's view of its peers: the members of the fleet and the
// registered endpoints. Control VMs receive the registrations of endpoints,
// entry VMs use them to place flows; membership messages replicate the registry
// to all of them. Performs no I/O.
//
//   auto peers = PeerNode::Create(options, seed).value();
//   if (const pb::FlowMessage* it = peers->OnDatagram(now, from, bytes, out)) {
//     ...
//   }
#ifndef VANILLALATCH_PACKETFLOW_PEER_NODE_H_
#define VANILLALATCH_PACKETFLOW_PEER_NODE_H_

#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "peer.pb.h"
#include "vanillalatch/base/outbox.h"
#include "vanillalatch/membership/member_list.h"
#include "vanillalatch/registry/registry.h"

namespace vanillalatch {

class PeerNode {
 public:
  // Limit for membership and lease messages that each VM sends: a tenth of a
  // 2 Mbit/s link. It is used up only while there are changes to disseminate.
  static constexpr std::size_t kBytesPerSecond = 24'000;
  // Limit of VMs whose addresses are stored because they sent flow messages
  // before they became members. When a whole fleet starts at the same time,
  // these are all VMs except the few that are members first.
  static constexpr std::size_t kMaxUnknownSenders = 1024;

  // Creates a node; `members.bytes_per_second` is replaced by kBytesPerSecond.
  // `takeover_silence` is that of RegistryOptions. Errors: those of
  // MemberList::Create() and Registry::Create().
  static Result<std::unique_ptr<PeerNode>> Create(
      MemberListOptions members, std::uint64_t seed,
      Duration takeover_silence = Duration::zero());

  // Processes a datagram of a peer. Returns its flow message, which is valid
  // until the next call, or nullptr if the datagram contains none or is
  // malformed.
  const pb::FlowMessage* OnDatagram(TimePoint now, SocketAddress from,
                                    ByteSpan bytes, Outbox& out);
  // The sender of the last datagram that OnDatagram() processed.
  NodeId sender() const { return NodeId(incoming_.from()); }

  // Expires leases and sends membership messages that are due.
  void OnTick(TimePoint now, Outbox& out);
  // The time at which OnTick() has to be called next.
  TimePoint NextWake() const;
  // Sends a message to a member, or to a VM that has sent a flow message before
  // it became a member. A message to any other VM is dropped.
  void Send(NodeId to, const pb::FlowMessage& message, Outbox& out);
  // Announces to the peers that this VM stops.
  void Leave(TimePoint now, Outbox& out);

  // See MemberList.
  void SetEvacuations(TimePoint now, EvacuationState state) {
    members_->SetEvacuations(now, std::move(state));
  }
  void SetCatalogRevision(std::uint64_t revision) {
    members_->SetCatalogRevision(revision);
  }

  Registry& registry() { return *registry_; }
  const Registry& registry() const { return *registry_; }
  const MemberList& members() const { return *members_; }
  // True if no peer has sent a datagram for a second. Endpoints should then
  // register at another VM, as this one cannot disseminate registrations.
  bool IsIsolated(TimePoint now) const;
  // Number of datagrams that could not be parsed, contained no known message,
  // or named this VM as their sender.
  std::uint64_t malformed() const { return malformed_; }

 private:
  PeerNode(std::unique_ptr<MemberList> members,
           std::unique_ptr<Registry> registry)
      : members_(std::move(members)), registry_(std::move(registry)) {}

  std::unique_ptr<MemberList> members_;
  std::unique_ptr<Registry> registry_;
  pb::PeerDatagram incoming_;
  std::uint64_t malformed_ = 0;
  TimePoint registry_due_{};
  // Stores the address of the sender of the current datagram if it is no
  // member.
  void RecordUnknownSender(SocketAddress from);

  std::map<NodeId, SocketAddress> unknown_senders_;
  // When the last datagram of a peer was received; before the first one, when
  // OnTick() was first called.
  std::optional<TimePoint> last_received_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_PACKETFLOW_PEER_NODE_H_
