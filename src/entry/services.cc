// The catalog in force: services come, change and go.
#include <algorithm>
#include <set>

#include "src/entry/entry_node_impl.h"

namespace vanillalatch::internal {

ServiceState* EntryNodeImpl::FindService(ServiceId id) {
  const auto it = services_.find(id);
  return it == services_.end() ? nullptr : &it->second;
}

ServiceState* EntryNodeImpl::FindService(std::string_view name) {
  const auto it = service_names_.find(name);
  return it == service_names_.end() ? nullptr : FindService(it->second);
}

void EntryNodeImpl::OnCatalog(TimePoint now, const pb::Catalog& catalog,
                              Outbox& out) {
  Begin(now, out);
  if (catalog.revision() <= catalog_revision_) {
    return;
  }
  catalog_revision_ = catalog.revision();
  std::set<ServiceId> current;
  service_names_.clear();
  for (const pb::Service& it : catalog.services()) {
    current.insert(ServiceId{it.id()});
    service_names_[it.name()] = ServiceId{it.id()};
    UpdateService(it);
  }
  DropServicesExcept(current);
  const auto& draining = catalog.draining_vms();
  const bool drain = std::find(draining.begin(), draining.end(),
                               options_.membership.name) != draining.end();
  if (drain != drained_by_catalog_) {
    drained_by_catalog_ = drain;
    if (!stopping_) {
      drain ? Leave() : Rejoin();
    }
  }
  AfterEvent();
}

void EntryNodeImpl::UpdateService(const pb::Service& config) {
  const ServiceId id{config.id()};
  auto it = services_.find(id);
  if (it == services_.end()) {
    it =
        services_.emplace(id, ServiceState(PinTable::Create({}).value())).first;
    it->second.scheduler =
        SlotScheduler::Create({}, seed_ ^ config.id()).value();
    it->second.placer = SessionPlacer::Create(seed_ ^ config.id()).value();
    // Starts unequal to every version, so that the endpoints are read.
    it->second.endpoints_version = registry_->VersionOf(id) - 1;
  }
  ServiceState& service = it->second;
  service.config = config;
  std::vector<ClassTarget> classes;
  for (const pb::ClassTarget& each : config.classes()) {
    classes.push_back({ClassId{each.id()}, each.name(),
                       std::chrono::milliseconds(each.latency_ms()),
                       each.success_permille(), each.share_percent()});
  }
  service.scheduler->SetClasses(classes);
  ReviewService(service);
}

// Requests of a deleted service are refused at once; one that a backend server
// may be running is answered by what is known of it.
void EntryNodeImpl::DropServicesExcept(const std::set<ServiceId>& current) {
  records_.ForEach([&](RequestRecord& record) {
    if (!HasDuty(record) || current.contains(record.service)) {
      return;
    }
    const bool sent = record.state == RequestState::kSent;
    CloseExchange(record, true);
    GiveUp(record, sent ? ErrorKind::kOutcomeUnknown : ErrorKind::kNotFound,
           Duration::zero());
  });
  std::erase_if(services_,
                [&](const auto& it) { return !current.contains(it.first); });
}

}  // namespace vanillalatch::internal
