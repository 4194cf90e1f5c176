// Planned stops, and draining by the catalog.
#include "src/entry/entry_node_impl.h"

namespace vanillalatch::internal {

void EntryNodeImpl::BeginStop(TimePoint now, Outbox& out) {
  Begin(now, out);
  if (stopping_) {
    return;
  }
  stopping_ = true;
  if (!drained_by_catalog_) {
    Leave();
  }
  left_ = now_;
  AfterEvent();
}

bool EntryNodeImpl::Stopped(TimePoint now) const {
  if (!stopping_ || now < left_ + kLeaveSpread) {
    return false;
  }
  return now >= left_ + options_.drain_limit || IsDrained();
}

// True if nobody waits for this VM any more.
bool EntryNodeImpl::IsDrained() const {
  for (const auto& [id, service] : services_) {
    if (service.transfer.to != NodeId{}) {
      return false;
    }
  }
  bool drained = true;
  records_.ForEach([&](const RequestRecord& record) {
    const bool offered =
        record.state == RequestState::kHeld && !record.acknowledged;
    const bool untold =
        record.state == RequestState::kFinished && !record.tell.empty();
    drained = drained && !HasDuty(record) && !offered && !untold;
  });
  return drained;
}

// Others stop handing work to this VM; it hands on what it has not sent.
void EntryNodeImpl::Leave() { members_->Leave(now_, *registry_, *out_); }

// Undoes a drain: joins again, as a later incarnation, through the members
// that are known.
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
  joined_ = Joined();
}

}  // namespace vanillalatch::internal
