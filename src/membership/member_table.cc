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
// Deaths, weighed by age, from which a returning member takes no work.
constexpr double kFlapPenalty = 2.2;
// A claim of death is believed about a member that was suspect for this long:
// it had time to refute.
constexpr Duration kRefuteTime = std::chrono::milliseconds(400);
constexpr Duration kRememberDead = std::chrono::hours(1);
constexpr Duration kRememberLeft = std::chrono::minutes(1);

const MemberChart& TheChart() {
  static const MemberChart kChart =
      MemberChart::Create(charts::kMember,
                          {"alive", "suspect", "leaving", "dead"},
                          {"refute", "suspect", "leave", "confirm"})
          .value();
  return kChart;
}

// The member's state after an update; a claim of death about a member that
// this VM holds alive only makes it suspect, so that it can refute.
MemberState NextState(MemberState state, pb::MemberState claimed) {
  static constexpr MemberEvent kEvents[] = {
      MemberEvent::kRefute, MemberEvent::kSuspect, MemberEvent::kLeave,
      MemberEvent::kConfirm};
  if (claimed == pb::MEMBER_DEAD && state == MemberState::kAlive) {
    claimed = pb::MEMBER_SUSPECT;
  }
  return TheChart().Next(state, kEvents[claimed]).value_or(state);
}

bool NameMatches(const pb::MemberUpdate& update) {
  return !update.name().empty() && StableHash(update.name()) == update.id();
}

double DecayedPenalty(const MemberRecord& record, TimePoint now) {
  const std::chrono::duration<double> age = now - record.penalty_at;
  const std::chrono::duration<double> half_life = kPenaltyHalfLife;
  return record.penalty * std::exp2(-(age / half_life));
}

}  // namespace

MemberTable::Outcome MemberTable::Merge(TimePoint now,
                                        const pb::MemberUpdate& update) {
  if (!pb::MemberState_IsValid(update.state())) {
    return Outcome::kOld;
  }
  if (MemberRecord* record = Find(NodeId{update.id()})) {
    return MergeKnown(now, *record, update);
  }
  if (update.state() == pb::MEMBER_DEAD) {
    return Outcome::kOld;
  }
  if (!NameMatches(update)) {
    return Outcome::kUnknown;
  }
  MemberRecord& record = records_[NodeId{update.id()}];
  record.member = {NodeId{update.id()},
                   update.name(),
                   SocketAddress::FromPacked(update.address()),
                   MemberState::kAlive,
                   update.incarnation(),
                   !update.observes()};
  record.penalty_at = now;
  Enter(now, record, static_cast<MemberState>(update.state()));
  return Outcome::kJoined;
}

MemberTable::Outcome MemberTable::MergeKnown(TimePoint now,
                                             MemberRecord& record,
                                             const pb::MemberUpdate& update) {
  Member& member = record.member;
  const bool later = update.incarnation() > member.incarnation;
  const auto claimed = static_cast<MemberState>(update.state());
  if (update.incarnation() < member.incarnation) {
    return Outcome::kOld;
  }
  if (!later && claimed <= member.state) {
    return !later && claimed == member.state ? Outcome::kKnown : Outcome::kOld;
  }
  if (claimed == MemberState::kDead && member.state == MemberState::kSuspect &&
      now - record.since < kRefuteTime) {
    return Outcome::kOld;
  }
  const bool was_dead = member.state == MemberState::kDead;
  member.incarnation = update.incarnation();
  bool moved = false;
  if (later && NameMatches(update)) {
    const SocketAddress peer = SocketAddress::FromPacked(update.address());
    moved = peer != member.peer;
    member.peer = peer;
    member.dispatches = !update.observes();
  }
  MemberState from = member.state;
  if (later && claimed == MemberState::kSuspect) {
    from = MemberState::kAlive;
  }
  MemberState next = NextState(from, update.state());
  if (was_dead && next == MemberState::kAlive && Flaps(now, record)) {
    next = MemberState::kLeaving;
  }
  if (next == MemberState::kDead && !was_dead) {
    Die(now, record);
  } else if (next != member.state) {
    Enter(now, record, next);
  } else if (!later) {
    return Outcome::kOld;
  }
  return moved ? Outcome::kJoined : Outcome::kNews;
}

bool MemberTable::Suspect(TimePoint now, NodeId id) {
  MemberRecord* record = Find(id);
  if (record == nullptr) {
    return false;
  }
  if (record->member.state == MemberState::kLeaving) {
    Die(now, *record);
    return true;
  }
  if (record->member.state != MemberState::kAlive) {
    return false;
  }
  Enter(now, *record, NextState(MemberState::kAlive, pb::MEMBER_SUSPECT));
  return true;
}

std::vector<NodeId> MemberTable::OnTick(TimePoint now) {
  std::vector<NodeId> died;
  for (auto it = records_.begin(); it != records_.end();) {
    MemberRecord& record = it->second;
    if (record.member.state == MemberState::kSuspect &&
        now >= record.confirm_at) {
      Die(now, record);
      died.push_back(it->first);
    }
    const bool forget =
        record.member.state == MemberState::kDead &&
        now - record.since >= (record.left ? kRememberLeft : kRememberDead);
    it = forget ? records_.erase(it) : std::next(it);
  }
  return died;
}

std::vector<NodeId> MemberTable::TakeSuspectsToAsk(TimePoint now) {
  std::vector<NodeId> suspects;
  for (auto& [id, record] : records_) {
    if (record.member.state == MemberState::kSuspect && !record.asked &&
        now >= record.confirm_at - suspicion_timeout_ / 2) {
      record.asked = true;
      suspects.push_back(id);
    }
  }
  return suspects;
}

void MemberTable::Postpone(Duration pause) {
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
      next = std::min(next, record.asked
                                ? record.confirm_at
                                : record.confirm_at - suspicion_timeout_ / 2);
    }
  }
  return next;
}

void MemberTable::Die(TimePoint now, MemberRecord& record) {
  record.left = record.member.state == MemberState::kLeaving;
  if (!record.left) {
    record.penalty = DecayedPenalty(record, now) + 1;
    record.penalty_at = now;
  }
  Enter(now, record, MemberState::kDead);
}

bool MemberTable::Flaps(TimePoint now, MemberRecord& record) {
  return DecayedPenalty(record, now) >= kFlapPenalty;
}

void MemberTable::Enter(TimePoint now, MemberRecord& record,
                        MemberState state) {
  record.member.state = state;
  record.since = now;
  record.confirm_at = now + suspicion_timeout_;
  record.asked = false;
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
