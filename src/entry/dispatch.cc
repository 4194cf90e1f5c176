// The path of a request from its arrival to its final answer: which VM is
// responsible for it, whether it may be placed in a slot, and how it finishes.
#include "src/entry/entry_node_impl.h"

namespace vanillalatch::internal {

// Hands the request over to the dispatcher, or takes responsibility for it.
void EntryNodeImpl::Route(RequestRecord& record) {
  const ServiceState* service = FindService(record.service);
  if (service == nullptr) {
    GiveUp(record, ErrorKind::kNotFound, Duration::zero());
    return;
  }
  const NodeId to = service->dispatcher;
  const bool elsewhere = joined_ && to != NodeId{} && to != self_;
  if (elsewhere && record.hops < kMaxHandOvers) {
    HandOver(record, to);
    return;
  }
  TakeResponsibility(record);
}

void EntryNodeImpl::HandOver(RequestRecord& record, NodeId to) {
  if (IsResponsible(record)) {
    Advance(record, RequestEvent::kHandOver);
  }
  record.responsible_vm = to;
  const Member* member = FindMember(to);
  record.responsible_incarnation = member == nullptr ? 0 : member->incarnation;
  record.acknowledged = false;
  record.peer_sends = 0;
  ++record.hops;
  ++counters_.handed_over;
  RecordHop(record.id, HopEvent::kHandedOver, to.value());
  SendHandover(record);
}

void EntryNodeImpl::TakeResponsibility(RequestRecord& record) {
  ReleaseAdoptedSlot(record);
  record.responsible_vm = self_;
  const ServiceState& service = *FindService(record.service);
  if (record.state == RequestState::kHeld) {
    Advance(record, RequestEvent::kTake);
    RecordHop(record.id, HopEvent::kAccepted,
              record.done_recipients.empty()
                  ? self_.value()
                  : record.done_recipients.front().value());
  }
  if (service.dispatches && service.ready && !AwaitsEndpoints(service)) {
    Submit(record);
  } else if (joined_ && service.dispatcher == NodeId{}) {
    GiveUp(record, ErrorKind::kStopping, kRetryAfter);
  } else {
    Park(record, kParkedRetryInterval);
  }
}

void EntryNodeImpl::Submit(RequestRecord& record) {
  ServiceState& service = *FindService(record.service);
  if (!record.idempotent &&
      (record.possible_runs > 0 || OrphanMayHaveRun(service, record) ||
       MayBeResendOfLostRequest(service, record) || MayRunElsewhere(record))) {
    record.possible_runs = 1;
    GiveUp(record, ErrorKind::kOutcomeUnknown, kRetryAfter);
    return;
  }
  Work work;
  work.request = record.id;
  work.work_class = record.work_class;
  work.deadline = record.deadline;
  if (record.attempts > 0) {
    work.avoid = record.endpoint;
  }
  if (!SelectPin(service, record, work)) {
    return;
  }
  Advance(record, RequestEvent::kSubmit);
  records_.WakeAt(record, record.deadline);
  service.scheduler->Submit(now_, work, verdicts_);
  ApplyVerdicts();
  if (record.state == RequestState::kQueued) {
    RecordHop(record.id, HopEvent::kQueued, 0);
  }
}

// True if the request, which is not idempotent, may be a resend of one that
// only failed VMs had a record of.
bool EntryNodeImpl::MayBeResendOfLostRequest(
    const ServiceState& service, const RequestRecord& record) const {
  if (record.issued != kNever && service.history_start != TimePoint::min() &&
      record.issued < service.history_start + kClockSkew) {
    return true;
  }
  if (service.outcome_unknown_before == TimePoint::min()) {
    return false;
  }
  if (record.issued != kNever) {
    return record.issued < service.outcome_unknown_before + kClockSkew;
  }
  return now_ < service.outcome_unknown_before + options_.exchange_lifetime;
}

// True if a failed VM was responsible for the request and may have sent it. It
// could send the request only after another VM stored a second record, and all
// live VMs have reported theirs. So it has not, unless that other VM failed
// too.
bool EntryNodeImpl::OrphanMayHaveRun(const ServiceState& service,
                                     const RequestRecord& record) const {
  if (!record.orphaned) {
    return false;
  }
  return !service.complete || !service.all_collected ||
         previous_failure_ + kDoubleFailureWindow > now_;
}

// True if this VM is in the smaller part of a partitioned data centre and the
// request may be a resend of one that the larger part has run. A request that
// was issued just now is no resend.
bool EntryNodeImpl::MayRunElsewhere(const RequestRecord& record) const {
  return InMinority() && (record.issued == kNever ||
                          record.issued + kMaxFreshRequestAge < now_);
}

NodeId EntryNodeImpl::SelectHolder(const ServiceState& service) const {
  return !service.complete && !service.sources.empty() ? service.sources.front()
                                                       : service.successor;
}

// Places or refuses the requests that the schedulers decided on. Placing one
// may free a slot and add verdicts to the list, which this call processes as
// well.
void EntryNodeImpl::ApplyVerdicts() {
  if (applying_verdicts_) {
    return;
  }
  applying_verdicts_ = true;
  for (std::size_t n = 0; n < verdicts_.size(); ++n) {
    const Verdict verdict = verdicts_[n];
    RequestRecord* record = records_.Find(verdict.request);
    if (record == nullptr || record->state != RequestState::kQueued) {
      continue;
    }
    if (verdict.kind == Verdict::Kind::kRefuse) {
      GiveUp(*record, verdict.error, verdict.retry_after);
    } else {
      Place(*FindService(record->service), *record, verdict.endpoint);
    }
  }
  verdicts_.clear();
  applying_verdicts_ = false;
}

void EntryNodeImpl::Place(ServiceState& service, RequestRecord& record,
                          EndpointId endpoint) {
  Advance(record, RequestEvent::kPlace);
  record.endpoint = endpoint;
  if (NeedsHold(service, record)) {
    record.peer_sends = 0;
    SendHold(record);
  } else {
    SendToBackend(record);
  }
}

// True if another VM must confirm a second record before the request is sent.
// That applies to requests that are not idempotent, that open a flow, or that
// no ingress has a record of.
bool EntryNodeImpl::NeedsHold(const ServiceState& service,
                              const RequestRecord& record) const {
  if (SelectHolder(service) == NodeId{} || record.hold_granted) {
    return false;
  }
  return !record.idempotent || record.opens_flow ||
         record.done_recipients.empty();
}

void EntryNodeImpl::ReleaseFromScheduler(ServiceState& service,
                                         RequestRecord& record,
                                         WorkOutcome outcome) {
  if (record.state == RequestState::kQueued) {
    if (!service.scheduler->Cancel(now_, record.id)) {
      // It is no longer in the queue: a pending verdict assigned it a slot.
      service.scheduler->Finish(now_, record.id, WorkOutcome::kCancelled,
                                verdicts_);
    }
  } else if (record.state == RequestState::kPlaced ||
             record.state == RequestState::kSent) {
    service.scheduler->Finish(now_, record.id, outcome, verdicts_);
  }
}

void EntryNodeImpl::ReleaseAdoptedSlot(RequestRecord& record) {
  ServiceState* service = FindService(record.service);
  if (record.adopted && service != nullptr) {
    service->scheduler->Finish(now_, record.id, WorkOutcome::kCancelled,
                               verdicts_);
    ApplyVerdicts();
  }
  record.adopted = false;
}

void EntryNodeImpl::Park(RequestRecord& record, Duration retry) {
  if (record.state != RequestState::kParked) {
    Advance(record, RequestEvent::kPark);
  }
  records_.WakeAt(record, std::min(now_ + retry, record.deadline));
}

// True if the request has certainly not run, through this VM or another, and no
// other VM will run it. If a VM that was responsible for it has failed, that VM
// may be alive behind a cut. Only a majority, which grants it no second record,
// keeps it from sending the request.
bool EntryNodeImpl::CertainlyNotRun(const RequestRecord& record) {
  const ServiceState* service = FindService(record.service);
  if (service == nullptr) {
    return true;  // Deleted: only this VM's own sends count.
  }
  if (!service->dispatches || !service->ready || InMinority() ||
      now_ < thawed_at_ + kThawSettleTime ||
      (record.orphaned && !InMajority())) {
    return false;
  }
  const bool may_predate =
      record.issued == kNever
          ? now_ < service->sole_sender_since + options_.exchange_lifetime
          : record.issued < service->sole_sender_since + kClockSkew;
  return service->sole_sender_since == TimePoint::min() || !may_predate ||
         (!record.idempotent && service->complete);
}

// Gives the request up and answers immediately. Replaces an error kind that
// says "not run" if the request may have run.
void EntryNodeImpl::GiveUp(RequestRecord& record, ErrorKind kind,
                           Duration retry_after) {
  if (AnswerFor(kind).not_run &&
      (record.possible_runs > 0 || !CertainlyNotRun(record))) {
    kind = record.idempotent ? ErrorKind::kDeadlineExceeded
                             : ErrorKind::kOutcomeUnknown;
  }
  CloseExchange(record, true);
  if (ServiceState* service = FindService(record.service)) {
    ReleaseFromScheduler(*service, record, WorkOutcome::kTimedOut);
  }
  const bool refused = AnswerFor(kind).not_run;
  ++(refused ? counters_.refused : counters_.given_up);
  RecordHop(record.id, refused ? HopEvent::kRefused : HopEvent::kGivenUp,
            static_cast<std::uint64_t>(kind));
  FinishAndAnswer(record, BuildErrorAnswer(kind, retry_after), refused);
}

// Records the final answer, sends it, and notifies the VMs that have a record
// of the request. An answer that says "not run" is deferred until they
// acknowledge it: a VM that declares this one failed could otherwise still run
// the request.
void EntryNodeImpl::FinishAndAnswer(RequestRecord& record,
                                    std::vector<std::uint8_t> answer,
                                    bool not_run) {
  ReleaseAdoptedSlot(record);
  record.peer_sends = 0;
  if (!not_run) {
    ReplicateFinished(record);
  }
  record.answer_says_not_run = not_run;
  record.answer_deferred = not_run && !record.done_recipients.empty();
  records_.Finish(record, now_, std::move(answer));
  if (!record.answer_deferred) {
    AnswerCaller(record);
  }
  SendDone(record);
  ApplyVerdicts();
}

}  // namespace vanillalatch::internal
