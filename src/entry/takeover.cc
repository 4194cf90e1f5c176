// Reacts to changes of members: determines the dispatcher and successor of each
// service, and whether this VM is complete for it.
#include <algorithm>
#include <utility>

#include "src/entry/entry_node_impl.h"
#include "vanillalatch/placement/rendezvous.h"

namespace vanillalatch::internal {

// True once this VM may act on its member list. A VM with seeds first waits for
// contact with another member: an earlier instance of it may have dispatched,
// and the other members have the records of that.
bool EntryNodeImpl::HasJoined() const {
  return options_.membership.seeds.empty() || members_->members().size() > 1 ||
         now_ >= started_ + kJoinTimeout;
}

void EntryNodeImpl::OnMembersChanged() {
  joined_ = joined_ || HasJoined();
  TrackFailures();
  for (auto& [id, service] : services_) {
    UpdateRoles(service);
    UpdateColdUse(service);
    RemoveFailedSources(service);
  }
  ReevaluateRecords(NodeId{});
}

void EntryNodeImpl::TrackFailures() {
  for (const Member& it : members_->members()) {
    MemberState& previous = member_states_[it.id];
    const bool has_failed = it.state == MemberState::kDead &&
                            previous != MemberState::kDead &&
                            previous != MemberState::kLeaving;
    previous = it.state;
    if (it.state == MemberState::kDead) {
      peer_instances_.erase(it.id);  // If it returns, it counts as new.
      for (auto& [id, service] : services_) {
        DropRetainedState(service, it.id, 0);
      }
    }
    if (has_failed) {
      previous_failure_ = std::exchange(last_failure_, now_);
      failed_members_[it.id] = now_;
    } else if (it.state != MemberState::kDead) {
      failed_members_.erase(it.id);
    }
  }
}

std::size_t EntryNodeImpl::CountAliveMembers() const {
  const auto members = members_->members();
  return static_cast<std::size_t>(std::count_if(
      members.begin(), members.end(),
      [](const Member& it) { return it.state != MemberState::kDead; }));
}

std::size_t EntryNodeImpl::CountRecentlyFailedMembers() const {
  return static_cast<std::size_t>(std::count_if(
      failed_members_.begin(), failed_members_.end(), [&](const auto& it) {
        return it.second + options_.exchange_lifetime > now_;
      }));
}

bool EntryNodeImpl::InMajority() const {
  return CountAliveMembers() > CountRecentlyFailedMembers();
}

bool EntryNodeImpl::InMinority() const {
  const std::size_t alive = CountAliveMembers();
  const std::size_t failed = CountRecentlyFailedMembers();
  if (alive != failed || alive + failed < kMinTieBreakMembers) {
    return alive < failed;
  }
  const auto members = members_->members();
  // Equal parts: the one with the smallest VM id counts as the larger.
  const NodeId smallest_id =
      std::min_element(
          members.begin(), members.end(),
          [](const Member& a, const Member& b) { return a.id < b.id; })
          ->id;
  return failed_members_.contains(smallest_id);
}

// Stores the instance of each dispatcher, to report it to later dispatchers.
void EntryNodeImpl::TrackDispatchers() {
  for (auto& [id, service] : services_) {
    const auto it = peer_instances_.find(service.dispatcher);
    if (it != peer_instances_.end()) {
      service.recent_dispatchers[it->second] =
          now_ + options_.exchange_lifetime;
    }
    std::erase_if(service.recent_dispatchers,
                  [&](const auto& entry) { return entry.second <= now_; });
  }
}

void EntryNodeImpl::UpdateRoles(ServiceState& service) {
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
  UpdateCompleteness(service, old_dispatcher, old_successor);
  if (service.dispatches && (!dispatched || !service.ready)) {
    BeginCollection(service);
  } else if (!service.dispatches) {
    service.ready = false;
    service.collection = {};
  }
}

// Updates whether this VM is complete, and transfers its state to a new
// successor.
void EntryNodeImpl::UpdateCompleteness(ServiceState& service,
                                       NodeId old_dispatcher,
                                       NodeId old_successor) {
  const bool retains_state = !service.complete && now_ < service.complete_until;
  if (service.dispatches && !retains_state) {
    service.later_dispatchers.clear();
  } else if (!service.dispatches && service.dispatcher != NodeId{}) {
    AddLaterDispatcher(service, service.dispatcher);
  }
  const bool is_successor = service.successor == self_;
  if (service.complete && is_successor &&
      service.dispatcher != old_dispatcher) {
    BecomeSuccessorOf(service, service.dispatcher);
  }
  if (!service.dispatches && !is_successor &&
      (service.complete || service.complete_until == kNever)) {
    service.complete = false;
    service.complete_until = now_ + kCompleteStateRetention;
  }
  if (service.dispatches && service.complete &&
      service.successor != old_successor && service.successor != NodeId{}) {
    BeginTransfer(service, service.successor);
  }
}

// Handles that `dispatcher` serves after the one whose second records this VM
// has. Until it is complete, it may have its second records confirmed by other
// VMs. So this VM lacks its requests until it transfers its state.
void EntryNodeImpl::BecomeSuccessorOf(ServiceState& service,
                                      NodeId dispatcher) {
  service.complete = false;
  service.complete_until = kNever;
  service.later_dispatchers.clear();
  AddLaterDispatcher(service, dispatcher);
}

// Adds the present start of the VM. If the state lacks an earlier start of it,
// that one has lost its requests.
void EntryNodeImpl::AddLaterDispatcher(ServiceState& service,
                                       NodeId dispatcher) {
  const Member* member = FindMember(dispatcher);
  const std::uint64_t instance =
      member == nullptr ? 0 : InstanceOf(dispatcher, member->incarnation);
  DropRetainedState(service, dispatcher, instance);
  service.later_dispatchers[dispatcher] = instance;
}

// A VM that has failed or restarted has lost its requests. A retained state
// that lacks them can't be completed any more.
// `present` is the instance of that VM that has started since; 0: none. The
// member list may show it before its first message.
void EntryNodeImpl::DropRetainedState(ServiceState& service, NodeId lost,
                                      std::uint64_t present) {
  const auto it = service.later_dispatchers.find(lost);
  if (!service.complete && it != service.later_dispatchers.end() &&
      (present == 0 || it->second != present)) {
    service.complete_until = TimePoint::min();
  }
}

// Removes failed VMs from the sources. A dispatcher that is not complete and
// has lost a source can't tell a resend from a new request.
void EntryNodeImpl::RemoveFailedSources(ServiceState& service) {
  if (service.sources.empty()) {
    return;
  }
  const auto removed =
      std::erase_if(service.sources, [&](NodeId it) { return IsFailed(it); });
  if (removed > 0 && service.dispatches && !service.complete) {
    service.sources.clear();
    service.outcome_unknown_before = now_;
  }
}

// Makes this VM complete: transfers delivered the complete state, or no other
// VM has dispatched the service. A VM that is neither dispatcher nor successor
// of `from`, which sent the last part, receives no later requests, so it only
// retains that state for a while.
void EntryNodeImpl::MarkComplete(ServiceState& service, NodeId from) {
  service.complete = service.dispatches ||
                     (service.successor == self_ && service.dispatcher == from);
  if (!service.complete) {
    service.complete_until = now_ + kCompleteStateRetention;
  }
  service.later_dispatchers.clear();
  if (!service.dispatches) {
    AddLaterDispatcher(service, service.dispatcher);
  }
  service.outcome_unknown_before = TimePoint::min();
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
