// MemberTable: the other VMs of the data centre with their states as this VM
// has them. States change as charts/member.json says, newer incarnations
// override older ones, and VMs that flap (fail and return repeatedly) are
// damped.
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
  bool left_gracefully = false;   // Was leaving when it was declared dead.
  TimePoint state_since;          // When it entered its state.
  TimePoint confirm_at;           // When a suspect is declared dead.
  bool pinged_to_refute = false;  // Pinged halfway to confirm_at.
  // Number of failures. The weight of each halves every kPenaltyHalfLife.
  double flap_penalty = 0;
  TimePoint flap_penalty_at;  // The time to which flap_penalty applies.
};

class MemberTable {
 public:
  enum class Outcome : std::uint8_t {
    kIgnored,    // Older than what the table contains, invalid, or a claim
                 // of death that is not accepted (yet).
    kUnchanged,  // Equal to what the table contains.
    kUpdated,    // Changed the table; to be gossiped.
    kJoined,     // A new member or a new address of one; to be gossiped with
                 // name and address.
    kUnknownMember,  // About a member that the table lacks, without its name.
  };

  explicit MemberTable(Duration suspicion_timeout)
      : suspicion_timeout_(suspicion_timeout) {}

  // Merges what another VM states about a member.
  Outcome Merge(TimePoint now, const pb::MemberUpdate& update);
  // Handles a failed probe: an alive member becomes suspect, a leaving one
  // dead. True if the state changed.
  bool Suspect(TimePoint now, NodeId id);
  // Declares suspects dead whose timeout has passed, and returns them. Removes
  // members that have been dead for longer than the table retains them.
  std::vector<NodeId> OnTick(TimePoint now);
  // Returns, once each, the suspects for which half of the timeout has passed.
  // They are to be pinged, so that they can refute.
  std::vector<NodeId> TakeSuspectsToPing(TimePoint now);
  // Delays the end of all suspicions by `pause`, for which this VM did not run.
  void ExtendSuspicions(Duration pause);

  MemberRecord* Find(NodeId id);
  const std::map<NodeId, MemberRecord>& records() const { return records_; }
  // Members that are not dead.
  std::size_t LiveCount() const;
  // When the next suspect is to be pinged or declared dead.
  TimePoint NextWake() const;
  // When a state last changed.
  TimePoint changed_at() const { return changed_at_; }

 private:
  Outcome MergeExisting(TimePoint now, MemberRecord& record,
                        const pb::MemberUpdate& update);
  void MarkDead(TimePoint now, MemberRecord& record);
  // True if it failed so often recently that it should get no work.
  bool IsFlapping(TimePoint now, MemberRecord& record);
  void SetState(TimePoint now, MemberRecord& record, MemberState state);

  Duration suspicion_timeout_;
  std::map<NodeId, MemberRecord> records_;
  TimePoint changed_at_{};
};

// Writes `member` to `update`; with name and address if `full`.
void ToUpdate(const Member& member, bool full, pb::MemberUpdate& update);

// Digest of the member's id, incarnation and whether it leaves; 0 if it is
// dead. Suspicion does not change it. The XOR over all members is equal on VMs
// with the same members.
std::uint32_t DigestOf(const Member& member);

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_MEMBERSHIP_MEMBER_TABLE_H_
