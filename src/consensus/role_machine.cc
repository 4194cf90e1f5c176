#include "src/consensus/role_machine.h"

#include <string>
#include <vector>

namespace vanillalatch {
namespace {

const std::vector<std::string>& RoleNames() {
  static const auto* const kNames = new std::vector<std::string>{
      "joining", "learner", "follower", "pre_candidate", "candidate", "leader"};
  return *kNames;
}

}  // namespace

std::string_view ReplicaRoleName(ReplicaRole role) {
  return RoleNames()[static_cast<std::size_t>(role)];
}

namespace internal {

Result<RoleMachine> RoleMachine::Create() {
  Result<RoleChart> chart = RoleChart::Create(
      charts::kReplica, RoleNames(),
      {"made_learner", "made_voter", "removed", "timeout", "transfer",
       "pre_votes_won", "votes_won", "step_down", "quorum_lost"});
  if (!chart.ok()) {
    return chart.error();
  }
  return RoleMachine(std::move(*chart));
}

bool RoleMachine::Handle(RoleEvent event) {
  const std::optional<ReplicaRole> next = chart_.Next(role_, event);
  if (!next) {
    return false;
  }
  role_ = *next;
  return true;
}

}  // namespace internal
}  // namespace vanillalatch
