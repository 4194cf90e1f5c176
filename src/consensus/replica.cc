#include "vanillalatch/consensus/replica.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "src/consensus/quorum.h"
#include "src/consensus/replica_impl.h"
#include "src/consensus/stored_level.h"

namespace vanillalatch {

Result<std::unique_ptr<Replica>> Replica::Create(ReplicaOptions options,
                                                 StoredReplica stored,
                                                 TimePoint now,
                                                 std::uint64_t seed) {
  if (options.heartbeat <= Duration::zero() ||
      options.election_timeout <= options.heartbeat) {
    return Error(
        ErrorKind::kInvalidArgument,
        "the heartbeat must be positive and below the election timeout");
  }
  const bool named = std::any_of(
      options.configured_vms.begin(), options.configured_vms.end(),
      [&](const pb::Replica& it) { return it.vm() == options.self.vm(); });
  if (!named && !options.open_membership) {
    return Error(ErrorKind::kInvalidArgument,
                 options.self.vm() + " is not among the control VMs");
  }
  if (const FeatureLevel needed = internal::OldestReaderOfStored(stored);
      needed > options.level) {
    return Error(ErrorKind::kUnsupported,
                 "the stored data need a build of feature level " +
                     std::to_string(needed.value()) + ", this one has level " +
                     std::to_string(options.level.value()));
  }
  Result<internal::RoleMachine> roles = internal::RoleMachine::Create();
  if (!roles.ok()) {
    return roles.error();
  }
  return std::unique_ptr<Replica>(std::make_unique<internal::ReplicaImpl>(
      std::move(options), std::move(stored), std::move(*roles), now, seed));
}

namespace internal {

ReplicaImpl::ReplicaImpl(ReplicaOptions options, StoredReplica stored,
                         RoleMachine roles, TimePoint now, std::uint64_t seed)
    : options_(std::move(options)),
      roles_(std::move(roles)),
      random_(seed),
      vote_(std::move(stored.vote)),
      log_(std::move(stored.log)),
      snapshot_(std::move(stored.snapshot)),
      heartbeat_due_(now),
      introduce_due_(now) {
  if (snapshot_) {
    commit_index_ = snapshot_->index();
    delivered_index_ = commit_index_;
    AdoptFleetLevel(snapshot_->fleet_level());
  }
  commit_index_ =
      std::max(commit_index_, std::min(stored.commit_index, log_.last_index()));
  reported_commit_index_ = commit_index_;
  ScheduleFirstElection(now);
  ReloadConfiguration(now);
}

void ReplicaImpl::OnMessage(TimePoint now,
                            const pb::ConsensusMessage& message) {
  if (!CanRead(message)) {
    return;
  }
  if (message.has_introduce()) {
    HandleIntroduce(now, message);
    return;
  }
  // Ignores messages to a former identity, which was lost with its disk.
  if (message.to() != self()) {
    return;
  }
  RecordContact(now, message.from());
  RecordLevel(message);
  if (AcceptTerm(now, message)) {
    Dispatch(now, message);
  }
}

void ReplicaImpl::Dispatch(TimePoint now, const pb::ConsensusMessage& message) {
  switch (message.body_case()) {
    case pb::ConsensusMessage::kVoteRequest:
      HandleVoteRequest(now, message);
      break;
    case pb::ConsensusMessage::kVoteReply:
      HandleVoteReply(now, message);
      break;
    case pb::ConsensusMessage::kAppendRequest:
      HandleAppendRequest(now, message);
      break;
    case pb::ConsensusMessage::kAppendReply:
      HandleAppendReply(now, message);
      break;
    case pb::ConsensusMessage::kInstallSnapshot:
      HandleInstallSnapshot(now, message);
      break;
    case pb::ConsensusMessage::kCampaignNow:
      HandleCampaignNow(now);
      break;
    case pb::ConsensusMessage::kLeft:
      HandleLeft();
      break;
    default:
      break;
  }
}

void ReplicaImpl::OnTick(TimePoint now) {
  TryBootstrap(now);
  if (IsLeader()) {
    RunLeaderTick(now);
  } else if (now >= election_deadline_) {
    HandleElectionTimeout(now);
  }
  IntroduceIfLeaderless(now);
}

TimePoint ReplicaImpl::NextWake() const {
  const TimePoint due = IsLeader() ? heartbeat_due_ : election_deadline_;
  return IsVoter() ? due : std::min(due, introduce_due_);
}

ReplicaActions ReplicaImpl::TakeActions() {
  ReplicaActions actions;
  actions.installed_snapshot = std::exchange(installed_snapshot_, std::nullopt);
  if (std::exchange(has_unsaved_vote_, false)) {
    actions.vote = vote_;
  }
  if (first_unsaved_index_) {
    for (std::uint64_t n = *first_unsaved_index_; n <= log_.last_index(); ++n) {
      actions.append.push_back(log_.At(n));
    }
    first_unsaved_index_.reset();
  }
  if (reported_commit_index_ != commit_index_) {
    reported_commit_index_ = commit_index_;
    actions.commit_index = commit_index_;
  }
  actions.sends = std::exchange(sends_, {});
  while (delivered_index_ < commit_index_) {
    actions.committed.push_back(log_.At(++delivered_index_));
    if (actions.committed.back().has_fleet_level()) {
      AdoptFleetLevel(actions.committed.back().fleet_level());
    }
  }
  return actions;
}

void ReplicaImpl::Compact(const pb::Snapshot& snapshot, LogIndex retain_after) {
  snapshot_ = snapshot;
  log_.DropThrough(std::min(retain_after.value(), snapshot.index()));
}

pb::Configuration ReplicaImpl::ConfigurationAt(LogIndex index) const {
  if (const pb::LogEntry* entry = log_.ConfigurationAt(index.value())) {
    return entry->configuration();
  }
  return snapshot_ ? snapshot_->configuration() : pb::Configuration();
}

std::optional<pb::Replica> ReplicaImpl::leader() const {
  const pb::Replica* leader = FindReplica(configuration_, leader_id_);
  if (leader == nullptr) {
    return std::nullopt;
  }
  return *leader;
}

bool ReplicaImpl::HasQuorumContact(TimePoint now) const {
  if (IsLeader()) {
    return IsTrueForQuorum(configuration_,
                           [&](std::uint64_t id) { return IsActive(id, now); });
  }
  return now < last_leader_contact_ + 2 * options_.election_timeout;
}

std::optional<TimePoint> ReplicaImpl::LastContact(std::string_view vm) const {
  const auto it = last_contact_.find(vm);
  if (it == last_contact_.end()) {
    return std::nullopt;
  }
  return it->second;
}

bool ReplicaImpl::IsVoter() const {
  const pb::Replica* own = FindReplica(configuration_, self());
  return own != nullptr && !own->learner();
}

void ReplicaImpl::RecordContact(TimePoint now, std::uint64_t from) {
  if (const pb::Replica* sender = FindReplica(configuration_, from)) {
    last_contact_[sender->vm()] = now;
  }
}

void ReplicaImpl::Send(const pb::Replica& to, pb::ConsensusMessage message) {
  message.set_from(self());
  message.set_to(to.id());
  if (message.term() == 0) {
    message.set_term(current_term());
  }
  AddLevel(message);
  sends_.push_back({to.address(), std::move(message)});
}

void ReplicaImpl::SendTo(std::uint64_t id, pb::ConsensusMessage message) {
  if (const pb::Replica* to = FindReplica(configuration_, id)) {
    Send(*to, std::move(message));
  }
}

// Uses the reply address of the request if the sender is not in the
// configuration: a configuration that contains it may not have arrived yet.
void ReplicaImpl::Reply(const pb::ConsensusMessage& request,
                        pb::ConsensusMessage reply) {
  pb::Replica to;
  if (const pb::Replica* sender = FindReplica(configuration_, request.from())) {
    to = *sender;
  } else {
    to.set_id(request.from());
    to.set_address(request.reply_address());
  }
  if (!to.address().empty()) {
    Send(to, std::move(reply));
  }
}

void ReplicaImpl::SetVote(std::uint64_t term, std::uint64_t candidate) {
  vote_.set_term(term);
  vote_.set_candidate(candidate);
  has_unsaved_vote_ = true;
}

void ReplicaImpl::AppendEntry(pb::LogEntry entry) {
  entry.set_index(log_.last_index() + 1);
  entry.set_term(current_term());
  MarkUnsaved(entry.index());
  log_.Append(std::move(entry));
}

// The entries from `index` on have to be stored by the next actions.
void ReplicaImpl::MarkUnsaved(std::uint64_t index) {
  first_unsaved_index_ = std::min(first_unsaved_index_.value_or(index), index);
}

// Updates the configuration, this replica's role and the list of peers after a
// change of the log.
void ReplicaImpl::ReloadConfiguration(TimePoint now) {
  const pb::LogEntry* entry = log_.ConfigurationAt(log_.last_index());
  configuration_index_ = entry == nullptr ? 0 : entry->index();
  configuration_ = ConfigurationAt(LogIndex(log_.last_index()));
  // An address in the settings overrides the one in the log, which may be
  // outdated.
  for (pb::Replica& it : *configuration_.mutable_replicas()) {
    for (const pb::Replica& named : options_.configured_vms) {
      if (named.vm() == it.vm()) {
        it.set_address(named.address());
      }
    }
  }
  const pb::Replica* own = FindReplica(configuration_, self());
  if (own == nullptr) {
    roles_.Handle(RoleEvent::kRemoved);
  } else {
    roles_.Handle(own->learner() ? RoleEvent::kMadeLearner
                                 : RoleEvent::kMadeVoter);
  }
  for (const pb::Replica& it : configuration_.replicas()) {
    peers_.try_emplace(it.id(), Peer{.next_index = log_.last_index() + 1});
  }
  const auto is_gone = [&](const auto& it) {
    return FindReplica(configuration_, it.first) == nullptr;
  };
  std::erase_if(peers_, is_gone);
  std::erase_if(stated_levels_, is_gone);
}

}  // namespace internal
}  // namespace vanillalatch
