// Brings the figures of the decision libraries to metrics, traces and logs.
//
//   Publisher publisher = Publisher::Create(settings).value();
//   publisher.Publish(entry_view);   // once a second
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
#include "vanillalatch/entry/entry_node.h"
#include "vanillalatch/membership/member.h"
#include "vanillalatch/packetflow/flow_node.h"
#include "vanillalatch/settings/settings.h"
#include "vanillalatch/telemetry/metrics.h"
#include "vanillalatch/telemetry/trace.h"

namespace vanillalatch {

// What an entry VM has to show at one time.
struct EntryView {
  const EntryCounters* counters = nullptr;
  const pb::Catalog* catalog = nullptr;
  pb::SyncRequest report;
  Duration catalog_age{};
  std::vector<Hop> hops;
  std::int64_t unix_epoch_ms = 0;
};

// Stable name in logs and metrics.
std::string_view MemberStateName(MemberState state);

class Publisher {
 public:
  // Errors: those of Metrics::Create() and TraceWriter::Create().
  static Result<Publisher> Create(const Settings& settings);

  void Publish(const EntryView& view);
  void Publish(const pb::ControlStatus& status);
  void Publish(FlowNode& node);

 private:
  Publisher(std::unique_ptr<Metrics> metrics,
            std::unique_ptr<TraceWriter> traces);

  void PublishCounters(const EntryCounters& counters);
  void PublishMembers(const pb::SyncRequest& report);
  void PublishClasses(const pb::Service& service,
                      const pb::ServiceReport& report);
  void PublishEndpoints(const pb::Service& service,
                        const pb::ServiceReport& report);
  void WriteHops(const EntryView& view);
  void LogChanges(const EntryView& view);

  std::unique_ptr<Metrics> metrics_;
  std::unique_ptr<TraceWriter> traces_;  // nullptr: no traces.
  std::uint64_t revision_ = 0;
  std::map<std::string, std::string> member_states_;
  std::string control_role_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_RUNTIME_PUBLISHER_H_
