#include <array>

#include "vanillalatch/telemetry/metrics.h"

namespace vanillalatch {
namespace {

constexpr std::array<std::string_view, 1> kByVersion = {"version"};
constexpr std::array<std::string_view, 1> kByKind = {"kind"};
constexpr std::array<std::string_view, 1> kByState = {"state"};
constexpr std::array<std::string_view, 1> kByEvent = {"event"};
constexpr std::array<std::string_view, 2> kByDirectionAndKind = {"direction",
                                                                 "kind"};
constexpr std::array<std::string_view, 3> kByClassAndOutcome = {
    "service", "class", "outcome"};
constexpr std::array<std::string_view, 2> kByClass = {"service", "class"};
constexpr std::array<std::string_view, 2> kByEndpoint = {"service", "endpoint"};

constexpr MetricKind kCounter = MetricKind::kCounter;
constexpr MetricKind kGauge = MetricKind::kGauge;
constexpr MetricKind kHistogram = MetricKind::kHistogram;

constexpr auto kRows = std::to_array<MetricRow>({
    {Metric::kInfo, "vanillalatch_info", kGauge,
     "Always 1; the label is the version of the program.", kByVersion},
    {Metric::kErrors, "vanillalatch_errors_total", kCounter,
     "Errors by kind, including rejected input.", kByKind},
    {Metric::kDatagrams,
     "vanillalatch_datagrams_total",
     kCounter,
     "Datagrams received from callers, backend servers and entry VMs.",
     {}},
    {Metric::kMalformed,
     "vanillalatch_malformed_datagrams_total",
     kCounter,
     "Datagrams that could not be parsed.",
     {}},
    {Metric::kHandedOver,
     "vanillalatch_handed_over_requests_total",
     kCounter,
     "Requests handed over to the entry VM that dispatches their service.",
     {}},
    {Metric::kAnswered,
     "vanillalatch_answered_requests_total",
     kCounter,
     "Requests answered by a backend server.",
     {}},
    {Metric::kRefused,
     "vanillalatch_refused_requests_total",
     kCounter,
     "Requests refused without being run.",
     {}},
    {Metric::kGivenUp,
     "vanillalatch_given_up_requests_total",
     kCounter,
     "Requests given up after they may have been sent.",
     {}},
    {Metric::kRetried,
     "vanillalatch_retried_requests_total",
     kCounter,
     "Idempotent requests sent again, to another endpoint.",
     {}},
    {Metric::kReplayed,
     "vanillalatch_replayed_answers_total",
     kCounter,
     "Recorded answers sent again to a caller that resent its request.",
     {}},
    {Metric::kDroppedAnswers,
     "vanillalatch_dropped_answers_total",
     kCounter,
     "Late, duplicate or crossed answers that matched no request.",
     {}},
    {Metric::kTakenOver,
     "vanillalatch_taken_over_requests_total",
     kCounter,
     "Requests taken over from a failed dispatcher.",
     {}},
    {Metric::kCatalogRevision,
     "vanillalatch_catalog_revision",
     kGauge,
     "Revision of the catalog in force on this VM.",
     {}},
    {Metric::kCatalogAge,
     "vanillalatch_catalog_age_seconds",
     kGauge,
     "Time since a control VM last confirmed the catalog.",
     {}},
    {Metric::kMembers, "vanillalatch_members", kGauge,
     "Entry VMs of the data centre by state, in the view of this VM.",
     kByState},
    {Metric::kClassRequests, "vanillalatch_class_requests_total", kCounter,
     "Requests dispatched by this VM, by service, class and outcome.",
     kByClassAndOutcome},
    {Metric::kClassQueued, "vanillalatch_class_queued_requests", kGauge,
     "Requests that wait for a slot.", kByClass},
    {Metric::kClassP99, "vanillalatch_class_latency_p99_seconds", kGauge,
     "99th percentile of the response time in the last window.", kByClass},
    {Metric::kClassTarget, "vanillalatch_class_latency_target_seconds", kGauge,
     "Target response time of the class.", kByClass},
    {Metric::kEndpointSlots, "vanillalatch_endpoint_slots", kGauge,
     "Requests that the endpoint can run at the same time.", kByEndpoint},
    {Metric::kEndpointBusy, "vanillalatch_endpoint_busy_slots", kGauge,
     "Slots of the endpoint in use.", kByEndpoint},
    {Metric::kEndpointRequests, "vanillalatch_endpoint_requests_total",
     kCounter, "Requests sent to the endpoint.", kByEndpoint},
    {Metric::kEndpointBusyTime, "vanillalatch_endpoint_busy_seconds_total",
     kCounter,
     "Total time during which slots were in use, summed over all slots.",
     kByEndpoint},
    {Metric::kControlTerm,
     "vanillalatch_control_term",
     kGauge,
     "Election term of this control VM.",
     {}},
    {Metric::kControlCommitted,
     "vanillalatch_control_committed_index",
     kGauge,
     "Last committed index of the replicated log.",
     {}},
    {Metric::kControlLeader,
     "vanillalatch_control_leader",
     kGauge,
     "1 if this control VM leads, else 0.",
     {}},
    {Metric::kEvacuations,
     "vanillalatch_evacuations",
     kGauge,
     "Evacuations of data centres in force, as applied by this control VM.",
     {}},
    {Metric::kUnknownValues,
     "vanillalatch_unknown_values_total",
     kCounter,
     "Values of accepted configurations that this version does "
     "not know.",
     {}},
    {Metric::kFlowEvents, "vanillalatch_flow_events_total", kCounter,
     "Events in the handling of flows and their packets, by event.", kByEvent},
    {Metric::kPeerBytes, "vanillalatch_peer_bytes_total", kCounter,
     "Bytes of datagrams between entry VMs about flows, by direction and kind "
     "of message.",
     kByDirectionAndKind},
    {Metric::kFlowWait,
     "vanillalatch_flow_wait_seconds",
     kHistogram,
     "Time that a flow waited for a slot before it was placed.",
     {}},
    {Metric::kFlowHandshake,
     "vanillalatch_flow_handshake_seconds",
     kHistogram,
     "Time from the placement of a flow until its caller's next packet.",
     {}},
    {Metric::kFlowAnswer,
     "vanillalatch_flow_answer_seconds",
     kHistogram,
     "Time from the placement of a flow until the answer to its first request "
     "begins.",
     {}},
});

}  // namespace

std::span<const MetricRow> MetricRows() { return kRows; }

}  // namespace vanillalatch
