#include "src/registry/lease.h"

#include <algorithm>
#include <string>

#include "charts/charts.h"
#include "vanillalatch/base/hash.h"
#include "vanillalatch/chart/chart.h"

namespace vanillalatch::internal {
namespace {

using std::chrono::milliseconds;

using LeaseChart = Chart<LeaseState, LeaseEvent>;

constexpr int kAgeSteps = 250;
// A renewal is accepted if it is newer by more than the lifetime divided by
// this.
constexpr int kMinRenewalGainDivisor = 16;
// Peers compare each bucket several times within this time.
constexpr Duration kMinConfirmWindow = milliseconds(1500);

const LeaseChart& StateChart() {
  static const LeaseChart kChart =
      LeaseChart::Create(charts::kEndpoint,
                         {"ready", "leaving", "lapsed", "gone"},
                         {"renew", "leave", "expire", "replace"})
          .value();
  return kChart;
}

std::uint32_t Milliseconds(Duration d) {
  return static_cast<std::uint32_t>(
      std::max<std::int64_t>(0, ToMilliseconds(d)));
}

}  // namespace

bool IsValidEndpoint(const Endpoint& endpoint) {
  return !endpoint.name.empty() && endpoint.address.IsUnicast() &&
         endpoint.slots > 0 && endpoint.slots <= kMaxEndpointSlots &&
         endpoint.data_center.size() <= kMaxDataCenterBytes;
}

EndpointId MakeEndpointId(ServiceId service, std::string_view name,
                          std::uint64_t epoch) {
  return EndpointId{
      StableHash(StableHash(StableHash(name), service.value()), epoch)};
}

std::size_t BucketOf(EndpointId id) { return id.value() % kBucketCount; }

std::optional<LeaseState> NextLeaseState(LeaseState state, LeaseEvent event) {
  return StateChart().Next(state, event);
}

bool IsRecentlyConfirmed(const Lease& lease, TimePoint now) {
  return now - lease.confirmed_at <=
         std::max(lease.lifetime / 3, kMinConfirmWindow);
}

bool IsRenewalUrgent(const Lease& lease, TimePoint now) {
  return lease.expires() - now < lease.lifetime / 3 &&
         !IsRecentlyConfirmed(lease, now);
}

bool AdvanceRenewalTime(Lease& lease, TimePoint renewed_at) {
  if (renewed_at - lease.renewed_at <=
      lease.lifetime / kMinRenewalGainDivisor) {
    return false;
  }
  lease.renewed_at = renewed_at;
  return true;
}

std::uint32_t DigestOf(const Lease& lease) {
  const std::uint64_t state =
      lease.endpoint.version * 2 + (lease.state == LeaseState::kLeaving);
  return static_cast<std::uint32_t>(
      StableHash(lease.endpoint.id.value(), state));
}

std::uint8_t EncodeRenewalAge(const Lease& lease, TimePoint now) {
  const Duration age = std::max(now - lease.renewed_at, Duration::zero());
  const std::int64_t steps = age / (lease.lifetime / kAgeSteps) + 1;
  return static_cast<std::uint8_t>(std::min<std::int64_t>(steps, kAgeUnknown));
}

TimePoint DecodeRenewalTime(const Lease& lease, std::uint8_t age,
                            TimePoint now) {
  return now - age * (lease.lifetime / kAgeSteps);
}

void ToUpdate(const Lease& lease, TimePoint now, pb::LeaseUpdate& update) {
  const Endpoint& it = lease.endpoint;
  update.set_service_id(it.service.value());
  update.set_name(it.name);
  update.set_address(it.address.Packed());
  update.set_slots(it.slots);
  update.set_state(lease.state == LeaseState::kGone      ? pb::ENDPOINT_GONE
                   : lease.state == LeaseState::kLeaving ? pb::ENDPOINT_LEAVING
                                                         : pb::ENDPOINT_READY);
  update.set_epoch(it.epoch);
  update.set_version(it.version);
  update.set_claim(lease.claim);
  update.set_ttl_ms(Milliseconds(lease.expires() - now));
  update.set_lifetime_ms(Milliseconds(lease.lifetime));
  update.set_load_percent(it.load_percent);
  update.set_age_ms(Milliseconds(now - it.registered));
  update.set_data_center(it.data_center);
  update.set_warm_in_ms(Milliseconds(it.warm_at - now));
}

std::optional<Lease> FromUpdate(const pb::LeaseUpdate& update, TimePoint now) {
  Lease lease;
  Endpoint& it = lease.endpoint;
  it.service = ServiceId{update.service_id()};
  it.id = MakeEndpointId(it.service, update.name(), update.epoch());
  it.name = update.name();
  it.address = SocketAddress::FromPacked(update.address());
  it.slots = update.slots();
  it.data_center = update.data_center();
  if (!IsValidEndpoint(it) || update.lifetime_ms() == 0 ||
      update.ttl_ms() > update.lifetime_ms()) {
    return std::nullopt;
  }
  it.epoch = update.epoch();
  it.version = update.version();
  it.registered = now - milliseconds(update.age_ms());
  it.load_percent = update.load_percent();
  it.warm_at = now + milliseconds(update.warm_in_ms());
  lease.claim = update.claim();
  lease.lifetime = milliseconds(update.lifetime_ms());
  lease.renewed_at = now + milliseconds(update.ttl_ms()) - lease.lifetime;
  lease.renewed_locally_at = TimePoint::min();
  lease.changed_at = now;
  it.load_reported = lease.renewed_at;
  switch (update.state()) {
    case pb::ENDPOINT_LEAVING:
      lease.state = LeaseState::kLeaving;
      break;
    case pb::ENDPOINT_GONE:
      lease.state = LeaseState::kGone;
      break;
    default:
      lease.state = LeaseState::kReady;
  }
  return lease;
}

}  // namespace vanillalatch::internal
