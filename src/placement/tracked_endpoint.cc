#include "src/placement/tracked_endpoint.h"

#include <algorithm>
#include <array>

#include "charts/charts.h"
#include "vanillalatch/chart/chart.h"

namespace vanillalatch::internal {
namespace {

constexpr std::array<const char*, 4> kStateNames = {"warming", "ready",
                                                    "ejected", "probing"};
// Weight of one outcome in the failure score: six failures in a row make a
// healthy endpoint unhealthy.
constexpr double kScoreWeight = 1.0 / 8;
// An endpoint counts as warm if its mean answer time is at most the median
// times this factor.
constexpr double kMaxWarmFactor = 1.5;
// An endpoint that was silent for this long may have started again. Its new
// registration can arrive half a second after its first answer. A silence that
// only the network caused mostly ends with the first probe, after 0.5 s.
constexpr Duration kMinRestartSilence = std::chrono::milliseconds(700);
// Earlier ejections no longer count when the endpoint has been in use for this
// long since it recovered.
constexpr Duration kEjectionCountLifetime = std::chrono::seconds(30);

const Chart<HealthState, HealthEvent>& HealthChart() {
  static const auto kChart =
      Chart<HealthState, HealthEvent>::Create(
          charts::kHealth, {kStateNames.begin(), kStateNames.end()},
          {"warm", "eject", "retry", "recover", "doubt"})
          .value();
  return kChart;
}

}  // namespace

TrackedEndpoint::TrackedEndpoint(TimePoint now, const Endpoint& endpoint,
                                 Duration ramp)
    : endpoint_(endpoint),
      cold_(now, endpoint, ramp),
      health_(HealthChart().initial()),
      busy_time_updated_at_(now),
      last_progress_at_(now),
      slot_limit_(endpoint.slots),
      recovered_at_(now) {
  Advance(now);
}

void TrackedEndpoint::Update(TimePoint now, const Endpoint& endpoint) {
  cold_.Update(now, endpoint);
  if (endpoint.slots != endpoint_.slots) {
    slot_limit_ = endpoint.slots;
  }
  endpoint_ = endpoint;
  present_ = true;
}

void TrackedEndpoint::SetSilent(TimePoint now, bool silent) {
  if (silent && !is_silent_) {
    silent_since_ = now;
  } else if (!silent && is_silent_ &&
             now - silent_since_ >= kMinRestartSilence) {
    cold_.OnPossibleRestart(now);
  }
  is_silent_ = silent;
}

void TrackedEndpoint::Start(TimePoint now) {
  busy_time_ = BusyTime(now);
  busy_time_updated_at_ = now;
  if (busy_ == 0) {
    last_progress_at_ = now;
  }
  ++busy_;
  ++requests_;
  last_started_ = now;
}

void TrackedEndpoint::Finish(TimePoint now, WorkOutcome outcome,
                             Duration slot_time) {
  busy_time_ = BusyTime(now);
  busy_time_updated_at_ = now;
  --busy_;
  switch (outcome) {
    case WorkOutcome::kAnswered:
      last_progress_at_ = now;
      answer_time_.Add(now, slot_time);
      RecordResult(now, false);
      break;
    case WorkOutcome::kFailed:
      last_progress_at_ = now;
      RecordResult(now, true);
      break;
    case WorkOutcome::kTimedOut:
      RecordResult(now, true);
      break;
    case WorkOutcome::kRefused:
      last_progress_at_ = now;
      RecordShed(now);
      break;
    case WorkOutcome::kCancelled:
      break;
  }
}

void TrackedEndpoint::RecordResult(TimePoint now, bool failed) {
  score_updated_at_ = now;
  failure_score_ += ((failed ? 1.0 : 0.0) - failure_score_) * kScoreWeight;
  if (health_ != HealthState::kProbing) {
    return;
  }
  probes_answered_ = failed ? 0 : probes_answered_ + 1;
  if (probes_answered_ >= kAnswersToRecover) {
    failure_score_ = 0;
    recovered_at_ = now;
    Apply(HealthEvent::kRecover);
  }
}

// An endpoint that sheds a request while others run can run no more than those,
// so its slot limit is lowered. An endpoint that sheds its only request fails.
void TrackedEndpoint::RecordShed(TimePoint now) {
  if (busy_ == 0) {
    RecordResult(now, true);
    return;
  }
  slot_limit_ = std::min(slot_limit_, busy_);
  slot_limit_changed_at_ = now;
}

void TrackedEndpoint::Advance(TimePoint now) {
  if (health_ == HealthState::kWarming && cold_.IsRampOver(now)) {
    Apply(HealthEvent::kWarm);
  }
  if (health_ == HealthState::kEjected && now >= retry_at_) {
    probes_answered_ = 0;
    Apply(HealthEvent::kRetry);
  }
  if (TakesNewWork() && IsUnhealthy() &&
      now - score_updated_at_ >= kUnhealthyTimeout) {
    failure_score_ = kDegradedScore;
  }
  if (slot_limit_ < endpoint_.slots &&
      now - slot_limit_changed_at_ >= kSlotLimitInterval) {
    ++slot_limit_;
    slot_limit_changed_at_ = now;
  }
}

TimePoint TrackedEndpoint::NextWake(TimePoint now) const {
  TimePoint wake = kNever;
  if (health_ == HealthState::kWarming) {
    wake = std::min(wake, cold_.NextRampStep(now, endpoint_.slots));
  }
  wake = std::min(wake, cold_.NextStart(now));
  if (health_ == HealthState::kEjected) {
    wake = std::min(wake, retry_at_);
  }
  if (health_ == HealthState::kProbing && busy_ == 0) {
    wake = std::min(wake, last_started_ + kProbeInterval);
  }
  if (slot_limit_ < endpoint_.slots) {
    wake = std::min(wake, slot_limit_changed_at_ + kSlotLimitInterval);
  }
  return wake;
}

void TrackedEndpoint::EndRampIfFast(Duration median_answer_time) {
  if (health_ == HealthState::kWarming &&
      answer_time_.samples() >= kMinWarmAnswers && failure_score_ == 0 &&
      answer_time_.mean() <=
          std::chrono::duration<double, Duration::period>(median_answer_time) *
              kMaxWarmFactor) {
    Apply(HealthEvent::kWarm);
  }
}

void TrackedEndpoint::Eject(TimePoint now, Duration back_off) {
  ejections_ = RecentEjections(now) + 1;
  retry_at_ = now + back_off;
  Apply(HealthEvent::kEject);
}

void TrackedEndpoint::SkipBackOff(TimePoint now) {
  if (health_ == HealthState::kEjected) {
    probes_answered_ = 0;
    Apply(HealthEvent::kDoubt);
  }
}

bool TrackedEndpoint::IsProbeDue(TimePoint now) const {
  return IsInService() && health_ == HealthState::kProbing && busy_ == 0 &&
         now - last_started_ >= kProbeInterval;
}

std::uint32_t TrackedEndpoint::UsableSlots(TimePoint now) const {
  if (!TakesNewWork()) {
    return 0;
  }
  std::uint32_t usable = endpoint_.slots;
  if (health_ == HealthState::kWarming) {
    usable = cold_.RampSlots(now, endpoint_.slots);
  }
  return std::min(usable, slot_limit_);
}

Duration TrackedEndpoint::BusyTime(TimePoint now) const {
  return busy_time_ + (now - busy_time_updated_at_) * busy_;
}

std::uint32_t TrackedEndpoint::RecentEjections(TimePoint now) const {
  const bool is_expired =
      TakesNewWork() && now - recovered_at_ >= kEjectionCountLifetime;
  return is_expired ? 0 : ejections_;
}

std::string_view TrackedEndpoint::StateName() const {
  if (evacuated_ && present_) {
    return "evacuated";
  }
  if (!IsInService()) {
    return "leaving";
  }
  return kStateNames[static_cast<std::size_t>(health_)];
}

void TrackedEndpoint::Apply(HealthEvent event) {
  if (const auto next = HealthChart().Next(health_, event)) {
    health_ = *next;
  }
}

}  // namespace vanillalatch::internal
