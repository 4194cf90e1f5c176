// The log of one replica in memory: the entries behind the last compaction and
// the configuration that they make.
//
//   ReplicatedLog log;
//   log.Append(entry);
//   if (log.TermAt(index) == term) ...
#ifndef VANILLALATCH_CONSENSUS_REPLICATED_LOG_H_
#define VANILLALATCH_CONSENSUS_REPLICATED_LOG_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "consensus.pb.h"

namespace vanillalatch {

class ReplicatedLog {
 public:
  ReplicatedLog() = default;
  // `base` is the entry before the first of `entries`, which follow on from it
  // without a gap.
  ReplicatedLog(pb::LogBase base, std::deque<pb::LogEntry> entries)
      : base_(std::move(base)), entries_(std::move(entries)) {}

  const pb::LogBase& base() const { return base_; }
  std::uint64_t last_index() const { return base_.index() + entries_.size(); }
  std::uint64_t last_term() const { return *TermAt(last_index()); }
  bool empty() const { return last_index() == 0; }

  // nullopt outside of what is kept.
  std::optional<std::uint64_t> TermAt(std::uint64_t index) const;
  // The entry at `index`, which must be kept.
  const pb::LogEntry& At(std::uint64_t index) const {
    return entries_[index - base_.index() - 1];
  }
  // Entries from `first` on, at least one if there is one, then as many as
  // fit in `max_bytes`.
  std::vector<pb::LogEntry> From(std::uint64_t first,
                                 std::size_t max_bytes) const;
  const std::deque<pb::LogEntry>& entries() const { return entries_; }

  // The last configuration at or before `index`; nullptr if the kept entries
  // hold none.
  const pb::LogEntry* ConfigurationAt(std::uint64_t index) const;

  // The entry's index must be the one after last_index().
  void Append(pb::LogEntry entry) { entries_.push_back(std::move(entry)); }
  // Drops the entries from `first` on.
  void TruncateFrom(std::uint64_t first);
  // Drops the entries up to `index`.
  void DropThrough(std::uint64_t index);
  // Empties the log; the next entry follows `base`.
  void Reset(const pb::LogBase& base);

 private:
  pb::LogBase base_;
  std::deque<pb::LogEntry> entries_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_CONSENSUS_REPLICATED_LOG_H_
