#include "vanillalatch/packetflow/flow_dispatcher.h"

#include <algorithm>
#include <utility>

#include "src/packetflow/flow_dispatcher_impl.h"

namespace vanillalatch {
namespace internal {

void FlowDispatcherImpl::Open(TimePoint now, FlowOpening opening,
                              FlowActions& actions) {
  const auto it = flows_.find(opening.id);
  if (it != flows_.end()) {
    if (IsCopyOf(now, it->second, opening)) {
      OnRetransmission(now, it->second, opening, actions);
      return;
    }
    // The caller has reused the port: the earlier flow has ended without a
    // report of its end.
    Release(now, it->second, WorkOutcome::kCancelled);
    flows_.erase(it);
  }
  if (const Closed* closed = FindClosed(now, opening)) {
    // This is a late retransmission, which another VM had parked. A flow that
    // has ended must not be opened again; a refusal is repeated.
    if (closed->refused) {
      actions.refusals.push_back(
          {opening.id, closed->kind, std::move(opening.packet), closed->cause});
    }
    return;
  }
  ++counters_.opened;
  move_budgets_[opening.service].OnOpening(now);
  const FlowId id = opening.id;
  Flow& flow = flows_[id];
  flow.opening = std::move(opening);
  flow.opened_at = now - flow.opening.age;
  flow.issued_at =
      recent_refusals_.TakeIssued(now, flow.opening).value_or(flow.opened_at);
  Submit(now, flow, std::nullopt, actions);
}

bool FlowDispatcherImpl::IsCopyOf(TimePoint now, const Flow& flow,
                                  const FlowOpening& opening) {
  // A report does not state the sequence number of its flow's opening packet.
  return flow.is_from_report ? now - opening.age <= flow.accepted_at
                             : flow.opening.sequence == opening.sequence;
}

const FlowDispatcherImpl::Closed* FlowDispatcherImpl::FindClosed(
    TimePoint now, const FlowOpening& opening) const {
  const auto it = closed_.find(opening.id);
  return it != closed_.end() && it->second.sequence == opening.sequence &&
                 now < it->second.until
             ? &it->second
             : nullptr;
}

void FlowDispatcherImpl::Submit(TimePoint now, Flow& flow,
                                std::optional<EndpointId> avoid,
                                FlowActions& actions) {
  flow.accepted = false;
  flow.move_refused = false;
  flow.request_sent = false;
  flow.work = RequestId(++last_work_);
  flow.placed = false;
  flow.idle = false;
  flow.submitted_at = now;
  flow.moved_from = avoid.value_or(EndpointId{});
  flow.expires = now + flow.opening.timeout;
  flow_by_work_[flow.work] = flow.opening.id;
  Work work;
  work.request = flow.work;
  work.work_class = flow.opening.work_class;
  work.deadline = flow.issued_at + flow.opening.timeout;
  work.issued = flow.issued_at;
  work.start_by = flow.opened_at + kOpeningTimeout - kPlacementMargin;
  work.avoid = avoid;
  if (!avoid && flow.opening.progress_reported) {
    work.try_first = silence_detector_.TakeProbe(now, flow.opening.service);
  }
  work.data_center = flow.opening.data_center;
  SchedulerOf(flow.shard()).Submit(now, work, verdicts_);
  ApplyVerdicts(now, actions);
}

void FlowDispatcherImpl::OnRetransmission(TimePoint now, Flow& flow,
                                          const FlowOpening& opening,
                                          FlowActions& actions) {
  flow.opening.progress_reported &= opening.progress_reported;
  if (!flow.placed) {
    flow.opening.copy = std::max(flow.opening.copy, opening.copy);
    return;
  }
  if (flow.accepted || opening.copy <= flow.opening.copy) {
    // The flow is open, and this copy was late or parked, or this transmission
    // has already been processed.
    return;
  }
  const Resend resend = SchedulerOf(flow.shard()).TryResend(now, flow.endpoint);
  flow.opening.copy = opening.copy;
  if (resend == Resend::kMove) {
    MoveFromEvacuated(now, flow, actions);
    return;
  }
  // A flow that waited for a slot has not been at its endpoint for long.
  const bool endpoint_had_time = now - flow.sent_at >= kMaxSilenceTimeout;
  if ((opening.copy < kFirstMovedCopy || !endpoint_had_time) &&
      !flow.move_refused) {
    if (resend == Resend::kWait) {
      ++counters_.withheld_from_cold;
      return;
    }
    flow.sent_at = now;
    flow.repeated = true;
    ++counters_.repeated;
    actions.placements.push_back({flow.endpoint, flow.opening.packet});
    return;
  }
  ++counters_.moved;
  const EndpointId silent = flow.endpoint;
  Release(now, flow, WorkOutcome::kTimedOut);
  Submit(now, flow, silent, actions);
}

void FlowDispatcherImpl::MoveFromEvacuated(TimePoint now, Flow& flow,
                                           FlowActions& actions) {
  if (flow.accepted) {
    return;  // A late copy: the caller has continued.
  }
  ++counters_.moved;
  ++counters_.moved_from_evacuated;
  const EndpointId evacuated = flow.endpoint;
  Release(now, flow, WorkOutcome::kCancelled);
  Submit(now, flow, evacuated, actions);
}

void FlowDispatcherImpl::Release(TimePoint now, const Flow& flow,
                                 WorkOutcome outcome, Duration age) {
  if (flow.idle) {
    return;
  }
  flow_by_work_.erase(flow.work);
  SlotScheduler& scheduler = SchedulerOf(flow.shard());
  if (flow.placed) {
    scheduler.Finish(now, flow.work, outcome, age, verdicts_);
  } else {
    scheduler.Cancel(now, flow.work);
  }
}

void FlowDispatcherImpl::OnEndpointAnswered(const Flow& flow,
                                            FlowActions& actions) {
  const ServiceId service = flow.opening.service;
  if (silence_detector_.OnAnswer(flow.endpoint, service, flow.sent_at)) {
    SchedulerOf(ShardOf(service, flow.endpoint))
        .SetSilent(flow.endpoint, false);
    actions.silences.push_back({flow.endpoint, false, 0, Duration::zero()});
  }
}

void FlowDispatcherImpl::AddEvent(FlowEvent::Kind kind, const Flow& flow,
                                  Duration elapsed, FlowActions& actions) {
  if (flow.opening.caller == SocketAddress{}) {
    return;  // Another VM placed the flow; its addresses are not known here.
  }
  FlowEvent event;
  event.kind = kind;
  event.caller = flow.opening.caller;
  event.route = flow.opening.route;
  event.sequence = flow.opening.sequence;
  event.copy = flow.opening.copy;
  event.endpoint = flow.placed ? flow.endpoint : EndpointId{};
  event.moved_from = flow.moved_from;
  event.elapsed = elapsed;
  event.accepted = flow.accepted;
  event.request_sent = flow.request_sent;
  event.late = flow.late;
  actions.events.push_back(event);
}

void FlowDispatcherImpl::OnFlowUpdate(TimePoint now, const FlowUpdate& update,
                                      const EstablishedFlow& established,
                                      FlowActions& actions) {
  auto it = flows_.find(update.id);
  if (it == flows_.end()) {
    if (!update.request_sent) {
      return;
    }
    // Another VM placed the flow, or it expired here while it was idle.
    it = flows_.try_emplace(update.id).first;
    Flow& flow = it->second;
    flow.opening.id = update.id;
    flow.opening.service = established.service;
    flow.opening.work_class = established.work_class;
    flow.opening.timeout = established.timeout;
    flow.endpoint = established.endpoint;
    flow.opening.shard =
        ShardOf(established.service, established.endpoint).data_center;
    // The other VMs report to this one, or it would not know the flow.
    flow.opening.progress_reported = true;
    // Suppresses the kAnswer timing: when the flow was placed is unknown here.
    flow.has_answer = true;
    flow.placed = true;
    flow.accepted = true;
    flow.accepted_at = now;
    flow.is_from_report = true;
    flow.idle = true;
  }
  Flow& flow = it->second;
  if (!flow.placed) {
    return;
  }
  if (!std::exchange(flow.accepted, true)) {
    flow.accepted_at = now;
    const Duration handshake = now - update.age - flow.sent_at;
    silence_detector_.OnHandshake(now, handshake);
    actions.timings.push_back({FlowTiming::Part::kHandshake, handshake});
    OnEndpointAnswered(flow, actions);
  }
  flow.request_sent |= update.request_sent;
  if (update.answer_started && !flow.idle) {
    if (!std::exchange(flow.has_answer, true)) {
      actions.timings.push_back(
          {FlowTiming::Part::kAnswer, now - update.age - flow.sent_at});
    }
    MarkIdle(now, flow, WorkOutcome::kAnswered, update.age);
    ApplyVerdicts(now, actions);
  } else if (update.request_sent && flow.idle) {
    TakeSlot(now, flow);
  }
}

void FlowDispatcherImpl::MarkIdle(TimePoint now, Flow& flow,
                                  WorkOutcome outcome, Duration age) {
  Release(now, flow, outcome, age);
  flow.idle = true;
  flow.opening.packet.clear();
  flow.expires = now + kIdleFlowRetention;
}

void FlowDispatcherImpl::TakeSlot(TimePoint now, Flow& flow) {
  flow.idle = false;
  flow.slot_taken_at = now;
  flow.work = RequestId(++last_work_);
  flow.expires = now + flow.opening.timeout;
  flow_by_work_[flow.work] = flow.opening.id;
  Work work;
  work.request = flow.work;
  work.work_class = flow.opening.work_class;
  SchedulerOf(flow.shard()).AddRunning(now, work, flow.endpoint);
}

void FlowDispatcherImpl::End(TimePoint now, FlowId id, bool given_up,
                             Duration age, FlowActions& actions) {
  const auto it = flows_.find(id);
  if (it == flows_.end()) {
    return;
  }
  ++counters_.ended;
  const Flow flow = std::move(it->second);
  closed_[id] = {flow.opening.sequence, now + kRetransmissionWindow};
  flows_.erase(it);
  if (flow.placed && !given_up) {
    OnEndpointAnswered(flow, actions);
  }
  if (given_up) {
    AddEvent(FlowEvent::Kind::kGivenUp, flow,
             now - (flow.placed ? flow.sent_at : flow.submitted_at), actions);
  }
  Release(now, flow,
          given_up ? WorkOutcome::kCancelled : WorkOutcome::kAnswered, age);
  ApplyVerdicts(now, actions);
}

void FlowDispatcherImpl::ApplyVerdicts(TimePoint now, FlowActions& actions) {
  for (const Verdict& it : std::exchange(verdicts_, {})) {
    const auto flow_id = flow_by_work_.find(it.request);
    if (flow_id == flow_by_work_.end()) {
      continue;
    }
    const auto found = flows_.find(flow_id->second);
    Flow& flow = found->second;
    if (it.kind == Verdict::Kind::kStart) {
      ++counters_.placed;
      counters_.placed_late += it.late ? 1 : 0;
      flow.placed = true;
      flow.repeated = false;
      flow.late = it.late;
      flow.endpoint = it.endpoint;
      flow.sent_at = now;
      flow.slot_taken_at = now;
      flow.expires = now + flow.opening.timeout;
      actions.placements.push_back({it.endpoint, flow.opening.packet});
      actions.timings.push_back(
          {FlowTiming::Part::kWait, now - flow.submitted_at});
      AddEvent(flow.moved_from == EndpointId{} ? FlowEvent::Kind::kPlaced
                                               : FlowEvent::Kind::kMoved,
               flow, now - flow.submitted_at, actions);
      continue;
    }
    ++counters_.refused;
    closed_[flow.opening.id] = {flow.opening.sequence,
                                now + kRetransmissionWindow, true, it.error,
                                it.cause};
    recent_refusals_.Add(now, flow.opening, flow.issued_at);
    actions.refusals.push_back(
        {flow.opening.id, it.error, std::move(flow.opening.packet), it.cause});
    flow_by_work_.erase(flow_id);
    flows_.erase(found);
  }
}

}  // namespace internal

Result<std::unique_ptr<FlowDispatcher>> FlowDispatcher::Create(
    FlowDispatcherOptions options, std::uint64_t seed) {
  constexpr std::uint32_t kMinOverlapPercent = 100;
  if (options.overlap_percent < kMinOverlapPercent) {
    return Error(ErrorKind::kInvalidArgument,
                 "overlap_percent must be at least 100: an endpoint takes at "
                 "least one flow per slot");
  }
  return std::unique_ptr<FlowDispatcher>(
      std::make_unique<internal::FlowDispatcherImpl>(options, seed));
}

}  // namespace vanillalatch
