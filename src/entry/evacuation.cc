// Evacuated data centres and cold endpoints.
#include <algorithm>

#include "src/entry/entry_node_impl.h"

namespace vanillalatch::internal {
namespace {

// A new dispatcher gives cold endpoints nothing for this long: the earlier one
// may have used up what they bear in a second.
constexpr Duration kNewDispatcherHold = std::chrono::seconds(1);

}  // namespace

void EntryNodeImpl::UpdateEvacuations() {
  const EvacuationState& known = members_->evacuations();
  if (known.revision == evacuations_.revision &&
      known.data_centers == evacuations_.data_centers) {
    return;
  }
  const EvacuationState before = std::exchange(evacuations_, known);
  if (before.data_centers == evacuations_.data_centers) {
    return;
  }
  Duration longest = kMinEndpointRefreshTime;
  for (auto& [id, service] : services_) {
    service.scheduler->SetEvacuated(now_, EvacuatedNames());
    SetEndpoints(service);
    longest = std::max<Duration>(
        longest, std::chrono::milliseconds(service.config.warm_up_ms()));
  }
  if (!before.data_centers.empty()) {
    refresh_until_ = now_ + longest;
  }
  ParkWorkOfEvacuated();
  for (auto& [id, service] : services_) {
    service.scheduler->OnTick(now_, verdicts_);
  }
  ApplyVerdicts();
}

void EntryNodeImpl::ParkWorkOfEvacuated() {
  records_.ForEach([&](RequestRecord& record) {
    ServiceState* service = FindService(record.service);
    if (service == nullptr || !IsResponsible(record)) {
      return;
    }
    const bool about_to_be_sent =
        record.state == RequestState::kPlaced && IsEvacuated(record.endpoint);
    // Waiting requests with a pin select it again.
    const bool may_be_pinned =
        record.state == RequestState::kQueued &&
        (service->has_sessions() || record.block_number > 0);
    if (about_to_be_sent || may_be_pinned) {
      ReleaseFromScheduler(*service, record, WorkOutcome::kCancelled);
      Park(record, Duration::zero());
    }
  });
}

// Endpoints of this VM's own data centre carry no name of one.
std::vector<std::string> EntryNodeImpl::EvacuatedNames() const {
  std::vector<std::string> names = evacuations_.data_centers;
  if (std::find(names.begin(), names.end(), options_.membership.data_center) !=
      names.end()) {
    names.emplace_back();
  }
  return names;
}

bool EntryNodeImpl::IsEvacuated(EndpointId endpoint) const {
  if (evacuations_.data_centers.empty()) {
    return false;
  }
  const Endpoint* it = registry_->Find(endpoint);
  const std::vector<std::string> names = EvacuatedNames();
  return it != nullptr &&
         std::find(names.begin(), names.end(), it->data_center) != names.end();
}

void EntryNodeImpl::SetEndpoints(ServiceState& service) {
  const std::span<const Endpoint> all = registry_->EndpointsOf(service.id());
  service.scheduler->SetEndpoints(now_, all);
  std::vector<Endpoint> open;
  std::copy_if(all.begin(), all.end(), std::back_inserter(open),
               [&](const Endpoint& it) { return !IsEvacuated(it.id); });
  service.placer->SetEndpoints(now_, open);
}

// As with flows, the share is the part of the known entry VMs that this VM
// sees, because both sides of a partition have a dispatcher.
void EntryNodeImpl::UpdateColdUse(ServiceState& service) {
  double known = 0;
  double seen = 0;
  for (const Member& it : members_->members()) {
    known += it.dispatches ? 1 : 0;
    seen += it.dispatches && it.state != MemberState::kDead ? 1 : 0;
  }
  ColdUse use = service.cold_use.value_or(ColdUse{});
  if (!service.cold_use ||
      service.uses_cold_as_dispatcher != service.dispatches) {
    service.uses_cold_as_dispatcher = service.dispatches;
    use.from = now_ + kNewDispatcherHold;
  }
  use.only_without_warm = !service.dispatches;
  use.share = known > 0 ? seen / known : 1;
  if (service.cold_use != use) {
    service.cold_use = use;
    service.scheduler->SetColdUse(now_, use);
  }
}

}  // namespace vanillalatch::internal
