// Recognizes the end of a log file that a loss of power has damaged under a
// build up to 21e455e. Those builds did not sync records with only a commit
// index.
#ifndef VANILLALATCH_SRC_CONSENSUS_UNSYNCED_COMMITS_H_
#define VANILLALATCH_SRC_CONSENSUS_UNSYNCED_COMMITS_H_

#include <cstdint>
#include <string_view>

namespace vanillalatch::internal {

// True if `end`, the bytes of a log file from the first damaged record on, can
// only have been written after the last sync, so that it may be dropped. That
// is so if a record with only a commit index is damaged in it: a sync stores
// all writes before it. `commit` and `last_index` are the highest ones before
// `end`. Throws Error(kCorrupt) if an intact record can't be parsed.
bool IsUnsyncedEnd(std::string_view end, std::uint64_t commit,
                   std::uint64_t last_index);

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_CONSENSUS_UNSYNCED_COMMITS_H_
