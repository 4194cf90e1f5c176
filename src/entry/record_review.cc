// What becomes of the requests of a VM that left or died.
#include <algorithm>

#include "src/entry/entry_node_impl.h"

namespace vanillalatch::internal {

void EntryNodeImpl::ReviewRecords(NodeId restarted) {
  std::vector<RequestId> open;
  records_.ForEach([&](const RequestRecord& record) {
    if (record.state != RequestState::kFinished) {
      open.push_back(record.id);
    }
  });
  // In order, so that the same events give the same actions.
  std::sort(open.begin(), open.end());
  for (const RequestId it : open) {
    RequestRecord* record = records_.Find(it);
    if (record == nullptr || FindService(record->service) == nullptr) {
      continue;
    }
    if (HasDuty(*record)) {
      ReviewDuty(*record, restarted);
    } else if (record->state == RequestState::kHeld &&
               record->next != NodeId{} &&
               (IsGone(record->next) ||
                (record->next == restarted && !IsWithPresentLife(*record)))) {
      ReviewHeld(*record);
    }
  }
}

// A VM that came back may be known by its new incarnation, and be handed work,
// before its first message shows that it was started anew.
bool EntryNodeImpl::IsWithPresentLife(const RequestRecord& record) const {
  const Member* member = FindMember(record.next);
  return member != nullptr && record.next_incarnation != 0 &&
         member->incarnation == record.next_incarnation;
}

// The VM with the duty is lost. It may have sent the request if it was granted
// that, or needs no grant; it may only be frozen, and send it yet.
void EntryNodeImpl::ReviewHeld(RequestRecord& record) {
  ReleaseAdopted(record);
  record.orphaned = true;
  if (record.grantee != 0 || record.idempotent) {
    record.unsettled = 1;
  }
  record.acknowledged = false;
  const ServiceState& service = *FindService(record.service);
  if (service.dispatches) {
    ++counters_.taken_over;
    Note(record.id, HopEvent::kTakenOver, record.next.value());
  }
  Route(record);
}

// Hands on what waits here when another VM dispatches, and renews the second
// record when its holder is lost.
void EntryNodeImpl::ReviewDuty(RequestRecord& record, NodeId restarted) {
  ServiceState& service = *FindService(record.service);
  const bool elsewhere = service.dispatcher != NodeId{} && !service.dispatches;
  if (elsewhere && record.state == RequestState::kQueued) {
    LeaveScheduler(service, record, WorkOutcome::kCancelled);
    Park(record, kParkedRetry);
  }
  if (elsewhere && record.state == RequestState::kParked) {
    Route(record);
    return;
  }
  const bool holder_lost =
      record.holder != NodeId{} &&
      (IsLeavingOrGone(record.holder) || record.holder == restarted);
  if (!holder_lost) {
    return;
  }
  record.granted = false;
  record.holder = NodeId{};
  renewals_due_ = true;
  if (record.state == RequestState::kPlaced) {
    record.sends = 0;
    SendHold(record);
  }
}

// Another VM knows of an earlier dispatcher that may have sent the request.
void EntryNodeImpl::NoteEarlierSend(RequestRecord& record,
                                    const pb::Handover& handover) {
  record.orphaned |= handover.orphaned();
  if (!handover.maybe_sent()) {
    return;
  }
  // The one more of a request that this VM has sent itself outlives an answer
  // that says "not run" of that send alone.
  const bool sent = record.state == RequestState::kSent;
  record.unsettled = std::max<std::uint8_t>(record.unsettled, sent ? 2 : 1);
  const bool starts_soon = record.state == RequestState::kQueued ||
                           record.state == RequestState::kPlaced;
  if (starts_soon && !record.idempotent) {
    GiveUp(record, ErrorKind::kOutcomeUnknown, kRetryLater);
  }
}

// Asks again for the second records of requests that are being run, until a
// VM has confirmed each.
void EntryNodeImpl::RenewHolds() {
  if (!renewals_due_) {
    return;
  }
  renewals_due_ = false;
  records_.ForEach([&](RequestRecord& record) {
    if (record.state == RequestState::kSent && !record.granted &&
        !record.idempotent && FindService(record.service) != nullptr) {
      renewals_due_ = true;
      SendHold(record);
    }
  });
}

}  // namespace vanillalatch::internal
