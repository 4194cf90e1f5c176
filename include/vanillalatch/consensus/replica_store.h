// The files of one replica: its identity, its log and its last snapshot.
//
//   ReplicaStore store = ReplicaStore::Open(disk, "control-1", seed).value();
//   StoredReplica stored = store.TakeLoaded();
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

class ReplicaStore {
 public:
  // Reads what is stored, or gives an empty disk a new identity made from
  // `seed`, which must differ from start to start. Errors: kCorrupt, kStorage.
  static Result<ReplicaStore> Open(Disk& disk, std::string_view vm,
                                   std::uint64_t seed);

  // The replica's id: the VM's name and the identity of its disk.
  std::uint64_t id() const { return id_; }
  StoredReplica TakeLoaded() { return std::move(loaded_); }

  // Makes everything of `actions` durable. Throws Error(kStorage); what was
  // saved is then unknown and the replica must not go on.
  void Save(const ReplicaActions& actions);

  // Stores the snapshot and a log file of the entries that are still kept.
  void Compact(const pb::Snapshot& snapshot, const ReplicatedLog& log);

 private:
  ReplicaStore(Disk& disk, std::uint64_t id) : disk_(&disk), id_(id) {}

  void Load();
  void LoadLog(const std::string& text);
  void ReconcileWithSnapshot();
  void RewriteLog(const ReplicatedLog& log);

  Disk* disk_;
  std::uint64_t id_;
  pb::Vote vote_;
  StoredReplica loaded_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_CONSENSUS_REPLICA_STORE_H_
