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
     "Look for VMs that were not running, for lines left out, and at the "
     "routers in front."},
    {FlowCause::kServed, "served", "Nothing failed before the endpoint."},
    {FlowCause::kOverload, "overload",
     "Start backend servers, or change the classes' targets."},
    {FlowCause::kOverloadAfterLoss, "overload_after_loss",
     "Look at the endpoints that fell silent."},
    {FlowCause::kNoEndpoint, "no_endpoint",
     "Are its backend servers up, and do they reach a control VM?"},
    {FlowCause::kRouteRemoved, "route_removed",
     "The operator's file no longer has the route."},
    {FlowCause::kOlderCatalog, "older_catalog",
     "Look for control_lost on the VM, and at the network to control VMs."},
    {FlowCause::kEndpointLost, "endpoint_lost", "Look at the backend server."},
    {FlowCause::kEndpointSlow, "endpoint_slow",
     "Look at the backend server's own times."},
    {FlowCause::kVmLost, "vm_lost", "Look at the VM that started anew."},
    {FlowCause::kVmStarting, "vm_starting",
     "Which control VM did it wait for? See control_lost and "
     "control_regained."},
    {FlowCause::kEndpointUnknown, "endpoint_unknown",
     "The VM is cut off from others: see its members and control_lost."},
    {FlowCause::kCutOff, "cut_off",
     "Look at the network between the two VMs: member_changed and control_lost "
     "of both."},
});

// Times are UTC texts of one width, so that they sort as they are; what
// happened up to this long before a flow may have caused its end.
constexpr absl::Duration kContextBefore = absl::Seconds(10);
constexpr absl::Duration kContextAfter = absl::Seconds(5);

// Long ago for a text that is no time.
absl::Time TimeOf(const std::string& text) {
  absl::Time time;
  return absl::ParseTime(absl::RFC3339_full, text, &time, nullptr)
             ? time
             : absl::InfinitePast();
}

bool IsFlowEvent(const LogLine& line) { return !line.Text("caller").empty(); }

bool Concerns(const LogLine& line, const FlowKey& key) {
  return line.Text("caller") == key.caller.ToString() &&
         (!key.route || line.Text("route") == key.route->ToString()) &&
         (!key.sequence ||
          line.Number("sequence") == std::int64_t{*key.sequence} ||
          line.event() == "packet_dropped");
}

class Inquiry {
 public:
  Inquiry(std::vector<LogLine> lines, const FlowKey& key)
      : all_(std::move(lines)) {
    std::stable_sort(
        all_.begin(), all_.end(),
        [](const LogLine& a, const LogLine& b) { return a.time() < b.time(); });
    for (const LogLine& it : all_) {
      if (Concerns(it, key)) {
        flow_.push_back(&it);
      }
    }
    if (!key.sequence) {
      KeepLastFlow();
    }
  }

  Story Tell() {
    Story story;
    std::tie(story.cause, story.reason) = Judge();
    for (const LogLine& it : all_) {
      if (Belongs(it)) {
        story.lines.push_back(it);
      }
    }
    return story;
  }

 private:
  using Verdict = std::pair<FlowCause, std::string>;

  // Packets behind the opening one have numbers of their own.
  void KeepLastFlow() {
    std::optional<std::int64_t> last;
    for (const LogLine* it : flow_) {
      if (it->event() != "packet_dropped") {
        last = it->Number("sequence");
      }
    }
    std::erase_if(flow_, [&](const LogLine* it) {
      return last && it->event() != "packet_dropped" &&
             it->Number("sequence") != *last;
    });
  }

  const LogLine* Last(std::initializer_list<std::string_view> events) const {
    for (auto it = flow_.rbegin(); it != flow_.rend(); ++it) {
      if (std::find(events.begin(), events.end(), (*it)->event()) !=
          events.end()) {
        return *it;
      }
    }
    return nullptr;
  }

  Verdict Judge() const {
    if (flow_.empty()) {
      return {FlowCause::kNotSeen, "no VM has a line about this flow"};
    }
    if (const LogLine* it = Last({"flow_refused"})) {
      return JudgeRefusal(*it);
    }
    if (const LogLine* it = Last({"route_unknown"})) {
      return JudgeRoute(*it);
    }
    const LogLine* placed = Last({"flow_placed", "flow_moved"});
    if (const LogLine* it = Last({"flow_given_up", "flow_unheard"})) {
      return JudgeLoss(*it);
    }
    if (placed != nullptr) {
      return JudgePlaced(*placed);
    }
    if (const LogLine* it = Last({"packet_dropped"})) {
      return JudgeDrop(*it);
    }
    return JudgeWaiting(*flow_.back());
  }

  Verdict JudgeRefusal(const LogLine& line) const {
    const std::string kind = line.Text("kind");
    if (kind == "no_endpoint") {
      return {FlowCause::kNoEndpoint,
              line.vm() + " knew no endpoint of the service"};
    }
    if (kind == "not_found") {
      return JudgeRoute(line);
    }
    const std::set<std::string> silent = SilentAt(line);
    const std::string decided =
        line.vm() + " refused it: " + std::to_string(line.Number("queued")) +
        " flows waited for " + std::to_string(line.Number("usable_slots")) +
        " slots, " + std::to_string(line.Number("free_slots")) +
        " free, expected wait " +
        std::to_string(line.Number("expected_wait_ms")) + " ms";
    if (silent.empty()) {
      return {FlowCause::kOverload, decided};
    }
    return {FlowCause::kOverloadAfterLoss,
            decided + "; silent endpoints: " + std::to_string(silent.size()) +
                ", one is " + *silent.begin()};
  }

  Verdict JudgeRoute(const LogLine& line) const {
    const std::int64_t had = line.Number("revision");
    std::int64_t newest = had;
    for (const LogLine& it : all_) {
      if (it.event() == "catalog_in_force" && it.time() <= line.time()) {
        newest = std::max(newest, it.Number("revision"));
      }
    }
    const std::string revision = std::to_string(had);
    if (newest > had) {
      return {FlowCause::kOlderCatalog,
              line.vm() + " had revision " + revision + " while " +
                  std::to_string(newest) + " was in force elsewhere"};
    }
    return {FlowCause::kRouteRemoved,
            "revision " + revision + " on " + line.vm() +
                ", the newest then, has no such route"};
  }

  Verdict JudgeLoss(const LogLine& line) const {
    const std::string endpoint = line.Text("endpoint");
    if (endpoint.empty()) {
      return {FlowCause::kOverload,
              "the caller gave up after " +
                  std::to_string(line.Number("elapsed_ms")) +
                  " ms, while it waited for a slot at " + line.vm()};
    }
    if (const LogLine* it = SilenceOf(endpoint)) {
      return {FlowCause::kEndpointLost, "endpoint " + endpoint +
                                            " was found silent by " + it->vm() +
                                            " at " + it->time()};
    }
    if (const LogLine* it = RestartAfter(line.vm())) {
      return {FlowCause::kVmLost, it->vm() + " started anew at " + it->time()};
    }
    if (line.Flag("answered") && line.Flag("requested")) {
      return {FlowCause::kEndpointSlow,
              "endpoint " + endpoint + " accepted the flow, and in " +
                  std::to_string(line.Number("elapsed_ms")) + " ms " +
                  line.vm() + " heard of no answer"};
    }
    return {FlowCause::kEndpointLost,
            "endpoint " + endpoint + " did not answer the opening packet in " +
                std::to_string(line.Number("elapsed_ms")) + " ms"};
  }

  Verdict JudgePlaced(const LogLine& line) const {
    if (const LogLine* it = RestartAfter(line.vm())) {
      return {FlowCause::kVmLost, it->vm() + " started anew at " + it->time()};
    }
    const std::string endpoint = line.Text("endpoint");
    if (const LogLine* it = SilenceOf(endpoint)) {
      return {FlowCause::kEndpointLost, "endpoint " + endpoint +
                                            " was found silent by " + it->vm() +
                                            " at " + it->time()};
    }
    if (const LogLine* it = Last({"packet_dropped"});
        it != nullptr && it->time() > line.time()) {
      return JudgeDrop(*it);
    }
    if (const LogLine* it = Last({"dispatcher_silent"})) {
      return {FlowCause::kCutOff,
              it->vm() + " had no answer from " + it->Text("dispatcher") +
                  ", which dispatches, and placed the flow itself on " +
                  endpoint + LostControlOf(it->vm())};
    }
    if (const LogLine* it = Last({"opening_parked", "dispatcher_declined"})) {
      return {FlowCause::kVmStarting,
              it->vm() + " placed it late: " + JudgeWaiting(*it).second};
    }
    return {FlowCause::kServed,
            "placed on endpoint " + endpoint + " by " + line.vm() + " after " +
                std::to_string(line.Number("elapsed_ms")) + " ms"};
  }

  Verdict JudgeDrop(const LogLine& line) const {
    if (line.Number("revision") == 0 || line.Number("endpoints") == 0) {
      return {FlowCause::kVmStarting,
              line.vm() + " had no catalog or no endpoints yet"};
    }
    return {FlowCause::kEndpointUnknown,
            line.vm() + " knew " + std::to_string(line.Number("endpoints")) +
                " endpoints, but not the one of this flow"};
  }

  Verdict JudgeWaiting(const LogLine& line) const {
    if (line.event() == "dispatcher_silent") {
      return {FlowCause::kVmLost,
              line.Text("dispatcher") + " did not answer " + line.vm()};
    }
    const bool parked = line.event() == "opening_parked";
    return {FlowCause::kVmStarting,
            (parked ? line.vm() : line.Text("dispatcher")) +
                " did not know the endpoints or the newest catalog yet"};
  }

  std::string LostControlOf(const std::string& vm) const {
    for (const LogLine& it : all_) {
      if (it.vm() == vm && it.event() == "control_lost" && InContext(it)) {
        return "; it lost control VM " + it.Text("control") + " at " +
               it.time();
      }
    }
    return "";
  }

  // Endpoints that the VM of this line held for silent then.
  std::set<std::string> SilentAt(const LogLine& line) const {
    std::set<std::string> silent;
    for (const LogLine& it : all_) {
      if (it.vm() != line.vm() || it.time() > line.time()) {
        continue;
      }
      if (it.event() == "endpoint_silent") {
        silent.insert(it.Text("endpoint"));
      } else if (it.event() == "endpoint_answers") {
        silent.erase(it.Text("endpoint"));
      } else if (it.event() == "started") {
        silent.clear();
      }
    }
    return silent;
  }

  // While the flow was on its way, or soon after.
  const LogLine* SilenceOf(const std::string& endpoint) const {
    for (const LogLine& it : all_) {
      if (it.event() == "endpoint_silent" && it.Text("endpoint") == endpoint &&
          it.time() >= flow_.front()->time() && InContext(it)) {
        return &it;
      }
    }
    return nullptr;
  }

  // The start of a VM after the flow, unless it had stopped as planned.
  const LogLine* RestartAfter(const std::string& vm) const {
    bool stopped = false;
    for (const LogLine& it : all_) {
      if (it.vm() != vm || it.time() < flow_.front()->time() ||
          !InContext(it)) {
        continue;
      }
      stopped |= it.event() == "stopping";
      if (it.event() == "started" && !stopped) {
        return &it;
      }
    }
    return nullptr;
  }

  bool InContext(const LogLine& line) const {
    const absl::Time at = TimeOf(line.time());
    return at >= TimeOf(flow_.front()->time()) - kContextBefore &&
           at <= TimeOf(flow_.back()->time()) + kContextAfter;
  }

  // True for lines of the flow, and for what its endpoints and VMs did then.
  bool Belongs(const LogLine& line) const {
    if (flow_.empty()) {
      return false;
    }
    if (IsFlowEvent(line)) {
      return std::any_of(flow_.begin(), flow_.end(),
                         [&](const LogLine* it) { return it == &line; });
    }
    if (!InContext(line) || line.event() == "flows_summary") {
      return false;
    }
    const std::string endpoint = line.Text("endpoint");
    if (!endpoint.empty()) {
      return std::any_of(flow_.begin(), flow_.end(), [&](const LogLine* it) {
        return it->Text("endpoint") == endpoint ||
               it->Text("from") == endpoint ||
               (it->event() == "flow_refused" && it->vm() == line.vm());
      });
    }
    return std::any_of(flow_.begin(), flow_.end(), [&](const LogLine* it) {
      return it->vm() == line.vm();
    });
  }

  std::vector<LogLine> all_;
  std::vector<const LogLine*> flow_;  // By time.
};

}  // namespace

std::span<const FlowCauseRow> FlowCauseRows() { return kRows; }

const FlowCauseRow& CauseRowOf(FlowCause cause) {
  return kRows.at(static_cast<std::size_t>(cause));
}

Story Explain(std::vector<LogLine> lines, const FlowKey& key) {
  return Inquiry(std::move(lines), key).Tell();
}

}  // namespace vanillalatch
