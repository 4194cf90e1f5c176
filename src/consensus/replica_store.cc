#include "vanillalatch/consensus/replica_store.h"

#include <utility>

#include "vanillalatch/base/hash.h"
#include "vanillalatch/storage/record_file.h"

namespace vanillalatch {
namespace {

constexpr std::string_view kIdentityFile = "identity";
constexpr std::string_view kLogFile = "log";
constexpr std::string_view kSnapshotFile = "snapshot";

// The one record of a file that is only ever replaced as a whole.
std::string OnlyRecord(std::string_view file, const std::string& text) {
  const Result<RecordScan> scan = DecodeRecords(text);
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
                std::string(file) + " holds an unreadable record");
  }
  return message;
}

// Adds a stored batch's entries, which replace those from the first's index.
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

}  // namespace

Result<ReplicaStore> ReplicaStore::Open(Disk& disk, std::string_view vm,
                                        std::uint64_t seed) {
  try {
    const std::optional<std::string> known = disk.Read(kIdentityFile);
    const std::string identity =
        known ? OnlyRecord(kIdentityFile, *known) : std::to_string(seed);
    ReplicaStore store(disk, StableHash(std::string(vm) + "/" + identity));
    if (known) {
      store.Load();
      return store;
    }
    // The identity comes last: once it is there, a missing log is damage.
    store.RewriteLog(ReplicatedLog());
    disk.Replace(kIdentityFile, EncodeRecord(identity));
    return store;
  } catch (const Error& e) {
    return e;
  }
}

void ReplicaStore::Load() {
  if (const std::optional<std::string> text = disk_->Read(kSnapshotFile)) {
    loaded_.snapshot = ParseRecord<pb::Snapshot>(
        kSnapshotFile, OnlyRecord(kSnapshotFile, *text));
  }
  const std::optional<std::string> text = disk_->Read(kLogFile);
  if (!text) {
    throw Error(ErrorKind::kCorrupt, "the log is missing");
  }
  LoadLog(*text);
  vote_ = loaded_.vote;
  ReconcileWithSnapshot();
}

void ReplicaStore::LoadLog(const std::string& text) {
  const RecordScan scan = DecodeRecords(text).value();
  bool first = true;
  for (const std::string_view payload : scan.payloads) {
    const auto batch = ParseRecord<pb::StoredBatch>(kLogFile, payload);
    if (first) {
      loaded_.log.Reset(batch.base());
      first = false;
    }
    if (batch.has_vote()) {
      loaded_.vote = batch.vote();
    }
    AppendBatch(batch, loaded_.log);
    loaded_.commit = std::max(loaded_.commit, batch.commit());
  }
  if (first) {
    throw Error(ErrorKind::kCorrupt, "the log has no first record");
  }
  if (scan.torn) {
    disk_->Replace(kLogFile, text.substr(0, scan.valid_bytes));
  }
}

// A crash between the two files of an installed snapshot leaves an older log.
void ReplicaStore::ReconcileWithSnapshot() {
  const pb::LogBase& base = loaded_.log.base();
  const std::uint64_t index = loaded_.snapshot ? loaded_.snapshot->index() : 0;
  if (base.index() > index) {
    throw Error(ErrorKind::kCorrupt,
                "the log starts behind entry " + std::to_string(base.index()) +
                    ", the snapshot ends at " + std::to_string(index));
  }
  if (index != 0 && loaded_.log.TermAt(index) != loaded_.snapshot->term()) {
    pb::LogBase next;
    next.set_index(index);
    next.set_term(loaded_.snapshot->term());
    loaded_.log.Reset(next);
    RewriteLog(loaded_.log);
  }
}

void ReplicaStore::Save(const ReplicaActions& actions) {
  if (actions.vote) {
    vote_ = *actions.vote;
  }
  if (actions.install) {
    disk_->Replace(kSnapshotFile,
                   EncodeRecord(actions.install->SerializeAsString()));
    pb::LogBase base;
    base.set_index(actions.install->index());
    base.set_term(actions.install->term());
    RewriteLog(ReplicatedLog(base, {}));
  }
  const bool sync = actions.vote || !actions.append.empty();
  if (!sync && !actions.commit) {
    return;
  }
  pb::StoredBatch batch;
  if (actions.commit) {
    batch.set_commit(*actions.commit);
  }
  if (actions.vote) {
    *batch.mutable_vote() = *actions.vote;
  }
  for (const pb::LogEntry& it : actions.append) {
    *batch.add_entries() = it;
  }
  disk_->Append(kLogFile, EncodeRecord(batch.SerializeAsString()));
  if (sync) {
    disk_->Sync(kLogFile);
  }
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
  for (const pb::LogEntry& it : log.entries()) {
    *batch.add_entries() = it;
  }
  disk_->Replace(kLogFile, EncodeRecord(batch.SerializeAsString()));
}

}  // namespace vanillalatch
