// Re-evaluates request records when VMs leave, fail or restart.
#include <algorithm>

#include "src/entry/entry_node_impl.h"

namespace vanillalatch::internal {

void EntryNodeImpl::ReevaluateRecords(NodeId restarted) {
  std::vector<RequestId> open;
  records_.ForEach([&](const RequestRecord& record) {
    if (record.state != RequestState::kFinished) {
      open.push_back(record.id);
    }
  });
  // Sorted, so that the same events always cause the same actions.
  std::sort(open.begin(), open.end());
  for (const RequestId it : open) {
    RequestRecord* record = records_.Find(it);
    if (record == nullptr || FindService(record->service) == nullptr) {
      continue;
    }
    if (IsResponsible(*record)) {
      ReevaluateResponsibility(*record, restarted);
    } else if (record->state == RequestState::kHeld &&
               record->responsible_vm != NodeId{} &&
               (IsFailed(record->responsible_vm) ||
                (record->responsible_vm == restarted &&
                 !IsWithCurrentIncarnation(*record)))) {
      OnResponsibleVmFailed(*record);
    }
  }
}

// True if the request was handed to the current incarnation of the VM
// responsible for it. Membership may report a restarted VM, so that it is
// handed requests, before its first message shows that it restarted.
bool EntryNodeImpl::IsWithCurrentIncarnation(
    const RequestRecord& record) const {
  const Member* member = FindMember(record.responsible_vm);
  return member != nullptr && record.responsible_incarnation != 0 &&
         member->incarnation == record.responsible_incarnation;
}

// Handles the failure of the VM responsible for the request. That VM may have
// sent the request if this VM granted it, or without a grant if the request is
// idempotent. It may also be frozen and send the request later.
void EntryNodeImpl::OnResponsibleVmFailed(RequestRecord& record) {
  ReleaseAdoptedSlot(record);
  record.orphaned = true;
  if (record.grant_holder != 0 || record.idempotent) {
    record.possible_runs = 1;
  }
  record.acknowledged = false;
  const ServiceState& service = *FindService(record.service);
  if (service.dispatches) {
    ++counters_.taken_over;
    RecordHop(record.id, HopEvent::kTakenOver, record.responsible_vm.value());
  }
  Route(record);
}

// Re-evaluates a request that this VM is responsible for: hands it over if it
// waits and another VM dispatches now, and renews the second record if its
// holder has failed, is leaving or restarted.
void EntryNodeImpl::ReevaluateResponsibility(RequestRecord& record,
                                             NodeId restarted) {
  ServiceState& service = *FindService(record.service);
  const bool elsewhere = service.dispatcher != NodeId{} && !service.dispatches;
  if (elsewhere && record.state == RequestState::kQueued) {
    ReleaseFromScheduler(service, record, WorkOutcome::kCancelled);
    Park(record, kParkedRetryInterval);
  }
  if (elsewhere && record.state == RequestState::kParked) {
    Route(record);
    return;
  }
  const bool holder_failed =
      record.holder != NodeId{} &&
      (IsLeavingOrFailed(record.holder) || record.holder == restarted);
  if (!holder_failed) {
    return;
  }
  record.hold_granted = false;
  record.holder = NodeId{};
  hold_renewals_due_ = true;
  if (record.state == RequestState::kPlaced) {
    record.peer_sends = 0;
    SendHold(record);
  }
}

// Merges a peer's information on earlier dispatchers, one of which may have
// sent the request.
void EntryNodeImpl::MergeEarlierSend(RequestRecord& record,
                                     const pb::Handover& handover) {
  record.orphaned |= handover.orphaned();
  if (!handover.maybe_sent()) {
    return;
  }
  // If this VM has sent the request too, counts two possible runs: an answer
  // that says "not run" refers to this VM's send only.
  const bool sent = record.state == RequestState::kSent;
  record.possible_runs =
      std::max<std::uint8_t>(record.possible_runs, sent ? 2 : 1);
  const bool is_about_to_run = record.state == RequestState::kQueued ||
                               record.state == RequestState::kPlaced;
  if (is_about_to_run && !record.idempotent) {
    GiveUp(record, ErrorKind::kOutcomeUnknown, kRetryAfter);
  }
}

// Repeats the request for second records of the non-idempotent requests that
// are sent, until a holder has confirmed each.
void EntryNodeImpl::RenewHolds() {
  if (!hold_renewals_due_) {
    return;
  }
  hold_renewals_due_ = false;
  records_.ForEach([&](RequestRecord& record) {
    if (record.state == RequestState::kSent && !record.hold_granted &&
        !record.idempotent && FindService(record.service) != nullptr) {
      hold_renewals_due_ = true;
      SendHold(record);
    }
  });
}

}  // namespace vanillalatch::internal
