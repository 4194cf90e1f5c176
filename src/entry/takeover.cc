// Changes of members: who dispatches each service, and who knows what.
#include <algorithm>
#include <utility>

#include "src/entry/entry_node_impl.h"
#include "vanillalatch/placement/rendezvous.h"

namespace vanillalatch::internal {

// A VM with seeds first waits to hear from another member: it may have
// dispatched under its name before, and others know what it did.
bool EntryNodeImpl::Joined() const {
  return options_.membership.seeds.empty() || members_->members().size() > 1 ||
         now_ >= started_ + kJoinLimit;
}

void EntryNodeImpl::OnMembersChanged() {
  joined_ = joined_ || Joined();
  NoteLosses();
  for (auto& [id, service] : services_) {
    ReviewService(service);
    ReviewSources(service);
  }
  ReviewRecords(NodeId{});
}

void EntryNodeImpl::NoteLosses() {
  for (const Member& it : members_->members()) {
    MemberState& known = member_states_[it.id];
    const bool lost = it.state == MemberState::kDead &&
                      known != MemberState::kDead &&
                      known != MemberState::kLeaving;
    known = it.state;
    if (it.state == MemberState::kDead) {
      instances_.erase(it.id);  // Whatever comes back has a life of its own.
    }
    if (lost) {
      lost_before_ = std::exchange(lost_at_, now_);
      lost_members_[it.id] = now_;
    } else if (it.state != MemberState::kDead) {
      lost_members_.erase(it.id);
    }
  }
}

bool EntryNodeImpl::InMinority() const {
  const auto recent = [&](const auto& it) {
    return it.second + options_.exchange_lifetime > now_;
  };
  const auto lost = static_cast<std::size_t>(
      std::count_if(lost_members_.begin(), lost_members_.end(), recent));
  const auto members = members_->members();
  const auto alive = static_cast<std::size_t>(std::count_if(
      members.begin(), members.end(),
      [](const Member& it) { return it.state != MemberState::kDead; }));
  if (alive != lost || alive + lost < kTieBreakMembers) {
    return alive < lost;
  }
  // Equal parts: the one with the smallest id counts as the larger.
  const NodeId first = std::min_element(members.begin(), members.end(),
                                        [](const Member& a, const Member& b) {
                                          return a.id < b.id;
                                        })
                           ->id;
  return lost_members_.contains(first);
}

// Remembers who dispatches now, for those who ask later.
void EntryNodeImpl::NoteDispatchers() {
  for (auto& [id, service] : services_) {
    const auto it = instances_.find(service.dispatcher);
    if (it != instances_.end()) {
      service.known_dispatchers[it->second] = now_ + options_.exchange_lifetime;
    }
    std::erase_if(service.known_dispatchers,
                  [&](const auto& known) { return known.second <= now_; });
  }
}

void EntryNodeImpl::ReviewService(ServiceState& service) {
  if (!joined_) {
    return;
  }
  const auto members = members_->members();
  const NodeId old_dispatcher = service.dispatcher;
  const NodeId old_successor = service.successor;
  service.dispatcher =
      DispatcherOf(service.id(), members, 0).value_or(NodeId{});
  service.successor = DispatcherOf(service.id(), members, 1).value_or(NodeId{});
  if (service.dispatcher == old_dispatcher &&
      service.successor == old_successor &&
      (!service.dispatches || service.ready)) {
    return;
  }
  const bool dispatched =
      std::exchange(service.dispatches, service.dispatcher == self_);
  ReviewKnowledge(service, old_successor);
  if (service.dispatches && (!dispatched || !service.ready)) {
    BeginCollection(service);
  } else if (!service.dispatches) {
    service.ready = false;
    service.collection = {};
  }
}

// Who knows everything, and who must be told it.
void EntryNodeImpl::ReviewKnowledge(ServiceState& service,
                                    NodeId old_successor) {
  if (service.dispatches) {
    service.followers.clear();
  } else if (service.dispatcher != NodeId{}) {
    service.followers.insert(service.dispatcher);
  }
  const bool holds = service.dispatches || service.successor == self_;
  if (service.complete && !holds) {
    service.complete = false;
    service.complete_until = now_ + kKnowledgeKept;
  }
  if (service.dispatches && service.complete &&
      service.successor != old_successor && service.successor != NodeId{}) {
    BeginTransfer(service, service.successor);
  }
}

// A dispatcher that does not know everything, and has lost every VM that did,
// can't tell a resend from a new request.
void EntryNodeImpl::ReviewSources(ServiceState& service) {
  if (service.sources.empty()) {
    return;
  }
  const auto lost =
      std::erase_if(service.sources, [&](NodeId it) { return IsGone(it); });
  if (lost > 0 && service.dispatches && !service.complete) {
    service.sources.clear();
    service.unsure_before = now_;
  }
}

// The whole knowledge has arrived, or there was none to be had.
void EntryNodeImpl::BecomeComplete(ServiceState& service) {
  service.complete = true;
  service.followers.clear();
  if (!service.dispatches) {
    service.followers.insert(service.dispatcher);
  }
  service.unsure_before = TimePoint::min();
  service.sources.clear();
  if (service.dispatches && !service.ready) {
    StartServing(service);
  }
  if (service.dispatches && service.successor != NodeId{} &&
      service.transfer.to != service.successor) {
    BeginTransfer(service, service.successor);
  }
}

}  // namespace vanillalatch::internal
