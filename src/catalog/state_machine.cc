#include "vanillalatch/catalog/state_machine.h"

#include <algorithm>
#include <set>
#include <utility>

#include "vanillalatch/base/error.h"

namespace vanillalatch {
namespace {

constexpr std::uint32_t kMaxPercent = 100;
constexpr std::uint32_t kMaxPermille = 1000;

std::string FindClassError(const pb::Service& service,
                           const pb::ClassTarget& target) {
  const std::string where =
      "service " + service.name() + ": class " + target.name() + ": ";
  if (target.name().empty()) {
    return "service " + service.name() + ": a class has no name";
  }
  if (target.latency_ms() == 0) {
    return where + "the latency must be above zero";
  }
  if (target.success_permille() > kMaxPermille) {
    return where + "the success share is above 100%";
  }
  if (target.share_percent() > kMaxPercent) {
    return where + "the capacity share is above 100%";
  }
  return "";
}

// Checks the classes of a service against each other. Returns a description of
// the first conflict, or an empty string.
std::string FindClassConflict(const pb::Service& service) {
  std::set<std::string> names;
  std::set<std::string> prefixes;
  std::uint32_t shares = 0;
  int defaults = 0;
  for (const pb::ClassTarget& it : service.classes()) {
    if (!names.insert(it.name()).second) {
      return "class " + it.name() + " stands twice";
    }
    for (const std::string& prefix : it.path_prefixes()) {
      if (!prefixes.insert(prefix).second) {
        return "path " + prefix + " belongs to two classes";
      }
    }
    shares += it.share_percent();
    defaults += it.path_prefixes().empty() ? 1 : 0;
  }
  if (shares > kMaxPercent) {
    return "the capacity shares add up to more than 100%";
  }
  return defaults > 1 ? "two classes without paths" : "";
}

std::string FindServiceError(const pb::Service& service) {
  if (service.name().empty()) {
    return "a service has no name";
  }
  for (const pb::ClassTarget& it : service.classes()) {
    if (std::string error = FindClassError(service, it); !error.empty()) {
      return error;
    }
  }
  if (service.warm_up_ms() > kMaxWarmUpMs) {
    return "service " + service.name() + ": the warm-up is above 10 minutes";
  }
  // Written so that a value that is no number is refused as well.
  if (!(service.warm_up_per_second() >= 0 &&
        service.warm_up_per_second() <= kMaxWarmUpPerSecond)) {
    return "service " + service.name() +
           ": the requests per second while warming up are not from 0 to "
           "1,000,000";
  }
  const std::string error = FindClassConflict(service);
  return error.empty() ? "" : "service " + service.name() + ": " + error;
}

const pb::Service* FindService(const pb::Catalog& catalog,
                               const std::string& name) {
  const auto it = std::find_if(
      catalog.services().begin(), catalog.services().end(),
      [&](const pb::Service& service) { return service.name() == name; });
  return it == catalog.services().end() ? nullptr : &*it;
}

std::uint32_t FindClassId(const pb::Service* service, const std::string& name) {
  if (service == nullptr) {
    return 0;
  }
  for (const pb::ClassTarget& it : service->classes()) {
    if (it.name() == name) {
      return it.id();
    }
  }
  return 0;
}

std::uint32_t KeepOrAssignId(std::uint32_t existing_id, std::uint32_t& next) {
  if (existing_id != 0) {
    return existing_id;
  }
  return next++;
}

// Returns the catalog after `change`. Services and classes that keep their
// names keep their ids; new ones get the next free ids.
pb::Catalog MakeNextCatalog(const pb::Catalog& current,
                            const pb::Change& change) {
  std::uint32_t next_service = std::max(current.next_service_id(), 1U);
  std::uint32_t next_class = std::max(current.next_class_id(), 1U);
  pb::Catalog catalog;
  catalog.set_revision(current.revision() + 1);
  if (current.has_flows()) {
    *catalog.mutable_flows() = current.flows();
  }
  *catalog.mutable_evacuations() = current.evacuations();
  *catalog.mutable_services() = change.services();
  *catalog.mutable_draining_vms() = change.draining_vms();
  for (pb::Service& service : *catalog.mutable_services()) {
    const pb::Service* old = FindService(current, service.name());
    service.set_id(
        KeepOrAssignId(old == nullptr ? 0 : old->id(), next_service));
    for (pb::ClassTarget& it : *service.mutable_classes()) {
      it.set_id(KeepOrAssignId(FindClassId(old, it.name()), next_class));
    }
  }
  catalog.set_next_service_id(next_service);
  catalog.set_next_class_id(next_class);
  return catalog;
}

std::string SummarizeChange(const pb::Catalog& before,
                            const pb::Catalog& after) {
  int added = 0;
  int changed = 0;
  int retained = 0;
  for (const pb::Service& it : after.services()) {
    const pb::Service* old = FindService(before, it.name());
    if (old == nullptr) {
      ++added;
      continue;
    }
    ++retained;
    changed += old->SerializeAsString() == it.SerializeAsString() ? 0 : 1;
  }
  const int removed = before.services_size() - retained;
  return "services added " + std::to_string(added) + ", changed " +
         std::to_string(changed) + ", removed " + std::to_string(removed) +
         "; VMs draining " + std::to_string(after.draining_vms_size());
}

void SetRefusal(ErrorKind kind, const std::string& message,
                pb::ChangeOutcome& outcome) {
  outcome.set_error_kind(std::string(AnswerFor(kind).name));
  outcome.set_message(message);
}

}  // namespace

bool IsDataCenterName(std::string_view name) {
  constexpr std::size_t kMaxLength = 64;
  return !name.empty() && name.size() <= kMaxLength &&
         std::all_of(name.begin(), name.end(), [](char it) {
           return (it >= 'A' && it <= 'Z') || (it >= 'a' && it <= 'z') ||
                  (it >= '0' && it <= '9') || it == '.' || it == '_' ||
                  it == '-';
         });
}

bool IsEvacuated(const pb::Catalog& catalog, std::string_view data_center) {
  return std::any_of(catalog.evacuations().begin(), catalog.evacuations().end(),
                     [&](const pb::Evacuation& it) {
                       return it.data_center() == data_center;
                     });
}

std::string FindCatalogError(const pb::Change& change) {
  std::set<std::string> names;
  for (const pb::Service& it : change.services()) {
    if (std::string error = FindServiceError(it); !error.empty()) {
      return error;
    }
    if (!names.insert(it.name()).second) {
      return "service " + it.name() + " stands twice";
    }
  }
  std::set<std::string> vms;
  for (const std::string& it : change.draining_vms()) {
    if (it.empty() || !vms.insert(it).second) {
      return "draining VM \"" + it + "\" is empty or stands twice";
    }
  }
  return "";
}

// The sender of a flow table assigns its version, and only the highest version
// counts. A change that is sent again or arrives late is accepted and changes
// nothing.
pb::ChangeOutcome CatalogState::ApplyFlows(const pb::Change& change) {
  pb::ChangeOutcome outcome;
  outcome.set_change_id(change.change_id());
  outcome.set_accepted(true);
  if (change.flows().version() > catalog_.flows().version()) {
    *catalog_.mutable_flows() = change.flows();
    catalog_.set_revision(catalog_.revision() + 1);
  }
  outcome.set_revision(catalog_.revision());
  return outcome;
}

// An order that is applied again changes nothing, so its outcome need not be
// stored.
pb::ChangeOutcome CatalogState::ApplyEvacuation(const pb::Change& change) {
  const pb::EvacuationOrder& order = change.evacuation();
  pb::ChangeOutcome outcome;
  outcome.set_change_id(change.change_id());
  outcome.set_author(change.author());
  outcome.set_unix_ms(change.unix_ms());
  outcome.set_accepted(true);
  auto& list = *catalog_.mutable_evacuations();
  if (IsEvacuated(catalog_, order.data_center()) == order.end()) {
    catalog_.set_revision(catalog_.revision() + 1);
    outcome.set_summary(
        (order.end() ? "end of evacuation of " : "evacuation of ") +
        order.data_center());
    if (order.end()) {
      list.erase(std::find_if(list.begin(), list.end(), [&](const auto& it) {
        return it.data_center() == order.data_center();
      }));
    } else {
      pb::Evacuation& added = *list.Add();
      added.set_data_center(order.data_center());
      added.set_revision(catalog_.revision());
      added.set_author(change.author());
      added.set_unix_ms(change.unix_ms());
      std::sort(list.begin(), list.end(), [](const auto& a, const auto& b) {
        return a.data_center() < b.data_center();
      });
    }
  }
  outcome.set_revision(catalog_.revision());
  return outcome;
}

pb::ChangeOutcome CatalogState::Apply(const pb::Change& change) {
  if (change.has_evacuation()) {
    return ApplyEvacuation(change);
  }
  if (change.has_flows()) {
    return ApplyFlows(change);
  }
  if (std::optional<pb::ChangeOutcome> recorded =
          FindOutcome(change.change_id())) {
    return *recorded;
  }
  pb::ChangeOutcome outcome;
  outcome.set_change_id(change.change_id());
  outcome.set_author(change.author());
  outcome.set_base_revision(change.base_revision());
  outcome.set_unix_ms(change.unix_ms());
  const std::string error = FindCatalogError(change);
  if (!error.empty()) {
    SetRefusal(ErrorKind::kInvalidArgument, error, outcome);
  } else if (change.base_revision() != catalog_.revision()) {
    SetRefusal(ErrorKind::kConflict,
               "the catalog is at revision " +
                   std::to_string(catalog_.revision()) +
                   ", the change was made from " +
                   std::to_string(change.base_revision()),
               outcome);
  } else {
    pb::Catalog next = MakeNextCatalog(catalog_, change);
    outcome.set_accepted(true);
    outcome.set_summary(SummarizeChange(catalog_, next));
    catalog_ = std::move(next);
  }
  outcome.set_revision(catalog_.revision());
  StoreOutcome(outcome);
  return outcome;
}

std::optional<pb::ChangeOutcome> CatalogState::FindOutcome(
    std::string_view change_id) const {
  const auto it = sequence_by_change_id_.find(std::string(change_id));
  if (it == sequence_by_change_id_.end()) {
    return std::nullopt;
  }
  return outcomes_[it->second - first_sequence_];
}

void CatalogState::Restore(const pb::Catalog& catalog,
                           const std::deque<pb::ChangeOutcome>& outcomes) {
  catalog_ = catalog;
  outcomes_.clear();
  sequence_by_change_id_.clear();
  for (const pb::ChangeOutcome& it : outcomes) {
    StoreOutcome(it);
  }
}

void CatalogState::StoreOutcome(const pb::ChangeOutcome& outcome) {
  if (!outcome.change_id().empty()) {
    sequence_by_change_id_[outcome.change_id()] =
        first_sequence_ + outcomes_.size();
  }
  outcomes_.push_back(outcome);
  if (outcomes_.size() > kMaxStoredOutcomes) {
    sequence_by_change_id_.erase(outcomes_.front().change_id());
    outcomes_.pop_front();
    ++first_sequence_;
  }
}

}  // namespace vanillalatch
