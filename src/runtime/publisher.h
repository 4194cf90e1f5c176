// Publishes the counters and states of the nodes as metrics, trace files and
// log events.
//
//   Publisher publisher = Publisher::Create(settings).value();
//   publisher.Publish(entry_shell.TakeTelemetry());   // Once per second.
#ifndef VANILLALATCH_SRC_RUNTIME_PUBLISHER_H_
#define VANILLALATCH_SRC_RUNTIME_PUBLISHER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "control.pb.h"
#include "vanillalatch/control/control_node.h"
#include "vanillalatch/entry/entry_node.h"
#include "vanillalatch/membership/member.h"
#include "vanillalatch/packetflow/flow_node.h"
#include "vanillalatch/runtime/flow_shell.h"
#include "vanillalatch/settings/settings.h"
#include "vanillalatch/telemetry/metrics.h"
#include "vanillalatch/telemetry/trace.h"

namespace vanillalatch {

// The data that an entry VM publishes.
struct EntryTelemetry {
  const EntryCounters* counters = nullptr;
  const pb::Catalog* catalog = nullptr;  // The catalog in force.
  pb::SyncRequest report;  // What the VM reports to the control VMs.
  // Time since a control VM in contact with a majority last answered.
  Duration catalog_age{};
  std::vector<Hop> hops;           // Recorded since the last publication.
  std::int64_t unix_epoch_ms = 0;  // Unix time at TimePoint zero.
};

// The name of the state in logs and metrics. It must not change, because
// operators' tools use it.
std::string_view MemberStateName(MemberState state);

class Publisher {
 public:
  // Errors: those of Metrics::Create() and TraceWriter::Create().
  static Result<Publisher> Create(const Settings& settings);

  // Publishes an entry VM's metrics, writes its hops to the trace file and logs
  // changes of the catalog and the members.
  void Publish(const EntryTelemetry& telemetry);
  // Publishes a control VM's metrics and logs a change of its role.
  void Publish(const pb::ControlStatus& status);
  // Publishes how many values of accepted messages were unknown.
  void PublishUnknownValues(std::uint64_t total);
  // Publishes the metrics of a VM that forwards flows. Takes the timings out of
  // the node.
  void Publish(FlowNode& node, const FlowCatalogFreshness& catalog);

 private:
  Publisher(std::unique_ptr<Metrics> metrics,
            std::unique_ptr<TraceWriter> traces);

  void PublishCounters(const EntryCounters& counters);
  void PublishMembers(const pb::SyncRequest& report);
  void PublishClasses(const pb::Service& service,
                      const pb::ServiceReport& report);
  void PublishEndpoints(const pb::Service& service,
                        const pb::ServiceReport& report);
  void WriteHops(const EntryTelemetry& telemetry);
  void LogChanges(const EntryTelemetry& telemetry);

  std::unique_ptr<Metrics> metrics_;
  // nullptr if the settings name no trace file.
  std::unique_ptr<TraceWriter> traces_;
  // The states that were logged last; changes are found by comparison.
  std::uint64_t revision_ = 0;
  std::map<std::string, std::string> member_states_;
  std::string control_role_ = kClosedRole;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_RUNTIME_PUBLISHER_H_
