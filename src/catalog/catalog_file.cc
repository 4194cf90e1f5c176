#include "vanillalatch/catalog/catalog_file.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "src/catalog/catalog_text.h"
#include "vanillalatch/catalog/state_machine.h"
#include "vanillalatch/jsonc/document.h"

namespace vanillalatch {
namespace {

constexpr Duration kMinLatency = std::chrono::milliseconds(1);
constexpr Duration kMaxLatency = std::chrono::hours(1);
constexpr std::uint32_t kMaxPermille = 1000;
constexpr std::uint32_t kPermillePerPercent = 10;
constexpr std::size_t kMaxPathBytes = 255;

std::string ReadPath(const JsonValue& value) {
  const std::string& path = value.Text();
  if (!path.starts_with('/') || path.size() > kMaxPathBytes ||
      path.find_first_of("?# ") != std::string::npos) {
    value.Fail("the start of a path, such as \"/urgent\"");
  }
  return path;
}

std::uint32_t ReadShare(const JsonValue& value) {
  const std::uint32_t share = value.Permille(kPermillePerPercent, kMaxPermille);
  if (share % kPermillePerPercent != 0) {
    value.Fail("a whole percentage");
  }
  return share / kPermillePerPercent;
}

pb::ClassTarget ReadClass(const JsonValue& value) {
  value.CheckKeys({"name", "paths", "latency", "success", "share"});
  pb::ClassTarget target;
  target.set_name(value.At("name").Name());
  if (const JsonValue* paths = value.Find("paths")) {
    for (const JsonValue& it : paths->Items()) {
      target.add_path_prefixes(ReadPath(it));
    }
    if (paths->Items().empty()) {
      paths->Fail("at least one path, or no key \"paths\" for all others");
    }
  }
  const Duration latency = value.At("latency").Time(kMinLatency, kMaxLatency);
  target.set_latency_ms(static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(latency).count()));
  target.set_success_permille(value.At("success").Permille(1, kMaxPermille));
  target.set_share_percent(ReadShare(value.At("share")));
  return target;
}

// Checks the classes of one service against each other: unique names and paths,
// at most one class without paths, and shares of at most 100 % in total.
class ClassListValidator {
 public:
  void Add(const JsonValue& value, const pb::ClassTarget& target) {
    if (!names_.insert(target.name()).second) {
      value.At("name").Fail("each class name once in a service");
    }
    if (target.path_prefixes().empty() && has_default_class_) {
      value.Fail("only one class without \"paths\" in a service");
    }
    has_default_class_ = has_default_class_ || target.path_prefixes().empty();
    for (int i = 0; i < target.path_prefixes_size(); ++i) {
      if (!paths_.insert(target.path_prefixes(i)).second) {
        value.At("paths").Items()[i].Fail("each path once in a service");
      }
    }
    shares_ += target.share_percent();
    if (shares_ > 100) {
      value.At("share").Fail(
          "shares of at most 100% in a service, here they sum up to " +
          std::to_string(shares_) + "%");
    }
  }

 private:
  std::set<std::string> names_;
  std::set<std::string> paths_;
  bool has_default_class_ = false;
  std::uint32_t shares_ = 0;
};

pb::Service ReadService(const JsonValue& value) {
  value.CheckKeys({"name", "work", "classes", "warm_up", "warm_up_per_second"});
  pb::Service service;
  service.set_name(value.At("name").Name());
  if (const JsonValue* it = value.Find("work")) {
    service.set_work(it->Choice({"requests", "sessions"}) == 0
                         ? pb::WORK_REQUESTS
                         : pb::WORK_SESSIONS);
  }
  if (const JsonValue* it = value.Find("warm_up")) {
    const Duration time = it->Time(std::chrono::milliseconds(1),
                                   std::chrono::milliseconds(kMaxWarmUpMs));
    service.set_warm_up_ms(
        static_cast<std::uint32_t>(time / std::chrono::milliseconds(1)));
  }
  if (const JsonValue* it = value.Find("warm_up_per_second")) {
    service.set_warm_up_per_second(
        static_cast<double>(it->Integer(1, kMaxWarmUpPerSecond)));
  }
  ClassListValidator validator;
  for (const JsonValue& it : value.At("classes").Items()) {
    const pb::ClassTarget target = ReadClass(it);
    validator.Add(it, target);
    *service.add_classes() = target;
  }
  if (service.classes().empty()) {
    value.At("classes").Fail("at least one class");
  }
  return service;
}

pb::Change ReadCatalog(const JsonValue& root) {
  root.CheckKeys({"services"});
  std::set<std::string> names;
  pb::Change change;
  for (const JsonValue& it : root.At("services").Items()) {
    const pb::Service service = ReadService(it);
    if (!names.insert(service.name()).second) {
      it.At("name").Fail("each service name once");
    }
    *change.add_services() = service;
  }
  return change;
}

}  // namespace

Result<pb::Change> ParseCatalogFile(std::string_view file_name,
                                    std::string_view text) {
  const Result<JsonDocument> file = JsonDocument::Parse(file_name, text);
  if (!file.ok()) {
    return file.error();
  }
  try {
    return ReadCatalog(file->root());
  } catch (const Error& e) {
    return e;
  }
}

std::string FormatCatalog(const pb::Catalog& catalog) {
  using Json = nlohmann::ordered_json;
  Json services = Json::array();
  for (const pb::Service& service : catalog.services()) {
    Json classes = Json::array();
    for (const pb::ClassTarget& it : service.classes()) {
      Json target = {{"name", it.name()}};
      for (const std::string& path : it.path_prefixes()) {
        target["paths"].push_back(path);
      }
      target["latency"] = internal::FormatLatency(it);
      target["success"] = internal::FormatSuccess(it);
      target["share"] = internal::FormatShare(it);
      classes.push_back(std::move(target));
    }
    Json added = {{"name", service.name()},
                  {"work", internal::FormatWork(service)}};
    if (service.warm_up_ms() > 0) {
      added["warm_up"] = internal::FormatWarmUp(service);
    }
    if (service.warm_up_per_second() > 0) {
      added["warm_up_per_second"] =
          static_cast<std::uint32_t>(service.warm_up_per_second());
    }
    added["classes"] = std::move(classes);
    services.push_back(std::move(added));
  }
  const Json root = {{"services", std::move(services)}};
  return "// Revision " + std::to_string(catalog.revision()) + "\n" +
         root.dump(2) + "\n";
}

const pb::ClassTarget* FindClassByPath(const pb::Service& service,
                                       std::string_view path) {
  const pb::ClassTarget* best = nullptr;
  std::size_t best_size = 0;
  for (const pb::ClassTarget& target : service.classes()) {
    if (target.path_prefixes().empty() && best == nullptr) {
      best = &target;
    }
    for (const std::string& prefix : target.path_prefixes()) {
      if (prefix.size() > best_size && path.starts_with(prefix)) {
        best = &target;
        best_size = prefix.size();
      }
    }
  }
  return best;
}

}  // namespace vanillalatch
