// Planned stops, and draining by the catalog.
#include "src/entry/entry_node_impl.h"

namespace vanillalatch::internal {

void EntryNodeImpl::BeginStop(TimePoint now, Outbox& out) {
  BeginEvent(now, out);
  if (stopping_) {
    return;
  }
  stopping_ = true;
  if (!drained_by_catalog_) {
    Leave();
  }
  stop_began_ = now_;
  AfterEvent();
}

bool EntryNodeImpl::Stopped(TimePoint now) const {
  if (!stopping_ || now < stop_began_ + kLeaveGossipTime) {
    return false;
  }
  return now >= stop_began_ + options_.drain_limit || IsDrained();
}

// True if no caller and no other VM still needs this VM.
bool EntryNodeImpl::IsDrained() const {
  for (const auto& [id, service] : services_) {
    if (service.transfer.to != NodeId{}) {
      return false;
    }
  }
  bool drained = true;
  records_.ForEach([&](const RequestRecord& record) {
    const bool handover_pending =
        record.state == RequestState::kHeld && !record.acknowledged;
    const bool done_pending = record.state == RequestState::kFinished &&
                              !record.done_recipients.empty();
    const bool hold_needed = record.state == RequestState::kHeld &&
                             record.grant_holder != 0 &&
                             !IsFailed(record.responsible_vm);
    drained = drained && !IsResponsible(record) && !handover_pending &&
              !done_pending && !hold_needed;
  });
  return drained;
}

// Announces that this VM leaves. The other VMs stop handing requests to it, and
// it hands over the requests that it has not sent to a backend server.
void EntryNodeImpl::Leave() { members_->Leave(now_, *registry_, *out_); }

// Ends a drain: joins again with a higher incarnation, with the live members as
// seeds.
void EntryNodeImpl::Rejoin() {
  MemberListOptions options = options_.membership;
  options.seeds.clear();
  for (const Member& it : members_->members()) {
    if (it.id == self_) {
      options.incarnation = std::max(options.incarnation, it.incarnation);
    } else if (it.state != MemberState::kDead) {
      options.seeds.push_back(it.peer);
    }
  }
  ++options.incarnation;
  if (options.seeds.empty()) {
    options.seeds = options_.membership.seeds;
  }
  members_ = MemberList::Create(std::move(options), seed_).value();
  members_version_ = members_->version() - 1;
  started_ = now_;
  joined_ = HasJoined();
}

}  // namespace vanillalatch::internal
