#include "src/membership/revision_board.h"

#include <algorithm>

namespace vanillalatch::internal {

void RevisionBoard::Set(std::uint64_t revision) {
  own_ = std::max(own_, revision);
  std::erase_if(newer_,
                [&](const auto& it) { return it.second.revision <= own_; });
}

void RevisionBoard::Merge(TimePoint now, NodeId sender,
                          const pb::MembershipMessage& message) {
  const std::uint64_t revision = message.catalog_revision();
  if (revision == 0) {
    return;
  }
  if (revision <= own_) {
    newer_.erase(sender);
    return;
  }
  std::erase_if(newer_, [&](const auto& it) {
    return now >= it.second.received + kStatementLifetime;
  });
  if (newer_.contains(sender) || newer_.size() < kMaxStatements) {
    newer_[sender] = {revision, now};
  }
}

std::uint64_t RevisionBoard::Newer(TimePoint now) const {
  std::uint64_t highest = 0;
  for (const auto& [sender, it] : newer_) {
    if (now < it.received + kStatementLifetime) {
      highest = std::max(highest, it.revision);
    }
  }
  return highest;
}

}  // namespace vanillalatch::internal
