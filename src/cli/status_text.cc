#include "src/cli/status_text.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <utility>
#include <vector>

#include "src/cli/text_table.h"

namespace vanillalatch {
namespace {

// A VM whose last report is older than this is shown as silent.
constexpr std::uint32_t kSilentAfterMs = 5000;
constexpr std::uint64_t kPermillePerUnit = 1000;

std::string FormatPermille(std::uint64_t permille) {
  return std::to_string(permille / 10) + "." + std::to_string(permille % 10) +
         "%";
}

std::string FormatAsMilliseconds(std::uint32_t microseconds) {
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.1f ms", microseconds / 1000.0);
  return buf.data();
}

std::string FormatAge(std::uint32_t age_ms) {
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.1f s", age_ms / 1000.0);
  return buf.data();
}

const pb::Service* FindService(const pb::Catalog& catalog, std::uint32_t id) {
  for (const pb::Service& it : catalog.services()) {
    if (it.id() == id) {
      return &it;
    }
  }
  return nullptr;
}

std::string ServiceName(const pb::Catalog& catalog, std::uint32_t id) {
  const pb::Service* service = FindService(catalog, id);
  return service == nullptr ? "deleted service " + std::to_string(id)
                            : service->name();
}

const pb::ClassTarget* FindClass(const pb::Service* service, std::uint32_t id) {
  if (service != nullptr) {
    for (const pb::ClassTarget& it : service->classes()) {
      if (it.id() == id) {
        return &it;
      }
    }
  }
  return nullptr;
}

// Builds from before levels were stated state none.
std::string LevelText(std::uint32_t level) {
  return level == 0 ? "not stated" : std::to_string(level);
}

// Shows the level up to which the fleet writes, and the VMs whose builds hold
// it back: those with a lower level than others.
void PrintLevels(const pb::StatusReply& status, std::ostream& out) {
  std::uint32_t fleet = 0;
  std::uint32_t newest = 0;
  std::vector<std::pair<std::string, std::uint32_t>> levels;
  for (const pb::ControlStatus& it : status.controls()) {
    fleet = std::max(fleet, it.fleet_level());
    levels.emplace_back(it.vm(), it.level());
  }
  for (const pb::EntryStatus& it : status.entries()) {
    levels.emplace_back(it.last_sync().vm(), it.last_sync().level());
  }
  for (const auto& [vm, level] : levels) {
    newest = std::max(newest, level);
  }
  std::string older;
  for (const auto& [vm, level] : levels) {
    if (level < newest) {
      older += (older.empty() ? "; older builds: " : ", ") + vm + " (" +
               LevelText(level) + ")";
    }
  }
  out << "Feature level: " << LevelText(fleet) << ", newest build "
      << LevelText(newest) << older << "\n\n";
}

void PrintControlVms(const pb::StatusReply& status, std::ostream& out) {
  TextTable table({"CONTROL VM", "DATA CENTRE", "ROLE", "TERM", "LOG INDEX",
                   "REVISION", "LEVEL"});
  for (const pb::ControlStatus& it : status.controls()) {
    table.Add({it.vm(), it.data_center(), it.role(), std::to_string(it.term()),
               std::to_string(it.committed_index()),
               std::to_string(it.revision()), LevelText(it.level())});
  }
  table.Print(out);
}

// Shows how many control VMs may still fail. A group in which a voter is gone
// tolerates fewer failures until the voter returns or is removed.
void PrintGroup(const pb::StatusReply& status, std::ostream& out) {
  for (const pb::ControlStatus& it : status.controls()) {
    if (it.voters() == 0) {
      continue;
    }
    out << "Control group: " << it.voters() << " voters";
    for (int n = 0; n < it.silent_voters_size(); ++n) {
      out << (n == 0 ? ", silent: " : ", ") << it.silent_voters(n);
    }
    out << "; tolerates "
        << (it.tolerated_losses() == 0 ? "no"
                                       : std::to_string(it.tolerated_losses()))
        << " further " << (it.tolerated_losses() > 1 ? "losses" : "loss")
        << "\n\n";
  }
}

std::string RevisionText(const pb::StatusReply& status,
                         const pb::EntryStatus& entry) {
  const std::uint64_t current = status.catalog().revision();
  const std::uint64_t own = entry.last_sync().revision();
  const std::string text = "revision " + std::to_string(own);
  return own >= current
             ? text + ", current"
             : text + ", " + std::to_string(current - own) + " behind";
}

std::string EntryState(const pb::EntryStatus& entry) {
  return entry.age_ms() > kSilentAfterMs ? "silent" : entry.last_sync().state();
}

void PrintEntryVms(const pb::StatusReply& status, std::ostream& out) {
  TextTable table(
      {"ENTRY VM", "DATA CENTRE", "STATE", "CATALOG", "HEARD", "DISPATCHES"});
  for (const pb::EntryStatus& it : status.entries()) {
    std::string services;
    for (const pb::ServiceReport& report : it.last_sync().services()) {
      services += (services.empty() ? "" : ", ") +
                  ServiceName(status.catalog(), report.service_id());
    }
    table.Add({it.last_sync().vm(), it.last_sync().data_center(),
               EntryState(it), RevisionText(status, it),
               FormatAge(it.age_ms()) + " ago", services});
  }
  table.Print(out);
}

// Shows for each evacuation on how many entry VMs it is in force, and how many
// flows those VMs still hold open in the data centre.
void PrintEvacuations(const pb::StatusReply& status, std::ostream& out) {
  TextTable table({"EVACUATED", "REVISION", "SINCE", "AUTHOR", "IN FORCE ON",
                   "OPEN FLOWS"});
  for (const pb::Evacuation& it : status.catalog().evacuations()) {
    int in_force = 0;
    std::uint64_t flows = 0;
    for (const pb::EntryStatus& entry : status.entries()) {
      in_force += entry.last_sync().revision() >= it.revision() ? 1 : 0;
      for (const pb::OpenFlows& open : entry.last_sync().open_flows()) {
        flows += open.data_center() == it.data_center() ? open.flows() : 0;
      }
    }
    table.Add({it.data_center(), std::to_string(it.revision()),
               FormatUtcTime(it.unix_ms()), it.author(),
               std::to_string(in_force) + " of " +
                   std::to_string(status.entries_size()) + " entry VMs",
               std::to_string(flows)});
  }
  table.Print(out);
}

void PrintClasses(const pb::StatusReply& status, std::ostream& out) {
  TextTable table({"SERVICE", "CLASS", "DATA CENTRE", "P99", "TARGET",
                   "WAITING", "ANSWERED", "WITHIN TARGET"});
  for (const pb::EntryStatus& entry : status.entries()) {
    for (const pb::ServiceReport& report : entry.last_sync().services()) {
      const pb::Service* service =
          FindService(status.catalog(), report.service_id());
      for (const pb::ClassReport& it : report.classes()) {
        const pb::ClassTarget* target = FindClass(service, it.class_id());
        if (target == nullptr) {
          continue;
        }
        table.Add({service->name(), target->name(),
                   entry.last_sync().data_center(),
                   FormatAsMilliseconds(it.p99_us()),
                   std::to_string(target->latency_ms()) + " ms",
                   std::to_string(it.queued()), std::to_string(it.answered()),
                   TargetResultText(*target, it)});
      }
    }
  }
  table.Print(out);
}

void PrintEndpoints(const pb::StatusReply& status, std::ostream& out) {
  TextTable table({"SERVICE", "ENDPOINT", "DATA CENTRE", "ADDRESS", "STATE",
                   "SLOTS BUSY", "REQUESTS"});
  for (const pb::EntryStatus& entry : status.entries()) {
    for (const pb::ServiceReport& report : entry.last_sync().services()) {
      for (const pb::EndpointReport& it : report.endpoints()) {
        table.Add(
            {ServiceName(status.catalog(), report.service_id()), it.name(),
             entry.last_sync().data_center(), it.address(), it.state(),
             std::to_string(it.busy()) + " of " + std::to_string(it.slots()),
             std::to_string(it.requests())});
      }
    }
  }
  table.Print(out);
}

}  // namespace

std::string TargetResultText(const pb::ClassTarget& target,
                             const pb::ClassReport& report) {
  const std::uint64_t total =
      report.answered() + report.refused() + report.failed();
  if (total == 0) {
    return "no requests yet";
  }
  if (report.within() * kPermillePerUnit >= total * target.success_permille()) {
    return "met";
  }
  const std::uint64_t late = report.answered() - report.within();
  return "missed: " +
         FormatPermille(report.within() * kPermillePerUnit / total) + " of " +
         FormatPermille(target.success_permille()) + " in time; " +
         std::to_string(report.refused()) + " refused, " +
         std::to_string(report.failed()) + " failed, " + std::to_string(late) +
         " late";
}

std::string FormatUtcTime(std::int64_t unix_ms) {
  const std::time_t seconds = unix_ms / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> buf{};
  std::strftime(buf.data(), buf.size(), "%Y-%m-%d %H:%M:%SZ", &parts);
  return buf.data();
}

void PrintStatus(const pb::StatusReply& status, std::ostream& out) {
  out << "Catalog: revision " << status.catalog().revision() << ", "
      << status.catalog().services_size() << " services\n";
  PrintLevels(status, out);
  PrintGroup(status, out);
  PrintControlVms(status, out);
  out << "\n";
  if (!status.catalog().evacuations().empty()) {
    PrintEvacuations(status, out);
    out << "\n";
  }
  PrintEntryVms(status, out);
  out << "\n";
  PrintClasses(status, out);
  out << "\n";
  PrintEndpoints(status, out);
}

void PrintHistory(const pb::HistoryReply& history, std::ostream& out) {
  TextTable table({"REVISION", "TIME", "AUTHOR", "FROM", "RESULT", "CHANGE"});
  for (const pb::ChangeOutcome& it : history.outcomes()) {
    table.Add({std::to_string(it.revision()), FormatUtcTime(it.unix_ms()),
               it.author(), std::to_string(it.base_revision()),
               it.accepted() ? "accepted" : it.error_kind(),
               it.accepted() ? it.summary() : it.message()});
  }
  table.Print(out);
}

}  // namespace vanillalatch
