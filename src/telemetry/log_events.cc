#include "vanillalatch/telemetry/log_events.h"

#include <array>

namespace vanillalatch {
namespace {

constexpr auto kRows = std::to_array<LogEventRow>({
    {"started", "info", "all", "entry, control, flows",
     "the process has started, with these roles", "nothing"},
    {"stopping", "info", "all", "", "a planned stop has begun", "nothing"},
    {"stopped", "info", "all", "",
     "the process has ended as planned; if this line is missing, it was killed "
     "or crashed",
     "if the line is missing after `stopping`: check `drain_limit`"},
    {"settings_reloaded", "info", "all", "level",
     "the settings were reloaded on SIGHUP", "nothing"},
    {"settings_refused", "error", "all", "reason",
     "the settings file has an error; the old settings stay in use",
     "run `vanillalatch check FILE`"},
    {"setting_ignored", "warn", "all", "key, settings_level, build_level",
     "the settings file is for a newer version, and this one does not know the "
     "key",
     "nothing during an upgrade"},
    {"fleet_level_raised", "info", "control", "fleet_level, build_level",
     "every control VM runs a build of this feature level; the fleet now uses "
     "the messages and stored forms of that level",
     "nothing"},
    {"build_too_old", "error", "control", "build_level, needed_level, reason",
     "this build can't read its data, or what the fleet writes; the VM neither "
     "votes nor serves, and loses nothing",
     "start the version that the other control VMs run"},
    {"log_lines_left_out", "warn", "all", "count, reason",
     "lines were dropped, as the reader of the log was too slow",
     "check the program that reads the log"},
    {"member_changed", "info", "all", "member, state, incarnation, left_out",
     "this VM now considers another VM alive, suspect, leaving or dead",
     "dead without a planned stop: replace the VM; if VMs disagree: check the "
     "network between them"},
    {"catalog_in_force", "info", "entry",
     "revision, version, routes, control, quorum",
     "the VM uses this catalog from now on; control: the control VM that sent "
     "it; quorum: that VM is in contact with a majority of the control VMs",
     "a VM that lacks the newest revision for seconds is partitioned: check "
     "its network"},
    {"catalog_behind", "warn", "entry", "revision, newer, lag_ms, control",
     "another VM has stated the revision `newer` for half a second, and this "
     "VM does not have it; control: the control VM that it follows; empty: "
     "none that is in contact with a majority answers",
     "if it lasts: check the network between this VM and the control VMs"},
    {"catalog_caught_up", "info", "entry", "revision, newer, lag_ms, control",
     "no other VM states a newer catalog any more", "nothing"},
    {"catalog_refused", "warn", "entry", "part, revision, kind, reason",
     "a reply of a control VM was damaged and nothing of the part was used; "
     "the VM asks for all of it again",
     "if it repeats: compare the versions of the program on the two VMs"},
    {"document_unreadable", "error", "control", "version, reason",
     "the stored text of the operator's configuration is damaged; it can't be "
     "read back, but its routes are in force",
     "send the configuration again with a higher version"},
    {"control_regained", "info", "entry", "control, answered, revision",
     "a control VM that reaches a majority of the control VMs answers again",
     "nothing"},
    {"control_lost", "warn", "entry", "control, answered, revision",
     "the control VM that this VM follows failed or reaches no majority, or "
     "none has answered since the start; this VM continues with the catalog "
     "and endpoints that it has",
     "check the control VM and the network"},
    {"endpoints_taken", "info", "entry", "endpoints, whole",
     "a VM that has just started received its endpoints from a control VM; "
     "whole: the list was complete",
     "nothing"},
    {"flow_placed", "info", "entry (dispatcher)",
     "caller, route, sequence, endpoint, elapsed_ms, copy, late, revision, "
     "left_out",
     "the opening packet was sent to the endpoint; elapsed_ms: how long it "
     "waited for a slot; late: the latency target was out of reach by then",
     "nothing"},
    {"flow_moved", "warn", "entry (dispatcher)",
     "caller, route, sequence, endpoint, from, elapsed_ms, copy, late, "
     "revision, left_out",
     "the opening packet was sent to another endpoint, as the first one did "
     "not answer",
     "check the endpoint in `from`"},
    {"flow_refused", "warn", "entry (dispatcher)",
     "caller, route, sequence, kind, expected_wait_ms, queued, usable_slots, "
     "free_slots, revision, left_out",
     "the flow was refused and the caller was notified; no endpoint received "
     "it. kind overloaded: the expected wait exceeds the target of the class, "
     "and other work leaves no slot for a late answer; no_endpoint: this VM "
     "has no endpoint of the "
     "service; not_found: the route was removed in a newer catalog",
     "overloaded: if there are fewer slots than usual, look for "
     "`endpoint_silent`, else start backend servers; no_endpoint: check that "
     "the backend servers run and reach a control VM"},
    {"flow_given_up", "warn", "entry (dispatcher)",
     "caller, route, sequence, endpoint, elapsed_ms, answered, requested, "
     "revision, left_out",
     "the caller gave up the flow; answered: the endpoint had accepted it; "
     "requested: the caller had sent a request; endpoint empty: the flow still "
     "waited for a slot",
     "run `vanillalatch logs explain`"},
    {"flow_unheard", "warn", "entry (dispatcher)",
     "caller, route, sequence, endpoint, elapsed_ms, answered, requested, "
     "revision, left_out",
     "the flow expired and no VM has reported its end",
     "run `vanillalatch logs explain`"},
    {"dispatcher_silent", "warn", "entry (ingress)",
     "caller, route, sequence, dispatcher, revision, endpoints, left_out",
     "the dispatcher did not answer within 0.1 s, or up to 0.4 s if its round "
     "trip is longer; this VM placed the flow itself",
     "check whether the VM in `dispatcher` is dead, partitioned or slow"},
    {"dispatcher_declined", "warn", "entry (ingress)",
     "caller, route, sequence, dispatcher, revision, endpoints, left_out",
     "the dispatcher lacked the catalog or the endpoints to place the flow; "
     "another VM was asked",
     "if it lasts more than two seconds after a start: check the control VM of "
     "the dispatcher"},
    {"opening_parked", "warn", "entry (ingress)",
     "caller, route, sequence, dispatcher, revision, endpoints, left_out",
     "this VM lacks the catalog or the endpoints to place the flow; the "
     "opening packet waits for at most 0.8 s",
     "if it lasts more than two seconds after a start: check the control VM of "
     "this VM"},
    {"route_unknown", "warn", "entry (ingress)",
     "caller, route, sequence, opens, cookie, revision, endpoints, left_out",
     "the catalog in force has no such route; a reset was sent to the caller",
     "if the route should exist: check whether this VM has the newest catalog"},
    {"packet_dropped", "warn", "entry (ingress)",
     "caller, route, sequence, opens, cookie, revision, endpoints, left_out",
     "revision 0: this VM has no catalog yet; otherwise it does not know the "
     "endpoint of this cookie",
     "revision above 0: check whether the VM is partitioned"},
    {"packet_malformed", "warn", "entry (ingress)", "from, bytes, left_out",
     "a datagram is not a valid packet of a flow",
     "check the sender in `from`"},
    {"endpoint_silent", "warn", "entry (dispatcher)",
     "endpoint, address, data_center, unanswered_flows, limit_ms, left_out",
     "the callers of `unanswered_flows` flows did not continue within "
     "`limit_ms`: the endpoint has crashed, is partitioned or is overloaded",
     "check the backend server"},
    {"endpoint_answers", "warn", "entry (dispatcher)",
     "endpoint, address, data_center, left_out",
     "a silent endpoint answers again", "nothing"},
    {"evacuation_applied", "warn", "entry",
     "data_center, evacuated, in_force_since, from_peer, revision",
     "evacuated true: from now on this VM sends no new flow to endpoints of "
     "the "
     "data centre; false: it uses them again, as cold ones first; from_peer: a "
     "neighbour's notice said so, and this VM has no such catalog yet; "
     "in_force_since: the revision of the order's catalog; revision: this VM's",
     "if from_peer stays true: check the way from this VM to the control VMs"},
    {"link_late", "warn", "entry", "receive_queue_ms, send_queue_ms, left_out",
     "this VM's link is full: by its traffic and the stated rate, datagrams "
     "wait longer than 20 ms; missing answers do not count as silence "
     "meanwhile",
     "if it repeats: see \"An entry VM's link is full\" in docs/OPERATING.md"},
    {"dispatch_sharded", "info", "entry", "service, shards",
     "the service now has one dispatcher in each of these data centres, as it "
     "has more slots than the link of one VM can serve; shards empty: it has a "
     "single dispatcher again",
     "if it repeats: set `fleet.link_mbit_per_s` so that the service's slots "
     "are not near the limit"},
    {"flows_summary", "info", "entry",
     "ready, revision, endpoints, members_alive, packets, unknown_endpoint, "
     "placed_alone, declined, placed, moved, refused, expired, control, "
     "catalog_age_ms, catalog_lag_ms",
     "totals since the start, logged every 5 s; control: the control VM that "
     "this VM follows; catalog_age_ms: since one that is in contact with a "
     "majority confirmed the catalog; catalog_lag_ms: since another VM has had "
     "a newer one",
     "nothing"},
    {"control_opened", "info", "control",
     "revision, term, records, dropped_bytes, last_index, commit_index",
     "the replicated log was read from the disk, up to this revision; "
     "dropped_bytes: size of a damaged end, which a crash has left",
     "nothing"},
    {"control_role_changed", "info", "control", "role, term",
     "this VM is now leader, voter or learner; closed: it can't open its log",
     "if frequent without planned stops: check the network between control "
     "VMs"},
    {"control_not_stopped", "warn", "control", "reason",
     "the process ends while a disk operation still hangs", "check the disk"},
    {"control_call_dropped", "warn", "control", "reason, limit",
     "a call was dropped, as too many calls wait",
     "add control VMs, or reduce the number of callers"},
    {"door_call_dropped", "warn", "control", "reason, limit",
     "a call of an endpoint was dropped, as too many calls wait",
     "add control VMs, or reduce the number of callers"},
    {"disk_refused", "error", "control", "reason, kind, leads, times",
     "the disk reports an error (kind storage), or a file is damaged (kind "
     "corrupt; for the log, reason says what follows the damage); the control "
     "VM tries to reopen its state from the disk every 0.5 s; the same reason "
     "is logged after 1, 2, 4, 8 ... times",
     "storage: free space on the disk, or replace it; corrupt: see \"Lost "
     "disk\" in docs/OPERATING.md"},
    {"note_not_kept", "warn", "control", "reason",
     "the list of endpoints could not be stored or read; after a restart it is "
     "rebuilt from reports",
     "check the disk"},
    {"endpoints_restored", "info", "control", "endpoints, age_ms, used",
     "the stored list of endpoints was read; used is false if it is too old to "
     "be used",
     "nothing"},
    {"endpoint_registered", "info", "control",
     "endpoint, address, data_center, slots, epoch",
     "an endpoint sent its first report after a start to this VM", "nothing"},
    {"endpoint_leaving", "info", "control", "endpoint, epoch",
     "an endpoint announced its stop and receives no new flows", "nothing"},
    {"endpoint_ended", "info", "control", "endpoint, epoch",
     "an endpoint reported that it has ended", "nothing"},
    {"heartbeat_refused", "warn", "control", "endpoint, reason, left_out",
     "a heartbeat can't be parsed, so that it registers no endpoint",
     "check the sender"},
    {"heartbeat_unused", "warn", "control", "endpoint, reason",
     "a heartbeat is not used and not acknowledged: it comes from an earlier "
     "incarnation, or claims the id or address of an endpoint that still sends "
     "its own",
     "nothing"},
    {"leave_unused", "info", "control", "endpoint, reason",
     "an endpoint that is not registered reported that it has ended",
     "nothing"},
    {"configuration_acknowledged", "info", "control", "version, revision",
     "a majority of the control VMs has stored the operator's configuration",
     "nothing"},
    {"configuration_refused", "warn", "control", "reason",
     "the operator's configuration is not valid; nothing has changed",
     "correct the operator's file"},
    {"configuration_not_acknowledged", "warn", "control",
     "version, kind, reason",
     "no majority has confirmed the operator's configuration, or a disk "
     "reports an error; it is safe to send it again",
     "check the control VMs and their disks"},
    {"configuration_value_unknown", "warn", "control",
     "version, pointer, value",
     "the operator's configuration has a value that this version of the "
     "program "
     "does not know; it is in force with the careful meaning, for example a "
     "route of an unknown type is never repeated",
     "correct the operator's file, or upgrade"},
    {"evacuation_started", "info", "control",
     "data_center, revision, author, changed",
     "a majority of the control VMs has stored the order: the endpoints of the "
     "data centre take no new work; changed is false if it was evacuated "
     "already",
     "wait until `ctl status` shows no open flows there; end the evacuation "
     "after the work"},
    {"evacuation_ended", "info", "control",
     "data_center, revision, author, changed",
     "a majority of the control VMs has stored the order: the endpoints of the "
     "data centre take work again; changed is false if it was not evacuated",
     "nothing"},
    {"evacuation_refused", "warn", "control",
     "data_center, end, author, kind, reason",
     "an evacuation order names no data centre of the settings, or (kind "
     "`cancelled`) its sender had closed the connection before it could be "
     "carried out; nothing has changed",
     "repeat the order with the name of a data centre; a cancelled one only if "
     "it still stands"},
    {"connection_not_accepted", "warn", "control, entry", "reason",
     "the kernel did not accept a connection to the HTTP server",
     "check how many file descriptors the process has open"},
});

}  // namespace

std::span<const LogEventRow> LogEventRows() { return kRows; }

std::string FormatLogEventsPage() {
  std::string page =
      "# Log events\n\n"
      "Generated by `vanillalatch logs events`; "
      "src/telemetry/log_events.cc is the source.\n\n"
      "Each line is a JSON object with `time` (UTC, the VM's own clock), "
      "`level`, `vm`, `event` and the fields below. A flow is identified by "
      "`caller`, `route` and `sequence`, the sequence number of its opening "
      "packet. `left_out`: the number of lines of this kind that a rate limit "
      "suppressed since the previous one.\n\n"
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
