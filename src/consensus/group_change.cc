#include <algorithm>
#include <set>

#include "src/consensus/quorum.h"
#include "src/consensus/replica_impl.h"

namespace vanillalatch::internal {
namespace {

constexpr Duration kIntroduceInterval = std::chrono::milliseconds(500);
// An introduction that is not repeated for this long no longer counts.
constexpr Duration kIntroductionAge = std::chrono::seconds(2);
// A voter without a leader for this long may have been replaced while it was
// cut off: several elections would have succeeded.
constexpr Duration kAloneAge = std::chrono::seconds(4);
// A voter that has not answered for this long is replaced by a learner that
// waits: twice the longest election.
constexpr Duration kReplaceAge = std::chrono::seconds(3);

// A voter of the same VM under another identity, which was lost with its
// disk; nullptr if there is none.
const pb::Replica* FormerVoter(const pb::Configuration& configuration,
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

// Asks to be let in while no leader sends anything to this replica.
void ReplicaImpl::IntroduceIfAlone(TimePoint now) {
  if (now < introduce_due_) {
    return;
  }
  if (IsVoter() &&
      (!options_.open || IsLeader() || now < leader_contact_ + kAloneAge)) {
    return;
  }
  introduce_due_ = now + kIntroduceInterval;
  if (HearsLeader(now)) {
    return;
  }
  std::set<std::string> addresses;
  for (const pb::Replica& it : options_.initial) {
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
    sends_.push_back({it, std::move(message)});
  }
}

void ReplicaImpl::HandleIntroduce(TimePoint now,
                                  const pb::ConsensusMessage& message) {
  const pb::Introduce& body = message.introduce();
  if (!(options_.open || NamedInSettings(body.replica().vm())) ||
      body.replica().vm() == options_.self.vm()) {
    return;
  }
  // Only the leader lets anybody in; who asks may not know it. `to` is set in
  // what was passed on already.
  if (options_.open && !IsLeader() && message.to() == 0 && leader_id_ != 0) {
    SendTo(leader_id_, message);
  }
  introductions_[body.replica().vm()] =
      Introduction{body.replica(), body.empty_log(), message.term(), now};
  last_heard_[body.replica().vm()] = now;
  TryForm(now);
  MaintainGroup(now);
}

bool ReplicaImpl::NamedInSettings(std::string_view vm) const {
  return std::any_of(options_.initial.begin(), options_.initial.end(),
                     [&](const pb::Replica& it) { return it.vm() == vm; });
}

bool ReplicaImpl::AllAreEmpty(TimePoint now,
                              std::uint64_t& highest_term) const {
  highest_term = current_term();
  for (const pb::Replica& it : options_.initial) {
    if (it.vm() == options_.self.vm()) {
      continue;
    }
    const auto found = introductions_.find(it.vm());
    if (found == introductions_.end() || !found->second.empty_log ||
        now >= found->second.at + kIntroductionAge) {
      return false;
    }
    highest_term = std::max(highest_term, found->second.term);
  }
  return true;
}

// Founds the group: the first VM by name does so once every VM of the
// settings has said that its log is empty. A lost disk alone therefore never
// founds a second group.
void ReplicaImpl::TryForm(TimePoint now) {
  if (!options_.may_found || !NamedInSettings(options_.self.vm())) {
    return;
  }
  const bool first = std::all_of(
      options_.initial.begin(), options_.initial.end(),
      [&](const pb::Replica& it) { return it.vm() >= options_.self.vm(); });
  std::uint64_t highest_term = 0;
  if (!first || role() != ReplicaRole::kJoining || !log_.empty() ||
      !AllAreEmpty(now, highest_term)) {
    return;
  }
  SetVote(highest_term + 1, 0);
  pb::LogEntry entry;
  pb::Configuration& configuration = *entry.mutable_configuration();
  *configuration.add_replicas() = options_.self;
  for (const auto& [vm, it] : introductions_) {
    if (NamedInSettings(vm)) {
      *configuration.add_replicas() = it.replica;
    }
  }
  AppendEntry(std::move(entry));
  ReloadConfiguration(now);
  HandleElectionTimeout(now);
}

// One step of whatever the group lacks; each step is committed before the
// next one is begun.
void ReplicaImpl::MaintainGroup(TimePoint now) {
  if (!IsLeader() || stopping_ || commit_ < term_start_ ||
      configuration_index_ > commit_) {
    return;
  }
  if (!AdmitLearner(now) && !AdvanceLearner(now)) {
    DropSilentVoter(now);
  }
}

// Of an even number of voters, a silent one makes the majority larger and
// bears no loss. If it returns, it asks to be let in again.
void ReplicaImpl::DropSilentVoter(TimePoint now) {
  if (!options_.open || VoterCount(configuration_) % 2 != 0) {
    return;
  }
  const pb::Replica* silent = SilentVoter(now);
  if (silent == nullptr) {
    return;
  }
  const std::uint64_t id = silent->id();
  pb::Configuration next = configuration_;
  RemoveIf(next, [&](const pb::Replica& it) { return it.id() == id; });
  if (QuorumHolds(next,
                  [&](std::uint64_t other) { return IsActive(other, now); })) {
    ProposeConfiguration(now, std::move(next));
  }
}

bool ReplicaImpl::AdmitLearner(TimePoint now) {
  for (const auto& [vm, introduction] : introductions_) {
    const pb::Replica& newcomer = introduction.replica;
    if (now >= introduction.at + kIntroductionAge ||
        FindReplica(configuration_, newcomer.id()) != nullptr) {
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

// A learner that holds everything committed on its synced disk becomes a
// voter; a lost identity of the same VM is removed first. While that identity
// still answers, two processes run under one name, and the learner waits.
bool ReplicaImpl::AdvanceLearner(TimePoint now) {
  for (const pb::Replica& it : configuration_.replicas()) {
    if (!it.learner() || MatchOf(it.id()) < commit_ ||
        !IsActive(it.id(), now)) {
      continue;
    }
    pb::Configuration next = configuration_;
    const pb::Replica* former = FormerVoter(configuration_, it);
    if (former == nullptr && options_.open) {
      former = SilentVoter(now);
      if (former == nullptr && !AllVotersActive(now)) {
        // One more voter beside one that may be gone for good would let the
        // group bear no loss: wait until it answers, or is known to be silent.
        continue;
      }
    }
    if (former != nullptr) {
      const std::uint64_t lost = former->id();
      if (IsActive(lost, now)) {
        continue;
      }
      RemoveIf(next,
               [&](const pb::Replica& other) { return other.id() == lost; });
    } else {
      for (pb::Replica& other : *next.mutable_replicas()) {
        other.set_learner(other.learner() && other.id() != it.id());
      }
    }
    const auto active = [&](std::uint64_t id) { return IsActive(id, now); };
    if (QuorumHolds(next, active)) {
      ProposeConfiguration(now, std::move(next));
      return true;
    }
  }
  return false;
}

// A voter that has not answered for long; nullptr if there is none.
const pb::Replica* ReplicaImpl::SilentVoter(TimePoint now) const {
  for (const pb::Replica& it : configuration_.replicas()) {
    const auto peer = peers_.find(it.id());
    if (!it.learner() && it.id() != self() && peer != peers_.end() &&
        now >= peer->second.last_ack + kReplaceAge) {
      return &it;
    }
  }
  return nullptr;
}

bool ReplicaImpl::AllVotersActive(TimePoint now) const {
  return std::all_of(configuration_.replicas().begin(),
                     configuration_.replicas().end(),
                     [&](const pb::Replica& it) {
                       const auto peer = peers_.find(it.id());
                       return it.learner() || it.id() == self() ||
                              (peer != peers_.end() && peer->second.answered &&
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
  stopping_ = true;
  if (!IsLeader() || VoterCount(configuration_) == 1) {
    return true;
  }
  HandOver(now);
  return false;
}

// Asks the most advanced voter to campaign once it holds the whole log.
void ReplicaImpl::HandOver(TimePoint now) {
  const pb::Replica* heir = nullptr;
  for (const pb::Replica& it : configuration_.replicas()) {
    if (it.learner() || it.id() == self() || !IsActive(it.id(), now)) {
      continue;
    }
    if (heir == nullptr || MatchOf(it.id()) > MatchOf(heir->id())) {
      heir = &it;
    }
  }
  if (heir != nullptr && MatchOf(heir->id()) == log_.last_index()) {
    pb::ConsensusMessage message;
    message.mutable_campaign_now();
    Send(*heir, std::move(message));
  }
}

}  // namespace vanillalatch::internal
