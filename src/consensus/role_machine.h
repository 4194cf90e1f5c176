// Tracks the role of a replica. The role changes only along the transitions of
// the state chart charts/replica.json.
#ifndef VANILLALATCH_SRC_CONSENSUS_ROLE_MACHINE_H_
#define VANILLALATCH_SRC_CONSENSUS_ROLE_MACHINE_H_

#include <utility>

#include "charts/charts.h"
#include "vanillalatch/chart/chart.h"
#include "vanillalatch/consensus/replica.h"

namespace vanillalatch::internal {

// The order must match the names in role_machine.cc.
enum class RoleEvent : std::uint8_t {
  kMadeLearner,
  kMadeVoter,
  kRemoved,
  kTimeout,   // The election timeout has passed.
  kTransfer,  // The leader asks this replica to campaign.
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
  // Takes the transition for `event`. Returns false and keeps the role if the
  // chart has none for the current role.
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
