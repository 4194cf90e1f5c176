// The catalog revisions that the peers of this VM state. A VM that has the
// catalog of an earlier revision finds out here that there is a newer one,
// whichever control VM it follows.
//
//   board.Set(catalog.revision());
//   board.Merge(now, sender, message);
//   if (board.Newer(now) > 0) { ... }
#ifndef VANILLALATCH_SRC_MEMBERSHIP_REVISION_BOARD_H_
#define VANILLALATCH_SRC_MEMBERSHIP_REVISION_BOARD_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "membership.pb.h"
#include "vanillalatch/base/time.h"
#include "vanillalatch/membership/member.h"

namespace vanillalatch::internal {

class RevisionBoard {
 public:
  // A statement that its sender does not repeat counts for this long. Each VM
  // is probed several times meanwhile.
  static constexpr Duration kStatementLifetime = std::chrono::seconds(5);
  // Senders of higher revisions that are remembered. One would do; more bridge
  // the loss of some.
  static constexpr std::size_t kMaxStatements = 16;

  // Sets the revision in force at this VM.
  void Set(std::uint64_t revision);
  std::uint64_t own() const { return own_; }
  // Records the revision that `sender` states in `message`, if any.
  void Merge(TimePoint now, NodeId sender,
             const pb::MembershipMessage& message);
  // The highest revision above the own one that a peer has stated within
  // kStatementLifetime; 0 if there is none.
  std::uint64_t Newer(TimePoint now) const;

 private:
  struct Statement {
    std::uint64_t revision = 0;
    TimePoint received;
  };
  std::uint64_t own_ = 0;
  std::map<NodeId, Statement> newer_;  // Only revisions above own_.
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_MEMBERSHIP_REVISION_BOARD_H_
