#include <algorithm>

#include "src/consensus/quorum.h"
#include "src/consensus/replica_impl.h"

namespace vanillalatch::internal {
namespace {

// The first election after a start begins after 5 to 15 % of the election
// timeout, which allows a few round trips between data centres.
constexpr Duration::rep kFirstElectionDivisor = 20;

}  // namespace

// Compares the term of a message with the current term. Becomes a follower if
// the message's term is higher. Returns true if the message is to be handled.
bool ReplicaImpl::AcceptTerm(TimePoint now,
                             const pb::ConsensusMessage& message) {
  if (message.term() == current_term()) {
    return true;
  }
  if (message.term() < current_term()) {
    AnswerOldTerm(message);
    return false;
  }
  if (message.has_vote_request()) {
    const pb::VoteRequest& request = message.vote_request();
    if (request.pre_vote()) {
      return true;
    }
    // While this replica receives a leader's messages, a candidate can't raise
    // the term, unless the leader itself asked it to campaign.
    if (HasRecentLeader(now) && !request.transfer()) {
      return false;
    }
  }
  // A granted pre-vote carries the term in which the candidate would campaign,
  // so it does not raise the current term.
  const bool granted_pre_vote = message.has_vote_reply() &&
                                message.vote_reply().pre_vote() &&
                                message.vote_reply().granted();
  if (!granted_pre_vote) {
    BecomeFollower(now, message.term(), 0);
  }
  return true;
}

// Answers a message of an older term with the current term, so that a stale
// leader steps down and a stale candidate catches up.
void ReplicaImpl::AnswerOldTerm(const pb::ConsensusMessage& message) {
  if (message.has_vote_request()) {
    pb::ConsensusMessage reply;
    reply.mutable_vote_reply()->set_pre_vote(message.vote_request().pre_vote());
    Reply(message, std::move(reply));
  } else if (message.has_append_request() || message.has_install_snapshot()) {
    ReplyAppend(message, false, commit_index_, 0);
  }
}

// True if this replica is the leader, or has received a leader's message within
// the election timeout.
bool ReplicaImpl::HasRecentLeader(TimePoint now) const {
  if (IsLeader()) {
    return true;
  }
  return leader_id_ != 0 &&
         now < last_leader_contact_ + options_.election_timeout;
}

// Schedules the next election after one election timeout plus a random part of
// up to half of it, so that replicas rarely campaign at the same time.
void ReplicaImpl::ScheduleElection(TimePoint now) {
  std::uniform_int_distribution<Duration::rep> extra(
      0, options_.election_timeout.count() / 2);
  election_deadline_ =
      now + options_.election_timeout + Duration(extra(random_));
}

// Schedules the first election soon: after a start of all VMs there is no
// leader to wait for. If there is one, the voters refuse the pre-vote.
void ReplicaImpl::ScheduleFirstElection(TimePoint now) {
  const Duration::rep part =
      options_.election_timeout.count() / kFirstElectionDivisor;
  std::uniform_int_distribution<Duration::rep> extra(0, 2 * part);
  election_deadline_ = now + Duration(part + extra(random_));
}

// Schedules another election sooner than the election timeout, as there is no
// leader to wait for.
void ReplicaImpl::ScheduleElectionRetry(TimePoint now) {
  const Duration::rep quarter = options_.election_timeout.count() / 4;
  std::uniform_int_distribution<Duration::rep> extra(0, quarter);
  election_deadline_ = now + Duration(quarter + extra(random_));
}

// Follows `leader_id`, or an unknown leader if it is zero. Takes over `term` if
// it is above the current term.
void ReplicaImpl::BecomeFollower(TimePoint now, std::uint64_t term,
                                 std::uint64_t leader_id) {
  if (term > current_term()) {
    SetVote(term, 0);
  }
  // A higher term alone does not postpone the election. Otherwise a candidate
  // that can't win could keep the other replicas from campaigning.
  if (IsLeader() || leader_id != 0) {
    ScheduleElection(now);
  }
  roles_.Handle(RoleEvent::kStepDown);
  leader_id_ = leader_id;
  votes_.clear();
}

void ReplicaImpl::HandleElectionTimeout(TimePoint now) {
  if (stopping_ || !IsVoter()) {
    ScheduleElection(now);
    return;
  }
  if (roles_.Handle(RoleEvent::kTimeout)) {
    leader_id_ = 0;
    Campaign(now, true, false);
  }
}

// Asks all voters for a pre-vote, or for a vote in a new term. With `transfer`,
// the leader asked for this election, so voters consider the request although
// they still receive the leader's messages.
void ReplicaImpl::Campaign(TimePoint now, bool pre_vote, bool transfer) {
  if (!pre_vote) {
    SetVote(current_term() + 1, self());
  }
  votes_ = {self()};
  ScheduleElectionRetry(now);
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

// True if the candidate's log is at least as recent as this replica's log.
bool ReplicaImpl::IsLogUpToDate(const pb::VoteRequest& request) const {
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
    body.set_granted(message.term() > current_term() && !HasRecentLeader(now) &&
                     IsLogUpToDate(request));
    reply.set_term(body.granted() ? message.term() : current_term());
  } else {
    const bool can_vote =
        vote_.candidate() == 0 || vote_.candidate() == message.from();
    body.set_granted(can_vote && IsLogUpToDate(request));
    if (body.granted()) {
      SetVote(current_term(), message.from());
      ScheduleElection(now);
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
  const bool is_expected = reply.pre_vote()
                               ? role() == ReplicaRole::kPreCandidate &&
                                     message.term() == current_term() + 1
                               : role() == ReplicaRole::kCandidate &&
                                     message.term() == current_term();
  if (is_expected) {
    votes_.insert(message.from());
    CheckVotes(now);
  }
}

// Moves on to the next stage of the election once a majority has granted its
// vote: from pre-candidate to candidate, from candidate to leader.
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

// Campaigns without pre-votes, as the leader is about to stop.
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
    peer = Peer{.next_index = log_.last_index() + 1, .last_ack = now};
  }
  pb::LogEntry entry;
  entry.set_no_op(true);
  AppendEntry(std::move(entry));
  term_start_index_ = log_.last_index();
  Broadcast(now);
  AdvanceCommit(now);
}

}  // namespace vanillalatch::internal
