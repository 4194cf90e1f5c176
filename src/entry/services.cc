// Puts a catalog in force: adds, changes and removes services.
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
  BeginEvent(now, out);
  if (catalog.revision() <= catalog_revision_) {
    return;
  }
  const bool first = catalog_revision_ == 0;
  catalog_revision_ = catalog.revision();
  std::set<ServiceId> current;
  service_names_.clear();
  for (const pb::Service& it : catalog.services()) {
    current.insert(ServiceId{it.id()});
    service_names_[it.name()] = ServiceId{it.id()};
    UpdateService(it, !first);
  }
  DropServicesExcept(current);
  EvacuationState evacuations;
  evacuations.revision = catalog.revision();
  for (const pb::Evacuation& it : catalog.evacuations()) {
    evacuations.data_centers.push_back(it.data_center());
  }
  members_->SetEvacuations(now_, std::move(evacuations));
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

void EntryNodeImpl::UpdateService(const pb::Service& config,
                                  bool created_while_running) {
  const ServiceId id{config.id()};
  auto it = services_.find(id);
  if (it == services_.end()) {
    it =
        services_.emplace(id, ServiceState(PinTable::Create({}).value())).first;
    it->second.created_while_running = created_while_running;
    it->second.scheduler =
        SlotScheduler::Create({}, seed_ ^ config.id()).value();
    it->second.scheduler->SetEvacuated(now_, EvacuatedNames());
    it->second.placer = SessionPlacer::Create(seed_ ^ config.id()).value();
    // Differs from the registry's version, so that AfterEvent() sets the
    // endpoints.
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
  service.scheduler->SetWarmUp(now_,
                               {std::chrono::milliseconds(config.warm_up_ms()),
                                config.warm_up_per_second()});
  UpdateRoles(service);
  UpdateColdUse(service);
}

// Gives up the requests of deleted services immediately. A request that was
// sent to a backend server has an unknown outcome; the others did not run.
void EntryNodeImpl::DropServicesExcept(const std::set<ServiceId>& current) {
  records_.ForEach([&](RequestRecord& record) {
    if (!IsResponsible(record) || current.contains(record.service)) {
      return;
    }
    const bool sent = record.state == RequestState::kSent;
    CloseExchange(record, true);
    GiveUp(record, sent ? ErrorKind::kOutcomeUnknown : ErrorKind::kNotFound,
           Duration::zero());
  });
  std::erase_if(deleted_services_, [&](const auto& it) {
    return now_ >= it.second + options_.exchange_lifetime;
  });
  std::erase_if(services_, [&](const auto& it) {
    const bool deleted = !current.contains(it.first);
    if (deleted) {
      deleted_services_[it.second.config.name()] = now_;
    }
    return deleted;
  });
}

}  // namespace vanillalatch::internal
