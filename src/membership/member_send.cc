// The sending side of MemberListImpl: selects what a datagram contains, by
// priority and within the byte budget.
#include <algorithm>
#include <bit>

#include "src/membership/member_list_impl.h"

namespace vanillalatch::internal {
namespace {

constexpr std::size_t kMaxDatagramBytes = 1200;
// Size of a PeerDatagram without its membership message.
constexpr std::size_t kEnvelopeBytes = 28;
constexpr std::size_t kIpUdpHeaderBytes = 28;
// Size of the tag and length of one message in a repeated field.
constexpr std::size_t kFieldHeaderBytes = 2;
// Each kind of content leaves a reserve of the budget to the kinds of higher
// priority. From the highest: the probes themselves, member updates, departures
// of leases, lease digests (which renew leases), other lease changes, syncs.
constexpr std::int64_t kUpdatesReserveBytes = 200;
constexpr std::int64_t kDeparturesReserveBytes = 200;
constexpr std::int64_t kDigestsReserveBytes = 300;
constexpr std::int64_t kLeasesReserveBytes = 700;
constexpr std::int64_t kSyncReserveBytes = 800;
// A sync waits until it can send a message of this size.
constexpr std::size_t kMinSyncBytes = 400;
// A member update is sent this many times more than log2 of the number of
// members.
constexpr std::size_t kExtraSends = 2;
// The first sends of a new member include its name and address. A VM that
// misses these sends requests them.
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

std::size_t MemberListImpl::AvailableBytes(TimePoint now,
                                           std::int64_t reserve) {
  const std::int64_t available =
      budget_.Available(now) - reserve -
      static_cast<std::int64_t>(kEnvelopeBytes + kIpUdpHeaderBytes);
  return static_cast<std::size_t>(std::clamp<std::int64_t>(
      available, 0,
      static_cast<std::int64_t>(kMaxDatagramBytes - kEnvelopeBytes)));
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

BucketMask MemberListImpl::NextDigestBuckets() {
  return BucketMask{0xff} << (8 * (next_bucket_quarter_++ % 4));
}

bool MemberListImpl::Send(Event& event, SocketAddress to,
                          pb::MembershipMessage message, BucketMask digests) {
  if (message.ByteSizeLong() > AvailableBytes(event.now, 0)) {
    return false;
  }
  if (message.kind() == pb::MembershipMessage::PING ||
      message.kind() == pb::MembershipMessage::ACK) {
    evacuations_.Append(event.now, AvailableBytes(event.now, 0), message);
    message.set_catalog_revision(revisions_.own());
  }
  AppendUpdates(AvailableBytes(event.now, kUpdatesReserveBytes), message);
  event.leases.AppendLeases(event.now, true, SendsPerUpdate(),
                            AvailableBytes(event.now, kDeparturesReserveBytes),
                            message);
  event.leases.AppendDigests(event.now, digests,
                             AvailableBytes(event.now, kDigestsReserveBytes),
                             message);
  event.leases.AppendLeases(event.now, false, SendsPerUpdate(),
                            AvailableBytes(event.now, kLeasesReserveBytes),
                            message);
  return SendBytes(event, to, message);
}

bool MemberListImpl::SendBytes(Event& event, SocketAddress to,
                               const pb::MembershipMessage& message) {
  pb::PeerDatagram datagram;
  datagram.set_from(self_.id.value());
  datagram.set_incarnation(self_.incarnation);
  *datagram.mutable_membership() = message;
  const std::size_t size = datagram.ByteSizeLong();
  if (static_cast<std::int64_t>(size + kIpUdpHeaderBytes) >
      budget_.Available(event.now)) {
    return false;
  }
  budget_.Take(size + kIpUdpHeaderBytes);
  bytes_sent_ += size;
  const std::span<std::uint8_t> bytes =
      event.out.Reserve(SocketRole::kPeer, to, size);
  datagram.SerializeWithCachedSizesToArray(bytes.data());
  return true;
}

void MemberListImpl::AppendUpdates(std::size_t max_bytes,
                                   pb::MembershipMessage& message) {
  std::size_t size = message.ByteSizeLong();
  // A ping already contains the state of its target if that is not alive.
  const NodeId skipped{
      message.kind() == pb::MembershipMessage::PING ? message.target() : 0};
  updates_.ForEachDue(SendsPerUpdate(), skipped, [&](const QueuedUpdate& it) {
    const MemberRecord* record = table_.Find(it.id);
    if (record == nullptr && it.id != self_.id) {
      return true;
    }
    pb::MemberUpdate update;
    ToUpdate(record == nullptr ? self_ : record->member,
             it.full && it.sent < kFullSends, update);
    size += update.ByteSizeLong() + kFieldHeaderBytes;
    if (size > max_bytes) {
      return false;
    }
    *message.add_members() = std::move(update);
    return true;
  });
}

// Sends one datagram to each receiver in turn while the budget allows.
void MemberListImpl::SendSyncs(Event& event) {
  while (!syncs_.empty()) {
    auto it = syncs_.upper_bound(last_sync_);
    it = it == syncs_.end() ? syncs_.begin() : it;
    if (!SendSyncPart(event, it->second)) {
      return;
    }
    last_sync_ = it->first;
    const Sync& sync = it->second;
    if (!sync.needs_members && sync.wanted.empty() && sync.leases.empty()) {
      syncs_.erase(it);
    }
  }
}

bool MemberListImpl::SendSyncPart(Event& event, Sync& sync) {
  const std::size_t available = AvailableBytes(event.now, kSyncReserveBytes);
  if (available < kMinSyncBytes) {
    return false;
  }
  pb::MembershipMessage message =
      NewMessage(pb::MembershipMessage::STATE, ++sequence_);
  AppendMembers(sync, available, message);
  if (sync.is_join && sync.wanted.empty()) {
    sync.is_join = false;
    message.set_complete(true);
  }
  event.leases.AppendMissingLeases(event.now, sync.leases, available, message);
  return SendBytes(event, sync.to, message);
}

void MemberListImpl::AppendMembers(Sync& sync, std::size_t max_bytes,
                                   pb::MembershipMessage& message) {
  std::size_t size = message.ByteSizeLong();
  const auto append = [&](const Member& member, bool full) {
    pb::MemberUpdate update;
    ToUpdate(member, full, update);
    size += update.ByteSizeLong() + kFieldHeaderBytes;
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
    if (!sync.needs_members || it.id < sync.member_cursor) {
      continue;
    }
    if (!append(it, false)) {
      sync.member_cursor = it.id;
      return;
    }
  }
  sync.needs_members = false;
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
