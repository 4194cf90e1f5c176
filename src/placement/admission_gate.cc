#include "src/placement/admission_gate.h"

#include <algorithm>
#include <cmath>

namespace vanillalatch::internal {
namespace {

// A class may always wait for this part of its target.
constexpr int kLeastPatienceDivisor = 4;

// Deviations of the wait that a forecast allows for.
constexpr double kWaitDeviations = 3;
// Slots that tighter classes will use while it waits are known this well.
constexpr double kSlotsMargin = 1.1;

Duration Times(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

// A sum of answer times, each of which varies as much as it takes.
class WaitTime {
 public:
  void Add(Duration spacing, double n) {
    const auto each = static_cast<double>(spacing.count());
    mean_ += n * each;
    variance_ += n * each * each;
  }

  void Fill(Forecast& forecast) const {
    const double longest =
        kSlotsMargin * mean_ + kWaitDeviations * std::sqrt(variance_);
    forecast.wait = Duration(static_cast<Duration::rep>(mean_));
    forecast.longest = Duration(static_cast<Duration::rep>(longest));
  }

 private:
  double mean_ = 0;
  double variance_ = 0;
};

}  // namespace

Forecast AdmissionGate::Predict(TimePoint now, const Work& work) {
  const ClassState& state = classes_.Of(work.work_class);
  Forecast forecast;
  forecast.answer = AnswerTimeOf(now, state);
  const Duration high = state.answer_time.KnownAt(now)
                            ? state.answer_time.high()
                            : forecast.answer;
  forecast.patience = std::max(state.target.latency - high,
                               state.target.latency / kLeastPatienceDivisor);
  if (work.pinned) {
    PredictPinned(now, work, forecast);
  } else {
    PredictUnpinned(now, work, forecast);
  }
  return forecast;
}

void AdmissionGate::PredictPinned(TimePoint now, const Work& work,
                                  Forecast& forecast) {
  const EndpointTrack* track = pool_.Find(*work.pinned);
  if (track == nullptr) {
    return;
  }
  if (track->answer_time().KnownAt(now)) {
    forecast.answer = track->answer_time().mean();
  }
  forecast.spacing = forecast.answer / track->endpoint().slots;
  if (!track->HasFreePinnedSlot()) {
    WaitTime wait;
    wait.Add(forecast.spacing,
             static_cast<double>(queue_.PinnedTo(*work.pinned) + 1));
    wait.Fill(forecast);
  }
}

void AdmissionGate::PredictUnpinned(TimePoint now, const Work& work,
                                    Forecast& forecast) {
  const ClassState& state = classes_.Of(work.work_class);
  const double slots = std::max(1U, pool_.UsableSlots(now));
  const double own_slots = classes_.SlotsFor(now, state, slots);
  forecast.spacing = Times(forecast.answer, 1 / own_slots);
  if (queue_.size() == 0 && pool_.FreeSlots(now) > 0) {
    return;
  }
  // As long as the class is below its share, it takes every slot that becomes
  // free.
  const auto own = static_cast<double>(queue_.SizeOf(work.work_class) + 1);
  const double below =
      std::max(0.0, std::ceil(-ClassTable::Excess(now, state, slots)));
  const double first = std::min(own, below);
  WaitTime wait;
  wait.Add(Times(forecast.answer, 1 / slots), first);
  wait.Add(forecast.spacing, own - first);
  for (const ClassState* it : classes_.by_latency()) {
    if (it == &state) {
      break;
    }
    wait.Add(Times(AnswerTimeOf(now, *it), 1 / slots),
             static_cast<double>(queue_.SizeOf(it->target.id)));
  }
  wait.Fill(forecast);
}

std::optional<ErrorKind> AdmissionGate::Check(TimePoint now, const Work& work,
                                              const Forecast& forecast) {
  if (now >= work.deadline) {
    return ErrorKind::kDeadlineUnmeetable;
  }
  if (work.pinned) {
    const EndpointTrack* track = pool_.Find(*work.pinned);
    if (track == nullptr || !track->present()) {
      return ErrorKind::kNoEndpoint;
    }
  } else if (!pool_.AnyInService()) {
    return ErrorKind::kNoEndpoint;
  }
  if (forecast.wait + forecast.answer > work.deadline - now) {
    return ErrorKind::kDeadlineUnmeetable;
  }
  if (forecast.longest > forecast.patience) {
    return ErrorKind::kOverloaded;
  }
  return std::nullopt;
}

TimePoint AdmissionGate::ExpiryOf(TimePoint submitted, const Work& work) {
  const ClassState& state = classes_.Of(work.work_class);
  const Duration answer = AnswerTimeOf(submitted, state);
  const Duration latency = state.target.latency;
  return std::min(work.deadline - answer,
                  submitted + std::max(latency - answer, latency / 2));
}

const Waiting* AdmissionGate::Victim(TimePoint now, const Work& work) {
  const double slots = pool_.UsableSlots(now);
  const ClassState* worst = &classes_.Of(work.work_class);
  for (const ClassState* it : classes_.by_latency()) {
    if (queue_.Youngest(it->target.id) != nullptr &&
        ClassTable::Excess(now, *it, slots) >
            ClassTable::Excess(now, *worst, slots)) {
      worst = it;
    }
  }
  return worst->target.id == work.work_class
             ? nullptr
             : queue_.Youngest(worst->target.id);
}

Duration AdmissionGate::AnswerTimeOf(TimePoint now,
                                     const ClassState& state) const {
  return state.answer_time.KnownAt(now) ? state.answer_time.mean()
                                        : pool_.usual();
}

}  // namespace vanillalatch::internal
