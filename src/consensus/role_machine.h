// The role of a replica, changed only as charts/replica.json allows.
#ifndef VANILLALATCH_SRC_CONSENSUS_ROLE_MACHINE_H_
#define VANILLALATCH_SRC_CONSENSUS_ROLE_MACHINE_H_

#include <utility>

#include "charts/charts.h"
#include "vanillalatch/chart/chart.h"
#include "vanillalatch/consensus/replica.h"

namespace vanillalatch::internal {

// In the order of the names in role_machine.cc.
enum class RoleEvent : std::uint8_t {
  kMadeLearner,
  kMadeVoter,
  kRemoved,
  kTimeout,
  kTransfer,
  kPreVotesWon,
  kVotesWon,
  kStepDown,
  kQuorumLost,
};

class RoleMachine {
 public:
  // Error: kInvalidArgument if the chart does not match the enumerations.
  static Result<RoleMachine> Create();

  ReplicaRole role() const { return role_; }
  // Follows the event; false if it means nothing in the present role.
  bool Handle(RoleEvent event);

 private:
  using RoleChart = Chart<ReplicaRole, RoleEvent>;
  explicit RoleMachine(RoleChart chart)
      : chart_(std::move(chart)), role_(chart_.initial()) {}

  RoleChart chart_;
  ReplicaRole role_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_CONSENSUS_ROLE_MACHINE_H_
