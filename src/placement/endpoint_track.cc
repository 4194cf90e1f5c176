#include "src/placement/endpoint_track.h"

#include <algorithm>
#include <array>

#include "charts/charts.h"
#include "vanillalatch/chart/chart.h"

namespace vanillalatch::internal {
namespace {

constexpr std::array<const char*, 4> kStateNames = {"warming", "ready",
                                                    "ejected", "probing"};
// Weight of one outcome in the failure score: six failures in a row make a
// healthy endpoint look sick.
constexpr double kScoreWeight = 1.0 / 8;
// An endpoint this close to the usual answer time is warm.
constexpr double kWarmFactor = 1.5;
// Health over this time forgives earlier ejections.
constexpr Duration kForgiveAfter = std::chrono::seconds(30);

const Chart<HealthState, HealthEvent>& HealthChart() {
  static const auto kChart =
      Chart<HealthState, HealthEvent>::Create(
          charts::kHealth, {kStateNames.begin(), kStateNames.end()},
          {"warm", "eject", "retry", "recover", "doubt"})
          .value();
  return kChart;
}

}  // namespace

EndpointTrack::EndpointTrack(TimePoint now, const Endpoint& endpoint,
                             Duration ramp)
    : endpoint_(endpoint),
      ramp_(ramp),
      health_(HealthChart().initial()),
      settled_(now),
      last_progress_(now),
      limit_(endpoint.slots),
      recovered_(now) {
  Advance(now);
}

void EndpointTrack::Update(const Endpoint& endpoint) {
  if (endpoint.slots != endpoint_.slots) {
    limit_ = endpoint.slots;
  }
  endpoint_ = endpoint;
  present_ = true;
}

void EndpointTrack::Start(TimePoint now) {
  busy_time_ = BusyTime(now);
  settled_ = now;
  if (busy_ == 0) {
    last_progress_ = now;
  }
  ++busy_;
  ++requests_;
  last_started_ = now;
}

void EndpointTrack::Finish(TimePoint now, WorkOutcome outcome, Duration held) {
  busy_time_ = BusyTime(now);
  settled_ = now;
  --busy_;
  switch (outcome) {
    case WorkOutcome::kAnswered:
      last_progress_ = now;
      answer_time_.Add(now, held);
      NoteFailure(now, false);
      break;
    case WorkOutcome::kFailed:
      last_progress_ = now;
      NoteFailure(now, true);
      break;
    case WorkOutcome::kTimedOut:
      NoteFailure(now, true);
      break;
    case WorkOutcome::kRefused:
      last_progress_ = now;
      NoteShed(now);
      break;
    case WorkOutcome::kCancelled:
      break;
  }
}

void EndpointTrack::NoteFailure(TimePoint now, bool failed) {
  scored_ = now;
  score_ += ((failed ? 1.0 : 0.0) - score_) * kScoreWeight;
  if (health_ != HealthState::kProbing) {
    return;
  }
  probes_answered_ = failed ? 0 : probes_answered_ + 1;
  if (probes_answered_ >= kProbeAnswers) {
    score_ = 0;
    recovered_ = now;
    Apply(HealthEvent::kRecover);
  }
}

// Shedding with other work running shows a lower limit of slots; shedding the
// only request is a failure.
void EndpointTrack::NoteShed(TimePoint now) {
  if (busy_ == 0) {
    NoteFailure(now, true);
    return;
  }
  limit_ = std::min(limit_, busy_);
  limit_changed_ = now;
}

void EndpointTrack::Advance(TimePoint now) {
  if (health_ == HealthState::kWarming && now - endpoint_.registered >= ramp_) {
    Apply(HealthEvent::kWarm);
  }
  if (health_ == HealthState::kEjected && now >= retry_at_) {
    probes_answered_ = 0;
    Apply(HealthEvent::kRetry);
  }
  if (TakesNew() && LooksSick() && now - scored_ >= kSickMemory) {
    score_ = kFailingScore;
  }
  if (limit_ < endpoint_.slots && now - limit_changed_ >= kLimitInterval) {
    ++limit_;
    limit_changed_ = now;
  }
}

TimePoint EndpointTrack::NextWake(TimePoint now) const {
  TimePoint wake = kNever;
  if (health_ == HealthState::kWarming && endpoint_.slots > 1) {
    const Duration step = ramp_ / (endpoint_.slots - 1);
    const auto steps = (now - endpoint_.registered) / step;
    wake = std::min(wake, endpoint_.registered + step * (steps + 1));
  } else if (health_ == HealthState::kWarming) {
    wake = std::min(wake, endpoint_.registered + ramp_);
  }
  if (health_ == HealthState::kEjected) {
    wake = std::min(wake, retry_at_);
  }
  if (health_ == HealthState::kProbing && busy_ == 0) {
    wake = std::min(wake, last_started_ + kProbeInterval);
  }
  if (limit_ < endpoint_.slots) {
    wake = std::min(wake, limit_changed_ + kLimitInterval);
  }
  return wake;
}

void EndpointTrack::ProveWarm(Duration usual) {
  if (health_ == HealthState::kWarming &&
      answer_time_.samples() >= kWarmAnswers && score_ == 0 &&
      answer_time_.mean() <=
          std::chrono::duration<double, Duration::period>(usual) *
              kWarmFactor) {
    Apply(HealthEvent::kWarm);
  }
}

void EndpointTrack::Eject(TimePoint now, Duration back_off) {
  ejections_ = ejections(now) + 1;
  retry_at_ = now + back_off;
  Apply(HealthEvent::kEject);
}

void EndpointTrack::Doubt(TimePoint now) {
  if (health_ == HealthState::kEjected) {
    probes_answered_ = 0;
    Apply(HealthEvent::kDoubt);
  }
}

bool EndpointTrack::CanProbe(TimePoint now) const {
  return InService() && health_ == HealthState::kProbing && busy_ == 0 &&
         now - last_started_ >= kProbeInterval;
}

std::uint32_t EndpointTrack::UsableSlots(TimePoint now) const {
  if (!TakesNew()) {
    return 0;
  }
  std::uint32_t ramped = endpoint_.slots;
  if (health_ == HealthState::kWarming && now < endpoint_.registered + ramp_) {
    const auto age = std::max(now - endpoint_.registered, Duration::zero());
    ramped =
        1 + static_cast<std::uint32_t>((endpoint_.slots - 1) *
                                       (age.count() * 1.0) / ramp_.count());
  }
  return std::min(ramped, limit_);
}

Duration EndpointTrack::BusyTime(TimePoint now) const {
  return busy_time_ + (now - settled_) * busy_;
}

std::uint32_t EndpointTrack::ejections(TimePoint now) const {
  const bool forgiven = TakesNew() && now - recovered_ >= kForgiveAfter;
  return forgiven ? 0 : ejections_;
}

std::string_view EndpointTrack::StateName() const {
  if (!InService()) {
    return "leaving";
  }
  return kStateNames[static_cast<std::size_t>(health_)];
}

void EndpointTrack::Apply(HealthEvent event) {
  if (const auto next = HealthChart().Next(health_, event)) {
    health_ = *next;
  }
}

}  // namespace vanillalatch::internal
