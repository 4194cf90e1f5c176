#include "vanillalatch/telemetry/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <mutex>
#include <type_traits>
#include <vector>

namespace vanillalatch {
namespace {

using Labels = std::map<std::string, std::string>;

constexpr std::string_view kOverflowLabelValue = "other";

// Upper bounds of the histogram buckets: from the duration of one hop to the
// longest time that callers wait.
const prometheus::Histogram::BucketBoundaries kBucketBoundsSeconds = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};

}  // namespace

struct Metrics::State {
  template <typename T>
  struct Series {
    T* value = nullptr;
    double last_total = 0;  // Of SetTotal().
  };

  // A family and its series by their labels.
  template <typename T>
  struct Family {
    prometheus::Family<T>* family = nullptr;
    std::map<Labels, Series<T>> series;

    // Returns the series with these label values, and creates it if it does not
    // exist. Returns the overflow series if the family is full.
    Series<T>& FindOrAdd(const MetricRow& row, LabelValues values) {
      Labels labels;
      std::size_t i = 0;
      for (const std::string_view it : values) {
        labels.emplace(row.labels[i++], it);
      }
      if (!series.contains(labels) && series.size() >= kMaxSeries) {
        for (auto& [name, value] : labels) {
          value = kOverflowLabelValue;
        }
      }
      Series<T>& entry = series[labels];
      if (entry.value == nullptr) {
        if constexpr (std::is_same_v<T, prometheus::Histogram>) {
          entry.value = &family->Add(labels, kBucketBoundsSeconds);
        } else {
          entry.value = &family->Add(labels);
        }
      }
      return entry;
    }

    void Clear() {
      for (auto& [labels, it] : series) {
        family->Remove(it.value);
      }
      series.clear();
    }
  };

  std::shared_ptr<prometheus::Registry> registry =
      std::make_shared<prometheus::Registry>();
  std::map<Metric, Family<prometheus::Counter>> counters;
  std::map<Metric, Family<prometheus::Gauge>> gauges;
  std::map<Metric, Family<prometheus::Histogram>> histograms;
  std::unique_ptr<prometheus::Exposer> exposer;
  std::mutex mutex;
};

Metrics::Metrics(std::unique_ptr<State> state) : state_(std::move(state)) {}

Metrics::~Metrics() = default;

Result<std::unique_ptr<Metrics>> Metrics::Create(
    std::optional<SocketAddress> address, std::string_view vm,
    std::string_view data_center) {
  auto state = std::make_unique<State>();
  const Labels common_labels = {{"vm", std::string(vm)},
                                {"data_center", std::string(data_center)}};
  for (const MetricRow& it : MetricRows()) {
    const std::string name(it.name);
    const std::string help(it.help);
    const auto add = [&](auto builder) {
      return &builder.Name(name)
                  .Help(help)
                  .Labels(common_labels)
                  .Register(*state->registry);
    };
    switch (it.kind) {
      case MetricKind::kCounter:
        state->counters[it.metric].family = add(prometheus::BuildCounter());
        break;
      case MetricKind::kGauge:
        state->gauges[it.metric].family = add(prometheus::BuildGauge());
        break;
      case MetricKind::kHistogram:
        state->histograms[it.metric].family = add(prometheus::BuildHistogram());
    }
  }
  if (address) {
    try {
      constexpr std::size_t kThreads = 1;
      state->exposer =
          std::make_unique<prometheus::Exposer>(address->ToString(), kThreads);
      state->exposer->RegisterCollectable(state->registry);
    } catch (const std::exception& e) {
      return Error(ErrorKind::kInvalidArgument,
                   "metrics address " + address->ToString() +
                       " can't be opened: " + e.what());
    }
  }
  return std::unique_ptr<Metrics>(new Metrics(std::move(state)));
}

void Metrics::Set(Metric metric, LabelValues labels, double value) {
  const std::lock_guard lock(state_->mutex);
  const MetricRow& row = MetricRows()[static_cast<std::size_t>(metric)];
  state_->gauges.at(metric).FindOrAdd(row, labels).value->Set(value);
}

void Metrics::Increment(Metric metric, LabelValues labels, double amount) {
  const std::lock_guard lock(state_->mutex);
  const MetricRow& row = MetricRows()[static_cast<std::size_t>(metric)];
  state_->counters.at(metric).FindOrAdd(row, labels).value->Increment(amount);
}

void Metrics::Observe(Metric metric, LabelValues labels, double value) {
  const std::lock_guard lock(state_->mutex);
  const MetricRow& row = MetricRows()[static_cast<std::size_t>(metric)];
  state_->histograms.at(metric).FindOrAdd(row, labels).value->Observe(value);
}

void Metrics::SetTotal(Metric metric, LabelValues labels, double total) {
  const std::lock_guard lock(state_->mutex);
  const MetricRow& row = MetricRows()[static_cast<std::size_t>(metric)];
  auto& series = state_->counters.at(metric).FindOrAdd(row, labels);
  const bool was_reset = total < series.last_total;
  series.value->Increment(was_reset ? total : total - series.last_total);
  series.last_total = total;
}

void Metrics::Clear(Metric metric) {
  const std::lock_guard lock(state_->mutex);
  const auto clear = [&](auto& families) {
    const auto it = families.find(metric);
    if (it != families.end()) {
      it->second.Clear();
    }
  };
  clear(state_->counters);
  clear(state_->gauges);
  clear(state_->histograms);
}

std::string Metrics::FormatText() const {
  return prometheus::TextSerializer().Serialize(state_->registry->Collect());
}

}  // namespace vanillalatch
