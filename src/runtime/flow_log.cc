#include "src/runtime/flow_log.h"

#include <algorithm>
#include <chrono>
#include <span>

#include "vanillalatch/base/error.h"
#include "vanillalatch/runtime/reactor.h"

namespace vanillalatch {

void FlowLog::LogFlowLine(LogLevel level, std::string_view event,
                          const FlowKey& flow, LogRateLimiter& limiter,
                          std::vector<LogField> extra_fields) {
  if (!limiter.TryAcquire(Now())) {
    return;
  }
  std::vector<LogField> fields = {{"caller", flow.caller.ToString()},
                                  {"route", flow.route.ToString()},
                                  {"sequence", flow.sequence}};
  fields.insert(fields.end(), extra_fields.begin(), extra_fields.end());
  fields.emplace_back("revision", node_.revision());
  fields.emplace_back("left_out", limiter.TakeLeftOutCount());
  LogEvent(level, event, fields);
}

void FlowLog::LogRefusal(const FlowPacket& packet, const FlowRefusal& refusal) {
  LogFlowLine(
      LogLevel::kWarn, "flow_refused",
      {packet.caller, packet.route, packet.sequence}, refusal_limiter_,
      {{"kind", AnswerFor(refusal.kind).name},
       {"expected_wait_ms", ToMilliseconds(refusal.cause.expected_wait)},
       {"queued", refusal.cause.queued},
       {"usable_slots", refusal.cause.usable_slots},
       {"free_slots", refusal.cause.free_slots}});
}

void FlowLog::LogNotForwarded(const FlowPacket& packet, bool reset) {
  LogFlowLine(LogLevel::kWarn, reset ? "route_unknown" : "packet_dropped",
              {packet.caller, packet.route, packet.sequence}, dropped_limiter_,
              {{"opens", packet.opens},
               {"cookie", packet.cookie.value()},
               {"endpoints", node_.endpoints()}});
}

void FlowLog::LogFlow(const FlowEvent& event) {
  struct EventRow {
    std::string_view event;
    LogLevel level;
  };
  // Indexed by FlowEvent::Kind.
  static constexpr EventRow kEventRows[] = {{"flow_placed", LogLevel::kInfo},
                                            {"flow_moved", LogLevel::kWarn},
                                            {"flow_given_up", LogLevel::kWarn},
                                            {"flow_unheard", LogLevel::kWarn}};
  const EventRow& event_row = kEventRows[static_cast<std::size_t>(event.kind)];
  LogFlowLine(
      event_row.level, event_row.event,
      {event.caller, event.route, event.sequence},
      event.kind == FlowEvent::Kind::kPlaced ? placed_limiter_ : loss_limiter_,
      {{"endpoint", NameOf(event.endpoint)},
       {"from", NameOf(event.moved_from)},
       {"elapsed_ms", ToMilliseconds(event.elapsed)},
       {"copy", event.copy},
       {"late", event.late},
       {"answered", event.accepted},
       {"requested", event.request_sent}});
}

void FlowLog::LogIngress(const IngressEvent& event) {
  // Indexed by IngressEvent::Kind.
  static constexpr std::string_view kEventNames[] = {
      "dispatcher_silent", "dispatcher_declined", "opening_parked"};
  LogFlowLine(LogLevel::kWarn,
              kEventNames[static_cast<std::size_t>(event.kind)],
              {event.caller, event.route, event.sequence}, ingress_limiter_,
              {{"dispatcher", NameOf(event.dispatcher)},
               {"endpoints", node_.endpoints()}});
}

void FlowLog::LogMalformed(SocketAddress from, std::size_t bytes) {
  if (malformed_limiter_.TryAcquire(Now())) {
    LogEvent(LogLevel::kWarn, "packet_malformed",
             {{"from", from.ToString()},
              {"bytes", bytes},
              {"left_out", malformed_limiter_.TakeLeftOutCount()}});
  }
}

void FlowLog::LogSilence(const EndpointSilence& silence) {
  const Endpoint* endpoint = node_.peers().registry().Find(silence.endpoint);
  if (endpoint == nullptr || !silence_limiter_.TryAcquire(Now())) {
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
       {"left_out", silence_limiter_.TakeLeftOutCount()}});
}

void FlowLog::LogEvacuation(const EvacuationEvent& event) {
  LogEvent(LogLevel::kWarn, "evacuation_applied",
           {{"data_center", event.data_center},
            {"evacuated", event.evacuated},
            {"in_force_since", event.revision},
            {"from_peer", event.from_peer},
            {"revision", node_.revision()}});
}

void FlowLog::LogLinkLate(const LinkLate& event) {
  if (link_limiter_.TryAcquire(Now())) {
    LogEvent(LogLevel::kWarn, "link_late",
             {{"receive_queue_ms", ToMilliseconds(event.receive_queue)},
              {"send_queue_ms", ToMilliseconds(event.send_queue)},
              {"left_out", link_limiter_.TakeLeftOutCount()}});
  }
}

void FlowLog::LogSharding(const ShardingChange& change) {
  std::string names;
  for (const std::string& it : change.data_centers) {
    names += (names.empty() ? "" : ", ") + it;
  }
  LogEvent(LogLevel::kInfo, "dispatch_sharded",
           {{"service", change.service}, {"shards", names}});
}

void FlowLog::LogSummaryIfDue(bool ready, const FlowCatalogFreshness& catalog) {
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
            {"expired", placed.expired},
            {"control", catalog.control},
            {"catalog_age_ms", ToMilliseconds(catalog.age)},
            {"catalog_lag_ms", ToMilliseconds(catalog.lag)}});
}

std::string FlowLog::NameOf(EndpointId id) const {
  if (id == EndpointId{}) {
    return "";
  }
  const Endpoint* endpoint = node_.peers().registry().Find(id);
  // The endpoint may have been removed from the registry since.
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
