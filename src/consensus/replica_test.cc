// Tests rules of elections, commits and membership changes that depend on a
// particular order of messages.
#include "vanillalatch/consensus/replica.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

#include "src/storage/fake_disk.h"
#include "vanillalatch/consensus/replica_store.h"

namespace vanillalatch {
namespace {

constexpr std::uint64_t kSelf = 1;

pb::Replica MakeReplica(std::uint64_t id, bool learner = false) {
  pb::Replica replica;
  replica.set_id(id);
  replica.set_vm("c" + std::to_string(id));
  replica.set_address(replica.vm() + ":1");
  replica.set_learner(learner);
  return replica;
}

// Replica 1 of a group. The ids 1 to `voters` are voters, the `learners` ids
// after them are learners. Its log holds the configuration and one change.
class OneReplica {
 public:
  OneReplica(std::uint64_t voters, std::uint64_t learners,
             std::uint64_t stored_term) {
    ReplicaOptions options;
    options.self = MakeReplica(kSelf);
    pb::LogEntry group;
    group.set_index(1);
    group.set_term(1);
    for (std::uint64_t n = 1; n <= voters + learners; ++n) {
      options.configured_vms.push_back(MakeReplica(n));
      *group.mutable_configuration()->add_replicas() =
          MakeReplica(n, n > voters);
    }
    pb::LogEntry change;
    change.set_index(2);
    change.set_term(stored_term);
    change.mutable_change()->set_change_id("old");
    StoredReplica stored;
    stored.vote.set_term(stored_term);
    stored.log.Append(group);
    stored.log.Append(change);
    replica_ = Replica::Create(options, stored, now_, 1).value();
  }

  pb::ConsensusMessage MessageFrom(std::uint64_t id, std::uint64_t term) const {
    pb::ConsensusMessage message;
    message.set_from(id);
    message.set_to(kSelf);
    message.set_term(term);
    return message;
  }

  void GrantVote(std::uint64_t id, bool pre_vote) {
    pb::ConsensusMessage message =
        MessageFrom(id, replica_->term().value() + (pre_vote ? 1 : 0));
    message.mutable_vote_reply()->set_granted(true);
    message.mutable_vote_reply()->set_pre_vote(pre_vote);
    replica_->OnMessage(now_, message);
  }

  void WinElection() {
    now_ += std::chrono::seconds(3);
    replica_->OnTick(now_);
    for (const bool pre_vote : {true, false}) {
      GrantVote(2, pre_vote);
      GrantVote(3, pre_vote);
    }
    REQUIRE(replica_->role() == ReplicaRole::kLeader);
  }

  void Acknowledge(std::uint64_t id, std::uint64_t match) {
    pb::ConsensusMessage message = MessageFrom(id, replica_->term().value());
    message.mutable_append_reply()->set_success(true);
    message.mutable_append_reply()->set_match_index(match);
    replica_->OnMessage(now_, message);
  }

  void AdvanceTime(Duration duration) {
    now_ += duration;
    replica_->OnTick(now_);
  }

  Replica& replica() { return *replica_; }
  TimePoint now() const { return now_; }

 private:
  std::unique_ptr<Replica> replica_;
  TimePoint now_{std::chrono::seconds(1)};
};

TEST_CASE("entries of an earlier term commit only with one of this term",
          "[replica]") {
  OneReplica one(5, 0, 2);
  one.WinElection();
  one.Acknowledge(2, 2);
  one.Acknowledge(3, 2);
  CHECK(one.replica().commit_index() == LogIndex(0));
  one.Acknowledge(2, 3);
  one.Acknowledge(3, 3);
  CHECK(one.replica().commit_index() == LogIndex(3));
}

TEST_CASE("a learner becomes a voter when it holds everything committed",
          "[replica]") {
  OneReplica one(3, 1, 2);
  const auto learners = [&] {
    int n = 0;
    for (const pb::Replica& it : one.replica().configuration().replicas()) {
      n += it.learner() ? 1 : 0;
    }
    return n;
  };
  one.WinElection();
  one.Acknowledge(4, 2);
  one.Acknowledge(2, 3);
  one.Acknowledge(3, 3);
  REQUIRE(one.replica().commit_index() == LogIndex(3));
  const auto tick = [&] {
    one.replica().OnTick(one.now() + std::chrono::milliseconds(200));
  };
  tick();
  CHECK(learners() == 1);
  one.Acknowledge(4, 3);
  one.replica().OnTick(one.now() + std::chrono::milliseconds(400));
  CHECK(learners() == 0);
  // The next configuration change waits until this one is committed.
  CHECK(one.replica().commit_index() == LogIndex(3));
}

TEST_CASE("a voter that answers is not replaced by its namesake", "[replica]") {
  const bool answers = GENERATE(false, true);
  CAPTURE(answers);
  OneReplica one(3, 0, 2);
  one.WinElection();
  one.Acknowledge(2, 3);
  pb::ConsensusMessage message;
  *message.mutable_introduce()->mutable_replica() = MakeReplica(3);
  message.mutable_introduce()->mutable_replica()->set_id(33);
  one.replica().OnMessage(one.now(), message);
  REQUIRE(one.replica().configuration().replicas_size() == 4);
  one.AdvanceTime(std::chrono::milliseconds(900));
  for (const std::uint64_t it : {2, 33}) {
    one.Acknowledge(it, 4);
  }
  if (answers) {
    one.Acknowledge(3, 4);
  }
  one.AdvanceTime(std::chrono::milliseconds(500));
  const pb::Configuration& group = one.replica().configuration();
  const bool is_present =
      std::any_of(group.replicas().begin(), group.replicas().end(),
                  [](const pb::Replica& it) { return it.id() == 3; });
  CHECK(is_present == answers);
}

TEST_CASE("a learner's acknowledgement commits nothing", "[replica]") {
  OneReplica one(3, 1, 2);
  one.WinElection();
  one.Acknowledge(4, 3);
  CHECK(one.replica().commit_index() == LogIndex(0));
}

TEST_CASE("a replica gives one vote a term, also across a restart",
          "[replica]") {
  FakeDisk disk;
  std::mt19937_64 random(1);
  const auto granted_to = [&](std::uint64_t candidate) {
    ReplicaStore store = ReplicaStore::Open(disk, "c1", 7).value();
    ReplicaOptions options;
    options.self = MakeReplica(kSelf);
    options.self.set_id(store.id());
    options.configured_vms = {MakeReplica(1), MakeReplica(2), MakeReplica(3)};
    const TimePoint now(std::chrono::seconds(9));
    const auto replica =
        Replica::Create(options, store.TakeStoredReplica(), now, 1).value();
    pb::ConsensusMessage message;
    message.set_from(candidate);
    message.set_to(store.id());
    message.set_term(5);
    message.set_reply_address("somewhere:1");
    message.mutable_vote_request()->set_last_index(1);
    message.mutable_vote_request()->set_last_term(1);
    replica->OnMessage(now, message);
    const ReplicaActions actions = replica->TakeActions();
    store.Save(actions);
    disk.Crash(random, true);
    return actions.sends.at(0).message.vote_reply().granted();
  };
  CHECK(granted_to(2));
  CHECK_FALSE(granted_to(3));
  CHECK(granted_to(2));
}

TEST_CASE("a snapshot leaves acknowledged entries behind it in place",
          "[replica]") {
  const std::uint64_t snapshot_term = GENERATE(1, 2);
  CAPTURE(snapshot_term);
  OneReplica one(3, 0, 2);
  pb::ConsensusMessage message = one.MessageFrom(2, 3);
  pb::Snapshot& snapshot =
      *message.mutable_install_snapshot()->mutable_snapshot();
  snapshot.set_index(1);
  snapshot.set_term(snapshot_term);
  one.replica().OnMessage(one.now(), message);
  const ReplicaActions actions = one.replica().TakeActions();
  const bool matches = snapshot_term == 1;
  CHECK(one.replica().log().last_index() == (matches ? 2 : 1));
  CHECK(actions.installed_snapshot.has_value() == !matches);
  CHECK(one.replica().commit_index() == LogIndex(1));
}

TEST_CASE("a candidate that lacks entries gets no vote", "[replica]") {
  const bool pre_vote = GENERATE(false, true);
  const std::uint64_t last_index = GENERATE(1, 2, 9);
  const std::uint64_t last_term = GENERATE(1, 2, 3);
  CAPTURE(pre_vote, last_index, last_term);
  OneReplica one(3, 0, 2);
  pb::ConsensusMessage message = one.MessageFrom(2, 5);
  message.mutable_vote_request()->set_pre_vote(pre_vote);
  message.mutable_vote_request()->set_last_index(last_index);
  message.mutable_vote_request()->set_last_term(last_term);
  one.replica().OnMessage(one.now(), message);
  const ReplicaActions actions = one.replica().TakeActions();
  const bool current = last_term > 2 || (last_term == 2 && last_index >= 2);
  CHECK(actions.sends.at(0).message.vote_reply().granted() == current);
  CHECK(actions.vote.has_value() == !pre_vote);
}

TEST_CASE("a read waits for a majority that answers after it began",
          "[replica]") {
  OneReplica one(3, 0, 2);
  one.WinElection();
  one.Acknowledge(2, 3);
  REQUIRE(one.replica().commit_index() == LogIndex(3));
  const ReadRound round = *one.replica().BeginRead(one.now());
  CHECK_FALSE(one.replica().ReadConfirmed(round));
  one.replica().OnTick(one.now() + std::chrono::milliseconds(20));
  pb::ConsensusMessage message =
      one.MessageFrom(2, one.replica().term().value());
  message.mutable_append_reply()->set_success(true);
  message.mutable_append_reply()->set_match_index(3);
  message.mutable_append_reply()->set_round(round.value() - 1);
  one.replica().OnMessage(one.now(), message);
  CHECK_FALSE(one.replica().ReadConfirmed(round));
  message.mutable_append_reply()->set_round(round.value());
  one.replica().OnMessage(one.now(), message);
  CHECK(one.replica().ReadConfirmed(round));
}

}  // namespace
}  // namespace vanillalatch
