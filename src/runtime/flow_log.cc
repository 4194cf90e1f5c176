#include "src/runtime/flow_log.h"

#include <algorithm>
#include <chrono>
#include <span>

#include "vanillalatch/base/error.h"
#include "vanillalatch/runtime/reactor.h"

namespace vanillalatch {

void FlowLog::OfFlow(LogLevel level, std::string_view event,
                     const FlowName& flow, LogRateLimiter& budget,
                     std::vector<LogField> more) {
  if (!budget.TryAcquire(Now())) {
    return;
  }
  std::vector<LogField> fields = {{"caller", flow.caller.ToString()},
                                  {"route", flow.route.ToString()},
                                  {"sequence", flow.sequence}};
  fields.insert(fields.end(), more.begin(), more.end());
  fields.emplace_back("revision", node_.revision());
  fields.emplace_back("left_out", budget.TakeLeftOutCount());
  LogEvent(level, event, fields);
}

void FlowLog::Refused(const FlowPacket& packet, const FlowRefusal& refusal) {
  OfFlow(LogLevel::kWarn, "flow_refused",
         {packet.caller, packet.route, packet.sequence}, refusal_lines_,
         {{"kind", AnswerFor(refusal.kind).name},
          {"expected_wait_ms", ToMilliseconds(refusal.cause.expected_wait)},
          {"queued", refusal.cause.queued},
          {"usable_slots", refusal.cause.usable_slots},
          {"free_slots", refusal.cause.free_slots}});
}

void FlowLog::NotForwarded(const FlowPacket& packet, bool reset) {
  OfFlow(LogLevel::kWarn, reset ? "route_unknown" : "packet_dropped",
         {packet.caller, packet.route, packet.sequence}, dropped_lines_,
         {{"opens", packet.opens},
          {"cookie", packet.cookie.value()},
          {"endpoints", node_.endpoints()}});
}

void FlowLog::Note(const FlowEvent& note) {
  struct Row {
    std::string_view event;
    LogLevel level;
  };
  static constexpr Row kRows[] = {{"flow_placed", LogLevel::kInfo},
                                  {"flow_moved", LogLevel::kWarn},
                                  {"flow_given_up", LogLevel::kWarn},
                                  {"flow_unheard", LogLevel::kWarn}};
  const Row& row = kRows[static_cast<std::size_t>(note.kind)];
  OfFlow(row.level, row.event, {note.caller, note.route, note.sequence},
         note.kind == FlowEvent::Kind::kPlaced ? placed_lines_ : loss_lines_,
         {{"endpoint", NameOf(note.endpoint)},
          {"from", NameOf(note.moved_from)},
          {"elapsed_ms", ToMilliseconds(note.elapsed)},
          {"copy", note.copy},
          {"answered", note.accepted},
          {"requested", note.request_sent}});
}

void FlowLog::Note(const IngressEvent& note) {
  static constexpr std::string_view kEvents[] = {
      "dispatcher_silent", "dispatcher_declined", "opening_parked"};
  OfFlow(LogLevel::kWarn, kEvents[static_cast<std::size_t>(note.kind)],
         {note.caller, note.route, note.sequence}, ingress_lines_,
         {{"dispatcher", NameOf(note.dispatcher)},
          {"endpoints", node_.endpoints()}});
}

void FlowLog::Malformed(SocketAddress from, std::size_t bytes) {
  if (malformed_lines_.TryAcquire(Now())) {
    LogEvent(LogLevel::kWarn, "packet_malformed",
             {{"from", from.ToString()},
              {"bytes", bytes},
              {"left_out", malformed_lines_.TakeLeftOutCount()}});
  }
}

void FlowLog::Silence(const EndpointSilence& silence) {
  const Endpoint* endpoint = node_.peers().registry().Find(silence.endpoint);
  if (endpoint == nullptr || !silence_lines_.TryAcquire(Now())) {
    return;
  }
  LogEvent(
      LogLevel::kWarn, silence.silent ? "endpoint_silent" : "endpoint_answers",
      {{"endpoint", endpoint->name},
       {"address", endpoint->address.ToString()},
       {"data_center", endpoint->data_center},
       {"unanswered_flows", silence.unanswered_flows},
       {"limit_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(silence.limit)
            .count()},
       {"left_out", silence_lines_.TakeLeftOutCount()}});
}

void FlowLog::Summary(bool ready) {
  const TimePoint now = Now();
  if (now < summary_due_) {
    return;
  }
  summary_due_ = now + kSummaryInterval;
  const FlowNodeCounters& flows = node_.counters();
  const FlowDispatcherCounters& placed = node_.dispatcher_counters();
  const std::span<const Member> members = node_.peers().members().members();
  const auto alive = std::count_if(
      members.begin(), members.end(),
      [](const Member& it) { return it.state == MemberState::kAlive; });
  LogEvent(LogLevel::kInfo, "flows_summary",
           {{"ready", ready},
            {"revision", node_.revision()},
            {"endpoints", node_.endpoints()},
            {"members_alive", alive},
            {"packets", flows.packets},
            {"unknown_endpoint", flows.unknown_endpoint},
            {"placed_alone", flows.placed_alone},
            {"declined", flows.declined},
            {"placed", placed.placed},
            {"moved", placed.moved},
            {"refused", placed.refused},
            {"expired", placed.expired}});
}

std::string FlowLog::NameOf(EndpointId id) const {
  if (id == EndpointId{}) {
    return "";
  }
  const Endpoint* endpoint = node_.peers().registry().Find(id);
  // Forgotten since: the id is all that is left.
  return endpoint == nullptr ? std::to_string(id.value()) : endpoint->name;
}

std::string FlowLog::NameOf(NodeId id) const {
  for (const Member& it : node_.peers().members().members()) {
    if (it.id == id) {
      return it.name;
    }
  }
  return id == NodeId{} ? "" : std::to_string(id.value());
}

}  // namespace vanillalatch
