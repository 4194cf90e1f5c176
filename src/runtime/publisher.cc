#include "src/runtime/publisher.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "vanillalatch/telemetry/log.h"

namespace vanillalatch {
namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr double kMillisPerSecond = 1e3;

const pb::Service* FindService(const pb::Catalog& catalog, std::uint32_t id) {
  const auto it =
      std::find_if(catalog.services().begin(), catalog.services().end(),
                   [id](const pb::Service& s) { return s.id() == id; });
  return it == catalog.services().end() ? nullptr : &*it;
}

// Splits the text "name state" of a member into a pair.
std::pair<std::string, std::string> SplitMember(const std::string& text) {
  const std::size_t space = text.rfind(' ');
  return {text.substr(0, space),
          space == std::string::npos ? "" : text.substr(space + 1)};
}

std::map<std::string, std::string> MemberStates(const pb::SyncRequest& report) {
  std::map<std::string, std::string> states;
  for (const std::string& it : report.members()) {
    states.insert(SplitMember(it));
  }
  return states;
}

std::int64_t UnixMicros(const EntryTelemetry& telemetry, TimePoint at) {
  return telemetry.unix_epoch_ms * 1000 +
         std::chrono::duration_cast<std::chrono::microseconds>(
             at.time_since_epoch())
             .count();
}

}  // namespace

std::string_view MemberStateName(MemberState state) {
  // Indexed by MemberState.
  static constexpr std::string_view kNames[] = {"alive", "suspect", "leaving",
                                                "dead"};
  return kNames[static_cast<std::size_t>(state)];
}

Result<Publisher> Publisher::Create(const Settings& settings) {
  Result<std::unique_ptr<Metrics>> metrics =
      Metrics::Create(settings.metrics, settings.vm, settings.data_center);
  if (!metrics.ok()) {
    return metrics.error();
  }
  std::unique_ptr<TraceWriter> traces;
  if (!settings.trace_file.empty()) {
    Result<std::unique_ptr<TraceWriter>> writer =
        TraceWriter::Create(settings.trace_file, settings.vm);
    if (!writer.ok()) {
      return writer.error();
    }
    traces = std::move(*writer);
  }
  return Publisher(std::move(*metrics), std::move(traces));
}

Publisher::Publisher(std::unique_ptr<Metrics> metrics,
                     std::unique_ptr<TraceWriter> traces)
    : metrics_(std::move(metrics)), traces_(std::move(traces)) {}

void Publisher::Publish(const EntryTelemetry& telemetry) {
  PublishCounters(*telemetry.counters);
  PublishMembers(telemetry.report);
  metrics_->Set(Metric::kCatalogRevision, {},
                static_cast<double>(telemetry.report.revision()));
  metrics_->Set(Metric::kCatalogAge, {},
                std::chrono::duration<double>(telemetry.catalog_age).count());
  for (const pb::ServiceReport& it : telemetry.report.services()) {
    const pb::Service* service =
        FindService(*telemetry.catalog, it.service_id());
    if (service != nullptr) {
      PublishClasses(*service, it);
      PublishEndpoints(*service, it);
    }
  }
  WriteHops(telemetry);
  LogChanges(telemetry);
}

void Publisher::Publish(const pb::ControlStatus& status) {
  metrics_->Set(Metric::kControlTerm, {}, static_cast<double>(status.term()));
  metrics_->Set(Metric::kControlCommitted, {},
                static_cast<double>(status.committed_index()));
  metrics_->Set(Metric::kEvacuations, {}, status.evacuations());
  metrics_->Set(Metric::kControlLeader, {}, status.role() == "leader" ? 1 : 0);
  if (status.voters() > 0) {
    metrics_->Set(Metric::kToleratedLosses, {}, status.tolerated_losses());
  } else {
    metrics_->Clear(Metric::kToleratedLosses);
  }
  if (status.role() != control_role_) {
    control_role_ = status.role();
    LogEvent(LogLevel::kInfo, "control_role_changed",
             {{"role", control_role_}, {"term", status.term()}});
  }
}

void Publisher::PublishUnknownValues(std::uint64_t total) {
  metrics_->SetTotal(Metric::kUnknownValues, {}, static_cast<double>(total));
}

void Publisher::Publish(FlowNode& node, const FlowCatalogFreshness& catalog) {
  // Indexed by FlowTiming::Part.
  static constexpr Metric kTimings[] = {
      Metric::kFlowWait, Metric::kFlowHandshake, Metric::kFlowAnswer};
  for (const FlowTiming& it : node.TakeTimings()) {
    metrics_->Observe(kTimings[static_cast<std::size_t>(it.part)], {},
                      std::chrono::duration<double>(it.duration).count());
  }
  const FlowNodeCounters& flows = node.counters();
  const FlowDispatcherCounters& placed = node.dispatcher_counters();
  const std::pair<const char*, std::uint64_t> totals[] = {
      {"packet", flows.packets},
      {"malformed", flows.malformed},
      {"forwarded", flows.forwarded},
      {"unknown_route", flows.unknown_route},
      {"unknown_endpoint", flows.unknown_endpoint},
      {"handed_over", flows.handed_over},
      {"placed_alone", flows.placed_alone},
      {"declined", flows.declined},
      {"parked", flows.parked},
      {"passed_on_full", flows.passed_on_full},
      {"passed_on_no_endpoint", flows.passed_on_no_endpoint},
      {"returned", flows.returned},
      {"opened", placed.opened},
      {"placed", placed.placed},
      {"placed_late", placed.placed_late},
      {"repeated", placed.repeated},
      {"moved", placed.moved},
      {"moved_from_evacuated", placed.moved_from_evacuated},
      {"withheld_from_cold", placed.withheld_from_cold},
      {"moves_refused", placed.moves_refused},
      {"refused", placed.refused},
      {"ended", placed.ended},
      {"expired", placed.expired},
      {"endpoint_silent", placed.endpoints_found_silent},
  };
  for (const auto& [event, total] : totals) {
    metrics_->SetTotal(Metric::kFlowEvents, {event},
                       static_cast<double>(total));
  }
  const std::pair<const char*, const PeerTraffic&> directions[] = {
      {"received", flows.received}, {"sent", flows.sent}};
  for (const auto& [direction, traffic] : directions) {
    const std::pair<const char*, std::uint64_t> kinds[] = {
        {"opening", traffic.openings}, {"taken", traffic.taken},
        {"seen", traffic.seen},        {"end", traffic.ends},
        {"other", traffic.other},
    };
    for (const auto& [kind, total] : kinds) {
      metrics_->SetTotal(Metric::kPeerBytes, {direction, kind},
                         static_cast<double>(total));
    }
  }
  metrics_->Set(Metric::kCatalogRevision, {},
                static_cast<double>(node.revision()));
  metrics_->Set(Metric::kCatalogAge, {},
                std::chrono::duration<double>(catalog.age).count());
  metrics_->Set(Metric::kCatalogLag, {},
                std::chrono::duration<double>(catalog.lag).count());
  metrics_->Clear(Metric::kMembers);
  std::map<MemberState, int> members;
  for (const Member& it : node.peers().members().members()) {
    ++members[it.state];
  }
  for (const auto& [state, count] : members) {
    metrics_->Set(Metric::kMembers, {MemberStateName(state)}, count);
  }
}

void Publisher::PublishCounters(const EntryCounters& counters) {
  const std::pair<Metric, std::uint64_t> totals[] = {
      {Metric::kDatagrams, counters.datagrams},
      {Metric::kMalformed, counters.malformed},
      {Metric::kHandedOver, counters.handed_over},
      {Metric::kAnswered, counters.answered},
      {Metric::kRefused, counters.refused},
      {Metric::kGivenUp, counters.given_up},
      {Metric::kRetried, counters.retried},
      {Metric::kReplayed, counters.replayed},
      {Metric::kDroppedAnswers, counters.dropped_answers},
      {Metric::kTakenOver, counters.taken_over},
  };
  for (const auto& [metric, total] : totals) {
    metrics_->SetTotal(metric, {}, static_cast<double>(total));
  }
}

void Publisher::PublishMembers(const pb::SyncRequest& report) {
  std::map<std::string, int> counts;
  for (const auto& [name, state] : MemberStates(report)) {
    ++counts[state];
  }
  metrics_->Clear(Metric::kMembers);
  for (const auto& [state, count] : counts) {
    metrics_->Set(Metric::kMembers, {state}, count);
  }
}

void Publisher::PublishClasses(const pb::Service& service,
                               const pb::ServiceReport& report) {
  for (const pb::ClassReport& it : report.classes()) {
    const auto target =
        std::find_if(service.classes().begin(), service.classes().end(),
                     [&](const auto& c) { return c.id() == it.class_id(); });
    if (target == service.classes().end()) {
      continue;
    }
    const std::string& name = target->name();
    const std::pair<const char*, std::uint64_t> outcomes[] = {
        {"answered", it.answered()},
        {"within_target", it.within()},
        {"refused", it.refused()},
        {"failed", it.failed()}};
    for (const auto& [outcome, total] : outcomes) {
      metrics_->SetTotal(Metric::kClassRequests,
                         {service.name(), name, outcome},
                         static_cast<double>(total));
    }
    metrics_->Set(Metric::kClassQueued, {service.name(), name}, it.queued());
    metrics_->Set(Metric::kClassP99, {service.name(), name},
                  it.p99_us() / kMicrosPerSecond);
    metrics_->Set(Metric::kClassTarget, {service.name(), name},
                  target->latency_ms() / kMillisPerSecond);
  }
}

void Publisher::PublishEndpoints(const pb::Service& service,
                                 const pb::ServiceReport& report) {
  for (const pb::EndpointReport& it : report.endpoints()) {
    const LabelValues labels = {service.name(), it.name()};
    metrics_->Set(Metric::kEndpointSlots, labels, it.slots());
    metrics_->Set(Metric::kEndpointBusy, labels, it.busy());
    metrics_->SetTotal(Metric::kEndpointRequests, labels,
                       static_cast<double>(it.requests()));
    metrics_->SetTotal(Metric::kEndpointBusyTime, labels,
                       static_cast<double>(it.busy_us()) / kMicrosPerSecond);
  }
}

void Publisher::WriteHops(const EntryTelemetry& telemetry) {
  if (traces_ == nullptr) {
    return;
  }
  for (const Hop& it : telemetry.hops) {
    traces_->Write(it, UnixMicros(telemetry, it.at));
  }
  traces_->Flush();
}

void Publisher::LogChanges(const EntryTelemetry& telemetry) {
  if (telemetry.report.revision() != revision_) {
    revision_ = telemetry.report.revision();
    LogEvent(LogLevel::kInfo, "catalog_in_force", {{"revision", revision_}});
  }
  std::map<std::string, std::string> states = MemberStates(telemetry.report);
  for (const auto& [name, state] : states) {
    const auto it = member_states_.find(name);
    if (it == member_states_.end() || it->second != state) {
      LogEvent(LogLevel::kInfo, "member_changed",
               {{"member", name}, {"state", state}});
    }
  }
  member_states_ = std::move(states);
}

}  // namespace vanillalatch
