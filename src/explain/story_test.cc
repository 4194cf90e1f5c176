// Each cause, named from log lines alone.
#include "vanillalatch/explain/story.h"

#include <catch2/catch.hpp>

namespace vanillalatch {
namespace {

constexpr const char* kCaller = "100.64.0.7:40001";

// A line as a VM writes it: second and millisecond, VM, event, fields.
std::string Line(const std::string& at, const std::string& vm,
                 const std::string& event, const std::string& fields) {
  return R"({"time":"2026-01-02T03:04:)" + at +
         R"(000Z","level":"info","vm":")" + vm + R"(","event":")" + event +
         "\"" + (fields.empty() ? "" : "," + fields) + "}";
}

// The same, of the flow in question.
std::string Flow(const std::string& at, const std::string& vm,
                 const std::string& event, const std::string& fields) {
  return Line(at, vm, event,
              R"("caller":"100.64.0.7:40001","route":"198.18.0.1:443",)"
              R"("sequence":77,)" +
                  fields);
}

Story StoryOf(const std::vector<std::string>& texts,
              std::optional<std::uint32_t> sequence = std::nullopt) {
  std::vector<LogLine> lines;
  lines.reserve(texts.size());
  for (const std::string& it : texts) {
    lines.push_back(LogLine::Parse(it).value());
  }
  return Explain(std::move(lines), {SocketAddress::Parse(kCaller).value(),
                                    std::nullopt, sequence});
}

TEST_CASE("each cause is named from logs alone", "[explain]") {
  const std::string placed =
      Flow("10.100", "front-1", "flow_placed",
           R"("endpoint":"aa","elapsed_ms":0,"revision":4)");
  const std::string refused =
      Flow("10.100", "front-1", "flow_refused",
           R"("kind":"overloaded","expected_wait_ms":24,"queued":25,)"
           R"("usable_slots":15,"free_slots":0,"revision":4)");
  struct Row {
    const char* name;
    std::vector<std::string> lines;
    FlowCause cause;
    const char* says;
  };
  const auto row = GENERATE_COPY(values<Row>({
      {"nobody saw it",
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
       {Flow("10.100", "front-1", "flow_refused", R"("kind":"no_endpoint")")},
       FlowCause::kNoEndpoint,
       "front-1"},
      {"route removed",
       {Line("08.000", "front-1", "catalog_in_force", R"("revision":5)"),
        Flow("10.100", "front-1", "route_unknown", R"("revision":5)")},
       FlowCause::kRouteRemoved,
       "revision 5"},
      {"route not known yet",
       {Line("08.000", "front-2", "catalog_in_force", R"("revision":6)"),
        Line("07.000", "front-1", "control_lost", ""),
        Flow("10.100", "front-1", "route_unknown", R"("revision":5)")},
       FlowCause::kOlderCatalog,
       "revision 5 while 6"},
      {"endpoint crashed while the flow was open",
       {placed,
        Line("10.200", "front-1", "endpoint_silent", R"("endpoint":"aa")")},
       FlowCause::kEndpointLost,
       "silent by front-1"},
      {"endpoint never answered",
       {placed, Flow("11.500", "front-1", "flow_unheard",
                     R"("endpoint":"aa","elapsed_ms":1400,"answered":false)")},
       FlowCause::kEndpointLost,
       "1400 ms"},
      {"endpoint too slow",
       {placed, Flow("11.600", "front-1", "flow_given_up",
                     R"("endpoint":"aa","elapsed_ms":1500,"answered":true,)"
                     R"("requested":true)")},
       FlowCause::kEndpointSlow,
       "1500 ms"},
      {"gave up in the queue",
       {Flow("11.600", "front-1", "flow_given_up",
             R"("endpoint":"","elapsed_ms":600)")},
       FlowCause::kOverload,
       "600 ms"},
      {"the VM died",
       {placed, Line("12.000", "front-1", "started", "")},
       FlowCause::kVmLost,
       "front-1 started anew"},
      {"the VM stopped as planned",
       {placed, Line("11.000", "front-1", "stopping", ""),
        Line("12.000", "front-1", "started", "")},
       FlowCause::kServed,
       "aa"},
      {"the dispatcher was gone",
       {Flow("10.200", "front-2", "dispatcher_silent",
             R"("dispatcher":"front-1")")},
       FlowCause::kVmLost,
       "front-1 did not answer front-2"},
      {"cut off from the dispatcher, placed late",
       {Flow("10.200", "front-2", "dispatcher_silent",
             R"("dispatcher":"front-1")"),
        Flow("10.201", "front-2", "flow_placed", R"("endpoint":"aa")"),
        Line("10.700", "front-2", "control_lost", R"("control":"core-1")")},
       FlowCause::kCutOff,
       "lost control VM core-1"},
      {"placed late by a VM that had just started",
       {Flow("10.200", "front-2", "opening_parked", R"("dispatcher":"")"),
        Flow("10.900", "front-2", "flow_placed", R"("endpoint":"aa")")},
       FlowCause::kVmStarting,
       "placed it late"},
      {"the VM had just started",
       {Flow("10.100", "front-1", "opening_parked", R"("dispatcher":"")")},
       FlowCause::kVmStarting,
       "front-1"},
      {"packets dropped at a start",
       {Flow("10.100", "front-1", "packet_dropped",
             R"("revision":0,"endpoints":0)")},
       FlowCause::kVmStarting,
       "no catalog"},
      {"packets dropped by a VM that is cut off",
       {placed, Flow("10.300", "front-2", "packet_dropped",
                     R"("revision":4,"endpoints":9)")},
       FlowCause::kEndpointUnknown,
       "front-2 knew 9"},
  }));
  CAPTURE(row.name);
  const Story story = StoryOf(row.lines);
  CAPTURE(story.reason);
  CHECK(CauseRowOf(story.cause).name == CauseRowOf(row.cause).name);
  CHECK(story.reason.find(row.says) != std::string::npos);
  CHECK(CauseRowOf(story.cause).cause == story.cause);
}

TEST_CASE("the last flow of a port counts unless another is named",
          "[explain]") {
  const std::vector<std::string> lines = {
      Line("10.000", "front-1", "flow_refused",
           R"("caller":"100.64.0.7:40001","route":"198.18.0.1:443",)"
           R"("sequence":5,"kind":"no_endpoint")"),
      Flow("12.000", "front-1", "flow_placed", R"("endpoint":"aa")")};
  CHECK(StoryOf(lines).cause == FlowCause::kServed);
  CHECK(StoryOf(lines, 5).cause == FlowCause::kNoEndpoint);
}

TEST_CASE("a flow before midnight and its VM's start behind it belong together",
          "[explain]") {
  const std::vector<std::string> lines = {
      R"({"time":"2026-01-31T23:59:59.900000Z","vm":"front-1",)"
      R"("event":"flow_placed","caller":"100.64.0.7:40001",)"
      R"("route":"198.18.0.1:443","sequence":7,"endpoint":"aa"})",
      R"({"time":"2026-02-01T00:00:01.000000Z","vm":"front-1",)"
      R"("event":"started"})"};
  CHECK(StoryOf(lines).cause == FlowCause::kVmLost);
  // The same time on another day is no context.
  const std::vector<std::string> days = {
      lines[0], R"({"time":"2026-02-02T23:59:59.950000Z","vm":"front-1",)"
                R"("event":"started"})"};
  CHECK(StoryOf(days).cause == FlowCause::kServed);
}

TEST_CASE("a line that is no event is refused", "[explain]") {
  const auto text = GENERATE(
      values<std::string>({"", "plain text", "{\"time\":\"2026", "{}", "[1]",
                           R"({"time":1,"vm":"a","event":"b"})"}));
  CHECK(LogLine::Parse(text).error().kind() == ErrorKind::kInvalidArgument);
}

TEST_CASE("what stands in front of an event is left out", "[explain]") {
  const LogLine line =
      LogLine::Parse("  42.1 front-1 " + Line("10.000", "v", "stopped", ""))
          .value();
  CHECK(line.event() == "stopped");
  CHECK(line.vm() == "v");
}

}  // namespace
}  // namespace vanillalatch
