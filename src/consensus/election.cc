#include <algorithm>

#include "src/consensus/quorum.h"
#include "src/consensus/replica_impl.h"

namespace vanillalatch::internal {
namespace {

// The first election after a start begins after 5 to 15 % of the timeout: a
// few round trips between data centres.
constexpr Duration::rep kFirstElectionDivisor = 20;

}  // namespace

// Compares the term of a message with ours. True: go on with the message.
bool ReplicaImpl::AcceptTerm(TimePoint now,
                             const pb::ConsensusMessage& message) {
  if (message.term() == current_term()) {
    return true;
  }
  if (message.term() < current_term()) {
    RefuseOldTerm(message);
    return false;
  }
  if (message.has_vote_request()) {
    const pb::VoteRequest& request = message.vote_request();
    if (request.pre_vote()) {
      return true;
    }
    // While a leader is heard, a candidate does not raise the term.
    if (HearsLeader(now) && !request.transfer()) {
      return false;
    }
  }
  // The grant of a pre-vote names the term that the sender would campaign in.
  const bool granted_pre_vote = message.has_vote_reply() &&
                                message.vote_reply().pre_vote() &&
                                message.vote_reply().granted();
  if (!granted_pre_vote) {
    BecomeFollower(now, message.term(), 0);
  }
  return true;
}

// Tells the sender of an old term about ours, so that a stale leader steps
// down and a stale candidate catches up.
void ReplicaImpl::RefuseOldTerm(const pb::ConsensusMessage& message) {
  if (message.has_vote_request()) {
    pb::ConsensusMessage reply;
    reply.mutable_vote_reply()->set_pre_vote(message.vote_request().pre_vote());
    Reply(message, std::move(reply));
  } else if (message.has_append_request() || message.has_install_snapshot()) {
    ReplyAppend(message, false, commit_, 0);
  }
}

bool ReplicaImpl::HearsLeader(TimePoint now) const {
  if (IsLeader()) {
    return true;
  }
  return leader_id_ != 0 && now < leader_contact_ + options_.election_timeout;
}

void ReplicaImpl::ResetElection(TimePoint now) {
  std::uniform_int_distribution<Duration::rep> extra(
      0, options_.election_timeout.count() / 2);
  election_deadline_ =
      now + options_.election_timeout + Duration(extra(random_));
}

// After the start of all VMs there is no leader to wait for; while there is
// one, voters refuse the pre-vote.
void ReplicaImpl::FirstElection(TimePoint now) {
  const Duration::rep part =
      options_.election_timeout.count() / kFirstElectionDivisor;
  std::uniform_int_distribution<Duration::rep> extra(0, 2 * part);
  election_deadline_ = now + Duration(part + extra(random_));
}

// A failed election is tried again sooner: no leader is there to wait for.
void ReplicaImpl::RetryElection(TimePoint now) {
  const Duration::rep quarter = options_.election_timeout.count() / 4;
  std::uniform_int_distribution<Duration::rep> extra(0, quarter);
  election_deadline_ = now + Duration(quarter + extra(random_));
}

void ReplicaImpl::BecomeFollower(TimePoint now, std::uint64_t term,
                                 std::uint64_t leader_id) {
  if (term > current_term()) {
    SetVote(term, 0);
  }
  // A higher term alone does not postpone an election: a candidate that can't
  // win could otherwise keep everybody else from trying.
  if (IsLeader() || leader_id != 0) {
    ResetElection(now);
  }
  roles_.Handle(RoleEvent::kStepDown);
  leader_id_ = leader_id;
  votes_.clear();
}

void ReplicaImpl::HandleElectionTimeout(TimePoint now) {
  if (stopping_ || !IsVoter()) {
    ResetElection(now);
    return;
  }
  if (roles_.Handle(RoleEvent::kTimeout)) {
    leader_id_ = 0;
    Campaign(now, true, false);
  }
}

void ReplicaImpl::Campaign(TimePoint now, bool pre_vote, bool transfer) {
  if (!pre_vote) {
    SetVote(current_term() + 1, self());
  }
  votes_ = {self()};
  RetryElection(now);
  for (const pb::Replica& it : configuration_.replicas()) {
    if (it.learner() || it.id() == self()) {
      continue;
    }
    pb::ConsensusMessage message;
    message.set_term(pre_vote ? current_term() + 1 : current_term());
    message.set_reply_address(options_.self.address());
    pb::VoteRequest& request = *message.mutable_vote_request();
    request.set_pre_vote(pre_vote);
    request.set_transfer(transfer);
    request.set_last_index(log_.last_index());
    request.set_last_term(log_.last_term());
    Send(it, std::move(message));
  }
  CheckVotes(now);
}

bool ReplicaImpl::LogIsCurrent(const pb::VoteRequest& request) const {
  if (request.last_term() != log_.last_term()) {
    return request.last_term() > log_.last_term();
  }
  return request.last_index() >= log_.last_index();
}

void ReplicaImpl::HandleVoteRequest(TimePoint now,
                                    const pb::ConsensusMessage& message) {
  const pb::VoteRequest& request = message.vote_request();
  pb::ConsensusMessage reply;
  pb::VoteReply& body = *reply.mutable_vote_reply();
  body.set_pre_vote(request.pre_vote());
  if (request.pre_vote()) {
    body.set_granted(message.term() > current_term() && !HearsLeader(now) &&
                     LogIsCurrent(request));
    reply.set_term(body.granted() ? message.term() : current_term());
  } else {
    const bool free =
        vote_.candidate() == 0 || vote_.candidate() == message.from();
    body.set_granted(free && LogIsCurrent(request));
    if (body.granted()) {
      SetVote(current_term(), message.from());
      ResetElection(now);
    }
  }
  Reply(message, std::move(reply));
}

void ReplicaImpl::HandleVoteReply(TimePoint now,
                                  const pb::ConsensusMessage& message) {
  const pb::VoteReply& reply = message.vote_reply();
  const pb::Replica* voter = FindReplica(configuration_, message.from());
  if (!reply.granted() || voter == nullptr || voter->learner()) {
    return;
  }
  const bool fits = reply.pre_vote() ? role() == ReplicaRole::kPreCandidate &&
                                           message.term() == current_term() + 1
                                     : role() == ReplicaRole::kCandidate &&
                                           message.term() == current_term();
  if (fits) {
    votes_.insert(message.from());
    CheckVotes(now);
  }
}

void ReplicaImpl::CheckVotes(TimePoint now) {
  if (votes_.size() < MajorityOf(VoterCount(configuration_))) {
    return;
  }
  if (role() == ReplicaRole::kPreCandidate) {
    roles_.Handle(RoleEvent::kPreVotesWon);
    Campaign(now, false, false);
  } else if (role() == ReplicaRole::kCandidate) {
    BecomeLeader(now);
  }
}

void ReplicaImpl::HandleCampaignNow(TimePoint now) {
  if (!stopping_ && IsVoter() && roles_.Handle(RoleEvent::kTransfer)) {
    leader_id_ = 0;
    Campaign(now, false, true);
  }
}

void ReplicaImpl::BecomeLeader(TimePoint now) {
  roles_.Handle(RoleEvent::kVotesWon);
  leader_id_ = self();
  votes_.clear();
  for (auto& [id, peer] : peers_) {
    peer = Peer{.next = log_.last_index() + 1, .last_ack = now};
  }
  pb::LogEntry entry;
  entry.set_no_op(true);
  AppendEntry(std::move(entry));
  term_start_ = log_.last_index();
  Broadcast(now);
  AdvanceCommit(now);
}

}  // namespace vanillalatch::internal
