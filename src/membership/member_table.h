// The other VMs of the data centre as this VM sees them: states by
// charts/member.json, ordered by incarnation, with damping of those that flap.
#ifndef VANILLALATCH_SRC_MEMBERSHIP_MEMBER_TABLE_H_
#define VANILLALATCH_SRC_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "membership.pb.h"
#include "vanillalatch/base/time.h"
#include "vanillalatch/membership/member.h"

namespace vanillalatch::internal {

struct MemberRecord {
  Member member;
  bool left = false;     // Was leaving when it was last heard of.
  TimePoint since;       // Of its state.
  TimePoint confirm_at;  // When a suspicion ends in death.
  bool asked = false;    // Halfway there it was asked to refute.
  double penalty = 0;    // Deaths, each halved every kPenaltyHalfLife.
  TimePoint penalty_at;
};

class MemberTable {
 public:
  enum class Outcome : std::uint8_t {
    kOld,      // Outdated.
    kKnown,    // What this VM holds already.
    kNews,     // Changed; to be spread.
    kJoined,   // New here or with a new address; to be spread in full.
    kUnknown,  // About a member that is not known, without its name.
  };

  explicit MemberTable(Duration suspicion_timeout)
      : suspicion_timeout_(suspicion_timeout) {}

  Outcome Merge(TimePoint now, const pb::MemberUpdate& update);
  // Its probes failed. True if that is news: suspected, or, if it was
  // leaving, gone.
  bool Suspect(TimePoint now, NodeId id);
  // Ends suspicions that ran out and forgets those long dead; returns who
  // died.
  std::vector<NodeId> OnTick(TimePoint now);
  // Suspects whose time is half over, each once: to be asked whether they
  // live.
  std::vector<NodeId> TakeSuspectsToAsk(TimePoint now);
  // After a pause of this VM itself: its timers start again.
  void Postpone(Duration pause);

  MemberRecord* Find(NodeId id);
  const std::map<NodeId, MemberRecord>& records() const { return records_; }
  // Members that are not dead.
  std::size_t LiveCount() const;
  TimePoint NextWake() const;
  // When a state last changed.
  TimePoint changed_at() const { return changed_at_; }

 private:
  Outcome MergeKnown(TimePoint now, MemberRecord& record,
                     const pb::MemberUpdate& update);
  void Die(TimePoint now, MemberRecord& record);
  // True if it returned too often to be trusted with work.
  bool Flaps(TimePoint now, MemberRecord& record);
  void Enter(TimePoint now, MemberRecord& record, MemberState state);

  Duration suspicion_timeout_;
  std::map<NodeId, MemberRecord> records_;
  TimePoint changed_at_{};
};

void ToUpdate(const Member& member, bool full, pb::MemberUpdate& update);

// Equal for equal sets of members that are not dead.
std::uint32_t DigestOf(const Member& member);

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_MEMBERSHIP_MEMBER_TABLE_H_
