#include "vanillalatch/control/control_node.h"

#include <algorithm>
#include <deque>
#include <utility>

#include "src/consensus/quorum.h"
#include "src/control/control_node_impl.h"

namespace vanillalatch {
namespace {

pb::Replica ToReplica(const ControlPeer& peer) {
  pb::Replica replica;
  replica.set_vm(peer.vm);
  replica.set_address(peer.address);
  replica.set_data_center(peer.data_center);
  return replica;
}

ReplicaOptions ToReplicaOptions(const ControlOptions& options,
                                std::uint64_t id) {
  ReplicaOptions out;
  out.heartbeat = options.heartbeat;
  out.election_timeout = options.election_timeout;
  for (const ControlPeer& it : options.configured_vms) {
    out.configured_vms.push_back(ToReplica(it));
    if (it.vm == options.vm) {
      out.self = out.configured_vms.back();
    }
  }
  out.may_bootstrap = options.may_bootstrap;
  out.level = options.level;
  out.open_membership = options.open_membership;
  if (out.self.address().empty()) {
    out.self = ToReplica({options.vm, options.address, options.data_center});
  }
  out.self.set_vm(options.vm);
  out.self.set_id(id);
  return out;
}

}  // namespace

Result<std::unique_ptr<ControlNode>> ControlNode::Create(ControlOptions options,
                                                         Disk& disk,
                                                         TimePoint now,
                                                         std::uint64_t seed) {
  if (options.snapshot_every == 0 || options.snapshot_bytes == 0 ||
      options.sync_hold < Duration::zero()) {
    return Error(
        ErrorKind::kInvalidArgument,
        "snapshot_every and snapshot_bytes must be positive, sync_hold "
        "not negative");
  }
  Result<ReplicaStore> store = ReplicaStore::Open(disk, options.vm, seed);
  if (!store.ok()) {
    return store.error();
  }
  StoredReplica stored = store->TakeStoredReplica();
  const std::optional<pb::Snapshot> snapshot = stored.snapshot;
  Result<std::unique_ptr<Replica>> replica = Replica::Create(
      ToReplicaOptions(options, store->id()), std::move(stored), now, seed);
  if (!replica.ok()) {
    return replica.error();
  }
  try {
    store->MakeDurable((*replica)->log());
  } catch (const Error& e) {
    return e;
  }
  auto node = std::make_unique<internal::ControlNodeImpl>(
      std::move(options), std::move(*store), std::move(*replica));
  if (snapshot) {
    node->Restore(*snapshot);
  }
  return std::unique_ptr<ControlNode>(std::move(node));
}

namespace internal {
namespace {

// Of the entries and bytes between two snapshots, this share is retained.
constexpr std::size_t kRetainedShare = 4;

}  // namespace

ControlNodeImpl::ControlNodeImpl(ControlOptions options, ReplicaStore store,
                                 std::unique_ptr<Replica> replica)
    : options_(std::move(options)),
      store_(std::move(store)),
      replica_(std::move(replica)) {}

void ControlNodeImpl::Restore(const pb::Snapshot& snapshot) {
  state_.Restore(snapshot.catalog(),
                 std::deque<pb::ChangeOutcome>(snapshot.outcomes().begin(),
                                               snapshot.outcomes().end()));
  applied_index_ = LogIndex(snapshot.index());
  applied_term_ = Term(snapshot.term());
  snapshot_index_ = applied_index_;
}

void ControlNodeImpl::OnMessage(TimePoint now,
                                const pb::ConsensusMessage& message) {
  const bool refused =
      message.has_introduce() && !MayJoin(now, message.introduce());
  if (!refused && !HandleReportMessage(now, message)) {
    replica_->OnMessage(now, message);
  }
  ProcessPending(now);
}

// False if the replica that asks to join runs, or may run, a build that does
// not apply evacuation orders while there may be one in the log. A replica that
// states no level is asked first; it repeats its request to join.
bool ControlNodeImpl::MayJoin(TimePoint now, const pb::Introduce& newcomer) {
  const bool has_orders =
      replica_->fleet_level().oldest_reader() >= kEvacuationLevel.value() ||
      state_.catalog().evacuations_size() > 0;
  if (!has_orders || newcomer.level() != kUnstatedLevel.value()) {
    return true;
  }
  const pb::Replica& replica = newcomer.replica();
  const std::optional<FeatureLevel> level =
      probed_levels_.Find(now, replica.id());
  if (!level && probed_levels_.BeginProbe(now, replica.id())) {
    actions_.probes.push_back({replica.id(), replica.address()});
  }
  return level && *level >= kEvacuationLevel;
}

void ControlNodeImpl::OnTick(TimePoint now) {
  replica_->OnTick(now);
  ProcessPending(now);
}

TimePoint ControlNodeImpl::NextWake() const {
  TimePoint wake = replica_->NextWake();
  for (const ApplyCall& it : applies_) {
    wake = std::min(wake, it.deadline);
    if (it.settles_at) {
      wake = std::min(wake, *it.settles_at);
    }
  }
  for (const ReadCall& it : reads_) {
    wake = std::min(wake, it.deadline);
  }
  if (next_syncs_ != kNever) {
    wake = std::min(wake, next_syncs_);
  } else {
    for (const SyncCall& it : syncs_) {
      wake = std::min(wake, it.deadline);
    }
  }
  for (const StatusCall& it : statuses_) {
    wake = std::min(wake, it.deadline);
  }
  return wake;
}

bool ControlNodeImpl::BeginStop(TimePoint now) {
  const bool handed_over = replica_->BeginStop(now);
  for (SyncCall& it : syncs_) {
    it.deadline = now;
  }
  ProcessPending(now);
  return handed_over && applies_.empty() && reads_.empty() && statuses_.empty();
}

ControlActions ControlNodeImpl::TakeActions() {
  return std::exchange(actions_, {});
}

pb::ControlStatus ControlNodeImpl::Status() const {
  pb::ControlStatus status;
  status.set_vm(options_.vm);
  for (const ControlPeer& it : options_.configured_vms) {
    if (it.vm == options_.vm) {
      status.set_data_center(it.data_center);
    }
  }
  const ReplicaRole role = replica_->role();
  const bool learner =
      role == ReplicaRole::kLearner || role == ReplicaRole::kJoining;
  status.set_role(IsLeader() ? "leader" : (learner ? "learner" : "voter"));
  status.set_term(replica_->term().value());
  status.set_committed_index(replica_->commit_index().value());
  status.set_revision(state_.catalog().revision());
  status.set_evacuations(
      static_cast<std::uint32_t>(state_.catalog().evacuations_size()));
  status.set_level(replica_->LevelOf(replica_->id()).value());
  status.set_fleet_level(replica_->fleet_level().level());
  status.set_newest_level(replica_->newest_level().value());
  status.set_missing_level(
      replica_->missing_level().value_or(kUnstatedLevel).value());
  if (IsLeader()) {
    AddGroupStatus(status);
  }
  return status;
}

void ControlNodeImpl::AddGroupStatus(pb::ControlStatus& status) const {
  const pb::Configuration& group = replica_->configuration();
  const std::size_t voters = internal::VoterCount(group);
  std::size_t reachable = 0;
  for (const pb::Replica& it : group.replicas()) {
    if (it.learner()) {
      continue;
    }
    if (replica_->IsReachable(ReplicaId(it.id()), last_event_)) {
      ++reachable;
    } else {
      status.add_silent_voters(it.vm());
    }
  }
  const std::size_t needed = internal::MajorityOf(voters);
  status.set_voters(static_cast<std::uint32_t>(voters));
  status.set_tolerated_losses(
      static_cast<std::uint32_t>(reachable > needed ? reachable - needed : 0));
}

// Executes the replica's actions and advances the open calls that depend on
// them.
void ControlNodeImpl::ProcessPending(TimePoint now) {
  last_event_ = now;
  if (disk_failed_) {
    throw Error(ErrorKind::kStorage, "the disk has failed before");
  }
  if (expected_wake_ != kNever &&
      now > expected_wake_ + options_.election_timeout) {
    // This VM was frozen. Orders that it reads now may be older than opposite
    // ones that another leader has committed meanwhile.
    orders_from_ = now + options_.election_timeout;
  }
  ExecuteReplicaActions(replica_->TakeActions());
  AdvanceApplies(now);
  AdvanceReads(now);
  ExecuteReplicaActions(replica_->TakeActions());
  // A group with a single voter commits a proposed change immediately, so the
  // calls are advanced again.
  AdvanceApplies(now);
  AdvanceReads(now);
  AdvanceSyncs(now);
  AdvanceStatuses(now);
  CompactIfDue();
  expected_wake_ = std::max(now, NextWake());
}

void ControlNodeImpl::ExecuteReplicaActions(ReplicaActions actions) {
  if (actions.NeedsSync() || actions.commit_index) {
    disk_failed_ = true;
    store_.Save(actions);
    disk_failed_ = false;
  }
  if (actions.installed_snapshot) {
    Restore(*actions.installed_snapshot);
  }
  for (const pb::LogEntry& it : actions.committed) {
    ApplyEntry(it);
  }
  for (ReplicaActions::Send& it : actions.sends) {
    actions_.sends.push_back({it.address, std::move(it.message)});
  }
}

void ControlNodeImpl::ApplyEntry(const pb::LogEntry& entry) {
  if (entry.has_change()) {
    const pb::ChangeOutcome outcome = state_.Apply(entry.change());
    for (ApplyCall& it : applies_) {
      if (entry.change().has_evacuation() &&
          it.index.value() == entry.index() &&
          it.term.value() == entry.term()) {
        it.outcome = outcome;
      }
    }
  }
  applied_index_ = LogIndex(entry.index());
  applied_term_ = Term(entry.term());
  bytes_since_snapshot_ += entry.ByteSizeLong();
}

void ControlNodeImpl::CompactIfDue() {
  const bool has_many_entries =
      applied_index_.value() >=
      snapshot_index_.value() + options_.snapshot_every;
  if (!has_many_entries && bytes_since_snapshot_ < options_.snapshot_bytes) {
    return;
  }
  pb::Snapshot snapshot;
  snapshot.set_index(applied_index_.value());
  snapshot.set_term(applied_term_.value());
  *snapshot.mutable_configuration() = replica_->ConfigurationAt(applied_index_);
  *snapshot.mutable_catalog() = state_.catalog();
  for (const pb::ChangeOutcome& it : state_.outcomes()) {
    *snapshot.add_outcomes() = it;
  }
  if (replica_->fleet_level().level() > 0) {
    *snapshot.mutable_fleet_level() = replica_->fleet_level();
  }
  replica_->Compact(snapshot, LastDroppedEntry(applied_index_));
  disk_failed_ = true;
  store_.Compact(snapshot, replica_->log());
  disk_failed_ = false;
  snapshot_index_ = applied_index_;
  bytes_since_snapshot_ = 0;
}

// Returns the last entry to drop when the log is compacted at `index`. Some
// entries stay, so that a replica that is only slightly behind needs no
// snapshot.
LogIndex ControlNodeImpl::LastDroppedEntry(LogIndex index) const {
  const ReplicatedLog& log = replica_->log();
  std::uint64_t entries = 0;
  std::size_t bytes = 0;
  std::uint64_t last = index.value();
  while (last > log.base().index()) {
    ++entries;
    bytes += log.At(last).ByteSizeLong();
    if (entries > options_.snapshot_every / kRetainedShare ||
        bytes > options_.snapshot_bytes / kRetainedShare) {
      break;
    }
    --last;
  }
  return LogIndex(last);
}

// The deadline of a call that needs a leader. An ordinary election takes less
// than two election timeouts.
TimePoint ControlNodeImpl::CallDeadline(TimePoint now) const {
  return now + 2 * options_.election_timeout;
}

// The leader's address; empty if the leader is unknown or is this VM.
std::string ControlNodeImpl::LeaderAddress() const {
  const std::optional<pb::Replica> leader = replica_->leader();
  return leader && !IsLeader() ? leader->address() : "";
}

// Describes for an operator why there is no leader: lists the control VMs from
// which no message has arrived within the election timeout.
std::string ControlNodeImpl::DescribeMissingQuorum(TimePoint now) const {
  std::string silent;
  for (const ControlPeer& it : options_.configured_vms) {
    const std::optional<TimePoint> last_contact = replica_->LastContact(it.vm);
    if (it.vm == options_.vm ||
        (last_contact && now < *last_contact + options_.election_timeout)) {
      continue;
    }
    silent += silent.empty() ? " not heard from " : ", ";
    silent += it.vm;
    if (last_contact) {
      const auto age =
          std::chrono::duration_cast<std::chrono::seconds>(now - *last_contact);
      silent += " for " + std::to_string(age.count()) + " s";
    }
  }
  return options_.vm + " knows no leader;" +
         (silent.empty() ? " all control VMs are heard" : silent);
}

}  // namespace internal
}  // namespace vanillalatch
