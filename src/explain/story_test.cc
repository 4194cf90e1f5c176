// Tests that each cause is found from log lines.
#include "vanillalatch/explain/story.h"

#include <catch2/catch.hpp>

namespace vanillalatch {
namespace {

constexpr const char* kCaller = "100.64.0.7:40001";

// Returns a log line. `at` is the time within a minute, "SS.mmm"; `fields` are
// the members of the JSON object after the event.
std::string Line(const std::string& at, const std::string& vm,
                 const std::string& event, const std::string& fields) {
  return R"({"time":"2026-01-02T03:04:)" + at +
         R"(000Z","level":"info","vm":")" + vm + R"(","event":")" + event +
         "\"" + (fields.empty() ? "" : "," + fields) + "}";
}

// Returns a log line about the flow that the tests query.
std::string FlowLine(const std::string& at, const std::string& vm,
                     const std::string& event, const std::string& fields) {
  return Line(at, vm, event,
              R"("caller":"100.64.0.7:40001","route":"198.18.0.1:443",)"
              R"("sequence":77,)" +
                  fields);
}

FlowExplanation ExplainTexts(
    const std::vector<std::string>& texts,
    std::optional<std::uint32_t> sequence = std::nullopt) {
  std::vector<LogLine> lines;
  lines.reserve(texts.size());
  for (const std::string& it : texts) {
    lines.push_back(LogLine::Parse(it).value());
  }
  return ExplainFlow(std::move(lines), {SocketAddress::Parse(kCaller).value(),
                                        std::nullopt, sequence});
}

TEST_CASE("each cause is named from logs alone", "[explain]") {
  const std::string placed =
      FlowLine("10.100", "front-1", "flow_placed",
               R"("endpoint":"aa","elapsed_ms":0,"revision":4)");
  const std::string refused =
      FlowLine("10.100", "front-1", "flow_refused",
               R"("kind":"overloaded","expected_wait_ms":24,"queued":25,)"
               R"("usable_slots":15,"free_slots":0,"revision":4)");
  struct Row {
    const char* name;
    std::vector<std::string> lines;
    FlowCause cause;
    const char* reason_contains;
  };
  const auto row = GENERATE_COPY(values<Row>({
      {"no line about the flow",
       {Line("10.000", "front-1", "started", "")},
       FlowCause::kNotSeen,
       "no VM"},
      {"placed, nothing else", {placed}, FlowCause::kServed, "endpoint aa"},
      {"all slots in use", {refused}, FlowCause::kOverload, "25 flows waited"},
      {"slots of silent endpoints missing",
       {Line("09.000", "front-1", "endpoint_silent", R"("endpoint":"bb")"),
        Line("09.100", "front-1", "endpoint_silent", R"("endpoint":"cc")"),
        Line("09.200", "front-1", "endpoint_answers", R"("endpoint":"cc")"),
        Line("09.300", "front-2", "endpoint_silent", R"("endpoint":"dd")"),
        refused},
       FlowCause::kOverloadAfterLoss,
       "silent endpoints: 1, one is bb"},
      {"no endpoint",
       {FlowLine("10.100", "front-1", "flow_refused",
                 R"("kind":"no_endpoint")")},
       FlowCause::kNoEndpoint,
       "front-1"},
      {"route removed",
       {Line("08.000", "front-1", "catalog_in_force", R"("revision":5)"),
        FlowLine("10.100", "front-1", "route_unknown", R"("revision":5)")},
       FlowCause::kRouteRemoved,
       "revision 5"},
      {"route not in the VM's catalog yet",
       {Line("08.000", "front-2", "catalog_in_force", R"("revision":6)"),
        Line("07.000", "front-1", "control_lost", ""),
        FlowLine("10.100", "front-1", "route_unknown", R"("revision":5)")},
       FlowCause::kOlderCatalog,
       "revision 5 while 6"},
      {"endpoint crashed while the flow was open",
       {placed,
        Line("10.200", "front-1", "endpoint_silent", R"("endpoint":"aa")")},
       FlowCause::kEndpointLost,
       "silent by front-1"},
      {"endpoint never answered",
       {placed,
        FlowLine("11.500", "front-1", "flow_unheard",
                 R"("endpoint":"aa","elapsed_ms":1400,"answered":false)")},
       FlowCause::kEndpointLost,
       "1400 ms"},
      {"endpoint too slow",
       {placed, FlowLine("11.600", "front-1", "flow_given_up",
                         R"("endpoint":"aa","elapsed_ms":1500,"answered":true,)"
                         R"("requested":true)")},
       FlowCause::kEndpointSlow,
       "1500 ms"},
      {"gave up in the queue",
       {FlowLine("11.600", "front-1", "flow_given_up",
                 R"("endpoint":"","elapsed_ms":600)")},
       FlowCause::kOverload,
       "600 ms"},
      {"the VM failed",
       {placed, Line("12.000", "front-1", "started", "")},
       FlowCause::kVmLost,
       "front-1 restarted without a planned stop"},
      {"the VM stopped as planned",
       {placed, Line("11.000", "front-1", "stopping", ""),
        Line("12.000", "front-1", "started", "")},
       FlowCause::kServed,
       "aa"},
      {"the dispatcher failed",
       {FlowLine("10.200", "front-2", "dispatcher_silent",
                 R"("dispatcher":"front-1")")},
       FlowCause::kVmLost,
       "front-1 did not answer front-2"},
      {"partitioned from the dispatcher, placed late",
       {FlowLine("10.200", "front-2", "dispatcher_silent",
                 R"("dispatcher":"front-1")"),
        FlowLine("10.201", "front-2", "flow_placed", R"("endpoint":"aa")"),
        Line("10.700", "front-2", "control_lost", R"("control":"core-1")")},
       FlowCause::kCutOff,
       "lost control VM core-1"},
      {"placed late by a VM that had just started",
       {FlowLine("10.200", "front-2", "opening_parked", R"("dispatcher":"")"),
        FlowLine("10.900", "front-2", "flow_placed", R"("endpoint":"aa")")},
       FlowCause::kVmStarting,
       "placed the flow late"},
      {"the VM had just started",
       {FlowLine("10.100", "front-1", "opening_parked", R"("dispatcher":"")")},
       FlowCause::kVmStarting,
       "front-1"},
      {"packets dropped at a start",
       {FlowLine("10.100", "front-1", "packet_dropped",
                 R"("revision":0,"endpoints":0)")},
       FlowCause::kVmStarting,
       "no catalog"},
      {"packets dropped by a partitioned VM",
       {placed, FlowLine("10.300", "front-2", "packet_dropped",
                         R"("revision":4,"endpoints":9)")},
       FlowCause::kEndpointUnknown,
       "front-2 had 9"},
  }));
  CAPTURE(row.name);
  const FlowExplanation explanation = ExplainTexts(row.lines);
  CAPTURE(explanation.reason);
  CHECK(GetFlowCauseRow(explanation.cause).name ==
        GetFlowCauseRow(row.cause).name);
  CHECK(explanation.reason.find(row.reason_contains) != std::string::npos);
  CHECK(GetFlowCauseRow(explanation.cause).cause == explanation.cause);
}

TEST_CASE("the last flow of a port counts unless another is named",
          "[explain]") {
  const std::vector<std::string> lines = {
      Line("10.000", "front-1", "flow_refused",
           R"("caller":"100.64.0.7:40001","route":"198.18.0.1:443",)"
           R"("sequence":5,"kind":"no_endpoint")"),
      FlowLine("12.000", "front-1", "flow_placed", R"("endpoint":"aa")")};
  CHECK(ExplainTexts(lines).cause == FlowCause::kServed);
  CHECK(ExplainTexts(lines, 5).cause == FlowCause::kNoEndpoint);
}

TEST_CASE("a restart after midnight explains a flow before midnight",
          "[explain]") {
  const std::vector<std::string> lines = {
      R"({"time":"2026-01-31T23:59:59.900000Z","vm":"front-1",)"
      R"("event":"flow_placed","caller":"100.64.0.7:40001",)"
      R"("route":"198.18.0.1:443","sequence":7,"endpoint":"aa"})",
      R"({"time":"2026-02-01T00:00:01.000000Z","vm":"front-1",)"
      R"("event":"started"})"};
  CHECK(ExplainTexts(lines).cause == FlowCause::kVmLost);
  // A start at the same time of another day is not relevant.
  const std::vector<std::string> days = {
      lines[0], R"({"time":"2026-02-02T23:59:59.950000Z","vm":"front-1",)"
                R"("event":"started"})"};
  CHECK(ExplainTexts(days).cause == FlowCause::kServed);
}

TEST_CASE("a line that is no event is refused", "[explain]") {
  const auto text = GENERATE(
      values<std::string>({"", "plain text", "{\"time\":\"2026", "{}", "[1]",
                           R"({"time":1,"vm":"a","event":"b"})"}));
  CHECK(LogLine::Parse(text).error().kind() == ErrorKind::kInvalidArgument);
}

TEST_CASE("text before the event in a line is ignored", "[explain]") {
  const LogLine line =
      LogLine::Parse("  42.1 front-1 " + Line("10.000", "v", "stopped", ""))
          .value();
  CHECK(line.event() == "stopped");
  CHECK(line.vm() == "v");
}

}  // namespace
}  // namespace vanillalatch
