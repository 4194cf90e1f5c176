#include "src/standin/summary.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <string_view>

namespace vanillalatch::standin {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::array<std::string_view, kCallOutcomes> kOutcomeNames = {
    "answered",  "refused",         "broken",
    "misrouted", "unknown_outcome", "unanswered"};

// Rounds to three decimal places.
double Rounded(double value) {
  constexpr double kStepsPerUnit = 1000;
  return std::round(value * kStepsPerUnit) / kStepsPerUnit;
}

double Milliseconds(Duration duration) {
  return Rounded(std::chrono::duration<double, std::milli>(duration).count());
}

double Ratio(double part, double whole) {
  return whole > 0 ? Rounded(part / whole) : 0;
}

Json ClassSummary(const RequestKind& kind, const KindCounters& counters) {
  Json json = {{"service", kind.service},
               {"class", kind.work_class},
               {"sent", counters.sent}};
  for (std::size_t i = 0; i < kCallOutcomes; ++i) {
    json[std::string(kOutcomeNames.at(i))] = counters.outcomes.at(i);
  }
  constexpr double kMedian = 0.5;
  constexpr double kPercentile99 = 0.99;
  constexpr double kPermillePerUnit = 1000;
  json["resends"] = counters.resends;
  json["p50_ms"] = Milliseconds(Percentile(counters.latencies, kMedian));
  json["p99_ms"] = Milliseconds(Percentile(counters.latencies, kPercentile99));
  json["target_ms"] = Milliseconds(kind.latency_target);
  json["within"] = Ratio(static_cast<double>(counters.within_target),
                         static_cast<double>(counters.sent));
  json["target_within"] = kind.success_permille / kPermillePerUnit;
  return json;
}

}  // namespace

Duration Percentile(std::vector<Duration> samples, double fraction) {
  if (samples.empty()) {
    return Duration::zero();
  }
  std::sort(samples.begin(), samples.end());
  const auto last = static_cast<double>(samples.size() - 1);
  return samples[static_cast<std::size_t>(std::ceil(last * fraction))];
}

std::string CallerSummary(const std::string& data_center,
                          const Callers& callers) {
  Json totals = {{"data_center", data_center}};
  Json classes = Json::array();
  std::uint64_t sent = 0;
  std::array<std::uint64_t, kCallOutcomes> outcomes{};
  for (std::size_t i = 0; i < callers.counters().size(); ++i) {
    const KindCounters& counters = callers.counters()[i];
    sent += counters.sent;
    for (std::size_t n = 0; n < kCallOutcomes; ++n) {
      outcomes.at(n) += counters.outcomes.at(n);
    }
    classes.push_back(ClassSummary(callers.options().kinds[i], counters));
  }
  totals["sent"] = sent;
  for (std::size_t n = 0; n < kCallOutcomes; ++n) {
    totals[std::string(kOutcomeNames.at(n))] = outcomes.at(n);
  }
  totals["classes"] = std::move(classes);
  return totals.dump(2) + "\n";
}

std::string BackendSummary(const BackendOptions& options,
                           const BackendCounters& counters, Duration elapsed) {
  const double slot_time =
      std::chrono::duration<double>(elapsed).count() * options.slots;
  const Json json = {
      {"endpoint", options.name},
      {"service", options.service},
      {"requests", counters.requests},
      {"busy_share",
       Ratio(std::chrono::duration<double>(counters.busy).count(), slot_time)},
      {"shed", counters.shed},
      {"cancelled", counters.cancelled},
      {"repeated", counters.retransmissions},
      {"distinct_bodies", counters.distinct_bodies},
      {"double_runs", counters.double_runs}};
  return json.dump(2) + "\n";
}

}  // namespace vanillalatch::standin
