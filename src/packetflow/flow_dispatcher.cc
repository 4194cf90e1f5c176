#include "vanillalatch/packetflow/flow_dispatcher.h"

#include <algorithm>
#include <utility>

#include "src/packetflow/flow_dispatcher_impl.h"

namespace vanillalatch {
namespace internal {

SlotScheduler& FlowDispatcherImpl::SchedulerOf(ServiceId service) {
  std::unique_ptr<SlotScheduler>& scheduler = schedulers_[service];
  if (scheduler == nullptr) {
    SlotSchedulerOptions options;
    options.overlap_percent = options_.overlap_percent;
    options.endpoints_report_warm_up = true;
    scheduler =
        SlotScheduler::Create(options, StableHash(seed_, service.value()))
            .value();
    scheduler->SetClasses(classes_);
  }
  return *scheduler;
}

void FlowDispatcherImpl::Open(TimePoint now, FlowOpening opening,
                              FlowActions& actions) {
  const auto it = flows_.find(opening.id);
  if (it != flows_.end()) {
    if (it->second.opening.sequence == opening.sequence) {
      OnCopy(now, it->second, opening, actions);
      return;
    }
    // The caller uses the port again: the flow before has ended unheard.
    Release(now, it->second, WorkOutcome::kCancelled);
    flows_.erase(it);
  }
  if (const Closed* closed = FindClosed(now, opening)) {
    // A copy that came late, through a VM that held it: the caller is past it.
    if (closed->refused) {
      actions.refusals.push_back(
          {opening.id, closed->kind, std::move(opening.packet), closed->cause});
    }
    return;
  }
  ++counters_.opened;
  const FlowId id = opening.id;
  Flow& flow = flows_[id];
  flow.opening = std::move(opening);
  Submit(now, flow, std::nullopt, actions);
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
  flow.seen = false;
  flow.requested = false;
  flow.work = RequestId(++last_work_);
  flow.placed = false;
  flow.submitted_at = now;
  flow.moved_from = avoid.value_or(EndpointId{});
  flow.expires = now + flow.opening.timeout;
  by_work_[flow.work] = flow.opening.id;
  Work work;
  work.request = flow.work;
  work.work_class = flow.opening.work_class;
  work.deadline = now + flow.opening.timeout;
  work.avoid = avoid;
  if (!avoid && flow.opening.watched) {
    work.try_first = silence_.TakeProbe(now, flow.opening.service);
  }
  work.data_center = flow.opening.data_center;
  SchedulerOf(flow.opening.service).Submit(now, work, verdicts_);
  CarryOut(now, actions);
}

void FlowDispatcherImpl::OnCopy(TimePoint now, Flow& flow,
                                const FlowOpening& opening,
                                FlowActions& actions) {
  if (!flow.placed || flow.idle || opening.copy <= flow.opening.copy) {
    return;  // It waits, is open, or the same copy came twice.
  }
  flow.opening.copy = opening.copy;
  flow.sent_at = now;
  if (opening.copy < kMoveFromCopy) {
    ++counters_.repeated;
    actions.placements.push_back({flow.endpoint, flow.opening.packet});
    return;
  }
  ++counters_.moved;
  const EndpointId silent = flow.endpoint;
  Release(now, flow, WorkOutcome::kTimedOut);
  Submit(now, flow, silent, actions);
}

void FlowDispatcherImpl::Release(TimePoint now, const Flow& flow,
                                 WorkOutcome outcome) {
  if (flow.idle) {
    return;
  }
  by_work_.erase(flow.work);
  SlotScheduler& scheduler = SchedulerOf(flow.opening.service);
  if (flow.placed) {
    scheduler.Finish(now, flow.work, outcome, verdicts_);
  } else {
    scheduler.Cancel(now, flow.work);
  }
}

void FlowDispatcherImpl::NoteAnswer(const Flow& flow, FlowActions& actions) {
  const ServiceId service = flow.opening.service;
  if (silence_.OnAnswer(flow.endpoint, service, flow.sent_at)) {
    SchedulerOf(service).SetSilent(flow.endpoint, false);
    actions.silences.push_back({flow.endpoint, false, 0, Duration::zero()});
  }
}

void FlowDispatcherImpl::Note(FlowNote::Kind kind, const Flow& flow,
                              Duration elapsed, FlowActions& actions) {
  if (flow.opening.caller == SocketAddress{}) {
    return;  // Another VM placed it and knows it by its addresses.
  }
  FlowNote note;
  note.kind = kind;
  note.caller = flow.opening.caller;
  note.route = flow.opening.route;
  note.sequence = flow.opening.sequence;
  note.copy = flow.opening.copy;
  note.endpoint = flow.placed ? flow.endpoint : EndpointId{};
  note.from = flow.moved_from;
  note.elapsed = elapsed;
  note.answered = flow.seen;
  note.requested = flow.requested;
  actions.notes.push_back(note);
}

void FlowDispatcherImpl::Seen(TimePoint now, const FlowNews& news,
                              const EstablishedFlow& open,
                              FlowActions& actions) {
  auto it = flows_.find(news.id);
  if (it == flows_.end()) {
    if (!news.requests) {
      return;
    }
    // Another VM placed it, or it was idle for long.
    it = flows_.try_emplace(news.id).first;
    Flow& flow = it->second;
    flow.opening.id = news.id;
    flow.opening.service = open.service;
    flow.opening.work_class = open.work_class;
    flow.opening.timeout = open.timeout;
    flow.endpoint = open.endpoint;
    flow.answered = true;  // When it was placed is not known here.
    flow.placed = true;
    flow.seen = true;
    flow.idle = true;
  }
  Flow& flow = it->second;
  if (!flow.placed) {
    return;
  }
  if (!std::exchange(flow.seen, true)) {
    flow.seen_at = now;
    silence_.OnHandshake(now, now - flow.sent_at);
    actions.timings.push_back(
        {FlowTiming::Part::kHandshake, now - flow.sent_at});
    NoteAnswer(flow, actions);
  }
  flow.requested |= news.requests;
  if (news.answered && !flow.idle) {
    if (!std::exchange(flow.answered, true)) {
      actions.timings.push_back(
          {FlowTiming::Part::kAnswer, now - flow.sent_at});
    }
    MakeIdle(now, flow, WorkOutcome::kAnswered);
    CarryOut(now, actions);
  } else if (news.requests && flow.idle) {
    TakeSlot(now, flow);
  }
}

void FlowDispatcherImpl::MakeIdle(TimePoint now, Flow& flow,
                                  WorkOutcome outcome) {
  Release(now, flow, outcome);
  flow.idle = true;
  flow.opening.packet.clear();
  flow.expires = now + kKeepIdle;
}

void FlowDispatcherImpl::TakeSlot(TimePoint now, Flow& flow) {
  flow.idle = false;
  flow.work = RequestId(++last_work_);
  flow.expires = now + flow.opening.timeout;
  by_work_[flow.work] = flow.opening.id;
  Work work;
  work.request = flow.work;
  work.work_class = flow.opening.work_class;
  SchedulerOf(flow.opening.service).AddRunning(now, work, flow.endpoint);
}

void FlowDispatcherImpl::Unwatch(ServiceId service) {
  for (auto& [id, it] : flows_) {
    if (it.opening.service == service) {
      it.opening.watched = false;
    }
  }
}

void FlowDispatcherImpl::End(TimePoint now, FlowId id, bool given_up,
                             FlowActions& actions) {
  const auto it = flows_.find(id);
  if (it == flows_.end()) {
    return;
  }
  ++counters_.ended;
  const Flow flow = std::move(it->second);
  closed_[id] = {flow.opening.sequence, now + kCopiesCome};
  flows_.erase(it);
  if (flow.placed && !given_up) {
    NoteAnswer(flow, actions);
  }
  if (given_up) {
    Note(FlowNote::Kind::kGivenUp, flow,
         now - (flow.placed ? flow.sent_at : flow.submitted_at), actions);
  }
  Release(now, flow,
          given_up ? WorkOutcome::kCancelled : WorkOutcome::kAnswered);
  CarryOut(now, actions);
}

std::vector<FlowOpening> FlowDispatcherImpl::TakeWaiting(TimePoint now,
                                                         ServiceId service) {
  std::vector<FlowOpening> waiting;
  for (auto it = flows_.begin(); it != flows_.end();) {
    const auto next = std::next(it);
    if (!it->second.placed && it->second.opening.service == service) {
      Release(now, it->second, WorkOutcome::kCancelled);
      waiting.push_back(std::move(it->second.opening));
      flows_.erase(it);
    }
    it = next;
  }
  std::sort(waiting.begin(), waiting.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  return waiting;
}

void FlowDispatcherImpl::CarryOut(TimePoint now, FlowActions& actions) {
  for (const Verdict& it : std::exchange(verdicts_, {})) {
    const auto known = by_work_.find(it.request);
    if (known == by_work_.end()) {
      continue;
    }
    const auto found = flows_.find(known->second);
    Flow& flow = found->second;
    if (it.kind == Verdict::Kind::kStart) {
      ++counters_.placed;
      flow.placed = true;
      flow.endpoint = it.endpoint;
      flow.sent_at = now;
      flow.expires = now + flow.opening.timeout;
      actions.placements.push_back({it.endpoint, flow.opening.packet});
      actions.timings.push_back(
          {FlowTiming::Part::kWait, now - flow.submitted_at});
      Note(flow.moved_from == EndpointId{} ? FlowNote::Kind::kPlaced
                                           : FlowNote::Kind::kMoved,
           flow, now - flow.submitted_at, actions);
      continue;
    }
    ++counters_.refused;
    closed_[flow.opening.id] = {flow.opening.sequence, now + kCopiesCome, true,
                                it.error, it.cause};
    actions.refusals.push_back(
        {flow.opening.id, it.error, std::move(flow.opening.packet), it.cause});
    by_work_.erase(known);
    flows_.erase(found);
  }
}

}  // namespace internal

Result<std::unique_ptr<FlowDispatcher>> FlowDispatcher::Create(
    FlowDispatcherOptions options, std::uint64_t seed) {
  constexpr std::uint32_t kWholePercent = 100;
  if (options.overlap_percent < kWholePercent) {
    return Error(ErrorKind::kInvalidArgument,
                 "an endpoint takes at least one flow a slot");
  }
  return std::unique_ptr<FlowDispatcher>(
      std::make_unique<internal::FlowDispatcherImpl>(options, seed));
}

}  // namespace vanillalatch
