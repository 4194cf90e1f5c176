#include "src/membership/member_table.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include "charts/charts.h"
#include "vanillalatch/base/hash.h"
#include "vanillalatch/chart/chart.h"

namespace vanillalatch::internal {
namespace {

enum class MemberEvent : std::uint8_t { kRefute, kSuspect, kLeave, kConfirm };

using MemberChart = Chart<MemberState, MemberEvent>;

constexpr Duration kPenaltyHalfLife = std::chrono::seconds(30);
// A returning member with at least this penalty gets no work.
constexpr double kFlapPenaltyThreshold = 2.2;
// A claim that a suspect is dead is accepted only after the member has been
// suspect for this long, so that it has time to refute.
constexpr Duration kMinRefuteTime = std::chrono::milliseconds(400);
// How long failed members, and members that left gracefully, stay in the table.
constexpr Duration kDeadRetention = std::chrono::hours(1);
constexpr Duration kLeftRetention = std::chrono::minutes(1);

const MemberChart& StateChart() {
  static const MemberChart kChart =
      MemberChart::Create(charts::kMember,
                          {"alive", "suspect", "leaving", "dead"},
                          {"refute", "suspect", "leave", "confirm"})
          .value();
  return kChart;
}

// The member's state after an update. A claim that a member is dead that is
// alive in this table only makes it suspect, so that it can refute.
MemberState NextState(MemberState state, pb::MemberState claimed) {
  static constexpr MemberEvent kEvents[] = {
      MemberEvent::kRefute, MemberEvent::kSuspect, MemberEvent::kLeave,
      MemberEvent::kConfirm};
  if (claimed == pb::MEMBER_DEAD && state == MemberState::kAlive) {
    claimed = pb::MEMBER_SUSPECT;
  }
  return StateChart().Next(state, kEvents[claimed]).value_or(state);
}

bool NameMatches(const pb::MemberUpdate& update) {
  return !update.name().empty() && StableHash(update.name()) == update.id();
}

double DecayedPenalty(const MemberRecord& record, TimePoint now) {
  const std::chrono::duration<double> age = now - record.flap_penalty_at;
  const std::chrono::duration<double> half_life = kPenaltyHalfLife;
  return record.flap_penalty * std::exp2(-(age / half_life));
}

}  // namespace

MemberTable::Outcome MemberTable::Merge(TimePoint now,
                                        const pb::MemberUpdate& update) {
  if (!pb::MemberState_IsValid(update.state())) {
    return Outcome::kIgnored;
  }
  if (MemberRecord* record = Find(NodeId{update.id()})) {
    return MergeExisting(now, *record, update);
  }
  if (update.state() == pb::MEMBER_DEAD) {
    return Outcome::kIgnored;
  }
  if (!NameMatches(update)) {
    return Outcome::kUnknownMember;
  }
  MemberRecord& record = records_[NodeId{update.id()}];
  record.member = {NodeId{update.id()},
                   update.name(),
                   SocketAddress::FromPacked(update.address()),
                   MemberState::kAlive,
                   update.incarnation(),
                   !update.observes(),
                   update.data_center()};
  record.flap_penalty_at = now;
  SetState(now, record, static_cast<MemberState>(update.state()));
  return Outcome::kJoined;
}

MemberTable::Outcome MemberTable::MergeExisting(
    TimePoint now, MemberRecord& record, const pb::MemberUpdate& update) {
  Member& member = record.member;
  const bool newer = update.incarnation() > member.incarnation;
  const auto claimed = static_cast<MemberState>(update.state());
  if (update.incarnation() < member.incarnation) {
    return Outcome::kIgnored;
  }
  // A VM of an older build passes on members without their data centre. The
  // first claim that has it completes the member.
  if (!newer && member.data_center.empty() && !update.data_center().empty() &&
      NameMatches(update)) {
    member.data_center = update.data_center();
    if (claimed <= member.state) {
      return Outcome::kJoined;
    }
  }
  if (!newer && claimed <= member.state) {
    return !newer && claimed == member.state ? Outcome::kUnchanged
                                             : Outcome::kIgnored;
  }
  if (claimed == MemberState::kDead && member.state == MemberState::kSuspect &&
      now - record.state_since < kMinRefuteTime) {
    return Outcome::kIgnored;
  }
  const bool was_dead = member.state == MemberState::kDead;
  member.incarnation = update.incarnation();
  bool address_changed = false;
  if (newer && NameMatches(update)) {
    const SocketAddress peer = SocketAddress::FromPacked(update.address());
    address_changed = peer != member.peer;
    member.peer = peer;
    member.dispatches = !update.observes();
    member.data_center = update.data_center();
  }
  MemberState from = member.state;
  // The higher incarnation refuted every earlier claim.
  if (newer && claimed == MemberState::kSuspect) {
    from = MemberState::kAlive;
  }
  MemberState next = NextState(from, update.state());
  if (was_dead && next == MemberState::kAlive && IsFlapping(now, record)) {
    next = MemberState::kLeaving;
  }
  if (next == MemberState::kDead && !was_dead) {
    MarkDead(now, record);
  } else if (next != member.state) {
    SetState(now, record, next);
  } else if (!newer) {
    return Outcome::kIgnored;
  }
  return address_changed ? Outcome::kJoined : Outcome::kUpdated;
}

bool MemberTable::Suspect(TimePoint now, NodeId id) {
  MemberRecord* record = Find(id);
  if (record == nullptr) {
    return false;
  }
  if (record->member.state == MemberState::kLeaving) {
    MarkDead(now, *record);
    return true;
  }
  if (record->member.state != MemberState::kAlive) {
    return false;
  }
  SetState(now, *record, NextState(MemberState::kAlive, pb::MEMBER_SUSPECT));
  return true;
}

std::vector<NodeId> MemberTable::OnTick(TimePoint now) {
  std::vector<NodeId> newly_dead;
  for (auto it = records_.begin(); it != records_.end();) {
    MemberRecord& record = it->second;
    if (record.member.state == MemberState::kSuspect &&
        now >= record.confirm_at) {
      MarkDead(now, record);
      newly_dead.push_back(it->first);
    }
    const bool is_retention_over =
        record.member.state == MemberState::kDead &&
        now - record.state_since >=
            (record.left_gracefully ? kLeftRetention : kDeadRetention);
    it = is_retention_over ? records_.erase(it) : std::next(it);
  }
  return newly_dead;
}

std::vector<NodeId> MemberTable::TakeSuspectsToPing(TimePoint now) {
  std::vector<NodeId> suspects;
  for (auto& [id, record] : records_) {
    if (record.member.state == MemberState::kSuspect &&
        !record.pinged_to_refute &&
        now >= record.confirm_at - suspicion_timeout_ / 2) {
      record.pinged_to_refute = true;
      suspects.push_back(id);
    }
  }
  return suspects;
}

void MemberTable::ExtendSuspicions(Duration pause) {
  for (auto& [id, record] : records_) {
    record.confirm_at += pause;
  }
}

MemberRecord* MemberTable::Find(NodeId id) {
  const auto it = records_.find(id);
  return it == records_.end() ? nullptr : &it->second;
}

std::size_t MemberTable::LiveCount() const {
  return static_cast<std::size_t>(
      std::count_if(records_.begin(), records_.end(), [](const auto& it) {
        return it.second.member.state != MemberState::kDead;
      }));
}

TimePoint MemberTable::NextWake() const {
  TimePoint next = kNever;
  for (const auto& [id, record] : records_) {
    if (record.member.state == MemberState::kSuspect) {
      next = std::min(next, record.pinged_to_refute
                                ? record.confirm_at
                                : record.confirm_at - suspicion_timeout_ / 2);
    }
  }
  return next;
}

void MemberTable::MarkDead(TimePoint now, MemberRecord& record) {
  record.left_gracefully = record.member.state == MemberState::kLeaving;
  if (!record.left_gracefully) {
    record.flap_penalty = DecayedPenalty(record, now) + 1;
    record.flap_penalty_at = now;
  }
  SetState(now, record, MemberState::kDead);
}

bool MemberTable::IsFlapping(TimePoint now, MemberRecord& record) {
  return DecayedPenalty(record, now) >= kFlapPenaltyThreshold;
}

void MemberTable::SetState(TimePoint now, MemberRecord& record,
                           MemberState state) {
  record.member.state = state;
  record.state_since = now;
  record.confirm_at = now + suspicion_timeout_;
  record.pinged_to_refute = false;
  changed_at_ = now;
}

void ToUpdate(const Member& member, bool full, pb::MemberUpdate& update) {
  update.set_id(member.id.value());
  update.set_state(static_cast<pb::MemberState>(member.state));
  update.set_incarnation(member.incarnation);
  if (full) {
    update.set_name(member.name);
    update.set_address(member.peer.Packed());
    update.set_observes(!member.dispatches);
    update.set_data_center(member.data_center);
  }
}

std::uint32_t DigestOf(const Member& member) {
  if (member.state == MemberState::kDead) {
    return 0;
  }
  const std::uint64_t state =
      member.incarnation * 2 + (member.state == MemberState::kLeaving);
  return static_cast<std::uint32_t>(StableHash(member.id.value(), state));
}

}  // namespace vanillalatch::internal
