#include <algorithm>
#include <string>
#include <vector>

#include "src/catalog/catalog_text.h"
#include "vanillalatch/catalog/catalog_file.h"
#include "vanillalatch/jsonc/document.h"

namespace vanillalatch {
namespace internal {

std::string FormatLatency(const pb::ClassTarget& target) {
  return FormatDuration(std::chrono::milliseconds(target.latency_ms()));
}

std::string FormatSuccess(const pb::ClassTarget& target) {
  const std::uint32_t permille = target.success_permille();
  std::string text = std::to_string(permille / 10);
  if (permille % 10 != 0) {
    text += "." + std::to_string(permille % 10);
  }
  return text + "%";
}

std::string FormatShare(const pb::ClassTarget& target) {
  return std::to_string(target.share_percent()) + "%";
}

std::string FormatPaths(const pb::ClassTarget& target) {
  std::string text;
  for (const std::string& it : target.path_prefixes()) {
    text += (text.empty() ? "" : ", ") + it;
  }
  return text.empty() ? "all others" : text;
}

std::string FormatWork(const pb::Service& service) {
  return service.work() == pb::WORK_SESSIONS ? "sessions" : "requests";
}

std::string FormatWarmUp(const pb::Service& service) {
  return service.warm_up_ms() == 0
             ? "none"
             : FormatDuration(std::chrono::milliseconds(service.warm_up_ms()));
}

std::string FormatWarmUpRate(const pb::Service& service) {
  const auto rate = static_cast<std::uint32_t>(service.warm_up_per_second());
  return rate == 0 ? "no bound" : std::to_string(rate);
}

}  // namespace internal

namespace {

using Lines = std::vector<std::string>;

template <typename List>
const typename List::value_type* FindByName(const List& list,
                                            const std::string& name) {
  const auto it =
      std::find_if(list.begin(), list.end(),
                   [&name](const auto& row) { return row.name() == name; });
  return it == list.end() ? nullptr : &*it;
}

void AddFieldDifference(const std::string& subject, std::string_view field,
                        const std::string& before, const std::string& after,
                        Lines& lines) {
  if (before != after) {
    lines.push_back(subject + ": " + std::string(field) + " " + before +
                    " -> " + after);
  }
}

void CompareClasses(const std::string& subject, const pb::ClassTarget& before,
                    const pb::ClassTarget& after, Lines& lines) {
  AddFieldDifference(subject, "paths", internal::FormatPaths(before),
                     internal::FormatPaths(after), lines);
  AddFieldDifference(subject, "latency", internal::FormatLatency(before),
                     internal::FormatLatency(after), lines);
  AddFieldDifference(subject, "success", internal::FormatSuccess(before),
                     internal::FormatSuccess(after), lines);
  AddFieldDifference(subject, "share", internal::FormatShare(before),
                     internal::FormatShare(after), lines);
}

void CompareServices(const std::string& subject, const pb::Service& before,
                     const pb::Service& after, Lines& lines) {
  AddFieldDifference(subject, "work", internal::FormatWork(before),
                     internal::FormatWork(after), lines);
  AddFieldDifference(subject, "warm-up", internal::FormatWarmUp(before),
                     internal::FormatWarmUp(after), lines);
  AddFieldDifference(subject, "requests per second while warming up",
                     internal::FormatWarmUpRate(before),
                     internal::FormatWarmUpRate(after), lines);
  for (const pb::ClassTarget& it : after.classes()) {
    const std::string class_subject = subject + ": class " + it.name();
    const pb::ClassTarget* old = FindByName(before.classes(), it.name());
    if (old == nullptr) {
      lines.push_back(
          class_subject + ": new, latency " + internal::FormatLatency(it) +
          ", success " + internal::FormatSuccess(it) + ", share " +
          internal::FormatShare(it) + ", paths " + internal::FormatPaths(it));
    } else {
      CompareClasses(class_subject, *old, it, lines);
    }
  }
  for (const pb::ClassTarget& it : before.classes()) {
    if (FindByName(after.classes(), it.name()) == nullptr) {
      lines.push_back(subject + ": class " + it.name() + ": deleted");
    }
  }
}

template <typename List>
bool Contains(const List& list, const std::string& name) {
  return std::find(list.begin(), list.end(), name) != list.end();
}

}  // namespace

std::vector<std::string> DescribeDifference(const pb::Catalog& current,
                                            const pb::Change& change) {
  Lines lines;
  for (const pb::Service& it : change.services()) {
    const std::string subject = "service " + it.name();
    const pb::Service* old = FindByName(current.services(), it.name());
    if (old != nullptr) {
      CompareServices(subject, *old, it, lines);
      continue;
    }
    lines.push_back(subject + ": new, work " + internal::FormatWork(it));
    pb::Service without_classes = it;
    without_classes.clear_classes();
    without_classes.clear_warm_up_ms();
    without_classes.clear_warm_up_per_second();
    CompareServices(subject, without_classes, it, lines);
  }
  for (const pb::Service& it : current.services()) {
    if (FindByName(change.services(), it.name()) == nullptr) {
      lines.push_back("service " + it.name() + ": deleted");
    }
  }
  for (const std::string& it : change.draining_vms()) {
    if (!Contains(current.draining_vms(), it)) {
      lines.push_back("VM " + it + ": drained");
    }
  }
  for (const std::string& it : current.draining_vms()) {
    if (!Contains(change.draining_vms(), it)) {
      lines.push_back("VM " + it + ": no longer drained");
    }
  }
  return lines;
}

}  // namespace vanillalatch
