#include "vanillalatch/telemetry/metrics.h"

#include <prometheus/check_names.h>

#include <catch2/catch.hpp>
#include <set>

namespace vanillalatch {
namespace {

using Catch::Contains;

std::unique_ptr<Metrics> MakeMetrics() {
  return Metrics::Create(std::nullopt, "entry-1", "north").value();
}

TEST_CASE("the table of families is in order and well named", "[telemetry]") {
  std::set<std::string_view> names;
  std::size_t i = 0;
  for (const MetricRow& it : MetricRows()) {
    CHECK(static_cast<std::size_t>(it.metric) == i++);
    CHECK(names.insert(it.name).second);
    CHECK(prometheus::CheckMetricName(std::string(it.name)));
    CHECK(it.name.starts_with("vanillalatch_"));
    CHECK(it.name.ends_with("_total") == (it.kind == MetricKind::kCounter));
  }
}

TEST_CASE("values appear with the labels of the VM", "[telemetry]") {
  const auto metrics = MakeMetrics();
  metrics->Set(Metric::kCatalogRevision, {}, 7);
  metrics->Increment(Metric::kErrors, {"corrupt"});
  const std::string text = metrics->FormatText();
  CHECK_THAT(text, Contains("vanillalatch_catalog_revision{data_center="
                            "\"north\",vm=\"entry-1\"} 7"));
  CHECK_THAT(text, Contains("vanillalatch_errors_total{data_center=\"north\","
                            "vm=\"entry-1\",kind=\"corrupt\"} 1"));
}

TEST_CASE("a total that starts again goes on from its last value",
          "[telemetry]") {
  const auto metrics = MakeMetrics();
  for (const double total : {5.0, 9.0, 2.0, 3.0}) {
    metrics->SetTotal(Metric::kDatagrams, {}, total);
  }
  CHECK_THAT(metrics->FormatText(),
             Contains("vanillalatch_datagrams_total{data_center=\"north\","
                      "vm=\"entry-1\"} 12"));
}

TEST_CASE("a flood of label values is counted as other", "[telemetry]") {
  const auto metrics = MakeMetrics();
  for (std::size_t i = 0; i < Metrics::kMaxSeries + 10; ++i) {
    metrics->Increment(Metric::kErrors, {std::to_string(i)});
  }
  CHECK_THAT(metrics->FormatText(), Contains("kind=\"other\"} 10"));
  metrics->Clear(Metric::kErrors);
  CHECK_THAT(metrics->FormatText(), !Contains("kind="));
}

TEST_CASE("an address that is not available is an error", "[telemetry]") {
  // The address is from a network reserved for documentation, so that no
  // machine has it, and port 1 is privileged.
  const SocketAddress unavailable = SocketAddress::Parse("192.0.2.1:1").value();
  CHECK(Metrics::Create(unavailable, "vm", "north").error().kind() ==
        ErrorKind::kInvalidArgument);
}

TEST_CASE("a histogram shows samples by their bounds", "[telemetry]") {
  const auto metrics = Metrics::Create(std::nullopt, "vm", "north").value();
  for (const double it : {0.0005, 0.004, 0.03, 7.0}) {
    metrics->Observe(Metric::kFlowWait, {}, it);
  }
  const std::string text = metrics->FormatText();
  const std::string series = "vanillalatch_flow_wait_seconds_bucket{";
  CHECK(text.find(series) != std::string::npos);
  CHECK(text.find("le=\"0.001\"} 1\n") != std::string::npos);
  CHECK(text.find("le=\"0.005\"} 2\n") != std::string::npos);
  CHECK(text.find("le=\"5\"} 3\n") != std::string::npos);
  CHECK(text.find("le=\"+Inf\"} 4\n") != std::string::npos);
}

}  // namespace
}  // namespace vanillalatch
