// Computes majorities among the voters of a configuration. Learners don't
// count.
//
//   if (votes.size() >= MajorityOf(VoterCount(configuration))) ...
#ifndef VANILLALATCH_SRC_CONSENSUS_QUORUM_H_
#define VANILLALATCH_SRC_CONSENSUS_QUORUM_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "consensus.pb.h"

namespace vanillalatch::internal {

inline std::size_t VoterCount(const pb::Configuration& configuration) {
  return static_cast<std::size_t>(std::count_if(
      configuration.replicas().begin(), configuration.replicas().end(),
      [](const pb::Replica& it) { return !it.learner(); }));
}

inline std::size_t MajorityOf(std::size_t voters) { return voters / 2 + 1; }

// Returns the replica with `id`; nullptr if there is none.
inline const pb::Replica* FindReplica(const pb::Configuration& configuration,
                                      std::uint64_t id) {
  for (const pb::Replica& it : configuration.replicas()) {
    if (it.id() == id) {
      return &it;
    }
  }
  return nullptr;
}

// Returns the highest value that a majority of voters has reached. `value_of`
// maps a replica's id to its value. Without voters the result is zero.
template <typename ValueOf>
auto QuorumValue(const pb::Configuration& configuration, ValueOf value_of) {
  std::vector<decltype(value_of(std::uint64_t{}))> values;
  for (const pb::Replica& it : configuration.replicas()) {
    if (!it.learner()) {
      values.push_back(value_of(it.id()));
    }
  }
  if (values.empty()) {
    return decltype(value_of(std::uint64_t{})){};
  }
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[MajorityOf(values.size()) - 1];
}

// True if a majority of voters satisfies `predicate`, which takes a replica's
// id.
template <typename Predicate>
bool IsTrueForQuorum(const pb::Configuration& configuration,
                     Predicate predicate) {
  return QuorumValue(configuration, [&](std::uint64_t id) {
           return predicate(id) ? 1 : 0;
         }) == 1;
}

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_CONSENSUS_QUORUM_H_
