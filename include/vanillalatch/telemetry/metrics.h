// The metrics of a process, exposed for Prometheus. Every family is named in
// one table; labels are bounded, so a flood of names can't fill the memory.
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
  kCatalogAge,        // Gauge, seconds since a control VM was heard.
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
  kFlowEvents,        // Counter; event.
  kFlowWait,          // Histogram, seconds.
  kFlowHandshake,     // Histogram, seconds.
  kFlowAnswer,        // Histogram, seconds.
};

enum class MetricKind : std::uint8_t { kGauge, kCounter, kHistogram };

struct MetricRow {
  Metric metric;
  std::string_view name;  // As Prometheus shows it.
  MetricKind kind;
  std::string_view help;
  std::span<const std::string_view> labels;
};

// All families, in the order of the enumeration.
std::span<const MetricRow> MetricRows();

using LabelValues = std::initializer_list<std::string_view>;

// Every function may be called by every thread.
class Metrics {
 public:
  // Series that one family holds at most; what comes later is counted under
  // the label value "other".
  static constexpr std::size_t kMaxSeries = 4096;

  // Serves http://ADDRESS/metrics if an address is given. The VM and its data
  // centre become labels of every series. Error: kInvalidArgument if the
  // address can't be opened.
  static Result<std::unique_ptr<Metrics>> Create(
      std::optional<SocketAddress> address, std::string_view vm,
      std::string_view data_center);
  ~Metrics();

  // A gauge's value.
  void Set(Metric metric, LabelValues labels, double value);
  // One more of a counter.
  void Increment(Metric metric, LabelValues labels, double amount = 1);
  // Brings a counter to a total that somebody else counts. A total that went
  // down was started again from zero.
  void SetTotal(Metric metric, LabelValues labels, double total);
  // One more sample of a histogram.
  void Observe(Metric metric, LabelValues labels, double value);
  // Drops every series of a family, for example of endpoints that went away.
  void Clear(Metric metric);

  // Everything in Prometheus' text format.
  std::string Text() const;

 private:
  struct State;
  explicit Metrics(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_TELEMETRY_METRICS_H_
