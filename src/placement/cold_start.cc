#include "src/placement/cold_start.h"

#include <algorithm>
#include <cmath>

namespace vanillalatch::internal {
namespace {

// A token counts as complete from here on: sums of fractions round.
constexpr double kOneToken = 1 - 1e-6;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

ColdStart::ColdStart(TimePoint now, const Endpoint& endpoint, Duration ramp)
    : ramp_(ramp),
      registered_(endpoint.registered),
      reported_warm_at_(endpoint.warm_at),
      renewed_(endpoint.renewed),
      filled_at_(now) {}

template <typename Change>
void ColdStart::ChangeWarmth(TimePoint now, Change change) {
  const bool was_cold = IsCold(now);
  change();
  if (!was_cold && IsCold(now)) {
    EmptyBucket(std::max(now, use_.from));
  }
}

void ColdStart::Update(TimePoint now, const Endpoint& endpoint) {
  ChangeWarmth(now, [&] {
    registered_ = endpoint.registered;
    reported_warm_at_ = endpoint.warm_at;
    renewed_ = endpoint.renewed;
  });
}

void ColdStart::SetWarmUp(TimePoint now, const WarmUp& warm_up) {
  ChangeWarmth(now, [&] {
    tokens_ = Tokens(now);
    filled_at_ = std::max(now, filled_at_);
    warm_up_ = warm_up;
  });
}

void ColdStart::SetUse(TimePoint now, const ColdUse& use) {
  const bool same_role =
      use.only_without_warm == use_.only_without_warm && use.from == use_.from;
  tokens_ = Tokens(now);
  filled_at_ = std::max(now, filled_at_);
  use_ = use;
  if (!same_role) {
    EmptyBucket(std::max(now, use.from));
  }
}

void ColdStart::OnEvacuationEnded(TimePoint now, TimePoint ended) {
  ChangeWarmth(now, [&] { evacuation_ended_ = ended; });
}

TimePoint ColdStart::WarmAt() const {
  TimePoint warm_at = reported_warm_at_;
  if (warm_up_.per_second > 0) {
    warm_at = std::max(warm_at, registered_ + warm_up_.duration);
  }
  if (evacuation_ended_ != TimePoint::min() && renewed_ <= evacuation_ended_) {
    const Duration duration = warm_up_.duration > Duration::zero()
                                  ? warm_up_.duration
                                  : kDefaultWarmUp;
    warm_at = std::max(warm_at, evacuation_ended_ + duration);
  }
  return warm_at;
}

double ColdStart::Tokens(TimePoint now) const {
  const double added =
      Seconds(std::max(now - filled_at_, Duration::zero())) * Rate();
  return std::min(tokens_ + added, MaxTokens());
}

bool ColdStart::MayStart(TimePoint now) const {
  return !IsBounded(now) || (now >= use_.from && Tokens(now) >= kOneToken);
}

void ColdStart::TakeToken(TimePoint now) {
  if (IsBounded(now)) {
    tokens_ = std::max(0.0, Tokens(now) - 1);
    filled_at_ = std::max(now, filled_at_);
  }
}

std::uint32_t ColdStart::RampSlots(TimePoint now, std::uint32_t slots) const {
  if (now >= registered_ + ramp_) {
    return slots;
  }
  const auto age = std::max(now - registered_, Duration::zero());
  return 1 + static_cast<std::uint32_t>((slots - 1) * (age.count() * 1.0) /
                                        ramp_.count());
}

TimePoint ColdStart::NextRampStep(TimePoint now, std::uint32_t slots) const {
  if (slots <= 1) {
    return registered_ + ramp_;
  }
  const Duration step = ramp_ / (slots - 1);
  const auto steps = (now - registered_) / step;
  return registered_ + step * (steps + 1);
}

TimePoint ColdStart::NextStart(TimePoint now) const {
  if (MayStart(now)) {
    return kNever;
  }
  const double missing = std::max(0.0, 1 - tokens_) / Rate();
  // Rounded up, so that the token is complete then.
  const TimePoint filled = filled_at_ + FromSeconds(missing) + Duration(1);
  return std::min(std::max(filled, use_.from), WarmAt());
}

}  // namespace vanillalatch::internal
