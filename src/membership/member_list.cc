#include "vanillalatch/membership/member_list.h"

#include <algorithm>
#include <array>
#include <utility>

#include "src/membership/member_list_impl.h"
#include "vanillalatch/base/hash.h"

namespace vanillalatch {
namespace internal {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMinBytesPerSecond = 3000;
constexpr std::size_t kIndirectProbes = 4;
constexpr std::size_t kPushTargets = 2;
constexpr std::size_t kLeaveTargets = 6;
// News sent fewer times than this is pushed without waiting for a probe.
constexpr std::size_t kPushSends = 3;
// Waits rather than pushing many small datagrams.
constexpr std::size_t kMinPushRoom = 1100;
constexpr Duration kPushInterval = milliseconds(50);
constexpr Duration kSyncInterval = milliseconds(20);
// How often a joiner asks a seed, and a member tries one that is missing.
constexpr Duration kJoinInterval = milliseconds(300);
// A joiner that no seed answers shows after this time whom it has met.
constexpr Duration kJoinLimit = milliseconds(1000);
constexpr Duration kSeekInterval = milliseconds(1000);
constexpr int kPauseIntervals = 5;
constexpr int kDeafIntervals = 3;

}  // namespace

MemberListImpl::MemberListImpl(MemberListOptions options, std::uint64_t seed)
    : options_(std::move(options)),
      rng_(seed),
      table_(options_.suspicion_timeout),
      budget_(options_.bytes_per_second),
      sequence_(rng_() >> 40) {
  self_ = {NodeId{StableHash(options_.name)},
           options_.name,
           options_.peer,
           MemberState::kAlive,
           options_.incarnation,
           options_.dispatches};
  joined_ = options_.seeds.empty();
  Changed();
}

void MemberListImpl::Start(TimePoint now) {
  started_ = true;
  last_heard_ = now;
  next_probe_ = now + Duration(static_cast<std::int64_t>(
                          rng_() % static_cast<std::uint64_t>(
                                       options_.probe_interval.count())));
  next_seek_ = now;
  join_by_ = now + kJoinLimit;
  updates_.Push(self_.id, true);
}

void MemberListImpl::OnTick(TimePoint now, LeaseExchange& leases, Outbox& out) {
  Event event{now, leases, out};
  if (!started_) {
    Start(now);
  } else {
    NoticePause(now);
  }
  last_tick_ = now;
  if (table_.records().empty()) {
    leases.OnContact(now, true);
  }
  EndFlapHold(event);
  EndSuspicions(event);
  StepProbe(event);
  SeekMissing(event);
  PushNews(event);
  if (now >= next_sync_) {
    next_sync_ = now + kSyncInterval;
    SendSyncs(event);
  }
  std::erase_if(relays_,
                [&](const auto& it) { return now >= it.second.expires; });
}

// After a pause, what this VM waited for is no sign that others failed.
void MemberListImpl::NoticePause(TimePoint now) {
  const Duration pause = now - last_tick_;
  if (pause < kPauseIntervals * options_.probe_interval) {
    return;
  }
  table_.Postpone(pause);
  probe_.reset();
  relays_.clear();
  syncs_.clear();
}

TimePoint MemberListImpl::NextWake() const {
  if (!started_) {
    return TimePoint{};
  }
  TimePoint next = std::min({next_probe_, next_seek_, table_.NextWake()});
  if (probe_ && !probe_->retried && !probe_->acked) {
    next = std::min(next, probe_->started + options_.probe_timeout);
  }
  if (!syncs_.empty()) {
    next = std::min(next, next_sync_);
  }
  if (flap_hold_until_) {
    next = std::min(next, *flap_hold_until_);
  }
  return std::min(next, std::max(next_push_, last_tick_ + kPushInterval));
}

void MemberListImpl::EndSuspicions(Event& event) {
  for (const NodeId& it : table_.TakeSuspectsToAsk(event.now)) {
    SendPing(event, table_.Find(it)->member, ++sequence_, 0);
  }
  const bool deaf = Deaf(event.now);
  for (const NodeId& it : table_.OnTick(event.now)) {
    if (!deaf) {
      updates_.Push(it, false);
    }
    Changed();
  }
}

void MemberListImpl::StepProbe(Event& event) {
  if (probe_ && !probe_->acked && !probe_->retried &&
      event.now >= probe_->started + options_.probe_timeout) {
    ProbeOtherWays(event);
  }
  if (event.now < next_probe_) {
    return;
  }
  next_probe_ = std::max(next_probe_ + options_.probe_interval, event.now);
  StartProbe(event);
}

void MemberListImpl::StartProbe(Event& event) {
  std::optional<NodeId> target;
  bool again = false;
  if (probe_ && !probe_->acked && StillMeant(*probe_)) {
    if (!probe_->again) {
      target = probe_->target;
      again = true;
    } else {
      Suspect(event, probe_->target);
    }
  }
  probe_.reset();
  target = target ? target : NextTarget();
  const MemberRecord* record = target ? table_.Find(*target) : nullptr;
  if (record == nullptr) {
    return;
  }
  const std::uint64_t sequence = ++sequence_;
  if (SendPing(event, record->member, sequence, NextQuarter())) {
    probe_ = Probe{
        *target, record->member.incarnation, sequence, event.now, false, again,
        false};
  }
}

// False if the member has returned since: the probe says nothing about it.
bool MemberListImpl::StillMeant(const Probe& probe) {
  const MemberRecord* record = table_.Find(probe.target);
  return record != nullptr && record->member.incarnation == probe.incarnation;
}

// The member is told at once, so that it can refute.
void MemberListImpl::Suspect(Event& event, NodeId id) {
  if (!table_.Suspect(event.now, id)) {
    return;
  }
  if (!Deaf(event.now)) {
    updates_.Push(id, false);
  }
  Changed();
  SendPing(event, table_.Find(id)->member, ++sequence_, 0);
}

// First the same way again; in the second round also through others.
void MemberListImpl::ProbeOtherWays(Event& event) {
  probe_->retried = true;
  const MemberRecord* record = table_.Find(probe_->target);
  if (record == nullptr) {
    return;
  }
  SendPing(event, record->member, probe_->sequence, 0);
  if (!probe_->again) {
    return;
  }
  for (const Member* it : RandomLive(kIndirectProbes, probe_->target)) {
    pb::MembershipMessage message =
        NewMessage(pb::MembershipMessage::PING_REQUEST, probe_->sequence);
    message.set_target(probe_->target.value());
    message.set_target_address(record->member.peer.Packed());
    Send(event, it->peer, std::move(message), 0);
  }
}

std::optional<NodeId> MemberListImpl::NextTarget() {
  for (int round = 0; round < 2; ++round) {
    while (!order_.empty()) {
      const NodeId id = order_.back();
      order_.pop_back();
      const MemberRecord* record = table_.Find(id);
      if (record != nullptr && record->member.state != MemberState::kDead) {
        return id;
      }
    }
    for (const auto& [id, record] : table_.records()) {
      order_.push_back(id);
    }
    std::shuffle(order_.begin(), order_.end(), rng_);
  }
  return std::nullopt;
}

// Tries members that died without leaving, and seeds that are no members.
void MemberListImpl::SeekMissing(Event& event) {
  if (event.now < next_seek_) {
    return;
  }
  if (!joined_ && event.now >= join_by_ && table_.LiveCount() > 0) {
    joined_ = true;
    Changed();
  }
  const bool alone = !joined_ || table_.LiveCount() == 0;
  next_seek_ = event.now + (alone ? kJoinInterval : kSeekInterval);
  std::vector<const Member*> missing;
  for (const auto& [id, record] : table_.records()) {
    if (record.member.state == MemberState::kDead && !record.left) {
      missing.push_back(&record.member);
    }
  }
  if (!missing.empty()) {
    SendPing(event, *missing[rng_() % missing.size()], ++sequence_, 0);
  }
  SeekSeed(event);
}

void MemberListImpl::SeekSeed(Event& event) {
  if (options_.seeds.empty() || leaving_) {
    return;
  }
  const SocketAddress seed =
      options_.seeds[next_seed_++ % options_.seeds.size()];
  const bool known =
      joined_ && std::any_of(all_.begin(), all_.end(), [&](const Member& it) {
        return it.peer == seed && it.state != MemberState::kDead;
      });
  if (!known) {
    Join(event, seed);
  }
}

void MemberListImpl::Join(Event& event, SocketAddress to) {
  pb::MembershipMessage message =
      NewMessage(pb::MembershipMessage::JOIN, ++sequence_);
  ToUpdate(self_, true, *message.add_members());
  Send(event, to, std::move(message), 0);
}

void MemberListImpl::PushNews(Event& event) {
  if (event.now < next_push_) {
    return;
  }
  const bool urgent =
      updates_.HasSentBelow(kPushSends) || event.leases.HasNews(true);
  if (!urgent &&
      (Room(event.now, 0) < kMinPushRoom || !event.leases.HasNews(false))) {
    return;
  }
  next_push_ = event.now + kPushInterval;
  for (const Member* it : RandomLive(kPushTargets, self_.id)) {
    Send(event, it->peer, NewMessage(pb::MembershipMessage::STATE, ++sequence_),
         0);
  }
}

void MemberListImpl::EndFlapHold(Event& event) {
  if (!flap_hold_until_ || event.now < *flap_hold_until_) {
    return;
  }
  flap_hold_until_.reset();
  if (!leaving_) {
    self_.state = MemberState::kAlive;
    ++self_.incarnation;
    updates_.Push(self_.id, false);
    Changed();
  }
}

void MemberListImpl::Leave(TimePoint now, LeaseExchange& leases, Outbox& out) {
  Event event{now, leases, out};
  leaving_ = true;
  self_.state = MemberState::kLeaving;
  updates_.Push(self_.id, false);
  Changed();
  for (const Member* it : RandomLive(kLeaveTargets, self_.id)) {
    Send(event, it->peer, NewMessage(pb::MembershipMessage::STATE, ++sequence_),
         0);
  }
}

std::vector<const Member*> MemberListImpl::RandomLive(std::size_t count,
                                                      NodeId except) {
  std::vector<const Member*> live;
  for (const auto& [id, record] : table_.records()) {
    if (record.member.state != MemberState::kDead && id != except) {
      live.push_back(&record.member);
    }
  }
  std::shuffle(live.begin(), live.end(), rng_);
  live.resize(std::min(live.size(), count));
  return live;
}

bool MemberListImpl::Deaf(TimePoint now) const {
  return now - last_heard_ > kDeafIntervals * options_.probe_interval;
}

void MemberListImpl::Changed() {
  ++version_;
  all_.clear();
  all_.push_back(self_);
  for (const auto& [id, record] : table_.records()) {
    all_.push_back(record.member);
  }
  std::sort(all_.begin(), all_.end(),
            [](const Member& a, const Member& b) { return a.id < b.id; });
  view_ = joined_ ? all_ : std::vector<Member>{self_};
}

}  // namespace internal

Result<std::unique_ptr<MemberList>> MemberList::Create(
    MemberListOptions options, std::uint64_t seed) {
  if (options.name.empty() || options.data_center.empty()) {
    return Error(ErrorKind::kInvalidArgument,
                 "a member needs a name and a data centre");
  }
  if (options.probe_interval <= Duration::zero() ||
      options.probe_timeout <= Duration::zero() ||
      options.suspicion_timeout <= Duration::zero() ||
      options.probe_timeout >= options.probe_interval) {
    return Error(ErrorKind::kInvalidArgument,
                 "probe timeout, probe interval and suspicion timeout must be "
                 "positive, the first below the second");
  }
  if (options.bytes_per_second < internal::kMinBytesPerSecond) {
    return Error(ErrorKind::kInvalidArgument,
                 "the budget must be at least 3000 bytes a second");
  }
  return std::unique_ptr<MemberList>(
      std::make_unique<internal::MemberListImpl>(std::move(options), seed));
}

}  // namespace vanillalatch
