// The catalog state machine: the same changes in the same order give the same
// catalog and the same outcomes on every control VM.
//
//   CatalogState state;
//   pb::ChangeOutcome outcome = state.Apply(change);
#ifndef VANILLALATCH_CATALOG_STATE_MACHINE_H_
#define VANILLALATCH_CATALOG_STATE_MACHINE_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "catalog.pb.h"
#include "vanillalatch/base/result.h"

namespace vanillalatch {

// Checks what must hold in every catalog, whoever sent it: names present and
// unique, shares of a service not above 100 %, targets in range. Returns an
// empty text, or what is wrong.
std::string CatalogFault(const pb::Change& change);

class CatalogState {
 public:
  // Outcomes that are remembered, so that a resent change gets its first
  // answer again: five days at 660 changes a day.
  static constexpr std::size_t kOutcomesKept = 3300;

  // Accepts the change if it was made from the current revision, else answers
  // with a conflict. A change id that is known gets its first outcome again
  // and is applied no second time. A change of the flow table is always
  // accepted, and has an effect if its version is the highest so far; its
  // outcome is not remembered.
  pb::ChangeOutcome Apply(const pb::Change& change);

  // The recorded outcome of a change id.
  std::optional<pb::ChangeOutcome> OutcomeOf(std::string_view change_id) const;

  const pb::Catalog& catalog() const { return catalog_; }
  // Oldest first.
  const std::deque<pb::ChangeOutcome>& outcomes() const { return outcomes_; }

  // Replaces everything, from a snapshot.
  void Restore(const pb::Catalog& catalog,
               const std::deque<pb::ChangeOutcome>& outcomes);

 private:
  pb::ChangeOutcome ApplyFlows(const pb::Change& change);
  void Remember(const pb::ChangeOutcome& outcome);

  pb::Catalog catalog_;
  std::deque<pb::ChangeOutcome> outcomes_;
  std::size_t first_ = 0;  // Running number of the oldest outcome.
  // Running number of the outcome of each change id.
  absl::flat_hash_map<std::string, std::size_t> by_id_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_CATALOG_STATE_MACHINE_H_
