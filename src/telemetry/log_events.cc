#include "vanillalatch/telemetry/log_events.h"

#include <array>

namespace vanillalatch {
namespace {

constexpr auto kRows = std::to_array<LogEventRow>({
    {"started", "info", "all", "entry, control, flows",
     "the process runs, with these roles", "nothing"},
    {"stopping", "info", "all", "", "a planned stop has begun", "nothing"},
    {"stopped", "info", "all", "",
     "it has ended; without this line it was cut short",
     "without it, after stopping: look for `drain_limit`"},
    {"settings_reloaded", "info", "all", "level", "SIGHUP was obeyed",
     "nothing"},
    {"settings_refused", "error", "all", "reason",
     "the settings file has a fault; the old settings hold",
     "`vanillalatch check FILE`"},
    {"log_lines_left_out", "warn", "all", "count, reason",
     "lines that the reader of the log was too slow for",
     "whoever reads the log"},
    {"member_changed", "info", "all", "member, state, incarnation, left_out",
     "another VM is alive, suspect, leaving or dead, as this one sees it",
     "dead without a planned stop: replace it; VMs disagree: the network "
     "between them"},
    {"catalog_in_force", "info", "entry", "revision, version, routes",
     "the VM works by this catalog from now on",
     "a VM without the newest one for seconds is cut off"},
    {"control_regained", "info", "entry", "control, answered, revision",
     "a control VM that hears a majority answers", "nothing"},
    {"control_lost", "warn", "entry", "control, answered, revision",
     "the control VM that it follows failed or hears no majority; it goes on "
     "with what it has",
     "the control VM and the network"},
    {"endpoints_taken", "info", "entry", "endpoints, whole",
     "what a control VM told a VM that has just started", "nothing"},
    {"flow_placed", "info", "entry (dispatcher)",
     "caller, route, sequence, endpoint, elapsed_ms, copy, revision, left_out",
     "the opening packet was sent to the endpoint, after waiting so long for a "
     "slot",
     "nothing"},
    {"flow_moved", "warn", "entry (dispatcher)",
     "caller, route, sequence, endpoint, from, elapsed_ms, copy, revision, "
     "left_out",
     "sent to another endpoint, as the first one did not answer",
     "the endpoint in `from`"},
    {"flow_refused", "warn", "entry (dispatcher)",
     "caller, route, sequence, kind, expected_wait_ms, queued, usable_slots, "
     "free_slots, revision, left_out",
     "the caller was told at once that the flow is not opened; nothing has "
     "run. kind overloaded: its wait would have missed the class' target; "
     "no_endpoint: the service has none here; not_found: the route was removed "
     "in a newer catalog",
     "overloaded: fewer slots than usual: look for `endpoint_silent`, else "
     "start backend servers; no_endpoint: are they up, and do they reach a "
     "control VM?"},
    {"flow_given_up", "warn", "entry (dispatcher)",
     "caller, route, sequence, endpoint, elapsed_ms, answered, requested, "
     "revision, left_out",
     "the caller gave the flow up; answered: the endpoint had accepted it; "
     "requested: a request was sent; no endpoint: it still waited for a slot",
     "`vanillalatch logs explain`"},
    {"flow_unheard", "warn", "entry (dispatcher)",
     "caller, route, sequence, endpoint, elapsed_ms, answered, requested, "
     "revision, left_out",
     "the flow's time is over and no VM has told of its end",
     "`vanillalatch logs explain`"},
    {"dispatcher_silent", "warn", "entry (ingress)",
     "caller, route, sequence, dispatcher, revision, endpoints, left_out",
     "the VM that dispatches did not answer within 0.1 s; this VM placed the "
     "flow",
     "the VM named: dead, cut off or slow"},
    {"dispatcher_declined", "warn", "entry (ingress)",
     "caller, route, sequence, dispatcher, revision, endpoints, left_out",
     "the VM that dispatches knew too little to place the flow; another one "
     "was asked",
     "for more than two seconds after a start: its control VM"},
    {"opening_parked", "warn", "entry (ingress)",
     "caller, route, sequence, dispatcher, revision, endpoints, left_out",
     "this VM knew too little yet; the packet waits for 0.8 s at most",
     "for more than two seconds after a start: its control VM"},
    {"route_unknown", "warn", "entry (ingress)",
     "caller, route, sequence, opens, cookie, revision, endpoints, left_out",
     "no such route in the catalog in force; the caller was sent a reset",
     "wanted: is the catalog here the newest?"},
    {"packet_dropped", "warn", "entry (ingress)",
     "caller, route, sequence, opens, cookie, revision, endpoints, left_out",
     "revision 0: no catalog yet; else the endpoint of this cookie is unknown "
     "here",
     "revision above 0: is the VM cut off?"},
    {"packet_malformed", "warn", "entry (ingress)", "from, bytes, left_out",
     "bytes that are no packet of a flow", "whoever sends them"},
    {"endpoint_silent", "warn", "entry (dispatcher)",
     "endpoint, address, data_center, unanswered_flows, limit_ms, left_out",
     "the callers of so many flows did not go on within the limit: crashed, "
     "cut off or full",
     "the backend server"},
    {"endpoint_answers", "warn", "entry (dispatcher)",
     "endpoint, address, data_center, left_out",
     "a silent endpoint answers again", "nothing"},
    {"flows_summary", "info", "entry",
     "ready, revision, endpoints, members_alive, packets, unknown_endpoint, "
     "placed_alone, declined, placed, moved, refused, expired",
     "totals since the start, each 5 s", "nothing"},
    {"control_opened", "info", "control", "revision, term",
     "the log on the disk was read, up to this revision", "nothing"},
    {"control_role_changed", "info", "control", "role, term",
     "this VM is leader, voter or learner now",
     "often, without stops: look at the network between control VMs"},
    {"control_not_stopped", "warn", "control", "reason",
     "the process ends although a disk operation hangs", "the disk"},
    {"control_call_dropped", "warn", "control", "reason, limit",
     "too many calls wait", "more control VMs, or fewer callers"},
    {"door_call_dropped", "warn", "control", "reason, limit",
     "too many calls of endpoints wait", "more control VMs, or fewer callers"},
    {"disk_refused", "error", "control", "reason, kind, leads",
     "the disk refuses; the VM is opened anew every 0.5 s",
     "free or replace the disk"},
    {"note_not_kept", "warn", "control", "reason",
     "the list of endpoints could not be stored; it is learnt anew after a "
     "start",
     "the disk"},
    {"endpoints_restored", "info", "control", "endpoints, age_ms, used",
     "the stored list of endpoints; too old: not used", "nothing"},
    {"endpoint_registered", "info", "control",
     "endpoint, address, data_center, slots, epoch",
     "a new start of an endpoint reported here first", "nothing"},
    {"endpoint_leaving", "info", "control", "endpoint, epoch",
     "it announced its stop and gets no new flow", "nothing"},
    {"endpoint_ended", "info", "control", "endpoint, epoch",
     "it said that it has ended", "nothing"},
    {"heartbeat_refused", "warn", "control", "endpoint, reason, left_out",
     "a report that can't be read; it names no endpoint", "whoever sends it"},
    {"heartbeat_unused", "warn", "control", "endpoint, reason",
     "a report of an earlier life of an endpoint", "nothing"},
    {"leave_unused", "info", "control", "endpoint, reason",
     "an endpoint that is not registered said that it has ended", "nothing"},
    {"configuration_acknowledged", "info", "control", "version, revision",
     "the operator's configuration is kept by a majority", "nothing"},
    {"configuration_refused", "warn", "control", "reason",
     "it is not valid; nothing has changed", "the operator's file"},
    {"configuration_not_acknowledged", "warn", "control",
     "version, kind, reason",
     "no majority, or the disk refuses; it may be sent again",
     "control VMs, their disks"},
    {"connection_not_accepted", "warn", "control, entry", "reason",
     "the kernel refused a connection to a door", "descriptors of the process"},
});

}  // namespace

std::span<const LogEventRow> LogEventRows() { return kRows; }

std::string LogEventsPage() {
  std::string page =
      "# Log events\n\n"
      "Generated by `vanillalatch logs events`; "
      "src/telemetry/log_events.cc is the source.\n\n"
      "Each line is a JSON object with `time` (UTC, the VM's own clock), "
      "`level`, `vm`, `event` and the fields below. A flow is known by "
      "`caller`, `route` and `sequence`, the number in its opening packet. "
      "`left_out`: lines of the kind that a budget kept out since the line "
      "before.\n\n"
      "| event | level | written by | fields | meaning | what to do |\n"
      "|---|---|---|---|---|---|\n";
  for (const LogEventRow& it : kRows) {
    page.append("| `").append(it.name).append("` | ").append(it.level);
    page.append(" | ").append(it.writer).append(" | ").append(it.fields);
    page.append(" | ").append(it.meaning);
    page.append(" | ").append(it.advice).append(" |\n");
  }
  return page;
}

}  // namespace vanillalatch
