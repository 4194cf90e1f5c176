#include <algorithm>
#include <utility>

#include "src/control/control_node_impl.h"

namespace vanillalatch::internal {
namespace {

// Value of an order without a log entry.
constexpr LogIndex kNotProposed{};

// Bounds what an author's name adds to the catalog.
constexpr std::size_t kMaxOrderAuthorBytes = 256;

}  // namespace

// Returns why the name of an order is refused. The end of an evacuation that is
// in force is accepted for any name.
std::optional<Refusal> ControlNodeImpl::FindNameRefusal(
    const pb::EvacuationOrder& order) const {
  const std::string& name = order.data_center();
  const std::vector<std::string>& known = options_.data_centers;
  if (std::find(known.begin(), known.end(), name) != known.end()) {
    return std::nullopt;
  }
  if (order.end()) {
    if (IsEvacuated(state_.catalog(), name)) {
      return std::nullopt;
    }
    if (applied_term_ != replica_->term()) {
      return Refusal{ErrorKind::kNoQuorum,
                     options_.vm + " has just become the leader"};
    }
  }
  if (!known.empty()) {
    return Refusal{ErrorKind::kNotFound,
                   "there is no data centre of this name"};
  }
  if (!IsDataCenterName(name)) {
    return Refusal{ErrorKind::kInvalidArgument,
                   "the name of a data centre has 1 to 64 characters of "
                   "A-Z a-z 0-9 . _ -"};
  }
  return std::nullopt;
}

// Returns why an evacuation order is not proposed now. It is not held until
// there is a leader: the operator tries another control VM at once, and a late
// order could revert a newer one.
std::optional<Refusal> ControlNodeImpl::FindOrderRefusal(
    TimePoint now, const ApplyCall& call) const {
  if (call.change.author().size() > kMaxOrderAuthorBytes) {
    return Refusal{ErrorKind::kInvalidArgument,
                   "the author's name is too long"};
  }
  if (!IsLeader() && !LeaderAddress().empty()) {
    return Refusal{ErrorKind::kNotLeader, "another control VM leads"};
  }
  if (!IsLeader() || !replica_->HasQuorumContact(now)) {
    return Refusal{ErrorKind::kNoQuorum,
                   DescribeMissingQuorum(now) + "; the order was not taken"};
  }
  if (now >= call.deadline || now < orders_from_) {
    return Refusal{ErrorKind::kNoQuorum,
                   "the order may have waited too long in " + options_.vm +
                       "; it was not taken"};
  }
  return FindNameRefusal(call.change.evacuation());
}

// Finds out whether every replica applies evacuation orders. Builds below
// kEvacuationLevel take the log entry for a conflicting change, so that their
// catalog would lack the evacuation. A replica that states no level is asked;
// one that can't be reached counts as the lowest of those that have answered.
OrderSupport ControlNodeImpl::FindOrderSupport(TimePoint now) {
  OrderSupport support;
  if (replica_->fleet_level().level() >= kEvacuationLevel.value()) {
    return support;
  }
  bool any_answered = false;
  std::string unreachable;
  for (const pb::Replica& it : replica_->configuration().replicas()) {
    const ReplicaId id(it.id());
    if (id == replica_->id() || replica_->LevelOf(id) >= kEvacuationLevel) {
      continue;
    }
    if (!replica_->IsReachable(id, now)) {
      unreachable = it.vm();
      continue;
    }
    const std::optional<FeatureLevel> level = probed_levels_.Find(now, it.id());
    if (!level) {
      support.unknown = it.vm();
      if (probed_levels_.BeginProbe(now, it.id())) {
        actions_.probes.push_back({it.id(), it.address()});
      }
    } else if (*level < kEvacuationLevel) {
      support.unsupported = it.vm();
    } else {
      any_answered = true;
    }
  }
  if (!unreachable.empty() && !any_answered && support.unknown.empty()) {
    support.unknown = unreachable;
  }
  return support;
}

void ControlNodeImpl::OnProbeAnswered(TimePoint now, std::uint64_t replica,
                                      FeatureLevel level) {
  probed_levels_.Record(now, replica, level);
  ProcessPending(now);
}

// Advances the call of an evacuation order. Returns true once it is answered.
// It is proposed at most once, and answered after its own entry is applied.
bool ControlNodeImpl::AdvanceOrder(TimePoint now, ApplyCall& call) {
  if (call.outcome) {
    AnswerApply(call.ticket, std::move(*call.outcome));
    return true;
  }
  if (call.settles_at && now >= *call.settles_at) {
    call.settles_at.reset();
  }
  if (call.index == kNotProposed) {
    if (const std::optional<Refusal> refusal = FindOrderRefusal(now, call)) {
      RefuseApply(call, refusal->kind, refusal->message);
      return true;
    }
    const OrderSupport support = FindOrderSupport(now);
    if (!support.unsupported.empty()) {
      RefuseApply(call, ErrorKind::kNoQuorum,
                  support.unsupported +
                      " runs a build without evacuations; the order was not "
                      "taken. Upgrade that VM, then send the order again");
      return true;
    }
    if (!support.unknown.empty() || call.settles_at) {
      return false;
    }
    // Last, as the sender may abandon the order while it waits here.
    if (call.is_abandoned && call.is_abandoned()) {
      RefuseApply(call, ErrorKind::kCancelled,
                  "its sender has abandoned the order; it was not taken");
      return true;
    }
    call.index = replica_->Propose(now, call.change).value_or(kNotProposed);
    call.term = replica_->term();
    if (call.index == kNotProposed) {
      RefuseApply(call, ErrorKind::kNoQuorum,
                  options_.vm + " hands its leadership over");
      return true;
    }
    return false;
  }
  if (applied_index_ < call.index && now < call.deadline) {
    return false;
  }
  RefuseApply(call, ErrorKind::kOutcomeUnknown,
              "no majority has confirmed the order; send it again. " +
                  DescribeMissingQuorum(now));
  return true;
}

}  // namespace vanillalatch::internal
