#include "src/placement/endpoint_pool.h"

#include <algorithm>
#include <optional>

namespace vanillalatch::internal {
namespace {

// Answers that an endpoint needs before its speed is compared.
constexpr std::uint64_t kComparedAnswers = 4;

constexpr std::uint32_t kWholePercent = 100;

enum Trouble : int { kNone = 0, kSlow = 1, kSick = 2, kSilent = 3 };

}  // namespace

void EndpointPool::Set(TimePoint now, std::span<const Endpoint> endpoints) {
  for (auto& [id, it] : tracks_) {
    it.SetMissing();
  }
  for (Endpoint it : endpoints) {
    it.slots =
        (it.slots * overlap_percent_ + kWholePercent - 1) / kWholePercent;
    const auto [track, added] =
        tracks_.try_emplace(it.id, EndpointTrack(now, it, ramp_));
    if (!added) {
      track->second.Update(it);
    }
  }
  std::erase_if(tracks_, [](const auto& it) {
    return !it.second.present() && it.second.busy() == 0;
  });
}

void EndpointPool::Advance(TimePoint now) {
  for (auto& [id, it] : tracks_) {
    it.Advance(now);
  }
  if (now - reviewed_ >= kReviewInterval) {
    reviewed_ = now;
    ReviewUsual(now);
  }
}

void EndpointPool::ReviewUsual(TimePoint now) {
  means_.clear();
  for (const auto& [id, it] : tracks_) {
    if (it.TakesNew() && it.answer_time().samples() >= kComparedAnswers &&
        it.answer_time().KnownAt(now)) {
      means_.push_back(it.answer_time().mean());
    }
  }
  if (means_.empty()) {
    return;
  }
  // The lower median: with two endpoints, the faster one is the usual.
  const auto middle =
      means_.begin() + static_cast<std::ptrdiff_t>((means_.size() - 1) / 2);
  std::nth_element(means_.begin(), middle, means_.end());
  usual_ = *middle;
  for (auto& [id, it] : tracks_) {
    it.ProveWarm(usual_);
  }
}

TimePoint EndpointPool::NextWake(TimePoint now) const {
  TimePoint wake = kNever;
  for (const auto& [id, it] : tracks_) {
    const TimePoint next = it.NextWake(now);
    if (it.InService() && next > now) {
      wake = std::min(wake, next);
    }
  }
  return wake;
}

EndpointTrack* EndpointPool::Choose(TimePoint now, const Work& work,
                                    TimePoint latest_finish, bool probes) {
  if (work.try_first) {
    EndpointTrack* it = Find(*work.try_first);
    if (it != nullptr && it->HasFreeSlot(now)) {
      return it;
    }
  }
  if (probes) {
    if (EndpointTrack* it = ChooseProbe(now, work)) {
      return it;
    }
  }
  EndpointTrack* best = nullptr;
  std::optional<Rank> best_rank;
  for (auto& [id, it] : tracks_) {
    if (!it.HasFreeSlot(now) || (work.avoid == id && OthersTakeNew(id))) {
      continue;
    }
    const Rank rank = RankOf(now, work, it);
    if (std::get<0>(rank) == kSilent && AnyAnswers()) {
      continue;
    }
    if (std::get<0>(rank) == kSlow &&
        now + it.answer_time().high() > latest_finish) {
      continue;
    }
    if (!best_rank || rank < *best_rank) {
      best = &it;
      best_rank = rank;
    }
  }
  return best;
}

bool EndpointPool::AnyAnswers() const {
  return std::any_of(tracks_.begin(), tracks_.end(), [](const auto& it) {
    return it.second.TakesNew() && !it.second.silent();
  });
}

EndpointTrack* EndpointPool::ChooseProbe(TimePoint now, const Work& work) {
  for (auto& [id, it] : tracks_) {
    if (it.CanProbe(now) && work.avoid != id) {
      return &it;
    }
  }
  return nullptr;
}

bool EndpointPool::OthersTakeNew(EndpointId id) const {
  return std::any_of(tracks_.begin(), tracks_.end(), [&](const auto& it) {
    return it.first != id && it.second.TakesNew();
  });
}

EndpointPool::Rank EndpointPool::RankOf(TimePoint now, const Work& work,
                                        const EndpointTrack& track) const {
  const int trouble = track.silent()       ? kSilent
                      : track.LooksSick()  ? kSick
                      : IsSlow(now, track) ? kSlow
                                           : kNone;
  const double share =
      static_cast<double>(track.busy()) / track.UsableSlots(now);
  const Endpoint& endpoint = track.endpoint();
  const bool hint = !track.answer_time().KnownAt(now) &&
                    now - endpoint.load_reported <= kLoadMaxAge;
  const bool crowded =
      track.busy() >= endpoint.slots * kWholePercent / overlap_percent_;
  const bool elsewhere =
      !work.data_center.empty() && work.data_center != endpoint.data_center;
  return {trouble,
          crowded,
          now < endpoint.warm_at,
          elsewhere,
          share,
          hint ? endpoint.load_percent : 0.0,
          track.last_started()};
}

bool EndpointPool::IsSlow(TimePoint now, const EndpointTrack& track) const {
  if (usual_ == Duration::zero()) {
    return false;
  }
  if (track.Stalled(now, std::max(usual_ * kStalledFactor, kMinStall))) {
    return true;
  }
  const AnswerTime& time = track.answer_time();
  return time.samples() >= kComparedAnswers && time.KnownAt(now) &&
         static_cast<double>(time.mean().count()) >
             static_cast<double>(usual_.count()) * kSlowFactor;
}

EndpointTrack* EndpointPool::Find(EndpointId id) {
  const auto it = tracks_.find(id);
  return it == tracks_.end() ? nullptr : &it->second;
}

EndpointTrack& EndpointPool::FindOrAdd(TimePoint now, EndpointId id) {
  if (EndpointTrack* it = Find(id)) {
    return *it;
  }
  Endpoint endpoint;
  endpoint.id = id;
  EndpointTrack& track =
      tracks_.try_emplace(id, EndpointTrack(now, endpoint, ramp_))
          .first->second;
  track.SetMissing();
  return track;
}

void EndpointPool::Finish(TimePoint now, EndpointId id, WorkOutcome outcome,
                          Duration held) {
  const auto it = tracks_.find(id);
  if (it == tracks_.end()) {
    return;
  }
  EndpointTrack& track = it->second;
  const bool probing = track.health() == HealthState::kProbing;
  track.Finish(now, outcome, held);
  if (!track.present()) {
    if (track.busy() == 0) {
      tracks_.erase(it);
    }
    return;
  }
  const bool failed = outcome == WorkOutcome::kFailed ||
                      outcome == WorkOutcome::kTimedOut ||
                      outcome == WorkOutcome::kRefused;
  if (probing && failed) {
    track.Eject(now, BackOff(track.ejections(now)));
  } else if (failed && track.TakesNew() && track.LooksSick()) {
    EjectOrDoubt(now, track);
  }
}

void EndpointPool::EjectOrDoubt(TimePoint now, EndpointTrack& track) {
  if (MayEject()) {
    track.Eject(now, BackOff(track.ejections(now)));
    return;
  }
  if (now - doubted_ < kDoubtInterval) {
    return;
  }
  doubted_ = now;
  for (auto& [id, it] : tracks_) {
    it.Doubt(now);
  }
}

// At most half of the endpoints may look sick; with more, the fault is more
// likely in the requests or in the network of this VM.
bool EndpointPool::MayEject() const {
  std::size_t total = 0;
  std::size_t sick = 0;
  for (const auto& [id, it] : tracks_) {
    total += it.InService() ? 1 : 0;
    sick += it.InService() && (it.OutOfUse() || it.LooksFailing()) ? 1 : 0;
  }
  return sick * 2 <= total;
}

Duration EndpointPool::BackOff(std::uint32_t ejections) {
  constexpr std::uint32_t kMaxDoublings = 5;
  const Duration base =
      std::min(kFirstBackOff * (1 << std::min(ejections, kMaxDoublings)),
               kLongestBackOff);
  std::uniform_int_distribution<Duration::rep> jitter(0, base.count() / 4);
  return base + Duration(jitter(random_));
}

bool EndpointPool::AnyInService() const {
  return std::any_of(tracks_.begin(), tracks_.end(),
                     [](const auto& it) { return it.second.InService(); });
}

bool EndpointPool::AnyProbe(TimePoint now) const {
  return std::any_of(tracks_.begin(), tracks_.end(),
                     [&](const auto& it) { return it.second.CanProbe(now); });
}

std::uint32_t EndpointPool::UsableSlots(TimePoint now) const {
  std::uint32_t slots = 0;
  const bool any_answers = AnyAnswers();
  for (const auto& [id, it] : tracks_) {
    slots += it.silent() && any_answers ? 0 : it.UsableSlots(now);
  }
  return slots;
}

std::uint32_t EndpointPool::FreeSlots(TimePoint now) const {
  std::uint32_t slots = 0;
  const bool any_answers = AnyAnswers();
  for (const auto& [id, it] : tracks_) {
    const std::uint32_t usable =
        it.silent() && any_answers ? 0 : it.UsableSlots(now);
    slots += usable - std::min(usable, it.busy());
  }
  return slots;
}

}  // namespace vanillalatch::internal
