#include <algorithm>
#include <set>
#include <utility>

#include "src/consensus/quorum.h"
#include "src/consensus/replica_impl.h"

namespace vanillalatch::internal {
namespace {

// Interval at which a replica without a leader asks to join.
constexpr Duration kIntroduceInterval = std::chrono::milliseconds(500);
// A join request that is not repeated within this time expires.
constexpr Duration kIntroductionLifetime = std::chrono::seconds(2);
// A voter that had no leader for this long may have been replaced while it was
// partitioned from the others: several elections could have succeeded by then.
constexpr Duration kLeaderlessTimeout = std::chrono::seconds(4);
// A voter that has not answered for this long may be replaced by a waiting
// learner. It is twice the duration of the longest election.
constexpr Duration kSilentVoterTimeout = std::chrono::seconds(3);
// The same for the removal from a group with an even number of voters.
constexpr Duration kUnneededVoterTimeout = std::chrono::seconds(2);
// Interval at which a replica that stops tells the leader that it is leaving.
constexpr Duration kLeaveInterval = std::chrono::milliseconds(50);
// A replica that stops waits for its removal for this long: an election and a
// few rounds.
constexpr Duration kLeaveTimeout = std::chrono::seconds(2);

// Returns the voter of the same VM with another identity, which was lost with
// its disk; nullptr if there is none.
const pb::Replica* FindFormerVoter(const pb::Configuration& configuration,
                                   const pb::Replica& replica) {
  for (const pb::Replica& it : configuration.replicas()) {
    if (it.vm() == replica.vm() && it.id() != replica.id() && !it.learner()) {
      return &it;
    }
  }
  return nullptr;
}

template <typename Predicate>
void RemoveIf(pb::Configuration& configuration, Predicate predicate) {
  auto& replicas = *configuration.mutable_replicas();
  replicas.erase(std::remove_if(replicas.begin(), replicas.end(), predicate),
                 replicas.end());
}

}  // namespace

// Asks to join the group while no leader sends messages to this replica. A
// voter asks only if membership is open, as it may have been replaced.
void ReplicaImpl::IntroduceIfLeaderless(TimePoint now) {
  if (now < introduce_due_) {
    return;
  }
  if (IsVoter() && (!options_.open_membership || IsLeader() ||
                    now < last_leader_contact_ + kLeaderlessTimeout)) {
    return;
  }
  introduce_due_ = now + kIntroduceInterval;
  if (HasRecentLeader(now)) {
    return;
  }
  std::set<std::string> addresses;
  for (const pb::Replica& it : options_.configured_vms) {
    addresses.insert(it.address());
  }
  for (const pb::Replica& it : configuration_.replicas()) {
    addresses.insert(it.address());
  }
  addresses.erase(options_.self.address());
  for (const std::string& it : addresses) {
    pb::ConsensusMessage message;
    message.set_from(self());
    message.set_term(current_term());
    *message.mutable_introduce()->mutable_replica() = options_.self;
    message.mutable_introduce()->set_empty_log(log_.empty());
    if (StatesLevel()) {
      message.mutable_introduce()->set_level(options_.level.value());
    }
    AddLevel(message);
    sends_.push_back({it, std::move(message)});
  }
}

void ReplicaImpl::HandleIntroduce(TimePoint now,
                                  const pb::ConsensusMessage& message) {
  const pb::Introduce& body = message.introduce();
  if (!(options_.open_membership || IsConfiguredVm(body.replica().vm())) ||
      body.replica().vm() == options_.self.vm()) {
    return;
  }
  // Only the leader can admit a replica, and the sender may not know the
  // leader. Forwards the request once: `to` is set in a forwarded one.
  if (options_.open_membership && !IsLeader() && message.to() == 0 &&
      leader_id_ != 0) {
    SendTo(leader_id_, message);
  }
  introductions_[body.replica().vm()] =
      Introduction{body.replica(), body.empty_log(), message.term(),
                   FeatureLevel{body.level()}, now};
  last_contact_[body.replica().vm()] = now;
  TryBootstrap(now);
  MaintainGroup(now);
}

bool ReplicaImpl::IsConfiguredVm(std::string_view vm) const {
  return std::any_of(options_.configured_vms.begin(),
                     options_.configured_vms.end(),
                     [&](const pb::Replica& it) { return it.vm() == vm; });
}

// True if every other configured VM has recently reported an empty log. Sets
// `highest_term` to the highest term among all of them.
bool ReplicaImpl::AllLogsAreEmpty(TimePoint now,
                                  std::uint64_t& highest_term) const {
  highest_term = current_term();
  for (const pb::Replica& it : options_.configured_vms) {
    if (it.vm() == options_.self.vm()) {
      continue;
    }
    const auto found = introductions_.find(it.vm());
    if (found == introductions_.end() || !found->second.empty_log ||
        now >= found->second.received_at + kIntroductionLifetime) {
      return false;
    }
    highest_term = std::max(highest_term, found->second.term);
  }
  return true;
}

// Bootstraps the group. Only the first configured VM by name does so, once
// every configured VM has reported an empty log. A lost disk alone therefore
// never creates a second group.
void ReplicaImpl::TryBootstrap(TimePoint now) {
  if (!options_.may_bootstrap || !IsConfiguredVm(options_.self.vm())) {
    return;
  }
  const bool first = std::all_of(
      options_.configured_vms.begin(), options_.configured_vms.end(),
      [&](const pb::Replica& it) { return it.vm() >= options_.self.vm(); });
  std::uint64_t highest_term = 0;
  if (!first || role() != ReplicaRole::kJoining || !log_.empty() ||
      !AllLogsAreEmpty(now, highest_term)) {
    return;
  }
  SetVote(highest_term + 1, 0);
  pb::LogEntry entry;
  pb::Configuration& configuration = *entry.mutable_configuration();
  *configuration.add_replicas() = options_.self;
  for (const auto& [vm, it] : introductions_) {
    if (IsConfiguredVm(vm)) {
      *configuration.add_replicas() = it.replica;
    }
  }
  AppendEntry(std::move(entry));
  ReloadConfiguration(now);
  HandleElectionTimeout(now);
}

// Makes at most one change to the configuration if one is needed. Each change
// is committed before the next one starts.
void ReplicaImpl::MaintainGroup(TimePoint now) {
  if (!IsLeader() || stopping_ || commit_index_ < term_start_index_ ||
      configuration_index_ > commit_index_) {
    return;
  }
  if (!AdmitLearner(now) && !PromoteLearner(now)) {
    RemoveUnneededVoter(now);
  }
  RaiseFleetLevel(now);
}

// Removes a voter without which the group tolerates as many failures. If the
// voter returns, it asks to join again.
void ReplicaImpl::RemoveUnneededVoter(TimePoint now) {
  const pb::Replica* unneeded = FindUnneededVoter(now);
  if (unneeded == nullptr) {
    return;
  }
  const std::uint64_t id = unneeded->id();
  pb::Configuration next = configuration_;
  RemoveIf(next, [&](const pb::Replica& it) { return it.id() == id; });
  if (IsTrueForQuorum(
          next, [&](std::uint64_t other) { return IsActive(other, now); })) {
    ProposeConfiguration(now, std::move(next));
  }
}

// Returns a voter that is gone or about to go and that makes the majority
// larger without need; nullptr if there is none. In a group of an even size any
// one voter does so, in a group of an odd size two of them together.
const pb::Replica* ReplicaImpl::FindUnneededVoter(TimePoint now) const {
  if (!options_.open_membership) {
    return nullptr;
  }
  const pb::Replica* leaving = FindLeavingVoter();
  if (VoterCount(configuration_) % 2 == 0) {
    return leaving != nullptr ? leaving
                              : FindSilentVoter(now, kUnneededVoterTimeout);
  }
  const auto n = std::count_if(configuration_.replicas().begin(),
                               configuration_.replicas().end(),
                               [&](const pb::Replica& it) {
                                 return !it.learner() && IsLeaving(it.id());
                               });
  return n > 1 ? leaving : nullptr;
}

// Adds a replica that asks to join as a learner. It replaces a former learner
// of the same VM.
bool ReplicaImpl::AdmitLearner(TimePoint now) {
  for (const auto& [vm, introduction] : introductions_) {
    const pb::Replica& newcomer = introduction.replica;
    if (now >= introduction.received_at + kIntroductionLifetime ||
        FindReplica(configuration_, newcomer.id()) != nullptr ||
        !CanReadFleet(introduction)) {
      continue;
    }
    pb::Configuration next = configuration_;
    RemoveIf(next, [&](const pb::Replica& it) {
      return it.vm() == newcomer.vm() && it.learner();
    });
    pb::Replica& learner = *next.add_replicas();
    learner = newcomer;
    learner.set_learner(true);
    ProposeConfiguration(now, std::move(next));
    return true;
  }
  return false;
}

// Makes a learner a voter once all committed entries are on its synced disk.
// Removes the former identity of the same VM, or a voter that is leaving or
// silent, first. While the former identity still answers, two processes run
// under one VM name, and the learner has to wait.
bool ReplicaImpl::PromoteLearner(TimePoint now) {
  for (const pb::Replica& it : configuration_.replicas()) {
    if (!it.learner() || MatchIndexOf(it.id()) < commit_index_ ||
        !IsActive(it.id(), now)) {
      continue;
    }
    pb::Configuration next = configuration_;
    const pb::Replica* former = FindFormerVoter(configuration_, it);
    if (former != nullptr && IsActive(former->id(), now)) {
      continue;
    }
    if (former == nullptr && options_.open_membership) {
      former = FindLeavingVoter();
      if (former == nullptr) {
        former = FindSilentVoter(now, kSilentVoterTimeout);
      }
      if (former == nullptr && !AllVotersActive(now)) {
        // A voter that does not answer may have failed permanently. Another
        // voter beside it would leave a group that tolerates no further
        // failure, so the learner waits until that voter answers or counts as
        // silent.
        continue;
      }
    }
    if (former != nullptr) {
      const std::uint64_t former_id = former->id();
      RemoveIf(next, [&](const pb::Replica& other) {
        return other.id() == former_id;
      });
    } else {
      for (pb::Replica& other : *next.mutable_replicas()) {
        other.set_learner(other.learner() && other.id() != it.id());
      }
    }
    const auto active = [&](std::uint64_t id) { return IsActive(id, now); };
    if (IsTrueForQuorum(next, active)) {
      ProposeConfiguration(now, std::move(next));
      return true;
    }
  }
  return false;
}

bool ReplicaImpl::IsLeaving(std::uint64_t id) const {
  const auto it = peers_.find(id);
  return it != peers_.end() && it->second.leaving;
}

// Returns a voter that stops as planned and has not come back; nullptr if there
// is none.
const pb::Replica* ReplicaImpl::FindLeavingVoter() const {
  const auto it =
      std::find_if(configuration_.replicas().begin(),
                   configuration_.replicas().end(), [&](const pb::Replica& it) {
                     return !it.learner() && IsLeaving(it.id());
                   });
  return it == configuration_.replicas().end() ? nullptr : &*it;
}

// Returns a voter that has not answered for `timeout`; nullptr if there is
// none.
const pb::Replica* ReplicaImpl::FindSilentVoter(TimePoint now,
                                                Duration timeout) const {
  for (const pb::Replica& it : configuration_.replicas()) {
    const auto peer = peers_.find(it.id());
    if (!it.learner() && it.id() != self() && peer != peers_.end() &&
        now >= peer->second.last_ack + timeout) {
      return &it;
    }
  }
  return nullptr;
}

// True if every voter has answered since this replica became the leader, and
// within the last election timeout.
bool ReplicaImpl::AllVotersActive(TimePoint now) const {
  return std::all_of(
      configuration_.replicas().begin(), configuration_.replicas().end(),
      [&](const pb::Replica& it) {
        const auto peer = peers_.find(it.id());
        return it.learner() || it.id() == self() ||
               (peer != peers_.end() && peer->second.has_answered &&
                IsActive(it.id(), now));
      });
}

void ReplicaImpl::ProposeConfiguration(TimePoint now,
                                       pb::Configuration configuration) {
  pb::LogEntry entry;
  *entry.mutable_configuration() = std::move(configuration);
  AppendEntry(std::move(entry));
  ReloadConfiguration(now);
  Replicate(now);
  AdvanceCommit(now);
}

bool ReplicaImpl::BeginStop(TimePoint now) {
  if (!std::exchange(stopping_, true)) {
    stop_began_ = now;
  }
  if (VoterCount(configuration_) == 1) {
    return true;
  }
  if (IsLeader()) {
    TransferLeadership(now);
    return false;
  }
  return LeaveGroup(now);
}

// Tells the leader that this replica is leaving. Returns false while this
// replica should run on, as its removal makes up for its loss: a group of an
// even size tolerates as many failures without it.
bool ReplicaImpl::LeaveGroup(TimePoint now) {
  if (left_ || !options_.open_membership || !IsVoter() ||
      now >= stop_began_ + kLeaveTimeout) {
    return true;
  }
  if (!HasRecentLeader(now)) {
    return false;
  }
  if (LevelOf(ReplicaId(leader_id_)) < kLeaveLevel) {
    return true;
  }
  if (now >= leave_due_) {
    leave_due_ = now + kLeaveInterval;
    pb::ConsensusMessage message;
    message.set_reply_address(options_.self.address());
    message.mutable_append_reply()->set_success(true);
    message.mutable_append_reply()->set_leaving(true);
    SendTo(leader_id_, std::move(message));
  }
  return VoterCount(configuration_) % 2 != 0;
}

void ReplicaImpl::HandleLeft() { left_ = stopping_; }

// Asks the voter with the longest log to campaign, once its log is complete.
void ReplicaImpl::TransferLeadership(TimePoint now) {
  const pb::Replica* successor = nullptr;
  for (const pb::Replica& it : configuration_.replicas()) {
    if (it.learner() || it.id() == self() || !IsActive(it.id(), now) ||
        IsLeaving(it.id())) {
      continue;
    }
    if (successor == nullptr ||
        MatchIndexOf(it.id()) > MatchIndexOf(successor->id())) {
      successor = &it;
    }
  }
  if (successor != nullptr &&
      MatchIndexOf(successor->id()) == log_.last_index()) {
    pb::ConsensusMessage message;
    message.mutable_campaign_now();
    Send(*successor, std::move(message));
  }
}

}  // namespace vanillalatch::internal
