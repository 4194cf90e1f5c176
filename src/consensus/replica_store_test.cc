#include "vanillalatch/consensus/replica_store.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <utility>

#include "src/storage/fake_disk.h"
#include "vanillalatch/storage/record_file.h"

namespace vanillalatch {
namespace {

ReplicaStore OpenStore(FakeDisk& disk, std::uint64_t seed = 1) {
  return ReplicaStore::Open(disk, "c1", seed).value();
}

pb::LogEntry Entry(std::uint64_t index, std::uint64_t term) {
  pb::LogEntry entry;
  entry.set_index(index);
  entry.set_term(term);
  entry.set_no_op(true);
  return entry;
}

ReplicaActions Append(std::uint64_t first, std::uint64_t last,
                      std::uint64_t term) {
  ReplicaActions actions;
  for (std::uint64_t n = first; n <= last; ++n) {
    actions.append.push_back(Entry(n, term));
  }
  return actions;
}

pb::Snapshot SnapshotAt(std::uint64_t index, std::uint64_t term) {
  pb::Snapshot snapshot;
  snapshot.set_index(index);
  snapshot.set_term(term);
  return snapshot;
}

TEST_CASE("an identity lasts as long as its disk", "[store]") {
  FakeDisk disk;
  const std::uint64_t id = OpenStore(disk, 1).id();
  CHECK(OpenStore(disk, 2).id() == id);
  disk.Wipe();
  CHECK(OpenStore(disk, 3).id() != id);
}

TEST_CASE("vote and entries are there after a crash", "[store]") {
  FakeDisk disk;
  std::mt19937_64 random(1);
  ReplicaStore store = OpenStore(disk);
  store.Save(Append(1, 3, 1));
  ReplicaActions actions = Append(3, 4, 2);
  actions.vote.emplace().set_term(2);
  actions.vote->set_candidate(9);
  store.Save(actions);
  disk.Append("log", "unsynced");
  disk.Crash(random, true);
  const StoredReplica stored = OpenStore(disk).TakeStoredReplica();
  CHECK(stored.vote.candidate() == 9);
  CHECK(stored.log.last_index() == 4);
  CHECK(stored.log.TermAt(2) == 1);
  CHECK(stored.log.TermAt(3) == 2);
}

ReplicaActions Commit(std::uint64_t index) {
  ReplicaActions actions;
  actions.commit_index = index;
  return actions;
}

TEST_CASE("a loss of power after several commits leaves a log that opens",
          "[store]") {
  const auto seed = GENERATE(range(1U, 65U));
  CAPTURE(seed);
  FakeDisk disk;
  std::mt19937_64 random(seed);
  ReplicaStore store = OpenStore(disk);
  store.Save(Append(1, 3, 1));
  for (std::uint64_t n = 1; n <= 3; ++n) {
    store.Save(Commit(n));
  }
  disk.Crash(random, true);
  Result<ReplicaStore> reopened = ReplicaStore::Open(disk, "c1", 1);
  REQUIRE(reopened.ok());
  CHECK(reopened->TakeStoredReplica().log.last_index() == 3);
}

TEST_CASE("a crash between the files of an installed snapshot is mended",
          "[store]") {
  const std::uint64_t stored_entries = GENERATE(0, 3, 5, 9);
  const std::uint64_t term = GENERATE(1, 2);
  CAPTURE(stored_entries, term);
  FakeDisk disk;
  std::mt19937_64 random(1);
  ReplicaStore store = OpenStore(disk);
  if (stored_entries > 0) {
    store.Save(Append(1, stored_entries, 1));
  }
  ReplicaActions actions;
  actions.installed_snapshot = SnapshotAt(5, term);
  disk.CrashAtSync(2, FakeDisk::CrashTiming::kBefore);
  CHECK_THROWS_AS(store.Save(actions), DiskCrash);
  disk.Crash(random, true);
  const StoredReplica stored = OpenStore(disk).TakeStoredReplica();
  CHECK(stored.snapshot->index() == 5);
  const bool suffix_fits = term == 1 && stored_entries == 9;
  CHECK(stored.log.last_index() == (suffix_fits ? 9 : 5));
  CHECK(stored.log.TermAt(5) == term);
}

// Files whose new names a loss of power keeps or loses one by one until the
// folder has been synced. A sync of the folder can be made to end the process.
class FolderDisk final : public Disk {
 public:
  std::optional<std::string> Read(std::string_view name) override {
    const auto it = files_.find(name);
    return it == files_.end() ? std::nullopt : std::optional(it->second);
  }

  void Append(std::string_view name, std::string_view bytes) override {
    files_[std::string(name)].append(bytes);
  }

  void Sync(std::string_view name) override {
    SyncNames();
    durable_[std::string(name)] = files_[std::string(name)];
  }

  void Replace(std::string_view name, std::string_view bytes) override {
    files_[std::string(name)] = bytes;
    renamed_.insert_or_assign(std::string(name), std::string(bytes));
    SyncNames();
  }

  void Remove(std::string_view name) override {
    files_.erase(std::string(name));
  }

  void SyncNames() override {
    if (--syncs_left_ == 0) {
      throw DiskCrash();
    }
    for (const auto& [name, content] : std::exchange(renamed_, {})) {
      durable_[name] = content;
    }
  }

  // Ends the process at the n-th sync of the folder from now on.
  void EndAtSync(int n) { syncs_left_ = n; }

  // Keeps the names at the positions of the bits of `kept`.
  void LosePower(unsigned kept) {
    syncs_left_ = 0;
    for (const auto& [name, content] : std::exchange(renamed_, {})) {
      if ((kept & 1) != 0) {
        durable_[name] = content;
      }
      kept >>= 1;
    }
    files_ = durable_;
  }

 private:
  using Files = std::map<std::string, std::string, std::less<>>;
  Files files_;
  Files durable_;
  Files renamed_;  // Since the last sync of the folder.
  int syncs_left_ = 0;
};

TEST_CASE(
    "a kill and a loss of power between a rename and the sync of the folder "
    "leave files that fit together",
    "[store]") {
  const int killed_at = GENERATE(1, 2, 3);
  const int lost_at = GENERATE(1, 2, 3, 4);
  const unsigned kept = GENERATE(range(0U, 4U));
  CAPTURE(killed_at, lost_at, kept);
  FolderDisk disk;
  ReplicaStore store = ReplicaStore::Open(disk, "c1", 1).value();
  store.Save(Append(1, 3, 1));
  ReplicaActions actions = Append(6, 6, 2);
  actions.installed_snapshot = SnapshotAt(5, 2);
  disk.EndAtSync(killed_at);
  CHECK_THROWS_AS(store.Save(actions), DiskCrash);
  disk.EndAtSync(lost_at);
  try {
    ReplicaStore next = ReplicaStore::Open(disk, "c1", 2).value();
    const ReplicatedLog log = next.TakeStoredReplica().log;
    next.MakeDurable(log);
    next.Save(Append(log.last_index() + 1, log.last_index() + 1, 2));
  } catch (const DiskCrash&) {
  }
  disk.LosePower(kept);
  const Result<ReplicaStore> opened = ReplicaStore::Open(disk, "c1", 3);
  INFO((opened.ok() ? "" : opened.error().what()));
  CHECK(opened.ok());
}

TEST_CASE("compaction keeps vote and later entries", "[store]") {
  FakeDisk disk;
  ReplicaStore store = OpenStore(disk);
  ReplicaActions actions = Append(1, 8, 1);
  actions.vote.emplace().set_term(1);
  store.Save(actions);
  StoredReplica stored = OpenStore(disk).TakeStoredReplica();
  stored.log.DropThrough(4);
  store.Compact(SnapshotAt(6, 1), stored.log);
  store.Save(Append(9, 9, 1));
  stored = OpenStore(disk).TakeStoredReplica();
  CHECK(stored.vote.term() == 1);
  CHECK(stored.log.base().index() == 4);
  CHECK(stored.log.last_index() == 9);
}

pb::StoredBatch Entries(std::uint64_t index) {
  pb::StoredBatch batch;
  *batch.add_entries() = Entry(index, 1);
  return batch;
}

pb::StoredBatch CommitOnly(std::uint64_t index) {
  pb::StoredBatch batch;
  batch.set_commit(index);
  return batch;
}

pb::StoredBatch VoteOnly() {
  pb::StoredBatch batch;
  batch.mutable_vote()->set_term(2);
  batch.mutable_vote()->set_candidate(~std::uint64_t{0});
  return batch;
}

// Damages a record in the way of a loss of power.
enum class Loss : std::uint8_t { kMissing, kTornHeader, kTornPayload };

void Damage(std::string& record, Loss loss) {
  const std::size_t kept = loss == Loss::kMissing      ? 0
                           : loss == Loss::kTornHeader ? 3
                                                       : kRecordHeaderBytes;
  std::fill(record.begin() + static_cast<std::ptrdiff_t>(kept), record.end(),
            '\0');
}

struct OldLogRow {
  const char* name;
  std::vector<pb::StoredBatch> batches;  // After the entries 1 and 2.
  std::size_t lost;                      // Index of the damaged one.
  bool opens;
};

TEST_CASE("a log with lost commits of an earlier build opens, others don't",
          "[store]") {
  const auto row = GENERATE(values<OldLogRow>(
      {{"a commit before a commit", {CommitOnly(1), CommitOnly(2)}, 0, true},
       {"a commit before entries that were not synced",
        {CommitOnly(2), Entries(3)},
        0,
        true},
       {"a commit before synced entries",
        {CommitOnly(2), Entries(3), CommitOnly(3)},
        0,
        false},
       {"entries before entries", {Entries(3), Entries(4)}, 0, false},
       {"entries before their commit", {Entries(3), CommitOnly(3)}, 0, false},
       {"a vote before entries", {VoteOnly(), Entries(3)}, 0, false}}));
  const auto loss =
      GENERATE(Loss::kMissing, Loss::kTornHeader, Loss::kTornPayload);
  CAPTURE(row.name, static_cast<int>(loss));
  FakeDisk disk;
  OpenStore(disk).Save(Append(1, 2, 1));
  const std::size_t synced_bytes = disk.Read("log")->size();
  for (std::size_t n = 0; n < row.batches.size(); ++n) {
    std::string record = EncodeRecord(row.batches[n].SerializeAsString());
    if (n == row.lost) {
      Damage(record, loss);
    }
    disk.Append("log", record);
  }
  const std::size_t bytes = disk.Read("log")->size();
  Result<ReplicaStore> store = ReplicaStore::Open(disk, "c1", 1);
  REQUIRE(store.ok() == row.opens);
  if (row.opens) {
    CHECK(store->log_file().dropped_bytes == bytes - synced_bytes);
    CHECK(store->TakeStoredReplica().log.last_index() == 2);
  } else {
    CHECK(store.error().kind() == ErrorKind::kCorrupt);
  }
}

// Appends a record as builds up to 21e455e did: without a sync if it has only
// a commit index.
void AppendAsOldBuild(FakeDisk& disk, const ReplicaActions& actions) {
  pb::StoredBatch batch;
  if (actions.commit_index) {
    batch.set_commit(*actions.commit_index);
  }
  if (actions.vote) {
    *batch.mutable_vote() = *actions.vote;
  }
  for (const pb::LogEntry& it : actions.append) {
    *batch.add_entries() = it;
  }
  disk.Append("log", EncodeRecord(batch.SerializeAsString()));
  if (actions.vote || !actions.append.empty()) {
    disk.Sync("log");
  }
}

ReplicaActions Vote(std::uint64_t term, std::uint64_t candidate) {
  ReplicaActions actions;
  actions.vote.emplace().set_term(term);
  actions.vote->set_candidate(candidate);
  return actions;
}

ReplicaActions AppendChange(std::uint64_t index, std::uint64_t term) {
  ReplicaActions actions;
  pb::LogEntry& entry = actions.append.emplace_back();
  entry.set_index(index);
  entry.set_term(term);
  entry.mutable_change()->set_change_id(std::string(40, 'c'));
  return actions;
}

TEST_CASE("a log of an older build opens after a loss of power", "[store]") {
  const auto seed = GENERATE(range(1U, 65U));
  const bool in_append = GENERATE(false, true);
  CAPTURE(seed, in_append);
  FakeDisk disk;
  std::mt19937_64 random(seed);
  OpenStore(disk);
  AppendAsOldBuild(disk, Append(1, 3, 1));
  for (std::uint64_t n = 1; n <= 3; ++n) {
    AppendAsOldBuild(disk, Commit(n));
  }
  if (in_append) {
    disk.CrashAtSync(1, FakeDisk::CrashTiming::kBefore);
    CHECK_THROWS_AS(AppendAsOldBuild(disk, AppendChange(4, 1)), DiskCrash);
  }
  disk.Crash(random, true);
  Result<ReplicaStore> reopened = ReplicaStore::Open(disk, "c1", 1);
  INFO((reopened.ok() ? "" : reopened.error().what()));
  REQUIRE(reopened.ok());
  CHECK(reopened->TakeStoredReplica().log.last_index() >= 3);
}

TEST_CASE("a flipped bit in a synced record of an older build is refused",
          "[store]") {
  const std::string record = GENERATE("no-op", "term", "vote", "change");
  const std::size_t bit = GENERATE(range(0, 640));
  FakeDisk disk;
  OpenStore(disk);
  AppendAsOldBuild(disk, Append(1, 8, 1));
  const std::size_t offset = disk.Read("log")->size();
  if (record == "no-op") {
    AppendAsOldBuild(disk, Append(9, 9, 2));
  } else if (record == "change") {
    AppendAsOldBuild(disk, AppendChange(9, 1));
  } else {
    AppendAsOldBuild(disk, Vote(2, record == "vote" ? ~0ULL / 3 : 0));
  }
  const std::size_t end = disk.Read("log")->size();
  AppendAsOldBuild(disk, Commit(7));
  AppendAsOldBuild(disk, Commit(8));
  disk.Sync("log");
  if (offset + bit / 8 >= end) {
    return;
  }
  std::string log = *disk.Read("log");
  log[offset + bit / 8] =
      static_cast<char>(log[offset + bit / 8] ^ (1 << (bit % 8)));
  disk.Replace("log", log);
  CAPTURE(record, bit, end - offset);
  CHECK(ReplicaStore::Open(disk, "c1", 1).error().kind() ==
        ErrorKind::kCorrupt);
}

TEST_CASE("damage of a synced record is refused beside a lost commit index",
          "[store]") {
  FakeDisk disk;
  OpenStore(disk);
  AppendAsOldBuild(disk, Append(1, 8, 1));
  const std::size_t lost = disk.Read("log")->size();
  AppendAsOldBuild(disk, Commit(6));
  AppendAsOldBuild(disk, Commit(7));
  const std::size_t damaged = disk.Read("log")->size();
  AppendAsOldBuild(disk, AppendChange(9, 1));
  AppendAsOldBuild(disk, Commit(8));
  std::string log = *disk.Read("log");
  log.replace(lost, kRecordHeaderBytes + 2, kRecordHeaderBytes + 2, '\0');
  log[damaged] = static_cast<char>(log[damaged] ^ 1);
  disk.Replace("log", log);
  CHECK(ReplicaStore::Open(disk, "c1", 1).error().kind() ==
        ErrorKind::kCorrupt);
}

TEST_CASE("damage before the last record is reported with what follows it",
          "[store]") {
  FakeDisk disk;
  ReplicaStore store = OpenStore(disk);
  const std::size_t offset = disk.Read("log")->size();
  store.Save(Append(1, 2, 1));
  const std::size_t damaged_bytes = disk.Read("log")->size() - offset;
  store.Save(Append(3, 4, 1));
  disk.FlipBit("log", offset);
  const Result<ReplicaStore> result = ReplicaStore::Open(disk, "c1", 1);
  CHECK(std::string(result.error().what()) ==
        "damaged record at byte " + std::to_string(offset) +
            " before the last record: " + std::to_string(damaged_bytes) +
            " bytes are damaged (stated payload: 0 bytes), 1 records follow, 1 "
            "of them with entries or a vote, highest commit index 0");
}

TEST_CASE("damage is refused", "[store]") {
  FakeDisk disk;
  ReplicaStore store = OpenStore(disk);
  store.Save(Append(1, 2, 1));
  store.Save(Append(3, 4, 1));
  const std::string file = GENERATE("log", "identity", "snapshot", "no log");
  CAPTURE(file);
  if (file == "no log") {
    disk.Remove("log");
  } else {
    disk.Replace("snapshot", "no record");
    if (file != "snapshot") {
      disk.Remove("snapshot");
      disk.FlipBit(file, 3);
    }
  }
  CHECK(ReplicaStore::Open(disk, "c1", 1).error().kind() ==
        ErrorKind::kCorrupt);
}

}  // namespace
}  // namespace vanillalatch
