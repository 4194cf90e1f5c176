#include "src/capacity/page.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

namespace vanillalatch {
namespace {

// The design size: the numbers of VMs, endpoints, services and flows that the
// budgets must suffice for.
constexpr double kEntryVms = 1100;
constexpr double kDataCenters = 20;
constexpr double kEndpoints = 6900;
constexpr double kServices = 580;
constexpr double kFlows = 13e6;
constexpr double kNewFlowsPerSecond = 56'000;
constexpr double kEntryVmsPerDataCenter = kEntryVms / kDataCenters;
constexpr double kEndpointsPerDataCenter = kEndpoints / kDataCenters;
constexpr double kServicesPerDataCenter = kServices / kDataCenters;
constexpr double kEndpointsPerService = kEndpoints / kServices;
// With rendezvous hashing of 29 services over 55 VMs, the busiest VM dispatches
// about four services.
constexpr double kServicesOfBusiestDispatcher = 4;
// Number of dedicated control VMs. The entry VMs attach to them in equal
// shares.
constexpr double kControlVms = 13;
constexpr double kSyncsPerSecond = 1;  // Rate of one entry VM.

// Budgets of one VM.
constexpr double kBudgetCpuPercent = 4.9;
constexpr double kBudgetBytes = 64.0 * 1024 * 1024;
constexpr double kBudgetBytesPerSecond = 7.0 * 1024;
// Flows do not count against kBudgetBytes, which limits the memory for control
// data; they have this budget of their own.
constexpr double kBudgetBytesPerFlow = 96;

// Fits a line to the measurement `key`. Throws Error with kNotFound if there is
// none.
Slope SlopeOf(const std::vector<Measurement>& all, const std::string& key) {
  const auto it =
      std::find_if(all.begin(), all.end(),
                   [&](const Measurement& m) { return m.key == key; });
  if (it == all.end()) {
    throw Error(ErrorKind::kNotFound, "no measurement " + key);
  }
  return FitLine(it->points).value();
}

// Returns one row of the budget table. `from` names the measurement.
std::string Row(const std::string& role, const std::string& resource,
                double value, double budget, const std::string& unit,
                const std::string& from) {
  return absl::StrFormat("| %s | %s | %.4g %s | %.4g %s | %s | %s |\n", role,
                         resource, value, unit, budget, unit,
                         value <= budget ? "within" : "**over**", from);
}

std::string EntryRows(const std::vector<Measurement>& all) {
  const Slope members = SlopeOf(all, "membership_bytes_by_members");
  const Slope endpoints = SlopeOf(all, "membership_bytes_by_endpoints");
  const Slope report = SlopeOf(all, "report_bytes_by_members");
  const Slope cpu = SlopeOf(all, "membership_cpu_by_members");
  const Slope registry = SlopeOf(all, "registry_bytes");
  std::string rows =
      Row("entry VM", "membership and leases, sent",
          endpoints.At(kEndpointsPerDataCenter), kBudgetBytesPerSecond, "B/s",
          "membership_bytes_by_endpoints at 55 VMs, 345 endpoints");
  rows +=
      Row("entry VM", "reports to a control VM, sent",
          kSyncsPerSecond * report.At(kEntryVmsPerDataCenter),
          kBudgetBytesPerSecond - endpoints.At(kEndpointsPerDataCenter), "B/s",
          "report_bytes_by_members; budget: the rest after membership");
  rows += Row("entry VM", "membership, processor time",
              cpu.At(kEntryVmsPerDataCenter), kBudgetCpuPercent, "%",
              "membership_cpu_by_members at 55 VMs");
  rows +=
      Row("entry VM", "registry, memory", registry.At(kEndpointsPerDataCenter),
          kBudgetBytes, "B", "registry_bytes at 345 endpoints");
  (void)members;
  return rows;
}

std::string DispatcherRows(const std::vector<Measurement>& all) {
  const double share = kServicesOfBusiestDispatcher / kServicesPerDataCenter;
  const double flows = kFlows / kDataCenters * share;
  // Its own flows, and replicas of another VM's flows.
  const double stored_flows = 2 * flows;
  const double per_second = kNewFlowsPerSecond / kDataCenters * share;
  const Slope flow = SlopeOf(all, "flow_bytes");
  const Slope post = SlopeOf(all, "dispatcher_post_cpu");
  const Slope ingress = SlopeOf(all, "ingress_post_cpu");
  const Slope report = SlopeOf(all, "report_bytes_by_endpoints");
  std::string rows =
      Row("entry VM as dispatcher",
          absl::StrFormat("%.3g stored flows, memory", stored_flows),
          flow.At(stored_flows), kBudgetBytesPerFlow * stored_flows, "B",
          "flow_bytes; budget: 96 B a flow");
  rows += Row("entry VM as dispatcher",
              absl::StrFormat("%.3g new flows/s, processor time", per_second),
              post.per_unit * per_second / 1e6 * 100, 100, "%",
              "dispatcher_post_cpu; data, budget: one core");
  rows += Row("entry VM as ingress",
              absl::StrFormat("%.3g new flows/s, processor time",
                              kNewFlowsPerSecond / kEntryVms),
              ingress.per_unit * kNewFlowsPerSecond / kEntryVms / 1e6 * 100,
              100, "%", "ingress_post_cpu; data, budget: one core");
  rows += Row("entry VM as dispatcher", "reports to a control VM, sent",
              kSyncsPerSecond * report.At(kServicesOfBusiestDispatcher *
                                          kEndpointsPerService),
              kBudgetBytesPerSecond, "B/s", "report_bytes_by_endpoints");
  return rows;
}

std::string ControlRows(const std::vector<Measurement>& all) {
  const Slope sync = SlopeOf(all, "sync_cpu");
  const Slope change = SlopeOf(all, "change_cpu");
  const Slope catalog = SlopeOf(all, "catalog_bytes");
  const Slope memory = SlopeOf(all, "control_bytes");
  const Slope heartbeats = SlopeOf(all, "heartbeat_bytes");
  constexpr double kStoredOutcomes = 3300;
  std::string rows =
      Row("control VM", "1,100 entry VMs on one control VM, processor time",
          sync.At(kEntryVms), kBudgetCpuPercent, "%",
          "sync_cpu; the worst case, the 12 others unreachable");
  rows += Row("control VM", "a change, processor time",
              change.At(kServices) / 1000, 11, "s",
              "change_cpu at 580 services, three VMs together; budget: 11 s");
  rows += Row("control VM", "state after five days of changes, memory",
              memory.At(kStoredOutcomes), kBudgetBytes, "B", "control_bytes");
  rows += Row("control voter", "heartbeats of a leader with 13 VMs, sent",
              heartbeats.At(kControlVms), kBudgetBytesPerSecond, "B/s",
              "heartbeat_bytes");
  rows += Row("entry VM", "catalog fetched after a change, over 11 s",
              catalog.At(kServices) / 11, kBudgetBytesPerSecond, "B/s",
              "catalog_bytes at 580 services");
  rows += Row("control VM", "catalog sent to 85 entry VMs, over 11 s",
              catalog.At(kServices) * kEntryVms / kControlVms / 11,
              kBudgetBytesPerSecond, "B/s",
              "catalog_bytes; a dedicated control VM");
  return rows;
}

}  // namespace

std::string SlopeTable(const std::vector<Measurement>& measurements) {
  std::string table =
      "| key | what | points (size: value) | slope | at size 0 | residual |\n"
      "|---|---|---|---|---|---|\n";
  for (const Measurement& it : measurements) {
    std::string points;
    for (const Point& p : it.points) {
      absl::StrAppend(&points, points.empty() ? "" : ", ",
                      absl::StrFormat("%.6g: %.4g", p.size, p.value));
    }
    const Slope slope = FitLine(it.points).value();
    absl::StrAppend(
        &table,
        absl::StrFormat("| %s | %s | %s | %.4g %s per %s | %.4g | %.1f %% |\n",
                        it.key, it.title, points, slope.per_unit, it.value_unit,
                        it.size_unit, slope.intercept, slope.residual * 100));
  }
  return table;
}

std::string BudgetTable(const std::vector<Measurement>& measurements) {
  return absl::StrCat(
      "| role | resource | at size | budget | verdict | from |\n"
      "|---|---|---|---|---|---|\n",
      EntryRows(measurements), DispatcherRows(measurements),
      ControlRows(measurements));
}

std::string PlotData(const std::vector<Measurement>& measurements) {
  std::string data;
  for (const Measurement& it : measurements) {
    double max_size = 0;
    double max_value = 0;
    for (const Point& p : it.points) {
      max_size = std::max(max_size, p.size);
      max_value = std::max(max_value, p.value);
    }
    absl::StrAppend(&data, "\"", it.key, "\"\n");
    for (const Point& p : it.points) {
      absl::StrAppend(&data, p.size / max_size, " ", p.value / max_value, "\n");
    }
    absl::StrAppend(&data, "\n\n");
  }
  return data;
}

}  // namespace vanillalatch
