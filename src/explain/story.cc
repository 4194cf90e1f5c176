#include "vanillalatch/explain/story.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "absl/time/time.h"

namespace vanillalatch {
namespace {

constexpr auto kRows = std::to_array<FlowCauseRow>({
    {FlowCause::kNotSeen, "not_seen",
     "Look for VMs that were not running and for log_lines_left_out, and check "
     "the routers in front of the VMs."},
    {FlowCause::kServed, "served", "Nothing failed before the endpoint."},
    {FlowCause::kOverload, "overload",
     "Start backend servers, or change the classes' targets."},
    {FlowCause::kOverloadAfterLoss, "overload_after_loss",
     "Check the endpoints that became silent."},
    {FlowCause::kNoEndpoint, "no_endpoint",
     "Check that the service's backend servers run and reach a control VM."},
    {FlowCause::kRouteRemoved, "route_removed",
     "The operator's file no longer has the route."},
    {FlowCause::kOlderCatalog, "older_catalog",
     "Look for control_lost on the VM, and check the network to control VMs."},
    {FlowCause::kEndpointLost, "endpoint_lost", "Check the backend server."},
    {FlowCause::kEndpointSlow, "endpoint_slow",
     "Check the response times of the backend server."},
    {FlowCause::kVmLost, "vm_lost", "Check the VM that failed or restarted."},
    {FlowCause::kVmStarting, "vm_starting",
     "Check the control VM that the VM waited for: look for control_lost and "
     "control_regained."},
    {FlowCause::kEndpointUnknown, "endpoint_unknown",
     "The VM is partitioned from others: look for its member_changed and "
     "control_lost."},
    {FlowCause::kCutOff, "cut_off",
     "Check the network between the two VMs: look for member_changed and "
     "control_lost of both."},
});

// Events that are not about a flow, such as the restart of a VM, may explain
// how a flow ended. They are relevant from kContextBefore before the first line
// of the flow until kContextAfter after its last line.
constexpr absl::Duration kContextBefore = absl::Seconds(10);
constexpr absl::Duration kContextAfter = absl::Seconds(5);

// Returns InfinitePast() for a text that is not a time.
absl::Time ParseTimestamp(const std::string& text) {
  absl::Time time;
  return absl::ParseTime(absl::RFC3339_full, text, &time, nullptr)
             ? time
             : absl::InfinitePast();
}

// True for events of any flow.
bool IsFlowEvent(const LogLine& line) {
  return !line.GetString("caller").empty();
}

// True if the line is about a flow that the query selects. The sequence number
// of a packet_dropped line is not compared, as it may belong to a later packet
// of the flow.
bool Matches(const LogLine& line, const FlowQuery& query) {
  return line.GetString("caller") == query.caller.ToString() &&
         (!query.route || line.GetString("route") == query.route->ToString()) &&
         (!query.sequence ||
          line.GetInt("sequence") == std::int64_t{*query.sequence} ||
          line.event() == "packet_dropped");
}

// Finds the cause of the end of one flow in the lines of all VMs.
class FlowAnalyzer {
 public:
  FlowAnalyzer(std::vector<LogLine> lines, const FlowQuery& query)
      : all_lines_(std::move(lines)) {
    // Timestamps are UTC texts of the same width, so that they sort as texts.
    std::stable_sort(
        all_lines_.begin(), all_lines_.end(),
        [](const LogLine& a, const LogLine& b) { return a.time() < b.time(); });
    for (const LogLine& it : all_lines_) {
      if (Matches(it, query)) {
        flow_lines_.push_back(&it);
      }
    }
    if (!query.sequence) {
      RemoveEarlierFlows();
    }
  }

  FlowExplanation Explain() {
    FlowExplanation explanation;
    std::tie(explanation.cause, explanation.reason) = FindCause();
    for (const LogLine& it : all_lines_) {
      if (IsRelevant(it)) {
        explanation.lines.push_back(it);
      }
    }
    return explanation;
  }

 private:
  using CauseAndReason = std::pair<FlowCause, std::string>;

  // Removes the lines of all flows but the last one. Lines of packet_dropped
  // stay, as packets after the opening one have sequence numbers of their own.
  void RemoveEarlierFlows() {
    std::optional<std::int64_t> last;
    for (const LogLine* it : flow_lines_) {
      if (it->event() != "packet_dropped") {
        last = it->GetInt("sequence");
      }
    }
    std::erase_if(flow_lines_, [&](const LogLine* it) {
      return last && it->event() != "packet_dropped" &&
             it->GetInt("sequence") != *last;
    });
  }

  // Returns the last line of the flow with one of these events, or null.
  const LogLine* FindLast(
      std::initializer_list<std::string_view> events) const {
    for (auto it = flow_lines_.rbegin(); it != flow_lines_.rend(); ++it) {
      if (std::find(events.begin(), events.end(), (*it)->event()) !=
          events.end()) {
        return *it;
      }
    }
    return nullptr;
  }

  CauseAndReason FindCause() const {
    if (flow_lines_.empty()) {
      return {FlowCause::kNotSeen, "no VM logged a line about this flow"};
    }
    if (const LogLine* it = FindLast({"flow_refused"})) {
      return ExplainRefusal(*it);
    }
    if (const LogLine* it = FindLast({"route_unknown"})) {
      return ExplainUnknownRoute(*it);
    }
    const LogLine* placed = FindLast({"flow_placed", "flow_moved"});
    if (const LogLine* it = FindLast({"flow_given_up", "flow_unheard"})) {
      return ExplainUnfinishedFlow(*it);
    }
    if (placed != nullptr) {
      return ExplainPlacedFlow(*placed);
    }
    if (const LogLine* it = FindLast({"packet_dropped"})) {
      return ExplainDroppedPacket(*it);
    }
    return ExplainUnplacedFlow(*flow_lines_.back());
  }

  CauseAndReason ExplainRefusal(const LogLine& line) const {
    const std::string kind = line.GetString("kind");
    if (kind == "no_endpoint") {
      return {FlowCause::kNoEndpoint,
              line.vm() + " had no endpoint of the service"};
    }
    if (kind == "not_found") {
      return ExplainUnknownRoute(line);
    }
    const std::set<std::string> silent = SilentEndpointsAt(line);
    const std::string facts =
        line.vm() +
        " refused the flow: " + std::to_string(line.GetInt("queued")) +
        " flows waited for " + std::to_string(line.GetInt("usable_slots")) +
        " slots, " + std::to_string(line.GetInt("free_slots")) +
        " free, expected wait " +
        std::to_string(line.GetInt("expected_wait_ms")) + " ms";
    if (silent.empty()) {
      return {FlowCause::kOverload, facts};
    }
    return {FlowCause::kOverloadAfterLoss,
            facts + "; silent endpoints: " + std::to_string(silent.size()) +
                ", one is " + *silent.begin()};
  }

  CauseAndReason ExplainUnknownRoute(const LogLine& line) const {
    const std::int64_t revision_held = line.GetInt("revision");
    std::int64_t newest = revision_held;
    for (const LogLine& it : all_lines_) {
      if (it.event() == "catalog_in_force" && it.time() <= line.time()) {
        newest = std::max(newest, it.GetInt("revision"));
      }
    }
    const std::string revision = std::to_string(revision_held);
    if (newest > revision_held) {
      return {FlowCause::kOlderCatalog,
              line.vm() + " had revision " + revision + " while " +
                  std::to_string(newest) + " was in force elsewhere"};
    }
    return {FlowCause::kRouteRemoved,
            "revision " + revision + " on " + line.vm() +
                ", the newest at that time, has no such route"};
  }

  CauseAndReason ExplainUnfinishedFlow(const LogLine& line) const {
    const std::string endpoint = line.GetString("endpoint");
    if (endpoint.empty()) {
      return {FlowCause::kOverload,
              "the caller gave up after " +
                  std::to_string(line.GetInt("elapsed_ms")) +
                  " ms, while the flow waited for a slot on " + line.vm()};
    }
    if (const LogLine* it = FindSilenceReport(endpoint)) {
      return {FlowCause::kEndpointLost, "endpoint " + endpoint +
                                            " was found silent by " + it->vm() +
                                            " at " + it->time()};
    }
    if (const LogLine* it = FindUnplannedRestart(line.vm())) {
      return {FlowCause::kVmLost,
              it->vm() + " restarted without a planned stop at " + it->time()};
    }
    if (line.GetBool("answered") && line.GetBool("requested")) {
      return {FlowCause::kEndpointSlow,
              "endpoint " + endpoint + " accepted the flow, and in " +
                  std::to_string(line.GetInt("elapsed_ms")) + " ms " +
                  line.vm() + " received no report of an answer"};
    }
    return {FlowCause::kEndpointLost,
            "endpoint " + endpoint + " did not answer the opening packet in " +
                std::to_string(line.GetInt("elapsed_ms")) + " ms"};
  }

  CauseAndReason ExplainPlacedFlow(const LogLine& line) const {
    if (const LogLine* it = FindUnplannedRestart(line.vm())) {
      return {FlowCause::kVmLost,
              it->vm() + " restarted without a planned stop at " + it->time()};
    }
    const std::string endpoint = line.GetString("endpoint");
    if (const LogLine* it = FindSilenceReport(endpoint)) {
      return {FlowCause::kEndpointLost, "endpoint " + endpoint +
                                            " was found silent by " + it->vm() +
                                            " at " + it->time()};
    }
    if (const LogLine* it = FindLast({"packet_dropped"});
        it != nullptr && it->time() > line.time()) {
      return ExplainDroppedPacket(*it);
    }
    if (const LogLine* it = FindLast({"dispatcher_silent"})) {
      return {FlowCause::kCutOff,
              it->vm() + " had no answer from " + it->GetString("dispatcher") +
                  ", which dispatches, and placed the flow itself on " +
                  endpoint + DescribeControlLoss(it->vm())};
    }
    if (const LogLine* it =
            FindLast({"opening_parked", "dispatcher_declined"})) {
      return {FlowCause::kVmStarting, it->vm() + " placed the flow late: " +
                                          ExplainUnplacedFlow(*it).second};
    }
    return {FlowCause::kServed,
            "placed on endpoint " + endpoint + " by " + line.vm() + " after " +
                std::to_string(line.GetInt("elapsed_ms")) + " ms"};
  }

  CauseAndReason ExplainDroppedPacket(const LogLine& line) const {
    if (line.GetInt("revision") == 0 || line.GetInt("endpoints") == 0) {
      return {FlowCause::kVmStarting,
              line.vm() + " had no catalog or no endpoints yet"};
    }
    return {FlowCause::kEndpointUnknown,
            line.vm() + " had " + std::to_string(line.GetInt("endpoints")) +
                " endpoints in its table, but not the one of this flow"};
  }

  CauseAndReason ExplainUnplacedFlow(const LogLine& line) const {
    if (line.event() == "dispatcher_silent") {
      return {FlowCause::kVmLost,
              line.GetString("dispatcher") + " did not answer " + line.vm()};
    }
    const bool parked = line.event() == "opening_parked";
    return {FlowCause::kVmStarting,
            (parked ? line.vm() : line.GetString("dispatcher")) +
                " did not have the endpoints or the newest catalog yet"};
  }

  std::string DescribeControlLoss(const std::string& vm) const {
    for (const LogLine& it : all_lines_) {
      if (it.vm() == vm && it.event() == "control_lost" && IsInContext(it)) {
        return "; it lost control VM " + it.GetString("control") + " at " +
               it.time();
      }
    }
    return "";
  }

  // Returns the endpoints that the VM of this line considered silent at that
  // time.
  std::set<std::string> SilentEndpointsAt(const LogLine& line) const {
    std::set<std::string> silent;
    for (const LogLine& it : all_lines_) {
      if (it.vm() != line.vm() || it.time() > line.time()) {
        continue;
      }
      if (it.event() == "endpoint_silent") {
        silent.insert(it.GetString("endpoint"));
      } else if (it.event() == "endpoint_answers") {
        silent.erase(it.GetString("endpoint"));
      } else if (it.event() == "started") {
        silent.clear();
      }
    }
    return silent;
  }

  // Returns the line in which a VM reports the endpoint silent, during the flow
  // or soon after it, or null.
  const LogLine* FindSilenceReport(const std::string& endpoint) const {
    for (const LogLine& it : all_lines_) {
      if (it.event() == "endpoint_silent" &&
          it.GetString("endpoint") == endpoint &&
          it.time() >= flow_lines_.front()->time() && IsInContext(it)) {
        return &it;
      }
    }
    return nullptr;
  }

  // Returns the line of a start of the VM during the flow or soon after it,
  // unless the VM had stopped as planned; or null.
  const LogLine* FindUnplannedRestart(const std::string& vm) const {
    bool stop_planned = false;
    for (const LogLine& it : all_lines_) {
      if (it.vm() != vm || it.time() < flow_lines_.front()->time() ||
          !IsInContext(it)) {
        continue;
      }
      stop_planned |= it.event() == "stopping";
      if (it.event() == "started" && !stop_planned) {
        return &it;
      }
    }
    return nullptr;
  }

  // True if the line is close enough to the flow in time to be relevant.
  bool IsInContext(const LogLine& line) const {
    const absl::Time at = ParseTimestamp(line.time());
    return at >= ParseTimestamp(flow_lines_.front()->time()) - kContextBefore &&
           at <= ParseTimestamp(flow_lines_.back()->time()) + kContextAfter;
  }

  // True for the lines of the flow, and for events of its endpoints and VMs
  // that are close to it in time.
  bool IsRelevant(const LogLine& line) const {
    if (flow_lines_.empty()) {
      return false;
    }
    if (IsFlowEvent(line)) {
      return std::any_of(flow_lines_.begin(), flow_lines_.end(),
                         [&](const LogLine* it) { return it == &line; });
    }
    if (!IsInContext(line) || line.event() == "flows_summary") {
      return false;
    }
    const std::string endpoint = line.GetString("endpoint");
    if (!endpoint.empty()) {
      return std::any_of(
          flow_lines_.begin(), flow_lines_.end(), [&](const LogLine* it) {
            return it->GetString("endpoint") == endpoint ||
                   it->GetString("from") == endpoint ||
                   (it->event() == "flow_refused" && it->vm() == line.vm());
          });
    }
    return std::any_of(
        flow_lines_.begin(), flow_lines_.end(),
        [&](const LogLine* it) { return it->vm() == line.vm(); });
  }

  std::vector<LogLine> all_lines_;
  std::vector<const LogLine*> flow_lines_;  // Into all_lines_, by time.
};

}  // namespace

std::span<const FlowCauseRow> FlowCauseRows() { return kRows; }

const FlowCauseRow& GetFlowCauseRow(FlowCause cause) {
  return kRows.at(static_cast<std::size_t>(cause));
}

FlowExplanation ExplainFlow(std::vector<LogLine> lines,
                            const FlowQuery& query) {
  return FlowAnalyzer(std::move(lines), query).Explain();
}

}  // namespace vanillalatch
