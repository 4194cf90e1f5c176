#include "vanillalatch/control/sync_plan.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "vanillalatch/base/hash.h"

namespace vanillalatch {
namespace {

std::vector<std::string> Limited(std::vector<std::string> addresses) {
  if (addresses.size() > SyncPlan::kMaxAddresses) {
    addresses.resize(SyncPlan::kMaxAddresses);
  }
  return addresses;
}

bool Contains(const std::vector<std::string>& addresses,
              const std::string& address) {
  return std::find(addresses.begin(), addresses.end(), address) !=
         addresses.end();
}

}  // namespace

SyncPlan::SyncPlan(SyncPlanOptions options, TimePoint now)
    : vm_(std::move(options.vm)),
      seeds_(std::move(options.seeds)),
      next_poll_(now),
      last_quorum_contact_(now) {}

std::vector<SyncStart> SyncPlan::TakeCalls(TimePoint now) {
  for (auto& [id, it] : calls_) {
    it.is_overdue = now >= it.overdue_at;
  }
  std::vector<SyncStart> starts;
  while (now >= NextPollAt()) {
    std::optional<std::string> address = std::exchange(next_address_, {});
    if (!address) {
      address = SelectAddress(now);
    }
    starts.push_back(StartCall(now, *address, false));
  }
  if (now >= next_extra_) {
    const std::optional<std::string> address = SelectAddress(now);
    if (address && calls_.size() < kMaxOpenCalls) {
      starts.push_back(StartCall(now, *address, true));
      if (next_address_ == address) {
        next_address_.reset();
      }
    }
    extras_ = std::min(extras_ + 1, kMaxExtraDoublings);
    next_extra_ = now + kFirstExtraDelay * (1 << extras_);
  }
  return starts;
}

SyncStart SyncPlan::StartCall(TimePoint now, const std::string& address,
                              bool is_extra) {
  const SyncCallId id(++last_id_);
  calls_[id] = {address, now + (starting_ ? kStartOverdueAfter : kOverdueAfter),
                is_extra};
  return {id, address,
          starting_ ? kStartTimeout * (1 << std::min(failures_, kMaxDoublings))
                    : kTimeout};
}

void SyncPlan::OnOutcome(TimePoint now, SyncCallId id,
                         const SyncOutcome& outcome) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) {
    return;
  }
  const Call call = it->second;
  calls_.erase(it);
  if (outcome.answered && outcome.from_quorum) {
    OnSuccess(now, call, outcome);
  } else {
    OnFailure(now, call, outcome);
  }
}

void SyncPlan::OnSuccess(TimePoint now, const Call& call,
                         const SyncOutcome& outcome) {
  group_ = Limited(outcome.control_addresses);
  hints_.clear();
  last_quorum_contact_ = now;
  failures_ = 0;
  ControlRecord& record = records_[call.address];
  const bool is_behind = outcome.revision < revision_;
  // One such answer may cross with the change, as the other poll was quicker.
  // After the next one, which was held, the control VM lags behind its group.
  if (is_behind && record.was_behind) {
    record.confirmed = false;
    record.avoided_until = now + kFirstAvoidance;
  } else {
    record = {true, is_behind, 0, TimePoint::min()};
    connected_ = true;
    followed_ = call.address;
  }
  next_poll_ = now;
  // The other poll covers this VM while this one returns to the control VM that
  // ranks first.
  next_address_ = call.is_extra || !record.confirmed || HasConfirmedPoll()
                      ? std::nullopt
                      : std::optional(call.address);
  const std::vector<std::string> known = Candidates();
  std::erase_if(records_,
                [&](const auto& it) { return !Contains(known, it.first); });
}

void SyncPlan::OnFailure(TimePoint now, const Call& call,
                         const SyncOutcome& outcome) {
  if (outcome.answered && !outcome.control_addresses.empty()) {
    hints_ = Limited(outcome.control_addresses);
  }
  ControlRecord& record = records_[call.address];
  record.confirmed = false;
  record.avoided_until =
      now + kFirstAvoidance *
                (1 << std::min(record.failures, kMaxAvoidanceDoublings));
  ++record.failures;
  if (!call.is_extra) {
    next_poll_ = now + kRetryDelay * (1 << std::min(failures_, kMaxDoublings));
  }
  ++failures_;
  const bool is_start =
      !connected_ && static_cast<std::size_t>(failures_) < Candidates().size();
  if (!is_start && !HasConfirmedPoll()) {
    connected_ = false;
  }
}

// Until the group is found, one poll: a whole fleet may start at once.
std::size_t SyncPlan::WantedPolls() const {
  return connected_ && !starting_ ? 2 : 1;
}

std::size_t SyncPlan::ActivePolls() const {
  return static_cast<std::size_t>(
      std::count_if(calls_.begin(), calls_.end(), [&](const auto& it) {
        return !it.second.is_extra && !it.second.is_overdue;
      }));
}

bool SyncPlan::HasConfirmedPoll() const {
  return next_address_ ||
         std::any_of(calls_.begin(), calls_.end(), [&](const auto& it) {
           const auto record = records_.find(it.second.address);
           return !it.second.is_overdue && record != records_.end() &&
                  record->second.confirmed;
         });
}

bool SyncPlan::IsOpen(const std::string& address) const {
  return std::any_of(calls_.begin(), calls_.end(), [&](const auto& it) {
    return it.second.address == address;
  });
}

std::vector<std::string> SyncPlan::Candidates() const {
  std::vector<std::string> all;
  for (const auto* list : {&group_, &hints_, &members_, &seeds_}) {
    for (const std::string& it : *list) {
      if (!Contains(all, it)) {
        all.push_back(it);
      }
    }
  }
  return all;
}

std::uint64_t SyncPlan::RankOf(const std::string& address) const {
  return StableHash(StableHash(vm_), StableHash(address));
}

// Control VMs that failed of late come last, the one whose failure is longest
// ago first among them; otherwise those of the group, then by rank.
std::optional<std::string> SyncPlan::SelectAddress(TimePoint now) const {
  using Order = std::tuple<TimePoint, bool, std::uint64_t>;
  std::optional<std::pair<Order, std::string>> best;
  for (const std::string& it : Candidates()) {
    if (IsOpen(it)) {
      continue;
    }
    const TimePoint avoided_until = AvoidedUntil(it);
    const Order order{avoided_until <= now ? TimePoint::min() : avoided_until,
                      !Contains(group_, it), ~RankOf(it)};
    if (!best || order < best->first) {
      best = {order, it};
    }
  }
  return best ? std::optional(best->second) : std::nullopt;
}

// When the next poll is to start; kNever while none is wanted, or none can be
// started. A poll beside one that works waits until a control VM need not be
// avoided.
TimePoint SyncPlan::NextPollAt() const {
  if (ActivePolls() >= WantedPolls() || calls_.size() >= kMaxOpenCalls) {
    return kNever;
  }
  if (next_address_) {
    return TimePoint::min();
  }
  TimePoint at = kNever;
  for (const std::string& it : Candidates()) {
    if (!IsOpen(it)) {
      at = std::min(at, HasConfirmedPoll() ? AvoidedUntil(it) : next_poll_);
    }
  }
  return std::max(at, next_poll_);
}

TimePoint SyncPlan::AvoidedUntil(const std::string& address) const {
  const auto record = records_.find(address);
  return record == records_.end() ? TimePoint::min()
                                  : record->second.avoided_until;
}

TimePoint SyncPlan::NextWake() const {
  TimePoint wake = std::min(next_extra_, NextPollAt());
  for (const auto& [id, it] : calls_) {
    if (!it.is_extra && !it.is_overdue) {
      wake = std::min(wake, it.overdue_at);
    }
  }
  return wake;
}

void SyncPlan::SetMembers(std::vector<std::string> addresses) {
  members_ = Limited(std::move(addresses));
}

void SyncPlan::SetRevisions(TimePoint now, std::uint64_t in_force,
                            std::uint64_t newer) {
  revision_ = in_force;
  if (newer <= in_force) {
    newer_ = 0;
    next_extra_ = kNever;
    return;
  }
  if (newer > newer_) {
    next_extra_ = std::min(next_extra_, now + kFirstExtraDelay);
    extras_ = newer_ == 0 ? 0 : extras_;
  }
  newer_ = newer;
}

std::string SyncPlan::followed() const {
  return connected_.value_or(false) ? followed_ : std::string();
}

std::vector<std::string> SyncPlan::OpenAddresses() const {
  std::vector<std::string> addresses;
  for (const auto& [id, it] : calls_) {
    addresses.push_back(it.address);
  }
  return addresses;
}

}  // namespace vanillalatch
