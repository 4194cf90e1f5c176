// Stores the state of one replica on disk: its identity, its vote, its log and
// its last snapshot.
//
//   ReplicaStore store = ReplicaStore::Open(disk, "control-1", seed).value();
//   auto replica = Replica::Create(options, store.TakeStoredReplica(), ...);
//   store.MakeDurable(replica->log());  // Before the replica acts.
//   ...
//   store.Save(replica.TakeActions());  // Durable when it returns.
#ifndef VANILLALATCH_CONSENSUS_REPLICA_STORE_H_
#define VANILLALATCH_CONSENSUS_REPLICA_STORE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "consensus.pb.h"
#include "vanillalatch/base/result.h"
#include "vanillalatch/consensus/replica.h"
#include "vanillalatch/storage/disk.h"

namespace vanillalatch {

// What Open() has found in the log file, for the log.
struct LogFileSummary {
  std::size_t records = 0;
  std::size_t dropped_bytes = 0;  // Of a damaged end.
  std::uint64_t last_index = 0;
  std::uint64_t commit_index = 0;
};

class ReplicaStore {
 public:
  // Reads the stored state and does not change it. An empty disk gets a new
  // identity, made from `seed`, which must differ at every start of the
  // process. Errors: kCorrupt if a file is damaged or missing, kStorage if the
  // disk fails.
  static Result<ReplicaStore> Open(Disk& disk, std::string_view vm,
                                   std::uint64_t seed);

  // The replica's id: a hash of the VM's name and of the identity of its disk.
  std::uint64_t id() const { return id_; }
  // Returns the state that Open() has read. May be called once.
  StoredReplica TakeStoredReplica() { return std::move(stored_); }
  // Stores again what Open() has read, which may not be durable: the process
  // before may have ended between a write and its sync, or a sync has failed.
  // Drops a damaged end. `log` is that of the stored replica. Throws
  // Error(kStorage).
  void MakeDurable(const ReplicatedLog& log) { RewriteLog(log); }
  const LogFileSummary& log_file() const { return log_file_; }

  // Makes the snapshot, vote and entries of `actions` durable. The commit index
  // is stored with the next vote or entries: a record that is not synced could
  // be lost while a later one is kept. Throws Error(kStorage); it is then
  // unknown what was stored, and the replica must not continue.
  void Save(const ReplicaActions& actions);

  // Stores `snapshot` and replaces the log file by the entries of `log`. Throws
  // Error(kStorage), as Save() does.
  void Compact(const pb::Snapshot& snapshot, const ReplicatedLog& log);

 private:
  ReplicaStore(Disk& disk, std::uint64_t id) : disk_(&disk), id_(id) {}

  void Load();
  void LoadLog(const std::string& content);
  void ReconcileWithSnapshot();
  void RewriteLog(const ReplicatedLog& log);

  Disk* disk_;
  std::uint64_t id_;
  pb::Vote vote_;
  std::uint64_t commit_index_ = 0;  // Known to be committed.
  StoredReplica stored_;
  LogFileSummary log_file_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_CONSENSUS_REPLICA_STORE_H_
