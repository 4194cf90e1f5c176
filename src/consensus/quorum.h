// Majorities among the voters of a configuration.
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

// The replica with `id`; nullptr if there is none.
inline const pb::Replica* FindReplica(const pb::Configuration& configuration,
                                      std::uint64_t id) {
  for (const pb::Replica& it : configuration.replicas()) {
    if (it.id() == id) {
      return &it;
    }
  }
  return nullptr;
}

// The highest value that a majority of voters has reached. `value_of` takes a
// replica's id.
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

// True if a majority of voters satisfies `holds`, which takes an id.
template <typename Holds>
bool QuorumHolds(const pb::Configuration& configuration, Holds holds) {
  return QuorumValue(configuration,
                     [&](std::uint64_t id) { return holds(id) ? 1 : 0; }) == 1;
}

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_CONSENSUS_QUORUM_H_
