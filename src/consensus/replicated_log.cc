#include "vanillalatch/consensus/replicated_log.h"

namespace vanillalatch {

std::optional<std::uint64_t> ReplicatedLog::TermAt(std::uint64_t index) const {
  if (index == base_.index()) {
    return base_.term();
  }
  if (index < base_.index() || index > last_index()) {
    return std::nullopt;
  }
  return At(index).term();
}

std::vector<pb::LogEntry> ReplicatedLog::EntriesFrom(
    std::uint64_t first, std::size_t max_bytes) const {
  std::vector<pb::LogEntry> out;
  std::size_t bytes = 0;
  for (std::uint64_t n = first; n <= last_index(); ++n) {
    bytes += At(n).ByteSizeLong();
    if (bytes > max_bytes && !out.empty()) {
      break;
    }
    out.push_back(At(n));
  }
  return out;
}

const pb::LogEntry* ReplicatedLog::ConfigurationAt(std::uint64_t index) const {
  for (std::uint64_t n = index; n > base_.index(); --n) {
    if (At(n).has_configuration()) {
      return &At(n);
    }
  }
  return nullptr;
}

void ReplicatedLog::TruncateFrom(std::uint64_t first) {
  while (last_index() >= first && !entries_.empty()) {
    entries_.pop_back();
  }
}

void ReplicatedLog::DropThrough(std::uint64_t index) {
  const std::optional<std::uint64_t> term = TermAt(index);
  if (!term || index == base_.index()) {
    return;
  }
  entries_.erase(
      entries_.begin(),
      entries_.begin() + static_cast<std::ptrdiff_t>(index - base_.index()));
  base_.set_index(index);
  base_.set_term(*term);
}

void ReplicatedLog::Reset(const pb::LogBase& base) {
  base_ = base;
  entries_.clear();
}

}  // namespace vanillalatch
