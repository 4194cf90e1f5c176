#include <algorithm>

#include "src/consensus/quorum.h"
#include "src/consensus/replica_impl.h"

namespace vanillalatch::internal {
namespace {

// Maximum size of the entries in one message.
constexpr std::size_t kMaxAppendBytes = std::size_t{256} * 1024;
// Reads that start within this interval share one round.
constexpr Duration kReadBatchInterval = std::chrono::milliseconds(20);

}  // namespace

// Broadcasts when a heartbeat is due. Steps down if no majority answers.
void ReplicaImpl::RunLeaderTick(TimePoint now) {
  if (now < heartbeat_due_) {
    return;
  }
  if (!HasQuorumContact(now)) {
    roles_.Handle(RoleEvent::kQuorumLost);
    leader_id_ = 0;
    ScheduleElection(now);
    return;
  }
  Broadcast(now);
  if (stopping_) {
    TransferLeadership(now);
  } else {
    MaintainGroup(now);
  }
}

// Starts a new round: sends to all replicas.
void ReplicaImpl::Broadcast(TimePoint now) {
  ++round_;
  last_broadcast_ = now;
  heartbeat_due_ = now + options_.heartbeat;
  Replicate(now);
}

void ReplicaImpl::Replicate(TimePoint now) {
  for (const pb::Replica& it : configuration_.replicas()) {
    if (it.id() != self()) {
      SendAppend(now, it.id());
    }
  }
}

std::optional<LogIndex> ReplicaImpl::Propose(TimePoint now,
                                             const pb::Change& change) {
  if (!IsLeader() || stopping_) {
    return std::nullopt;
  }
  pb::LogEntry entry;
  *entry.mutable_change() = change;
  AppendEntry(std::move(entry));
  const LogIndex index(log_.last_index());
  Replicate(now);
  AdvanceCommit(now);
  return index;
}

std::optional<ReadRound> ReplicaImpl::BeginRead(TimePoint now) {
  if (!IsLeader()) {
    return std::nullopt;
  }
  const ReadRound round(round_ + 1);
  if (now >= last_broadcast_ + kReadBatchInterval) {
    Broadcast(now);
  } else {
    heartbeat_due_ =
        std::min(heartbeat_due_, last_broadcast_ + kReadBatchInterval);
  }
  return round;
}

bool ReplicaImpl::ReadConfirmed(ReadRound round) const {
  if (!IsLeader() || commit_index_ < term_start_index_) {
    return false;
  }
  return IsTrueForQuorum(configuration_, [&](std::uint64_t id) {
    const auto it = peers_.find(id);
    const std::uint64_t acked =
        id == self() ? round_
                     : (it == peers_.end() ? 0 : it->second.acked_round);
    return acked >= round.value();
  });
}

// Sends the entries that the peer lacks, or the snapshot if the log no longer
// contains them. Without entries, the message is a heartbeat; this is also sent
// to a peer that got the snapshot within the last election timeout.
void ReplicaImpl::SendAppend(TimePoint now, std::uint64_t id) {
  Peer& peer = peers_.at(id);
  std::uint64_t previous = peer.next_index - 1;
  if (previous < log_.base().index()) {
    if (SendSnapshot(now, id, peer)) {
      return;
    }
    previous = log_.base().index();
  }
  pb::ConsensusMessage message;
  pb::AppendRequest& request = *message.mutable_append_request();
  request.set_previous_index(previous);
  request.set_previous_term(*log_.TermAt(previous));
  request.set_commit_index(commit_index_);
  request.set_round(round_);
  if (previous + 1 == peer.next_index) {
    for (pb::LogEntry& it :
         log_.EntriesFrom(peer.next_index, kMaxAppendBytes)) {
      *request.add_entries() = std::move(it);
    }
    peer.next_index += static_cast<std::uint64_t>(request.entries_size());
  }
  // A replica that may have no configuration yet needs an address to answer to.
  if (peer.match_index == 0) {
    message.set_reply_address(options_.self.address());
  }
  SendTo(id, std::move(message));
}

// Sends the snapshot. Returns false if one was sent within the last election
// timeout.
bool ReplicaImpl::SendSnapshot(TimePoint now, std::uint64_t id, Peer& peer) {
  if (now < peer.snapshot_sent_at + options_.election_timeout) {
    return false;
  }
  peer.snapshot_sent_at = now;
  pb::ConsensusMessage message;
  *message.mutable_install_snapshot()->mutable_snapshot() = *snapshot_;
  message.mutable_install_snapshot()->set_round(round_);
  SendTo(id, std::move(message));
  return true;
}

void ReplicaImpl::ReplyAppend(const pb::ConsensusMessage& request, bool success,
                              std::uint64_t match, std::uint64_t round) {
  pb::ConsensusMessage message;
  pb::AppendReply& reply = *message.mutable_append_reply();
  reply.set_success(success);
  reply.set_match_index(match);
  reply.set_round(round);
  reply.set_leaving(stopping_ && options_.open_membership);
  Reply(request, std::move(message));
}

// True if the log contains the entry just before those of the request.
bool ReplicaImpl::HasPreviousEntry(const pb::AppendRequest& request) const {
  // Entries below the base were committed, so all replicas agree on them.
  return request.previous_index() < log_.base().index() ||
         log_.TermAt(request.previous_index()) == request.previous_term();
}

// Returns the last index that may match the leader's log. The leader retries
// after it.
std::uint64_t ReplicaImpl::FindLastPossibleMatch(
    const pb::AppendRequest& request) const {
  const std::uint64_t previous = request.previous_index();
  if (previous > log_.last_index()) {
    return log_.last_index();
  }
  std::uint64_t hint = previous;
  const std::optional<std::uint64_t> term = log_.TermAt(previous);
  while (hint > commit_index_ && log_.TermAt(hint) == term) {
    --hint;
  }
  return hint;
}

void ReplicaImpl::HandleAppendRequest(TimePoint now,
                                      const pb::ConsensusMessage& message) {
  if (IsLeader()) {
    return;
  }
  BecomeFollower(now, message.term(), message.from());
  last_leader_contact_ = now;
  const pb::AppendRequest& request = message.append_request();
  if (!HasPreviousEntry(request)) {
    ReplyAppend(message, false, FindLastPossibleMatch(request),
                request.round());
    return;
  }
  StoreReceivedEntries(now, request);
  const std::uint64_t match =
      std::max(request.previous_index() +
                   static_cast<std::uint64_t>(request.entries_size()),
               commit_index_);
  commit_index_ =
      std::max(commit_index_, std::min(request.commit_index(), match));
  ReplyAppend(message, true, match, request.round());
}

// Appends the entries of the leader that are not in the log, and drops the
// entries that conflict with them.
void ReplicaImpl::StoreReceivedEntries(TimePoint now,
                                       const pb::AppendRequest& request) {
  bool changed = false;
  for (const pb::LogEntry& it : request.entries()) {
    const std::optional<std::uint64_t> term = log_.TermAt(it.index());
    if (it.index() <= log_.base().index() || term == it.term()) {
      continue;
    }
    if (it.index() <= commit_index_) {
      throw Error(ErrorKind::kCorrupt, "committed entry " +
                                           std::to_string(it.index()) +
                                           " would be overwritten");
    }
    log_.TruncateFrom(it.index());
    MarkUnsaved(it.index());
    log_.Append(it);
    changed = true;
  }
  if (changed) {
    ReloadConfiguration(now);
  }
}

void ReplicaImpl::HandleInstallSnapshot(TimePoint now,
                                        const pb::ConsensusMessage& message) {
  if (IsLeader()) {
    return;
  }
  BecomeFollower(now, message.term(), message.from());
  last_leader_contact_ = now;
  const pb::Snapshot& snapshot = message.install_snapshot().snapshot();
  const std::uint64_t index = snapshot.index();
  if (index > commit_index_) {
    // If the log matches the snapshot, later entries may have been acknowledged
    // and have to stay.
    if (log_.TermAt(index) != snapshot.term()) {
      pb::LogBase base;
      base.set_index(index);
      base.set_term(snapshot.term());
      log_.Reset(base);
      snapshot_ = snapshot;
      installed_snapshot_ = snapshot;
      first_unsaved_index_.reset();
      delivered_index_ = index;
      AdoptFleetLevel(snapshot.fleet_level());
    }
    commit_index_ = index;
    ReloadConfiguration(now);
  }
  ReplyAppend(message, true, commit_index_, message.install_snapshot().round());
}

void ReplicaImpl::HandleAppendReply(TimePoint now,
                                    const pb::ConsensusMessage& message) {
  if (!IsLeader()) {
    return;
  }
  const pb::AppendReply& reply = message.append_reply();
  const auto it = peers_.find(message.from());
  if (it == peers_.end()) {
    if (reply.leaving() && configuration_index_ <= commit_index_) {
      pb::ConsensusMessage left;
      left.mutable_left();
      Reply(message, std::move(left));
    }
    return;
  }
  Peer& peer = it->second;
  peer.last_ack = now;
  peer.has_answered = true;
  peer.acked_round = std::max(peer.acked_round, reply.round());
  const bool begins_to_leave = reply.leaving() && !peer.leaving;
  peer.leaving = reply.leaving();
  if (!reply.success()) {
    const std::uint64_t next =
        std::max(reply.match_index(), peer.match_index) + 1;
    if (next < peer.next_index) {
      peer.next_index = next;
      SendAppend(now, message.from());
    }
    return;
  }
  peer.match_index = std::max(peer.match_index, reply.match_index());
  peer.next_index = std::max(peer.next_index, peer.match_index + 1);
  if (peer.next_index <= log_.last_index()) {
    SendAppend(now, message.from());
  }
  AdvanceCommit(now);
  if (begins_to_leave) {
    MaintainGroup(now);
  }
}

// The last entry that the replica is known to have on its synced disk.
std::uint64_t ReplicaImpl::MatchIndexOf(std::uint64_t id) const {
  if (id == self()) {
    return log_.last_index();
  }
  const auto it = peers_.find(id);
  return it == peers_.end() ? 0 : it->second.match_index;
}

// True if the replica has acknowledged within the last election timeout.
bool ReplicaImpl::IsActive(std::uint64_t id, TimePoint now) const {
  if (id == self()) {
    return true;
  }
  const auto it = peers_.find(id);
  return it != peers_.end() &&
         now < it->second.last_ack + options_.election_timeout;
}

// Commits the entries that a majority has stored. Entries of earlier terms are
// committed only together with one of the current term.
void ReplicaImpl::AdvanceCommit(TimePoint now) {
  const std::uint64_t index = QuorumValue(
      configuration_, [&](std::uint64_t id) { return MatchIndexOf(id); });
  if (index <= commit_index_ || log_.TermAt(index) != current_term()) {
    return;
  }
  commit_index_ = index;
  Replicate(now);
  MaintainGroup(now);
}

}  // namespace vanillalatch::internal
