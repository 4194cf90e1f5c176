// The feature levels of the builds of this program. A fleet may run several
// builds side by side while its VMs are upgraded, so a message or stored form
// that an earlier build can't read is written only once every VM reads it.
//
//   const FeatureLevel level = FleetLevelFor(levels_of_all_replicas);
//   if (level >= kEvacuationLevel) Propose(order);
//
// A level has no unit; it grows by one with each build that adds a form.
#ifndef VANILLALATCH_FEATURE_FEATURE_LEVEL_H_
#define VANILLALATCH_FEATURE_FEATURE_LEVEL_H_

#include <cstdint>
#include <span>
#include <string_view>

#include "vanillalatch/base/strong.h"

namespace vanillalatch {

// Zero: not stated.
using FeatureLevel = Strong<struct FeatureLevelTag, std::uint32_t>;

inline constexpr FeatureLevel kUnstatedLevel{0};
// The first level whose builds apply evacuation orders.
inline constexpr FeatureLevel kEvacuationLevel{3};
// The first level whose builds state their level to other VMs.
inline constexpr FeatureLevel kStatedLevel{5};
// The first level whose builds remove a control VM that is about to stop.
inline constexpr FeatureLevel kLeaveLevel{7};
// The level of this build.
inline constexpr FeatureLevel kCurrentLevel{8};

// What one level added.
struct FeatureLevelRow {
  FeatureLevel level;
  // The lowest level whose builds read everything that a fleet of this level
  // writes. Builds skip fields that they do not know, so it is lower than
  // `level` if an unread field does no harm.
  FeatureLevel oldest_reader;
  std::string_view since;     // The first commit that landed with this level.
  std::string_view added;     // In one clause.
  std::string_view messages;  // That have new fields or kinds; may be empty.
  std::string_view stored;    // Stored forms that changed; may be empty.
};

// All levels, in ascending order; each occurs once.
std::span<const FeatureLevelRow> FeatureLevels();

// The oldest reader of what a fleet of `level` writes. For a level above
// kCurrentLevel it is that level itself, as this build does not know its row.
FeatureLevel OldestReaderOf(FeatureLevel level);

// The level that a fleet may write if its VMs have `levels`: the lowest of
// them. kUnstatedLevel if `levels` is empty or one of them is not stated.
FeatureLevel FleetLevelFor(std::span<const FeatureLevel> levels);

}  // namespace vanillalatch

#endif  // VANILLALATCH_FEATURE_FEATURE_LEVEL_H_
