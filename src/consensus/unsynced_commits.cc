#include "src/consensus/unsynced_commits.h"

#include <algorithm>

#include "consensus.pb.h"
#include "vanillalatch/base/result.h"
#include "vanillalatch/storage/record_file.h"

namespace vanillalatch::internal {
namespace {

pb::StoredBatch ParseBatch(std::string_view payload) {
  pb::StoredBatch batch;
  if (!batch.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
    throw Error(ErrorKind::kCorrupt,
                "log contains a record that can't be parsed");
  }
  return batch;
}

std::size_t CommitRecordBytes(std::uint64_t commit) {
  pb::StoredBatch batch;
  batch.set_commit(commit);
  return kRecordHeaderBytes + batch.ByteSizeLong();
}

// True if records with commit indexes that grow from above `low` up to `high`
// can have this size together.
bool CanBeCommits(std::size_t bytes, std::uint64_t low, std::uint64_t high) {
  std::size_t least = 0;
  std::size_t most = 0;
  for (std::uint64_t n = 0; low + n < high && least < bytes; ++n) {
    least += CommitRecordBytes(low + 1 + n);
    most += CommitRecordBytes(high - n);
    if (least <= bytes && bytes <= most) {
      return true;
    }
  }
  return false;
}

// True if the damaged bytes at the end of a file can be records with commit
// indexes, whose headers are intact, before one record of any kind.
bool IsTornEnd(std::string_view end, std::uint64_t commit,
               std::uint64_t last_index) {
  for (RecordDamage damage = FindRecordDamage(end); !damage.is_last;
       damage = FindRecordDamage(end)) {
    const std::size_t bytes = kRecordHeaderBytes + damage.payload_bytes;
    if (!CanBeCommits(bytes, commit, last_index)) {
      return false;
    }
    end.remove_prefix(bytes);
    ++commit;
  }
  return true;
}

// True if the damaged bytes before an intact record can be records with commit
// indexes.
bool CanBeLostCommits(const RecordDamage& damage, std::uint64_t commit,
                      std::uint64_t last_index) {
  const std::uint64_t next = ParseBatch(damage.later.front()).commit();
  const std::uint64_t high =
      next == 0 ? last_index : std::min(last_index, next - 1);
  const bool is_first_commit =
      damage.payload_bytes == 0 ||
      CanBeCommits(kRecordHeaderBytes + damage.payload_bytes, commit, high);
  return is_first_commit && !damage.has_intact_payload &&
         CanBeCommits(damage.bytes, commit, high);
}

}  // namespace

bool IsUnsyncedEnd(std::string_view end, std::uint64_t commit,
                   std::uint64_t last_index) {
  while (!end.empty()) {
    const RecordDamage damage = FindRecordDamage(end);
    const RecordScan intact =
        DecodeRecords(end.substr(0, damage.offset)).value();
    for (const std::string_view& it : intact.payloads) {
      const pb::StoredBatch batch = ParseBatch(it);
      if (batch.has_vote() || batch.has_base() || batch.entries_size() > 0) {
        // Was being written, and may be the last record only.
        return &it == &intact.payloads.back() && damage.bytes == 0 &&
               !batch.has_base() &&
               (batch.entries_size() == 0 ||
                batch.entries(0).index() <= last_index + 1);
      }
      if (batch.commit() > last_index) {
        return false;
      }
      commit = std::max(commit, batch.commit());
    }
    end.remove_prefix(damage.offset);
    if (damage.later.empty()) {
      return IsTornEnd(end, commit, last_index);
    }
    if (!CanBeLostCommits(damage, commit, last_index)) {
      return false;
    }
    end.remove_prefix(damage.bytes);
  }
  return true;
}

}  // namespace vanillalatch::internal
