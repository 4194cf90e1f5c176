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
// Number of members that are asked to probe a target.
constexpr std::size_t kIndirectProbes = 4;
// Number of members to which pending updates are pushed.
constexpr std::size_t kPushTargets = 2;
// Number of members to which this VM announces that it leaves.
constexpr std::size_t kLeaveTargets = 6;
// A member update sent fewer times than this is urgent: it is pushed without
// waiting for a probe.
constexpr std::size_t kUrgentSends = 3;
// Updates that are not urgent wait for a budget of this many bytes, to avoid
// many small datagrams.
constexpr std::size_t kMinPushBytes = 1100;
constexpr Duration kPushInterval = milliseconds(50);
constexpr Duration kSyncInterval = milliseconds(20);
// How often a VM contacts a seed or a failed member while it joins or has no
// peer.
constexpr Duration kJoinInterval = milliseconds(300);
// A VM whose join no seed completes in this time lists the members that it has.
constexpr Duration kJoinTimeout = milliseconds(1000);
// How often a joined VM contacts a seed or a failed member.
constexpr Duration kReconnectInterval = milliseconds(1000);
// No tick for this many probe intervals means that this VM did not run.
constexpr int kPauseProbeIntervals = 5;
// No message for this many probe intervals means that contact is lost.
constexpr int kLostContactProbeIntervals = 3;

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
           options_.dispatches,
           options_.location};
  joined_ = options_.seeds.empty();
  RebuildView();
}

void MemberListImpl::Start(TimePoint now) {
  started_ = true;
  last_received_ = now;
  next_probe_ = now + Duration(static_cast<std::int64_t>(
                          rng_() % static_cast<std::uint64_t>(
                                       options_.probe_interval.count())));
  next_reconnect_ = now;
  join_deadline_ = now + kJoinTimeout;
  updates_.Push(self_.id, true);
}

void MemberListImpl::OnTick(TimePoint now, LeaseExchange& leases, Outbox& out) {
  Event event{now, leases, out};
  if (!started_) {
    Start(now);
  } else {
    DetectPause(now);
  }
  last_tick_ = now;
  if (table_.records().empty()) {
    leases.OnContact(now, true);
  }
  EndFlapHold(event);
  ExpireSuspicions(event);
  AdvanceProbe(event);
  Reconnect(event);
  PushUpdates(event);
  if (now >= next_sync_) {
    next_sync_ = now + kSyncInterval;
    SendSyncs(event);
  }
  std::erase_if(relayed_probes_,
                [&](const auto& it) { return now >= it.second.expires; });
}

// After a pause of this VM, missing acks do not show that other VMs failed.
void MemberListImpl::DetectPause(TimePoint now) {
  const Duration pause = now - last_tick_;
  if (pause < kPauseProbeIntervals * options_.probe_interval) {
    return;
  }
  table_.ExtendSuspicions(pause);
  probe_.reset();
  relayed_probes_.clear();
  syncs_.clear();
}

TimePoint MemberListImpl::NextWake() const {
  if (!started_) {
    return TimePoint{};
  }
  TimePoint next = std::min({next_probe_, next_reconnect_, table_.NextWake()});
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

void MemberListImpl::ExpireSuspicions(Event& event) {
  for (const NodeId& it : table_.TakeSuspectsToPing(event.now)) {
    SendPing(event, table_.Find(it)->member, ++sequence_, 0);
  }
  const bool lost_contact = HasLostContact(event.now);
  for (const NodeId& it : table_.OnTick(event.now)) {
    if (!lost_contact) {
      updates_.Push(it, false);
    }
    RebuildView();
  }
}

void MemberListImpl::AdvanceProbe(Event& event) {
  if (probe_ && !probe_->acked && !probe_->retried &&
      event.now >= probe_->started + options_.probe_timeout) {
    RetryProbe(event);
  }
  if (event.now < next_probe_) {
    return;
  }
  next_probe_ = std::max(next_probe_ + options_.probe_interval, event.now);
  StartProbe(event);
}

void MemberListImpl::StartProbe(Event& event) {
  std::optional<NodeId> target;
  bool second_round = false;
  if (probe_ && !probe_->acked && HasSameIncarnation(*probe_)) {
    if (!probe_->second_round) {
      target = probe_->target;
      second_round = true;
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
  if (SendPing(event, record->member, sequence, NextDigestBuckets())) {
    probe_ = Probe{*target,  record->member.incarnation,
                   sequence, event.now,
                   false,    second_round,
                   false};
  }
}

// If the member has returned meanwhile, the probe says nothing about it.
bool MemberListImpl::HasSameIncarnation(const Probe& probe) {
  const MemberRecord* record = table_.Find(probe.target);
  return record != nullptr && record->member.incarnation == probe.incarnation;
}

// The ping contains the suspicion, so that the member can refute immediately.
void MemberListImpl::Suspect(Event& event, NodeId id) {
  if (!table_.Suspect(event.now, id)) {
    return;
  }
  if (!HasLostContact(event.now)) {
    updates_.Push(id, false);
  }
  RebuildView();
  SendPing(event, table_.Find(id)->member, ++sequence_, 0);
}

// The first round repeats the ping; the second round also asks other members to
// probe the target.
void MemberListImpl::RetryProbe(Event& event) {
  probe_->retried = true;
  const MemberRecord* record = table_.Find(probe_->target);
  if (record == nullptr) {
    return;
  }
  SendPing(event, record->member, probe_->sequence, 0);
  if (!probe_->second_round) {
    return;
  }
  for (const Member* it : RandomLiveMembers(kIndirectProbes, probe_->target)) {
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

// Members that left gracefully are not contacted.
void MemberListImpl::Reconnect(Event& event) {
  if (event.now < next_reconnect_) {
    return;
  }
  if (!joined_ && event.now >= join_deadline_ && table_.LiveCount() > 0) {
    joined_ = true;
    RebuildView();
  }
  const bool is_joining = !joined_ || table_.LiveCount() == 0;
  next_reconnect_ =
      event.now + (is_joining ? kJoinInterval : kReconnectInterval);
  std::vector<const Member*> failed;
  for (const auto& [id, record] : table_.records()) {
    if (record.member.state == MemberState::kDead && !record.left_gracefully) {
      failed.push_back(&record.member);
    }
  }
  if (!failed.empty()) {
    SendPing(event, *failed[rng_() % failed.size()], ++sequence_, 0);
  }
  ReconnectToSeed(event);
}

void MemberListImpl::ReconnectToSeed(Event& event) {
  if (options_.seeds.empty() || leaving_) {
    return;
  }
  const SocketAddress seed =
      options_.seeds[next_seed_++ % options_.seeds.size()];
  const bool is_member =
      joined_ && std::any_of(all_.begin(), all_.end(), [&](const Member& it) {
        return it.peer == seed && it.state != MemberState::kDead;
      });
  if (!is_member) {
    SendJoin(event, seed);
  }
}

void MemberListImpl::SendJoin(Event& event, SocketAddress to) {
  pb::MembershipMessage message =
      NewMessage(pb::MembershipMessage::JOIN, ++sequence_);
  ToUpdate(self_, true, *message.add_members());
  Send(event, to, std::move(message), 0);
}

void MemberListImpl::PushUpdates(Event& event) {
  if (event.now < next_push_) {
    return;
  }
  const bool urgent = updates_.HasSentFewerThan(kUrgentSends) ||
                      event.leases.HasFreshUpdates(true);
  if (!urgent && (AvailableBytes(event.now, 0) < kMinPushBytes ||
                  !event.leases.HasFreshUpdates(false))) {
    return;
  }
  next_push_ = event.now + kPushInterval;
  for (const Member* it : RandomLiveMembers(kPushTargets, self_.id)) {
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
    RebuildView();
  }
}

void MemberListImpl::Leave(TimePoint now, LeaseExchange& leases, Outbox& out) {
  Event event{now, leases, out};
  leaving_ = true;
  self_.state = MemberState::kLeaving;
  updates_.Push(self_.id, false);
  RebuildView();
  for (const Member* it : RandomLiveMembers(kLeaveTargets, self_.id)) {
    Send(event, it->peer, NewMessage(pb::MembershipMessage::STATE, ++sequence_),
         0);
  }
}

std::vector<const Member*> MemberListImpl::RandomLiveMembers(std::size_t count,
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

bool MemberListImpl::HasLostContact(TimePoint now) const {
  return now - last_received_ >
         kLostContactProbeIntervals * options_.probe_interval;
}

void MemberListImpl::RebuildView() {
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
