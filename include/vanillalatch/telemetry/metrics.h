// The metrics of a process, exposed for Prometheus. All metric families are
// listed in one table, MetricRows(). The number of series per family is
// limited, so that arbitrary label values can't exhaust the memory.
//
//   auto metrics = Metrics::Create(address, "entry-north-1", "north").value();
//   metrics->Increment(Metric::kErrors, {"corrupt"});
//   metrics->Set(Metric::kCatalogRevision, {}, 7);
//   metrics->SetTotal(Metric::kDatagrams, {}, counters.datagrams);
#ifndef VANILLALATCH_TELEMETRY_METRICS_H_
#define VANILLALATCH_TELEMETRY_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "vanillalatch/base/address.h"
#include "vanillalatch/base/result.h"

namespace vanillalatch {

// Identifies a metric family. Each comment gives the kind, the unit if it is
// not a plain number, and the labels; MetricRow::help gives the meaning.
enum class Metric : std::uint8_t {
  kInfo,              // Gauge; version. Always 1.
  kErrors,            // Counter; kind.
  kDatagrams,         // Counter.
  kMalformed,         // Counter.
  kHandedOver,        // Counter.
  kAnswered,          // Counter.
  kRefused,           // Counter.
  kGivenUp,           // Counter.
  kRetried,           // Counter.
  kReplayed,          // Counter.
  kDroppedAnswers,    // Counter.
  kTakenOver,         // Counter.
  kCatalogRevision,   // Gauge.
  kCatalogAge,        // Gauge, seconds since a control VM confirmed it.
  kCatalogLag,        // Gauge, seconds since a peer has had a newer one.
  kMembers,           // Gauge; state.
  kClassRequests,     // Counter; service, class, outcome.
  kClassQueued,       // Gauge; service, class.
  kClassP99,          // Gauge, seconds; service, class.
  kClassTarget,       // Gauge, seconds; service, class.
  kEndpointSlots,     // Gauge; service, endpoint.
  kEndpointBusy,      // Gauge, slots; service, endpoint.
  kEndpointRequests,  // Counter; service, endpoint.
  kEndpointBusyTime,  // Counter, seconds; service, endpoint.
  kControlTerm,       // Gauge.
  kControlCommitted,  // Gauge, log index.
  kControlLeader,     // Gauge, 1 on the leader.
  kToleratedLosses,   // Gauge, control VMs; on the leader only.
  kEvacuations,       // Gauge.
  kUnknownValues,     // Counter.
  kFlowEvents,        // Counter; event.
  kPeerBytes,         // Counter; direction, kind.
  kFlowWait,          // Histogram, seconds.
  kFlowHandshake,     // Histogram, seconds.
  kFlowAnswer,        // Histogram, seconds.
};

enum class MetricKind : std::uint8_t { kGauge, kCounter, kHistogram };

struct MetricRow {
  Metric metric;
  std::string_view name;  // The name of the family in Prometheus.
  MetricKind kind;
  std::string_view help;
  std::span<const std::string_view> labels;  // Label names.
};

// Returns all families, in the order of the enumeration.
std::span<const MetricRow> MetricRows();

// Values of the labels of a family, in the order of MetricRow::labels.
using LabelValues = std::initializer_list<std::string_view>;

// All functions are thread-safe. A function for metrics of one kind throws
// std::out_of_range for a metric of another kind.
class Metrics {
 public:
  // The maximum number of series per family. Further label values are counted
  // in one series, whose labels all have the value "other".
  static constexpr std::size_t kMaxSeries = 4096;

  // Creates all families, and serves them at http://ADDRESS/metrics if an
  // address is given. `vm` and `data_center` become labels of every series.
  // Error: kInvalidArgument if the address can't be opened.
  static Result<std::unique_ptr<Metrics>> Create(
      std::optional<SocketAddress> address, std::string_view vm,
      std::string_view data_center);
  ~Metrics();

  // Sets a gauge.
  void Set(Metric metric, LabelValues labels, double value);
  // Adds `amount` to a counter.
  void Increment(Metric metric, LabelValues labels, double amount = 1);
  // Advances a counter by the growth of `total`, a running total that the
  // caller counts. A total below the previous one was reset to zero by the
  // caller, so that all of it is added.
  void SetTotal(Metric metric, LabelValues labels, double total);
  // Adds a sample to a histogram.
  void Observe(Metric metric, LabelValues labels, double value);
  // Removes all series of a family, so that series of endpoints that no longer
  // exist disappear.
  void Clear(Metric metric);

  // Returns all metrics in the Prometheus text format.
  std::string FormatText() const;

 private:
  struct State;
  explicit Metrics(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_TELEMETRY_METRICS_H_
