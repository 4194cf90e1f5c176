#include "src/placement/admission_gate.h"

#include <algorithm>
#include <cmath>

namespace vanillalatch::internal {
namespace {

// Requests may always wait for 1 / kMinWaitLimitDivisor of their class's
// latency target, even where the answer time leaves less of it.
constexpr int kMinWaitLimitDivisor = 4;

// Standard deviations above the mean in the upper estimate of a wait.
constexpr double kWaitDeviations = 3;
// Factor on the mean in the upper estimate of a wait: allows for errors in the
// predicted slot use of classes that come earlier in by_priority().
constexpr double kSlotUseMargin = 1.1;
// Other work leaves no slots to late requests if it leaves less than this part
// of them: the average of the slots in use is less accurate than the rest.
constexpr double kMinSparePart = 0.05;
// Weight of one outcome in the moving average of late requests.
constexpr double kLateOutcomeWeight = 1.0 / 16;
// Below this average, a late request is more likely to expire than to start.
constexpr double kMinLateSuccess = 0.5;

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

// Estimates the wait until a number of slots have become free. Each interval
// between free slots is taken to have a standard deviation equal to its mean,
// as in an exponential distribution.
class WaitEstimate {
 public:
  // Adds `count` intervals of mean length `slot_interval`.
  void Add(Duration slot_interval, double count) {
    const auto interval = static_cast<double>(slot_interval.count());
    mean_ += count * interval;
    variance_ += count * interval * interval;
  }

  // Sets mean_wait and max_wait.
  void Fill(Forecast& forecast) const {
    const double max_wait =
        kSlotUseMargin * mean_ + kWaitDeviations * std::sqrt(variance_);
    forecast.mean_wait = Duration(static_cast<Duration::rep>(mean_));
    forecast.max_wait = Duration(static_cast<Duration::rep>(max_wait));
  }

 private:
  double mean_ = 0;
  double variance_ = 0;
};

}  // namespace

Forecast AdmissionGate::Predict(TimePoint now, const Work& work) {
  const ClassState& state = classes_.GetOrCreate(work.work_class);
  Forecast forecast;
  forecast.answer_time = AnswerTimeOf(now, state);
  const Duration upper_estimate = state.answer_time.HasRecentSample(now)
                                      ? state.answer_time.upper_estimate()
                                      : forecast.answer_time;
  forecast.wait_limit = std::max(state.target.latency - upper_estimate,
                                 state.target.latency / kMinWaitLimitDivisor) -
                        (now - work.issued.value_or(now));
  if (work.pinned) {
    PredictPinned(now, work, forecast);
  } else {
    PredictUnpinned(now, work, forecast);
  }
  return forecast;
}

void AdmissionGate::PredictPinned(TimePoint now, const Work& work,
                                  Forecast& forecast) {
  const TrackedEndpoint* tracked = pool_.Find(*work.pinned);
  if (tracked == nullptr) {
    return;
  }
  if (tracked->answer_time().HasRecentSample(now)) {
    forecast.answer_time = tracked->answer_time().mean();
  }
  forecast.slot_interval = forecast.answer_time / tracked->endpoint().slots;
  if (!tracked->HasFreePinnedSlot()) {
    WaitEstimate estimate;
    estimate.Add(forecast.slot_interval,
                 static_cast<double>(queue_.CountPinnedTo(*work.pinned) + 1));
    estimate.Fill(forecast);
  }
}

void AdmissionGate::PredictUnpinned(TimePoint now, const Work& work,
                                    Forecast& forecast) {
  if (const double rate = pool_.BoundedRate(now); rate > 0) {
    PredictCold(now, work, rate, forecast);
    return;
  }
  const ClassState& state = classes_.GetOrCreate(work.work_class);
  const double slots = std::max(1U, pool_.UsableSlots(now));
  const double available_slots = classes_.AvailableSlots(now, state, slots);
  forecast.slot_interval = Scale(forecast.answer_time, 1 / available_slots);
  if (queue_.size() == 0 && pool_.FreeSlots(now) > 0) {
    return;
  }
  // While the class is below its share, it gets every slot that becomes free,
  // so its first requests wait for the slots of all classes, and the others
  // only for the slots available to the class.
  const auto own_requests =
      static_cast<double>(queue_.SizeOf(work.work_class) + 1);
  const double slots_below_share =
      std::max(0.0, std::ceil(-ClassTable::UseAboveShare(now, state, slots)));
  const double requests_below_share = std::min(own_requests, slots_below_share);
  WaitEstimate estimate;
  estimate.Add(Scale(forecast.answer_time, 1 / slots), requests_below_share);
  estimate.Add(forecast.slot_interval, own_requests - requests_below_share);
  for (const ClassState* it : classes_.by_priority()) {
    if (it == &state) {
      break;
    }
    estimate.Add(Scale(AnswerTimeOf(now, *it), 1 / slots),
                 static_cast<double>(queue_.SizeOf(it->target.id)));
  }
  estimate.Fill(forecast);
}

// Work starts at the rate that the cold endpoints bear together, class after
// class.
void AdmissionGate::PredictCold(TimePoint now, const Work& work, double rate,
                                Forecast& forecast) {
  forecast.slot_interval = Scale(std::chrono::seconds(1), 1 / rate);
  if (queue_.size() == 0 && pool_.FreeSlots(now) > 0) {
    return;
  }
  std::size_t ahead = 1;
  for (const ClassState* it : classes_.by_priority()) {
    ahead += queue_.SizeOf(it->target.id);
    if (it->target.id == work.work_class) {
      break;
    }
  }
  WaitEstimate estimate;
  estimate.Add(forecast.slot_interval, static_cast<double>(ahead));
  estimate.Fill(forecast);
  const Duration hold = std::max(pool_.cold_use_from(), now) - now;
  forecast.mean_wait += hold;
  forecast.max_wait += hold;
}

std::optional<ErrorKind> AdmissionGate::Check(TimePoint now, const Work& work,
                                              const Forecast& forecast) {
  if (now >= work.deadline) {
    return ErrorKind::kDeadlineUnmeetable;
  }
  if (work.pinned) {
    const TrackedEndpoint* tracked = pool_.Find(*work.pinned);
    if (tracked == nullptr || !tracked->present()) {
      return ErrorKind::kNoEndpoint;
    }
  } else if (!pool_.AnyInService()) {
    return ErrorKind::kNoEndpoint;
  }
  if (forecast.mean_wait + forecast.answer_time > work.deadline - now) {
    return ErrorKind::kDeadlineUnmeetable;
  }
  if (forecast.max_wait > forecast.wait_limit) {
    return ErrorKind::kOverloaded;
  }
  return std::nullopt;
}

TimePoint AdmissionGate::ExpiryOf(TimePoint issued, const Work& work) {
  const ClassState& state = classes_.GetOrCreate(work.work_class);
  const Duration answer_time = AnswerTimeOf(issued, state);
  const Duration latency = state.target.latency;
  return std::min({work.start_by, work.deadline - answer_time,
                   issued + std::max(latency - answer_time, latency / 2)});
}

void AdmissionGate::OnLateOutcome(bool started) {
  late_success_ += ((started ? 1.0 : 0.0) - late_success_) * kLateOutcomeWeight;
}

bool AdmissionGate::MayWaitLate(TimePoint now, const Work& work) {
  if (work.pinned || !pool_.AnyInService()) {
    return false;
  }
  // Slot time of the work ahead: all that is not late, and late work of the
  // same class and of classes that come earlier.
  Duration ahead{};
  bool is_ahead = true;
  for (const ClassState* it : classes_.by_priority()) {
    const std::size_t late =
        is_ahead ? late_queue_.SizeOf(it->target.id) : std::size_t{0};
    const std::size_t requests = queue_.SizeOf(it->target.id) + late;
    ahead += AnswerTimeOf(now, *it) * static_cast<Duration::rep>(requests);
    is_ahead = is_ahead && it->target.id != work.work_class;
  }
  const double slots = std::max(1U, pool_.UsableSlots(now));
  const double spare = late_success_ >= kMinLateSuccess
                           ? slots
                           : slots - timely_use_.AverageAt(now);
  return spare >= kMinSparePart * slots &&
         now + Scale(ahead, 1 / spare) < LateExpiryOf(now, work);
}

TimePoint AdmissionGate::LateExpiryOf(TimePoint now, const Work& work) {
  const ClassState& state = classes_.GetOrCreate(work.work_class);
  return std::min(work.start_by, work.deadline - AnswerTimeOf(now, state));
}

const WaitingRequest* AdmissionGate::SelectRequestToShed(TimePoint now,
                                                         const Work& work) {
  const double slots = pool_.UsableSlots(now);
  const ClassState* most_over_share = &classes_.GetOrCreate(work.work_class);
  for (const ClassState* it : classes_.by_priority()) {
    if (queue_.Newest(it->target.id) != nullptr &&
        ClassTable::UseAboveShare(now, *it, slots) >
            ClassTable::UseAboveShare(now, *most_over_share, slots)) {
      most_over_share = it;
    }
  }
  return most_over_share->target.id == work.work_class
             ? nullptr
             : queue_.Newest(most_over_share->target.id);
}

Duration AdmissionGate::AnswerTimeOf(TimePoint now,
                                     const ClassState& state) const {
  return state.answer_time.HasRecentSample(now) ? state.answer_time.mean()
                                                : pool_.median_answer_time();
}

}  // namespace vanillalatch::internal
