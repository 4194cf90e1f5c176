// The sending side of MemberListImpl: what goes into a datagram, in which
// order, within the budget.
#include <algorithm>
#include <bit>

#include "src/membership/member_list_impl.h"

namespace vanillalatch::internal {
namespace {

constexpr std::size_t kMaxDatagram = 1200;  // Bytes.
// Of a PeerDatagram around the membership message.
constexpr std::size_t kEnvelopeBytes = 28;
constexpr std::size_t kIpUdpBytes = 28;
// Tag and length of one message in a repeated field.
constexpr std::size_t kFieldBytes = 2;
// Bytes of the budget left to those who go first: the probes themselves,
// then member updates, endings of leases, lease digests (which renew leases),
// other changes of leases, and syncs.
constexpr std::int64_t kUpdatesReserve = 200;
constexpr std::int64_t kEndingsReserve = 200;
constexpr std::int64_t kDigestsReserve = 300;
constexpr std::int64_t kLeasesReserve = 700;
constexpr std::int64_t kSyncReserve = 800;
constexpr std::size_t kMinSyncPart = 400;
// Times that an update is sent, besides log2 of the members.
constexpr std::size_t kExtraSends = 2;
// Of these, with name and address. Who still lacks them asks.
constexpr std::size_t kFullSends = 2;

}  // namespace

pb::MembershipMessage MemberListImpl::NewMessage(
    pb::MembershipMessage::Kind kind, std::uint64_t sequence) const {
  pb::MembershipMessage message;
  message.set_kind(kind);
  message.set_sequence(sequence);
  message.set_data_center(options_.data_center);
  message.set_members_digest(MembersDigest());
  return message;
}

// The largest membership message that may be sent now, keeping `reserve`.
std::size_t MemberListImpl::Room(TimePoint now, std::int64_t reserve) {
  const std::int64_t available =
      budget_.Available(now) - reserve -
      static_cast<std::int64_t>(kEnvelopeBytes + kIpUdpBytes);
  return static_cast<std::size_t>(std::clamp<std::int64_t>(
      available, 0, static_cast<std::int64_t>(kMaxDatagram - kEnvelopeBytes)));
}

bool MemberListImpl::SendPing(Event& event, const Member& to,
                              std::uint64_t sequence, BucketMask digests) {
  pb::MembershipMessage message =
      NewMessage(pb::MembershipMessage::PING, sequence);
  message.set_target(to.id.value());
  if (to.state != MemberState::kAlive) {
    ToUpdate(to, false, *message.add_members());
  }
  return Send(event, to.peer, std::move(message), digests);
}

BucketMask MemberListImpl::NextQuarter() {
  return BucketMask{0xff} << (8 * (next_quarter_++ % 4));
}

bool MemberListImpl::Send(Event& event, SocketAddress to,
                          pb::MembershipMessage message, BucketMask digests) {
  if (message.ByteSizeLong() > Room(event.now, 0)) {
    return false;
  }
  AppendUpdates(Room(event.now, kUpdatesReserve), message);
  event.leases.AppendLeases(event.now, true, SendsPerUpdate(),
                            Room(event.now, kEndingsReserve), message);
  event.leases.AppendDigests(event.now, digests,
                             Room(event.now, kDigestsReserve), message);
  event.leases.AppendLeases(event.now, false, SendsPerUpdate(),
                            Room(event.now, kLeasesReserve), message);
  return SendBytes(event, to, message);
}

bool MemberListImpl::SendBytes(Event& event, SocketAddress to,
                               const pb::MembershipMessage& message) {
  pb::PeerDatagram datagram;
  datagram.set_from(self_.id.value());
  datagram.set_incarnation(self_.incarnation);
  *datagram.mutable_membership() = message;
  const std::size_t size = datagram.ByteSizeLong();
  if (static_cast<std::int64_t>(size + kIpUdpBytes) >
      budget_.Available(event.now)) {
    return false;
  }
  budget_.Take(size + kIpUdpBytes);
  bytes_sent_ += size;
  const std::span<std::uint8_t> bytes =
      event.out.Reserve(SocketRole::kPeer, to, size);
  datagram.SerializeWithCachedSizesToArray(bytes.data());
  return true;
}

void MemberListImpl::AppendUpdates(std::size_t max_bytes,
                                   pb::MembershipMessage& message) {
  std::size_t size = message.ByteSizeLong();
  // A probe tells its target about itself anyway.
  const NodeId skipped{
      message.kind() == pb::MembershipMessage::PING ? message.target() : 0};
  updates_.Drain(SendsPerUpdate(), skipped, [&](const QueuedUpdate& it) {
    const MemberRecord* record = table_.Find(it.id);
    if (record == nullptr && it.id != self_.id) {
      return true;
    }
    pb::MemberUpdate update;
    ToUpdate(record == nullptr ? self_ : record->member,
             it.full && it.sent < kFullSends, update);
    size += update.ByteSizeLong() + kFieldBytes;
    if (size > max_bytes) {
      return false;
    }
    *message.add_members() = std::move(update);
    return true;
  });
}

// Serves the members in turn, a datagram each.
void MemberListImpl::SendSyncs(Event& event) {
  while (!syncs_.empty()) {
    auto it = syncs_.upper_bound(last_sync_);
    it = it == syncs_.end() ? syncs_.begin() : it;
    if (!SendSyncPart(event, it->second)) {
      return;
    }
    last_sync_ = it->first;
    const Sync& sync = it->second;
    if (!sync.members && sync.wanted.empty() && sync.leases.empty()) {
      syncs_.erase(it);
    }
  }
}

bool MemberListImpl::SendSyncPart(Event& event, Sync& sync) {
  const std::size_t room = Room(event.now, kSyncReserve);
  if (room < kMinSyncPart) {
    return false;
  }
  pb::MembershipMessage message =
      NewMessage(pb::MembershipMessage::STATE, ++sequence_);
  AppendMembers(sync, room, message);
  if (sync.joins && sync.wanted.empty()) {
    sync.joins = false;
    message.set_complete(true);
  }
  event.leases.AppendChosen(event.now, sync.leases, room, message);
  return SendBytes(event, sync.to, message);
}

void MemberListImpl::AppendMembers(Sync& sync, std::size_t max_bytes,
                                   pb::MembershipMessage& message) {
  std::size_t size = message.ByteSizeLong();
  const auto append = [&](const Member& member, bool full) {
    pb::MemberUpdate update;
    ToUpdate(member, full, update);
    size += update.ByteSizeLong() + kFieldBytes;
    if (size <= max_bytes) {
      *message.add_members() = std::move(update);
    }
    return size <= max_bytes;
  };
  while (!sync.wanted.empty()) {
    const MemberRecord* record = table_.Find(sync.wanted.back());
    const bool self = sync.wanted.back() == self_.id;
    if ((self || record != nullptr) &&
        !append(self ? self_ : record->member, true)) {
      return;
    }
    sync.wanted.pop_back();
  }
  for (const Member& it : all_) {
    if (!sync.members || it.id < sync.member_cursor) {
      continue;
    }
    if (!append(it, false)) {
      sync.member_cursor = it.id;
      return;
    }
  }
  sync.members = false;
}

std::size_t MemberListImpl::SendsPerUpdate() const {
  return kExtraSends + std::bit_width(table_.LiveCount() + 1);
}

std::uint32_t MemberListImpl::MembersDigest() const {
  std::uint32_t digest = 0;
  for (const Member& it : all_) {
    digest ^= DigestOf(it);
  }
  return digest;
}

}  // namespace vanillalatch::internal
