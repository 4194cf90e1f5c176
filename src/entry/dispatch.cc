// From a request to a slot: who has the duty to answer it, whether it may be
// placed, and how it ends.
#include "src/entry/entry_node_impl.h"

namespace vanillalatch::internal {

// Takes the duty to answer, or hands it to the dispatcher.
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
  TakeDuty(record);
}

void EntryNodeImpl::HandOver(RequestRecord& record, NodeId to) {
  if (HasDuty(record)) {
    Advance(record, RequestEvent::kHandOver);
  }
  record.next = to;
  const Member* member = FindMember(to);
  record.next_incarnation = member == nullptr ? 0 : member->incarnation;
  record.acknowledged = false;
  record.sends = 0;
  ++record.hops;
  ++counters_.handed_over;
  Note(record.id, HopEvent::kHandedOver, to.value());
  SendHandover(record);
}

void EntryNodeImpl::TakeDuty(RequestRecord& record) {
  ReleaseAdopted(record);
  const ServiceState& service = *FindService(record.service);
  if (record.state == RequestState::kHeld) {
    Advance(record, RequestEvent::kTake);
    Note(record.id, HopEvent::kAccepted,
         record.tell.empty() ? self_.value() : record.tell.front().value());
  }
  if (service.dispatches && service.ready && !AwaitsEndpoints(service)) {
    Submit(record);
  } else if (joined_ && service.dispatcher == NodeId{}) {
    GiveUp(record, ErrorKind::kStopping, kRetryLater);
  } else {
    Park(record, kParkedRetry);
  }
}

void EntryNodeImpl::Submit(RequestRecord& record) {
  ServiceState& service = *FindService(record.service);
  if (!record.idempotent &&
      (record.unsettled > 0 || OrphanMayHaveRun(service, record) ||
       IsUnsure(service, record) || MayRunElsewhere(record))) {
    record.unsettled = 1;
    GiveUp(record, ErrorKind::kOutcomeUnknown, kRetryLater);
    return;
  }
  Work work{record.id, record.work_class, record.deadline, {}, {}};
  if (record.attempts > 0) {
    work.avoid = record.endpoint;
  }
  if (!ChoosePin(service, record, work)) {
    return;
  }
  Advance(record, RequestEvent::kSubmit);
  records_.WakeAt(record, record.deadline);
  service.scheduler->Submit(now_, work, verdicts_);
  RunVerdicts();
  if (record.state == RequestState::kQueued) {
    Note(record.id, HopEvent::kQueued, 0);
  }
}

// True if nobody can tell whether the request, which may not be repeated, is a
// resend of one that the lost holders had.
bool EntryNodeImpl::IsUnsure(const ServiceState& service,
                             const RequestRecord& record) const {
  if (record.issued != kNever && service.born != TimePoint::min() &&
      record.issued < service.born + kClockSkew) {
    return true;
  }
  if (service.unsure_before == TimePoint::min()) {
    return false;
  }
  if (record.issued != kNever) {
    return record.issued < service.unsure_before + kClockSkew;
  }
  return now_ < service.unsure_before + options_.exchange_lifetime;
}

// A lost VM had the duty. It may have sent the request only with a grant, and
// every living VM has said what it granted: unless another VM was lost with it.
bool EntryNodeImpl::OrphanMayHaveRun(const ServiceState& service,
                                     const RequestRecord& record) const {
  if (!record.orphaned) {
    return false;
  }
  return !service.complete || !service.all_collected ||
         lost_before_ + kLossMemory > now_;
}

// In the smaller part of a data centre that fell apart, only what was issued
// just now can't be a resend of a request that the larger part has run.
bool EntryNodeImpl::MayRunElsewhere(const RequestRecord& record) const {
  return InMinority() &&
         (record.issued == kNever || record.issued + kFreshRequest < now_);
}

NodeId EntryNodeImpl::HolderFor(const ServiceState& service) const {
  return !service.complete && !service.sources.empty() ? service.sources.front()
                                                       : service.successor;
}

// Starts and refuses what the schedulers decided. A start may free a slot, and
// so bring further verdicts: they join the list that is being worked off.
void EntryNodeImpl::RunVerdicts() {
  if (running_verdicts_) {
    return;
  }
  running_verdicts_ = true;
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
  running_verdicts_ = false;
}

void EntryNodeImpl::Place(ServiceState& service, RequestRecord& record,
                          EndpointId endpoint) {
  Advance(record, RequestEvent::kPlace);
  record.endpoint = endpoint;
  if (NeedsHold(service, record)) {
    record.sends = 0;
    SendHold(record);
  } else {
    SendToBackend(record);
  }
}

// Whether a second record must be confirmed first: always for a request that
// may not be repeated or that opens a flow, else if no ingress has one.
bool EntryNodeImpl::NeedsHold(const ServiceState& service,
                              const RequestRecord& record) const {
  if (HolderFor(service) == NodeId{} || record.granted) {
    return false;
  }
  return !record.idempotent || record.new_flow || record.tell.empty();
}

void EntryNodeImpl::LeaveScheduler(ServiceState& service, RequestRecord& record,
                                   WorkOutcome outcome) {
  if (record.state == RequestState::kQueued) {
    if (!service.scheduler->Cancel(now_, record.id)) {
      // It has got a slot just now.
      service.scheduler->Finish(now_, record.id, WorkOutcome::kCancelled,
                                verdicts_);
    }
  } else if (record.state == RequestState::kPlaced ||
             record.state == RequestState::kSent) {
    service.scheduler->Finish(now_, record.id, outcome, verdicts_);
  }
}

void EntryNodeImpl::ReleaseAdopted(RequestRecord& record) {
  ServiceState* service = FindService(record.service);
  if (record.adopted && service != nullptr) {
    service->scheduler->Finish(now_, record.id, WorkOutcome::kCancelled,
                               verdicts_);
    RunVerdicts();
  }
  record.adopted = false;
}

void EntryNodeImpl::Park(RequestRecord& record, Duration retry) {
  if (record.state != RequestState::kParked) {
    Advance(record, RequestEvent::kPark);
  }
  records_.WakeAt(record, std::min(now_ + retry, record.deadline));
}

// True if this VM would know of it if the request had run, here or elsewhere.
bool EntryNodeImpl::SurelyNotRun(const RequestRecord& record) {
  const ServiceState* service = FindService(record.service);
  if (service == nullptr) {
    return true;  // Deleted: judged by what this VM sent.
  }
  if (!service->dispatches || !service->ready || InMinority() ||
      now_ < thawed_at_ + kThawSettle) {
    return false;
  }
  const bool older =
      record.issued == kNever
          ? now_ < service->knows_since + options_.exchange_lifetime
          : record.issued < service->knows_since + kClockSkew;
  return service->knows_since == TimePoint::min() || !older ||
         (!record.idempotent && service->complete);
}

// The final answer at once, and the truth: a kind that says "not run" only if
// nothing may have run.
void EntryNodeImpl::GiveUp(RequestRecord& record, ErrorKind kind,
                           Duration retry_after) {
  if (AnswerFor(kind).not_run &&
      (record.unsettled > 0 || !SurelyNotRun(record))) {
    kind = record.idempotent ? ErrorKind::kDeadlineExceeded
                             : ErrorKind::kOutcomeUnknown;
  }
  CloseExchange(record, true);
  if (ServiceState* service = FindService(record.service)) {
    LeaveScheduler(*service, record, WorkOutcome::kTimedOut);
  }
  const bool refused = AnswerFor(kind).not_run;
  ++(refused ? counters_.refused : counters_.given_up);
  Note(record.id, refused ? HopEvent::kRefused : HopEvent::kGivenUp,
       static_cast<std::uint64_t>(kind));
  Conclude(record, ErrorMessage(kind, retry_after), refused);
}

// Records the final answer, sends it, and tells the VMs that hold a record. An
// answer that says "not run" waits until they have heard: a VM that takes this
// one for dead could let the request run after all.
void EntryNodeImpl::Conclude(RequestRecord& record,
                             std::vector<std::uint8_t> answer, bool not_run) {
  ReleaseAdopted(record);
  record.sends = 0;
  if (!not_run) {
    CopyFinished(record);
  }
  record.says_not_run = not_run;
  record.answer_due = not_run && !record.tell.empty();
  records_.Finish(record, now_, std::move(answer));
  if (!record.answer_due) {
    AnswerCaller(record);
  }
  SendDone(record);
  RunVerdicts();
}

}  // namespace vanillalatch::internal
