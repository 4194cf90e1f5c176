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
// then member updates, then changes of leases, then digests, then syncs.
constexpr std::int64_t kUpdatesReserve = 200;
constexpr std::int64_t kLeasesReserve = 300;
constexpr std::int64_t kDigestsReserve = 400;
constexpr std::int64_t kSyncReserve = 500;
constexpr std::size_t kMinSyncPart = 400;
// Times that an update is sent, besides log2 of the members.
constexpr std::size_t kExtraSends = 2;

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
                              std::uint64_t sequence) {
  pb::MembershipMessage message =
      NewMessage(pb::MembershipMessage::PING, sequence);
  message.set_target(to.id.value());
  if (to.state != MemberState::kAlive) {
    ToUpdate(to, false, *message.add_members());
  }
  const BucketMask quarter = BucketMask{0xff} << (8 * (next_quarter_++ % 4));
  return Send(event, to.peer, std::move(message), quarter);
}

bool MemberListImpl::Send(Event& event, SocketAddress to,
                          pb::MembershipMessage message, BucketMask digests) {
  if (message.ByteSizeLong() > Room(event.now, 0)) {
    return false;
  }
  AppendUpdates(Room(event.now, kUpdatesReserve), message);
  event.leases.AppendLeases(event.now, SendsPerUpdate(),
                            Room(event.now, kLeasesReserve), message);
  event.leases.AppendDigests(event.now, digests,
                             Room(event.now, kDigestsReserve), message);
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
  updates_.Drain(SendsPerUpdate(), [&](const QueuedUpdate& it) {
    const MemberRecord* record = table_.Find(it.id);
    if (record == nullptr && it.id != self_.id) {
      return true;
    }
    pb::MemberUpdate update;
    ToUpdate(record == nullptr ? self_ : record->member, it.full, update);
    size += update.ByteSizeLong() + kFieldBytes;
    if (size > max_bytes) {
      return false;
    }
    *message.add_members() = std::move(update);
    return true;
  });
}

void MemberListImpl::SendSyncs(Event& event) {
  while (!syncs_.empty()) {
    const auto it = syncs_.begin();
    if (!SendSyncPart(event, it->second)) {
      return;
    }
    if (!it->second.members && it->second.buckets == 0) {
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
  if (sync.members) {
    AppendMembers(sync, room, message);
  }
  while (!sync.members && sync.buckets != 0) {
    const auto bucket =
        static_cast<std::size_t>(std::countr_zero(sync.buckets));
    sync.lease_cursor = event.leases.AppendBucket(
        event.now, bucket, sync.lease_cursor, room, message);
    if (sync.lease_cursor != 0) {
      break;
    }
    sync.buckets &= sync.buckets - 1;
  }
  return SendBytes(event, sync.to, message);
}

void MemberListImpl::AppendMembers(Sync& sync, std::size_t max_bytes,
                                   pb::MembershipMessage& message) {
  std::size_t size = message.ByteSizeLong();
  for (const Member& it : view_) {
    if (it.id < sync.member_cursor) {
      continue;
    }
    pb::MemberUpdate update;
    ToUpdate(it, sync.full, update);
    size += update.ByteSizeLong() + kFieldBytes;
    if (size > max_bytes) {
      sync.member_cursor = it.id;
      return;
    }
    *message.add_members() = std::move(update);
  }
  sync.members = false;
}

std::size_t MemberListImpl::SendsPerUpdate() const {
  return kExtraSends + std::bit_width(table_.LiveCount() + 1);
}

std::uint32_t MemberListImpl::MembersDigest() const {
  std::uint32_t digest = 0;
  for (const Member& it : view_) {
    digest ^= DigestOf(it);
  }
  return digest;
}

}  // namespace vanillalatch::internal
