// The receiving side of MemberListImpl: merges the claims of other VMs and
// answers their messages.
#include <algorithm>
#include <array>
#include <utility>

#include "src/membership/member_list_impl.h"

namespace vanillalatch::internal {
namespace {

using std::chrono::milliseconds;

// Minimum time between two requests for members.
constexpr Duration kMemberRequestInterval = milliseconds(200);
// Minimum time between two syncs of members that this VM schedules.
constexpr Duration kMembersSyncInterval = milliseconds(250);
// Time for gossip to deliver a change of members before a difference of the
// digests starts a sync.
constexpr Duration kGossipGracePeriod = milliseconds(500);
// How long a relayed probe waits for its ack.
constexpr Duration kRelayedProbeLifetime = milliseconds(1000);

BucketMask BucketsIn(const pb::MembershipMessage& message) {
  BucketMask mask = 0;
  for (const pb::LeaseBucket& it : message.buckets()) {
    mask |= it.bucket() < 32 ? BucketMask{1} << it.bucket() : 0;
  }
  return mask;
}

}  // namespace

void MemberListImpl::OnMessage(TimePoint now, SocketAddress from, NodeId sender,
                               const pb::MembershipMessage& message,
                               LeaseExchange& leases, Outbox& out) {
  if (message.data_center() != options_.data_center || sender == self_.id) {
    return;
  }
  Event event{now, leases, out};
  if (!started_) {
    Start(now);
    last_tick_ = now;
  }
  last_received_ = now;
  MergeMembers(event, from, message);
  evacuations_.Merge(now, message);
  revisions_.Merge(now, sender, message);
  if (message.complete() && !joined_) {
    joined_ = true;
    RebuildView();
  }
  leases.OnContact(now, false);
  for (const pb::LeaseUpdate& it : message.leases()) {
    leases.MergeLease(now, it, true);
  }
  for (const pb::LeaseUpdate& it : message.lacking()) {
    leases.MergeLease(now, it, false);
  }
  if (table_.Find(sender) == nullptr) {
    RequestMembers(event, from, std::array{sender});
  }
  for (const std::uint64_t it : message.wanted()) {
    Sync& sync = syncs_[sender];
    sync.to = from;
    sync.wanted.emplace_back(it);
  }
  CompareDigests(event, from, sender, message);
  switch (message.kind()) {
    case pb::MembershipMessage::PING: {
      pb::MembershipMessage ack =
          NewMessage(pb::MembershipMessage::ACK, message.sequence());
      ack.set_target(self_.id.value());
      if (const MemberRecord* record = table_.Find(sender);
          record != nullptr && record->member.state != MemberState::kAlive) {
        ToUpdate(record->member, false, *ack.add_members());
      }
      Send(event, from, std::move(ack), BucketsIn(message));
      break;
    }
    case pb::MembershipMessage::ACK:
      OnAck(event, message);
      break;
    case pb::MembershipMessage::PING_REQUEST:
      OnPingRequest(event, from, message);
      break;
    case pb::MembershipMessage::JOIN:
      OnJoin(event, from, sender);
      break;
    default:
      break;
  }
}

void MemberListImpl::MergeMembers(Event& event, SocketAddress from,
                                  const pb::MembershipMessage& message) {
  bool changed = false;
  std::vector<NodeId> unknown;
  for (const pb::MemberUpdate& it : message.members()) {
    if (it.id() == self_.id.value()) {
      MergeClaimAboutSelf(event.now, it);
      continue;
    }
    switch (table_.Merge(event.now, it)) {
      case MemberTable::Outcome::kIgnored:
        break;
      case MemberTable::Outcome::kUnchanged:
        updates_.CountPeerSend(NodeId{it.id()});
        break;
      case MemberTable::Outcome::kUnknownMember:
        unknown.emplace_back(it.id());
        break;
      case MemberTable::Outcome::kUpdated:
        updates_.Push(NodeId{it.id()}, false);
        changed = true;
        break;
      case MemberTable::Outcome::kJoined:
        updates_.Push(NodeId{it.id()}, true);
        changed = true;
        break;
    }
  }
  if (changed) {
    RebuildView();
  }
  if (!unknown.empty()) {
    RequestMembers(event, from, unknown);
  }
}

void MemberListImpl::MergeClaimAboutSelf(TimePoint now,
                                         const pb::MemberUpdate& update) {
  const auto claimed = static_cast<MemberState>(update.state());
  if (update.incarnation() < self_.incarnation) {
    updates_.Push(self_.id, false);
    return;
  }
  if (update.incarnation() == self_.incarnation &&
      (claimed == self_.state || claimed == MemberState::kAlive)) {
    return;
  }
  self_.incarnation = update.incarnation();
  if (claimed == MemberState::kLeaving && !leaving_) {
    self_.state = MemberState::kLeaving;
    flap_hold_until_ = now + options_.flap_hold_time;
  } else {
    ++self_.incarnation;
  }
  updates_.Push(self_.id, false);
  RebuildView();
}

void MemberListImpl::CompareDigests(Event& event, SocketAddress from,
                                    NodeId sender,
                                    const pb::MembershipMessage& message) {
  std::vector<EndpointId> missing =
      event.leases.MergeDigests(event.now, message);
  const bool members_differ =
      message.members_digest() != MembersDigest() &&
      event.now - table_.changed_at() >= kGossipGracePeriod &&
      event.now >= next_members_sync_;
  if (missing.empty() && !members_differ) {
    return;
  }
  Sync& sync = syncs_[sender];
  sync.to = from;
  if (!missing.empty()) {
    // Random order, because other VMs are likely to send the same leases to the
    // same member.
    std::shuffle(missing.begin(), missing.end(), rng_);
    sync.leases = std::move(missing);
  }
  if (members_differ && !sync.needs_members) {
    next_members_sync_ = event.now + kMembersSyncInterval;
    sync.needs_members = true;
    sync.member_cursor = NodeId{};
  }
}

void MemberListImpl::OnJoin(Event& event, SocketAddress from, NodeId sender) {
  Sync& sync = syncs_[sender];
  sync.to = from;
  sync.is_join = true;
  sync.wanted.clear();
  for (const Member& it : all_) {
    if (it.state != MemberState::kDead && it.id != sender) {
      sync.wanted.push_back(it.id);
    }
  }
  SendSyncs(event);
}

void MemberListImpl::OnAck(Event& event, const pb::MembershipMessage& message) {
  const NodeId target{message.target()};
  if (probe_ && probe_->target == target) {
    probe_->acked = true;
  }
  const auto it = relayed_probes_.find(message.sequence());
  if (it == relayed_probes_.end() || it->second.target != target) {
    return;
  }
  pb::MembershipMessage ack =
      NewMessage(pb::MembershipMessage::ACK, it->second.sequence);
  ack.set_target(target.value());
  Send(event, it->second.requester, std::move(ack), 0);
  relayed_probes_.erase(it);
}

void MemberListImpl::OnPingRequest(Event& event, SocketAddress from,
                                   const pb::MembershipMessage& message) {
  const std::uint64_t sequence = ++sequence_;
  const NodeId target{message.target()};
  const MemberRecord* record = table_.Find(target);
  Member member;
  if (record != nullptr) {
    member = record->member;
  }
  member.id = target;
  member.peer = SocketAddress::FromPacked(message.target_address());
  relayed_probes_[sequence] = RelayedProbe{from, message.sequence(), target,
                                           event.now + kRelayedProbeLifetime};
  SendPing(event, member, sequence, 0);
}

void MemberListImpl::RequestMembers(Event& event, SocketAddress to,
                                    std::span<const NodeId> wanted) {
  if (event.now < next_member_request_) {
    return;
  }
  next_member_request_ = event.now + kMemberRequestInterval;
  pb::MembershipMessage message =
      NewMessage(pb::MembershipMessage::STATE, ++sequence_);
  ToUpdate(self_, true, *message.add_members());
  for (const NodeId it : wanted) {
    message.add_wanted(it.value());
  }
  Send(event, to, std::move(message), 0);
}

}  // namespace vanillalatch::internal
