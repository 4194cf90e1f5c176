#include "vanillalatch/packetflow/peer_node.h"

#include <algorithm>

namespace vanillalatch {
namespace {

// How often expired leases are removed: a small part of the shortest lease, one
// second.
constexpr Duration kLeaseExpiryInterval = std::chrono::milliseconds(100);
// A partitioned VM continues to use the endpoints that it knows, as flows show
// which of them answer. The registry's doubt about leases without updates is
// therefore practically disabled.
constexpr Duration kDoubtDisabled = std::chrono::hours(24);
// A VM is isolated if it receives nothing for five probe intervals of the
// membership protocol.
constexpr Duration kIsolationTimeout = std::chrono::seconds(1);

}  // namespace

Result<std::unique_ptr<PeerNode>> PeerNode::Create(MemberListOptions members,
                                                   std::uint64_t seed,
                                                   Duration takeover_silence) {
  members.bytes_per_second = kBytesPerSecond;
  RegistryOptions registry;
  registry.epochs_are_start_times = true;
  registry.takeover_silence = takeover_silence;
  registry.contact_timeout = kDoubtDisabled;
  Result<std::unique_ptr<MemberList>> list =
      MemberList::Create(std::move(members), seed);
  if (!list.ok()) {
    return list.error();
  }
  Result<std::unique_ptr<Registry>> leases =
      Registry::Create(std::move(registry));
  if (!leases.ok()) {
    return leases.error();
  }
  return std::unique_ptr<PeerNode>(
      new PeerNode(std::move(*list), std::move(*leases)));
}

const pb::FlowMessage* PeerNode::OnDatagram(TimePoint now, SocketAddress from,
                                            ByteSpan bytes, Outbox& out) {
  incoming_.Clear();
  if (!incoming_.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      NodeId(incoming_.from()) == members_->self()) {
    ++malformed_;
    return nullptr;
  }
  last_received_ = now;
  if (incoming_.has_membership()) {
    members_->OnMessage(now, from, sender(), incoming_.membership(), *registry_,
                        out);
    return nullptr;
  }
  if (!incoming_.has_flow()) {
    ++malformed_;
    return nullptr;
  }
  RecordUnknownSender(from);
  return &incoming_.flow();
}

void PeerNode::RecordUnknownSender(SocketAddress from) {
  const std::span<const Member> all = members_->members();
  const bool is_member =
      std::any_of(all.begin(), all.end(),
                  [&](const Member& m) { return m.id == sender(); });
  if (is_member) {
    unknown_senders_.erase(sender());
  } else if (unknown_senders_.contains(sender()) ||
             unknown_senders_.size() < kMaxUnknownSenders) {
    unknown_senders_[sender()] = from;
  }
}

bool PeerNode::IsIsolated(TimePoint now) const {
  return last_received_ && now > *last_received_ + kIsolationTimeout;
}

void PeerNode::OnTick(TimePoint now, Outbox& out) {
  if (!last_received_) {
    last_received_ = now;
  }
  if (now >= registry_due_) {
    registry_due_ = now + kLeaseExpiryInterval;
    registry_->OnTick(now);
  }
  if (now >= members_->NextWake()) {
    members_->OnTick(now, *registry_, out);
  }
}

TimePoint PeerNode::NextWake() const {
  return std::min(registry_due_, members_->NextWake());
}

void PeerNode::Send(NodeId to, const pb::FlowMessage& message, Outbox& out) {
  const std::span<const Member> all = members_->members();
  const auto it = std::find_if(all.begin(), all.end(),
                               [&](const Member& m) { return m.id == to; });
  const auto unknown_sender = unknown_senders_.find(to);
  if (it == all.end() && unknown_sender == unknown_senders_.end()) {
    return;
  }
  const SocketAddress address =
      it == all.end() ? unknown_sender->second : it->peer;
  pb::PeerDatagram datagram;
  datagram.set_from(members_->self().value());
  *datagram.mutable_flow() = message;
  const std::size_t n = datagram.ByteSizeLong();
  datagram.SerializeWithCachedSizesToArray(
      out.Reserve(SocketRole::kPeer, address, n).data());
}

void PeerNode::Leave(TimePoint now, Outbox& out) {
  members_->Leave(now, *registry_, out);
}

}  // namespace vanillalatch
