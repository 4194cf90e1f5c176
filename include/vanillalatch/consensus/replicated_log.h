// The in-memory log of one replica. It retains the entries after the last
// compaction and finds the latest configuration among them.
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
  // `base` is the position just before the first of `entries`, which follow it
  // without a gap.
  ReplicatedLog(pb::LogBase base, std::deque<pb::LogEntry> entries)
      : base_(std::move(base)), entries_(std::move(entries)) {}

  const pb::LogBase& base() const { return base_; }
  std::uint64_t last_index() const { return base_.index() + entries_.size(); }
  std::uint64_t last_term() const { return *TermAt(last_index()); }
  bool empty() const { return last_index() == 0; }

  // The term of the entry at `index`, which may be the base; nullopt if the
  // entry was dropped or does not exist.
  std::optional<std::uint64_t> TermAt(std::uint64_t index) const;
  // The entry at `index`, which must be retained.
  const pb::LogEntry& At(std::uint64_t index) const {
    return entries_[index - base_.index() - 1];
  }
  // The entries from `first` on that fit in `max_bytes`. Returns at least one
  // entry if there is one, whatever its size.
  std::vector<pb::LogEntry> EntriesFrom(std::uint64_t first,
                                        std::size_t max_bytes) const;
  const std::deque<pb::LogEntry>& entries() const { return entries_; }

  // The last entry at or before `index` that holds a configuration; nullptr if
  // no retained entry does. `index` must not be above last_index().
  const pb::LogEntry* ConfigurationAt(std::uint64_t index) const;

  // Appends `entry`, whose index must be last_index() + 1.
  void Append(pb::LogEntry entry) { entries_.push_back(std::move(entry)); }
  // Drops the entries from `first` on.
  void TruncateFrom(std::uint64_t first);
  // Drops the entries up to and including `index`, which becomes the base. Does
  // nothing if the entry at `index` is not retained.
  void DropThrough(std::uint64_t index);
  // Drops all entries; the next entry follows `base`.
  void Reset(const pb::LogBase& base);

 private:
  pb::LogBase base_;
  std::deque<pb::LogEntry> entries_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_CONSENSUS_REPLICATED_LOG_H_
