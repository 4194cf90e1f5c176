#include "src/placement/endpoint_pool.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace vanillalatch::internal {
namespace {

// Answers needed before an endpoint's speed is compared with the others.
constexpr std::uint64_t kMinComparedAnswers = 4;

constexpr std::uint32_t kHundredPercent = 100;

// Ranks why an endpoint should be avoided; a higher value is worse.
enum Impairment : int { kNone = 0, kSlow = 1, kUnhealthy = 2, kSilent = 3 };

}  // namespace

void EndpointPool::Set(TimePoint now, std::span<const Endpoint> endpoints) {
  for (auto& [id, it] : endpoints_) {
    it.SetMissing();
  }
  for (Endpoint it : endpoints) {
    it.slots =
        (it.slots * overlap_percent_ + kHundredPercent - 1) / kHundredPercent;
    const auto [tracked, added] = Add(now, it);
    if (!added) {
      tracked->Update(now, it);
    }
    tracked->SetEvacuated(evacuated_.contains(it.data_center));
  }
  std::erase_if(endpoints_, [](const auto& it) {
    return !it.second.present() && it.second.busy() == 0;
  });
}

std::pair<TrackedEndpoint*, bool> EndpointPool::Add(TimePoint now,
                                                    const Endpoint& endpoint) {
  const auto known = endpoints_.find(endpoint.id);
  if (known != endpoints_.end()) {
    return {&known->second, false};
  }
  TrackedEndpoint& tracked =
      endpoints_.emplace(endpoint.id, TrackedEndpoint(now, endpoint, ramp_))
          .first->second;
  ColdStart& cold = tracked.cold();
  cold.SetWarmUp(now, warm_up_);
  cold.SetUse(now, cold_use_);
  const auto ended = evacuation_ended_.find(endpoint.data_center);
  if (ended != evacuation_ended_.end()) {
    cold.OnEvacuationEnded(now, ended->second);
  }
  return {&tracked, true};
}

void EndpointPool::SetEvacuated(TimePoint now,
                                std::span<const std::string> data_centers) {
  const auto before =
      std::exchange(evacuated_, {data_centers.begin(), data_centers.end()});
  for (const std::string& it : before) {
    if (!evacuated_.contains(it)) {
      evacuation_ended_[it] = now;
    }
  }
  for (auto& [id, it] : endpoints_) {
    const std::string& data_center = it.endpoint().data_center;
    it.SetEvacuated(evacuated_.contains(data_center));
    if (before.contains(data_center) && !evacuated_.contains(data_center)) {
      it.cold().OnEvacuationEnded(now, now);
    }
  }
}

void EndpointPool::SetWarmUp(TimePoint now, const WarmUp& warm_up) {
  warm_up_ = warm_up;
  for (auto& [id, it] : endpoints_) {
    it.cold().SetWarmUp(now, warm_up);
  }
}

void EndpointPool::SetColdUse(TimePoint now, const ColdUse& use) {
  cold_use_ = use;
  for (auto& [id, it] : endpoints_) {
    it.cold().SetUse(now, use);
  }
}

void EndpointPool::Advance(TimePoint now) {
  for (auto& [id, it] : endpoints_) {
    it.Advance(now);
  }
  if (now - median_updated_at_ >= kMedianUpdateInterval) {
    median_updated_at_ = now;
    UpdateMedianAnswerTime(now);
  }
}

void EndpointPool::UpdateMedianAnswerTime(TimePoint now) {
  mean_answer_times_.clear();
  for (const auto& [id, it] : endpoints_) {
    if (it.TakesNewWork() &&
        it.answer_time().samples() >= kMinComparedAnswers &&
        it.answer_time().HasRecentSample(now)) {
      mean_answer_times_.push_back(it.answer_time().mean());
    }
  }
  if (mean_answer_times_.empty()) {
    return;
  }
  // The lower median: of two endpoints, the faster one sets it, so that the
  // slower one can be recognized as slow.
  const auto middle =
      mean_answer_times_.begin() +
      static_cast<std::ptrdiff_t>((mean_answer_times_.size() - 1) / 2);
  std::nth_element(mean_answer_times_.begin(), middle,
                   mean_answer_times_.end());
  median_answer_time_ = *middle;
  for (auto& [id, it] : endpoints_) {
    it.EndRampIfFast(median_answer_time_);
  }
}

TimePoint EndpointPool::NextWake(TimePoint now) const {
  TimePoint wake = kNever;
  for (const auto& [id, it] : endpoints_) {
    const TimePoint next = it.NextWake(now);
    if (it.IsInService() && next > now) {
      wake = std::min(wake, next);
    }
  }
  return wake;
}

TrackedEndpoint* EndpointPool::Select(TimePoint now, const Work& work,
                                      TimePoint latest_finish, bool may_probe) {
  if (work.try_first) {
    TrackedEndpoint* it = Find(*work.try_first);
    if (it != nullptr && it->HasFreeSlot(now) && MayUseCold(now, *it)) {
      return it;
    }
  }
  if (may_probe) {
    if (TrackedEndpoint* it = SelectForProbe(now, work)) {
      return it;
    }
  }
  TrackedEndpoint* best = nullptr;
  std::optional<Rank> best_rank;
  for (auto& [id, it] : endpoints_) {
    if (!it.HasFreeSlot(now) || !MayUseCold(now, it) ||
        (work.avoid == id && AnyOtherTakesNewWork(id))) {
      continue;
    }
    const Rank rank = RankOf(now, work, it);
    if (std::get<0>(rank) == kSilent && AnyResponsive()) {
      continue;
    }
    if (std::get<0>(rank) == kSlow &&
        now + it.answer_time().upper_estimate() > latest_finish) {
      continue;
    }
    if (!best_rank || rank < *best_rank) {
      best = &it;
      best_rank = rank;
    }
  }
  return best;
}

bool EndpointPool::AnyResponsive() const {
  return std::any_of(endpoints_.begin(), endpoints_.end(), [](const auto& it) {
    return it.second.TakesNewWork() && !it.second.is_silent();
  });
}

bool EndpointPool::AnyWarm(TimePoint now) const {
  return std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto& it) {
    return it.second.TakesNewWork() && !it.second.is_silent() &&
           !it.second.cold().IsCold(now);
  });
}

bool EndpointPool::MayUseCold(TimePoint now,
                              const TrackedEndpoint& tracked) const {
  return !tracked.cold().IsBounded(now) ||
         (tracked.cold().MayStart(now) &&
          !(cold_use_.only_without_warm && AnyWarm(now)));
}

double EndpointPool::BoundedRate(TimePoint now) const {
  double rate = 0;
  const bool any_responsive = AnyResponsive();
  for (const auto& [id, it] : endpoints_) {
    if (!it.TakesNewWork() || (it.is_silent() && any_responsive)) {
      continue;
    }
    if (!it.cold().IsBounded(now)) {
      return 0;
    }
    rate += it.cold().Rate();
  }
  return rate;
}

TrackedEndpoint* EndpointPool::SelectForProbe(TimePoint now, const Work& work) {
  for (auto& [id, it] : endpoints_) {
    if (it.IsProbeDue(now) && work.avoid != id && MayUseCold(now, it)) {
      return &it;
    }
  }
  return nullptr;
}

bool EndpointPool::AnyOtherTakesNewWork(EndpointId id) const {
  return std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto& it) {
    return it.first != id && it.second.TakesNewWork();
  });
}

EndpointPool::Rank EndpointPool::RankOf(TimePoint now, const Work& work,
                                        const TrackedEndpoint& tracked) const {
  const int impairment = tracked.is_silent()     ? kSilent
                         : tracked.IsUnhealthy() ? kUnhealthy
                         : IsSlow(now, tracked)  ? kSlow
                                                 : kNone;
  const double share =
      static_cast<double>(tracked.busy()) / tracked.UsableSlots(now);
  const Endpoint& endpoint = tracked.endpoint();
  const bool uses_reported_load =
      !tracked.answer_time().HasRecentSample(now) &&
      now - endpoint.load_reported <= kMaxLoadReportAge;
  const bool is_full =
      tracked.busy() >= endpoint.slots * kHundredPercent / overlap_percent_;
  const bool is_remote =
      !work.data_center.empty() && work.data_center != endpoint.data_center;
  return {impairment,
          is_full,
          tracked.cold().IsCold(now),
          tracked.cold().IsBounded(now) ? -tracked.cold().Tokens(now) : 0.0,
          is_remote,
          share,
          uses_reported_load ? endpoint.load_percent : 0.0,
          tracked.last_started()};
}

bool EndpointPool::IsSlow(TimePoint now, const TrackedEndpoint& tracked) const {
  if (median_answer_time_ == Duration::zero()) {
    return false;
  }
  if (tracked.IsStalled(
          now, std::max(median_answer_time_ * kStallFactor, kMinStallTime))) {
    return true;
  }
  const AnswerTime& time = tracked.answer_time();
  return time.samples() >= kMinComparedAnswers && time.HasRecentSample(now) &&
         static_cast<double>(time.mean().count()) >
             static_cast<double>(median_answer_time_.count()) * kSlowFactor;
}

TrackedEndpoint* EndpointPool::Find(EndpointId id) {
  const auto it = endpoints_.find(id);
  return it == endpoints_.end() ? nullptr : &it->second;
}

TrackedEndpoint& EndpointPool::FindOrAdd(TimePoint now, EndpointId id) {
  if (TrackedEndpoint* it = Find(id)) {
    return *it;
  }
  Endpoint endpoint;
  endpoint.id = id;
  TrackedEndpoint& tracked = *Add(now, endpoint).first;
  tracked.SetMissing();
  return tracked;
}

void EndpointPool::Finish(TimePoint now, EndpointId id, WorkOutcome outcome,
                          Duration slot_time) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) {
    return;
  }
  TrackedEndpoint& tracked = it->second;
  const bool probing = tracked.health() == HealthState::kProbing;
  tracked.Finish(now, outcome, slot_time);
  if (!tracked.present()) {
    if (tracked.busy() == 0) {
      endpoints_.erase(it);
    }
    return;
  }
  const bool failed = outcome == WorkOutcome::kFailed ||
                      outcome == WorkOutcome::kTimedOut ||
                      outcome == WorkOutcome::kRefused;
  if (probing && failed) {
    tracked.Eject(now, ComputeBackOff(tracked.RecentEjections(now)));
  } else if (failed && tracked.TakesNewWork() && tracked.IsUnhealthy()) {
    EjectOrSkipBackOffs(now, tracked);
  }
}

void EndpointPool::EjectOrSkipBackOffs(TimePoint now,
                                       TrackedEndpoint& tracked) {
  if (CanEject()) {
    tracked.Eject(now, ComputeBackOff(tracked.RecentEjections(now)));
    return;
  }
  if (now - back_offs_skipped_at_ < kBackOffSkipInterval) {
    return;
  }
  back_offs_skipped_at_ = now;
  for (auto& [id, it] : endpoints_) {
    it.SkipBackOff(now);
  }
}

// Ejection is allowed while at most half of the endpoints are out of use or
// degraded. If more are, the cause is more likely the requests or the network
// of this VM than the endpoints.
bool EndpointPool::CanEject() const {
  std::size_t total = 0;
  std::size_t unhealthy = 0;
  for (const auto& [id, it] : endpoints_) {
    total += it.IsInService() ? 1 : 0;
    unhealthy +=
        it.IsInService() && (it.IsEjectedOrProbing() || it.IsDegraded()) ? 1
                                                                         : 0;
  }
  return unhealthy * 2 <= total;
}

Duration EndpointPool::ComputeBackOff(std::uint32_t ejections) {
  constexpr std::uint32_t kMaxDoublings = 5;
  const Duration base = std::min(
      kMinBackOff * (1 << std::min(ejections, kMaxDoublings)), kMaxBackOff);
  std::uniform_int_distribution<Duration::rep> jitter(0, base.count() / 4);
  return base + Duration(jitter(random_));
}

bool EndpointPool::AnyInService() const {
  return std::any_of(endpoints_.begin(), endpoints_.end(),
                     [](const auto& it) { return it.second.IsInService(); });
}

bool EndpointPool::AnyProbeDue(TimePoint now) const {
  return std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto& it) {
    return it.second.IsProbeDue(now) && MayUseCold(now, it.second);
  });
}

std::uint32_t EndpointPool::UsableSlotsOf(
    TimePoint now, const TrackedEndpoint& tracked) const {
  const std::uint32_t slots = tracked.UsableSlots(now);
  if (!tracked.cold().IsBounded(now)) {
    return slots;
  }
  const double busy =
      tracked.cold().Rate() *
      std::chrono::duration<double>(median_answer_time_).count();
  const auto kept_busy =
      static_cast<std::uint32_t>(std::min<double>(busy, slots));
  return std::max(kept_busy, FreeSlotsOf(now, tracked));
}

std::uint32_t EndpointPool::FreeSlotsOf(TimePoint now,
                                        const TrackedEndpoint& tracked) const {
  if (!tracked.HasFreeSlot(now) || !MayUseCold(now, tracked)) {
    return 0;
  }
  const std::uint32_t free = tracked.UsableSlots(now) - tracked.busy();
  return tracked.cold().IsBounded(now)
             ? std::min(free, std::max(1U, static_cast<std::uint32_t>(
                                               tracked.cold().Tokens(now))))
             : free;
}

std::uint32_t EndpointPool::UsableSlots(TimePoint now) const {
  std::uint32_t slots = 0;
  const bool any_responsive = AnyResponsive();
  for (const auto& [id, it] : endpoints_) {
    slots += it.is_silent() && any_responsive ? 0 : UsableSlotsOf(now, it);
  }
  return slots;
}

std::uint32_t EndpointPool::FreeSlots(TimePoint now) const {
  std::uint32_t slots = 0;
  const bool any_responsive = AnyResponsive();
  for (const auto& [id, it] : endpoints_) {
    slots += it.is_silent() && any_responsive ? 0 : FreeSlotsOf(now, it);
  }
  return slots;
}

}  // namespace vanillalatch::internal
