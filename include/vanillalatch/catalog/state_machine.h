// The deterministic state machine of the catalog. Every control VM applies the
// same changes in the same order and gets the same catalog and outcomes.
//
//   CatalogState state;
//   pb::ChangeOutcome outcome = state.Apply(change);
#ifndef VANILLALATCH_CATALOG_STATE_MACHINE_H_
#define VANILLALATCH_CATALOG_STATE_MACHINE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "catalog.pb.h"
#include "vanillalatch/base/result.h"

namespace vanillalatch {

// The highest warm-up time and rate that a service may state.
inline constexpr std::uint32_t kMaxWarmUpMs = 10 * 60 * 1000;
inline constexpr std::uint32_t kMaxWarmUpPerSecond = 1'000'000;

// Validates the services and draining VMs of a change: names must be present
// and unique, targets in range, and the shares of a service at most 100 % in
// total. Returns a description of the first error, or an empty string.
std::string FindCatalogError(const pb::Change& change);

// True for a name of 1 to 64 letters, digits, dots, underscores and dashes.
bool IsDataCenterName(std::string_view name);

// True if an evacuation of the data centre is in force.
bool IsEvacuated(const pb::Catalog& catalog, std::string_view data_center);

class CatalogState {
 public:
  // Number of stored outcomes, from which a resent change is answered. It
  // covers five days at 660 changes a day.
  static constexpr std::size_t kMaxStoredOutcomes = 3300;

  // Applies a change and returns its outcome:
  // - A change whose id has a stored outcome gets that outcome again and is not
  //   applied a second time.
  // - A valid change that was made from the current revision is accepted; one
  //   from another revision is refused with kConflict.
  // - A change of the flow table is always accepted. It takes effect if its
  //   version is the highest so far. Its outcome is not stored.
  // - An evacuation order is always accepted, whatever its change id. It raises
  //   the revision unless the evacuation is already in that state. Its outcome
  //   is not stored; the summary is empty if nothing changed.
  pb::ChangeOutcome Apply(const pb::Change& change);

  // The stored outcome of a change id; nullopt if there is none.
  std::optional<pb::ChangeOutcome> FindOutcome(
      std::string_view change_id) const;

  const pb::Catalog& catalog() const { return catalog_; }
  // Oldest first.
  const std::deque<pb::ChangeOutcome>& outcomes() const { return outcomes_; }

  // Replaces the whole state by that of a snapshot.
  void Restore(const pb::Catalog& catalog,
               const std::deque<pb::ChangeOutcome>& outcomes);

 private:
  pb::ChangeOutcome ApplyFlows(const pb::Change& change);
  pb::ChangeOutcome ApplyEvacuation(const pb::Change& change);
  void StoreOutcome(const pb::ChangeOutcome& outcome);

  pb::Catalog catalog_;
  std::deque<pb::ChangeOutcome> outcomes_;
  std::size_t first_sequence_ = 0;  // Sequence number of the oldest outcome.
  // Sequence number of the outcome of each change id.
  absl::flat_hash_map<std::string, std::size_t> sequence_by_change_id_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_CATALOG_STATE_MACHINE_H_
