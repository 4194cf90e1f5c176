#include "vanillalatch/consensus/replica_store.h"

#include <algorithm>
#include <utility>

#include "src/consensus/unsynced_commits.h"
#include "vanillalatch/base/hash.h"
#include "vanillalatch/storage/record_file.h"

namespace vanillalatch {
namespace {

constexpr std::string_view kIdentityFile = "identity";
constexpr std::string_view kLogFile = "log";
constexpr std::string_view kSnapshotFile = "snapshot";

// Returns the only record of a file that is always replaced as a whole.
std::string ReadSingleRecord(std::string_view file,
                             const std::string& content) {
  const Result<RecordScan> scan = DecodeRecords(content);
  if (!scan.ok() || scan.value().torn || scan.value().payloads.size() != 1) {
    throw Error(ErrorKind::kCorrupt, std::string(file) + " is damaged");
  }
  return std::string(scan.value().payloads.front());
}

template <typename Message>
Message ParseRecord(std::string_view file, std::string_view payload) {
  Message message;
  if (!message.ParseFromArray(payload.data(),
                              static_cast<int>(payload.size()))) {
    throw Error(ErrorKind::kCorrupt,
                std::string(file) + " contains a record that can't be parsed");
  }
  return message;
}

// Adds the entries of a stored batch to `log`. They replace the entries from
// the first one's index on.
void AppendBatch(const pb::StoredBatch& batch, ReplicatedLog& log) {
  for (const pb::LogEntry& it : batch.entries()) {
    if (it.index() <= log.base().index() || it.index() > log.last_index() + 1) {
      throw Error(ErrorKind::kCorrupt, "log: entry " +
                                           std::to_string(it.index()) +
                                           " does not follow entry " +
                                           std::to_string(log.last_index()));
    }
    log.TruncateFrom(it.index());
    log.Append(it);
  }
}

// Describes damage before the last record. The kind of the records after it
// tells whether they were written with a sync.
std::string DescribeDamage(const RecordDamage& damage) {
  std::size_t with_state = 0;
  std::uint64_t last_commit = 0;
  for (const std::string_view it : damage.later) {
    const auto batch = ParseRecord<pb::StoredBatch>(kLogFile, it);
    with_state += batch.has_vote() || batch.entries_size() > 0 ? 1 : 0;
    last_commit = std::max(last_commit, batch.commit());
  }
  return "damaged record at byte " + std::to_string(damage.offset) +
         " before the last record: " + std::to_string(damage.bytes) +
         " bytes are damaged (stated payload: " +
         std::to_string(damage.payload_bytes) + " bytes), " +
         std::to_string(damage.later.size()) + " records follow, " +
         std::to_string(with_state) +
         " of them with entries or a vote, highest commit index " +
         std::to_string(last_commit);
}

}  // namespace

Result<ReplicaStore> ReplicaStore::Open(Disk& disk, std::string_view vm,
                                        std::uint64_t seed) {
  try {
    // Otherwise a loss of power could keep some files of the state that is read
    // here and replace others by earlier ones.
    disk.SyncNames();
    const std::optional<std::string> stored_identity = disk.Read(kIdentityFile);
    const std::string identity =
        stored_identity ? ReadSingleRecord(kIdentityFile, *stored_identity)
                        : std::to_string(seed);
    ReplicaStore store(disk, StableHash(std::string(vm) + "/" + identity));
    if (stored_identity) {
      store.Load();
      return store;
    }
    // The identity is written last: if it exists, a missing log means damage.
    store.RewriteLog(ReplicatedLog());
    disk.Replace(kIdentityFile, EncodeRecord(identity));
    return store;
  } catch (const Error& e) {
    return e;
  }
}

void ReplicaStore::Load() {
  if (const std::optional<std::string> content = disk_->Read(kSnapshotFile)) {
    stored_.snapshot = ParseRecord<pb::Snapshot>(
        kSnapshotFile, ReadSingleRecord(kSnapshotFile, *content));
  }
  const std::optional<std::string> content = disk_->Read(kLogFile);
  if (!content) {
    throw Error(ErrorKind::kCorrupt, "the log is missing");
  }
  LoadLog(*content);
  vote_ = stored_.vote;
  commit_index_ = stored_.commit_index;
  ReconcileWithSnapshot();
}

void ReplicaStore::LoadLog(const std::string& content) {
  const RecordDamage damage = FindRecordDamage(content);
  const std::string_view intact(content.data(), damage.offset);
  const RecordScan scan = DecodeRecords(intact).value();
  bool first = true;
  for (const std::string_view payload : scan.payloads) {
    const auto batch = ParseRecord<pb::StoredBatch>(kLogFile, payload);
    if (first) {
      stored_.log.Reset(batch.base());
      first = false;
    }
    if (batch.has_vote()) {
      stored_.vote = batch.vote();
    }
    AppendBatch(batch, stored_.log);
    stored_.commit_index = std::max(stored_.commit_index, batch.commit());
  }
  std::string_view end = content;
  end.remove_prefix(damage.offset);
  if (!damage.is_last &&
      (first || !internal::IsUnsyncedEnd(end, stored_.commit_index,
                                         stored_.log.last_index()))) {
    throw Error(ErrorKind::kCorrupt, DescribeDamage(damage));
  }
  if (first) {
    throw Error(ErrorKind::kCorrupt, "the log has no first record");
  }
  log_file_ = {scan.payloads.size(), content.size() - damage.offset,
               stored_.log.last_index(), stored_.commit_index};
}

// Resets the log if it does not fit the snapshot. This happens after a crash
// between the writes of the two files when a snapshot was installed.
void ReplicaStore::ReconcileWithSnapshot() {
  const pb::LogBase& base = stored_.log.base();
  const std::uint64_t index = stored_.snapshot ? stored_.snapshot->index() : 0;
  if (base.index() > index) {
    throw Error(ErrorKind::kCorrupt,
                "the log starts after entry " + std::to_string(base.index()) +
                    ", the snapshot ends at " + std::to_string(index));
  }
  if (index != 0 && stored_.log.TermAt(index) != stored_.snapshot->term()) {
    pb::LogBase next;
    next.set_index(index);
    next.set_term(stored_.snapshot->term());
    stored_.log.Reset(next);
  }
}

void ReplicaStore::Save(const ReplicaActions& actions) {
  if (actions.vote) {
    vote_ = *actions.vote;
  }
  if (actions.installed_snapshot) {
    disk_->Replace(
        kSnapshotFile,
        EncodeRecord(actions.installed_snapshot->SerializeAsString()));
    pb::LogBase base;
    base.set_index(actions.installed_snapshot->index());
    base.set_term(actions.installed_snapshot->term());
    RewriteLog(ReplicatedLog(base, {}));
  }
  commit_index_ = actions.commit_index.value_or(commit_index_);
  if (!actions.vote && actions.append.empty()) {
    return;
  }
  pb::StoredBatch batch;
  batch.set_commit(commit_index_);
  if (actions.vote) {
    *batch.mutable_vote() = *actions.vote;
  }
  for (const pb::LogEntry& it : actions.append) {
    *batch.add_entries() = it;
  }
  disk_->Append(kLogFile, EncodeRecord(batch.SerializeAsString()));
  disk_->Sync(kLogFile);
}

void ReplicaStore::Compact(const pb::Snapshot& snapshot,
                           const ReplicatedLog& log) {
  disk_->Replace(kSnapshotFile, EncodeRecord(snapshot.SerializeAsString()));
  RewriteLog(log);
}

void ReplicaStore::RewriteLog(const ReplicatedLog& log) {
  pb::StoredBatch batch;
  *batch.mutable_base() = log.base();
  *batch.mutable_vote() = vote_;
  batch.set_commit(std::min(commit_index_, log.last_index()));
  for (const pb::LogEntry& it : log.entries()) {
    *batch.add_entries() = it;
  }
  disk_->Replace(kLogFile, EncodeRecord(batch.SerializeAsString()));
}

}  // namespace vanillalatch
