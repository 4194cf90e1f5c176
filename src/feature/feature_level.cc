#include "vanillalatch/feature/feature_level.h"

#include <algorithm>
#include <array>

namespace vanillalatch {
namespace {

constexpr auto kRows = std::to_array<FeatureLevelRow>({
    {FeatureLevel{1}, FeatureLevel{1}, "27ac5a3",
     "the catalog, flow tables and the replicated log", "", ""},
    {FeatureLevel{2}, FeatureLevel{2}, "e3d5096",
     "packed differences of the catalog and packed documents",
     "SyncRequest, SyncReply", "FlowTable"},
    {FeatureLevel{3}, FeatureLevel{3}, "8202a02",
     "evacuations, warm-up bounds, regions and data centres of members",
     "MembershipMessage, MemberUpdate, FlowMessage, FlowOpening, FlowTaken, "
     "FlowSeen, FlowEnd, SyncRequest, ControlStatus, CollectReply, Done, "
     "RequestMessage, Transfer",
     "Change, Catalog, FlowTable, FlowRoute, Service, LeaseUpdate"},
    {FeatureLevel{4}, FeatureLevel{3}, "0608a9a", "the age of an opening",
     "FlowOpening", ""},
    {FeatureLevel{5}, FeatureLevel{3}, "21e455e",
     "stated levels and the level of the fleet",
     "ConsensusMessage, Introduce, SyncRequest, ControlStatus",
     "LogEntry, Snapshot"},
    {FeatureLevel{6}, FeatureLevel{3}, "5c0b999",
     "openings that are forwarded, or asked for", "FlowOpening", ""},
    {FeatureLevel{7}, FeatureLevel{3}, "a9d201a",
     "control VMs that leave the group before they stop, openings whose holder "
     "is named",
     "ConsensusMessage, AppendReply, ControlStatus, FlowOpening, FlowTaken",
     ""},
    {FeatureLevel{8}, FeatureLevel{3}, "",
     "the revision of a VM's catalog in probes and acks", "MembershipMessage",
     ""},
});

}  // namespace

std::span<const FeatureLevelRow> FeatureLevels() { return kRows; }

FeatureLevel OldestReaderOf(FeatureLevel level) {
  const auto it = std::find_if(
      kRows.begin(), kRows.end(),
      [&](const FeatureLevelRow& row) { return row.level == level; });
  return it == kRows.end() ? level : it->oldest_reader;
}

FeatureLevel FleetLevelFor(std::span<const FeatureLevel> levels) {
  return levels.empty() ? kUnstatedLevel : *std::ranges::min_element(levels);
}

}  // namespace vanillalatch
