// One VM among its peers: who is there, and which endpoints are registered.
// Control VMs hear the endpoints' registrations, entry VMs use them; both hold
// the same registry. No I/O.
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

#include "peer.pb.h"
#include "vanillalatch/base/outbox.h"
#include "vanillalatch/membership/member_list.h"
#include "vanillalatch/registry/registry.h"

namespace vanillalatch {

class PeerNode {
 public:
  // What membership and leases of a fleet may use, each VM: a tenth of a 2
  // Mbit/s link, and only while there is news.
  static constexpr std::size_t kBytesPerSecond = 24'000;
  // VMs that were heard before they were members. A fleet that starts at once:
  // every VM but the few that are known first.
  static constexpr std::size_t kMostStrangers = 1024;

  // The byte budget of `members` is the fleet's. Errors: those of
  // MemberList::Create() and Registry::Create().
  static Result<std::unique_ptr<PeerNode>> Create(MemberListOptions members,
                                                  std::uint64_t seed);

  // Takes a datagram of a peer. Returns what it says about flows, or nullptr;
  // valid until the next call.
  const pb::FlowMessage* OnDatagram(TimePoint now, SocketAddress from,
                                    ByteSpan bytes, Outbox& out);
  // The sender of the datagram that was taken last.
  NodeId sender() const { return NodeId(incoming_.from()); }

  void OnTick(TimePoint now, Outbox& out);
  TimePoint NextWake() const;
  // To a member, or to a VM that has sent news of flows before it was known as
  // a member; else dropped.
  void Send(NodeId to, const pb::FlowMessage& message, Outbox& out);
  // Announces that this VM stops.
  void Leave(TimePoint now, Outbox& out);

  Registry& registry() { return *registry_; }
  const Registry& registry() const { return *registry_; }
  const MemberList& members() const { return *members_; }
  // True if this VM can tell nobody what it hears: endpoints had better report
  // to another one.
  bool HearsNobody(TimePoint now) const;
  std::uint64_t malformed() const { return malformed_; }

 private:
  PeerNode(std::uint64_t incarnation, std::unique_ptr<MemberList> members,
           std::unique_ptr<Registry> registry)
      : incarnation_(incarnation),
        members_(std::move(members)),
        registry_(std::move(registry)) {}

  std::uint64_t incarnation_;
  std::unique_ptr<MemberList> members_;
  std::unique_ptr<Registry> registry_;
  pb::PeerDatagram incoming_;
  std::uint64_t malformed_ = 0;
  TimePoint registry_due_{};
  void NoteStranger(SocketAddress from);

  std::map<NodeId, SocketAddress> strangers_;
  // When a peer was heard last, or this VM started.
  std::optional<TimePoint> last_heard_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_PACKETFLOW_PEER_NODE_H_
