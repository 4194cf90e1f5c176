#include <algorithm>
#include <vector>

#include "src/consensus/quorum.h"
#include "src/consensus/replica_impl.h"
#include "src/consensus/stored_level.h"

namespace vanillalatch::internal {
namespace {

// Builds that state no level have at most this one. Whether such a build reads
// what the fleet writes can't be told, so it is taken for the newest of them.
constexpr FeatureLevel kNewestUnstated{kStatedLevel.value() - 1};

}  // namespace

FeatureLevel OldestReaderOfStored(const StoredReplica& stored) {
  std::uint32_t needed = 0;
  if (stored.snapshot) {
    needed = stored.snapshot->fleet_level().oldest_reader();
  }
  for (const pb::LogEntry& it : stored.log.entries()) {
    needed = std::max(needed, it.fleet_level().oldest_reader());
  }
  return FeatureLevel{needed};
}

FeatureLevel ReplicaImpl::LevelOf(ReplicaId id) const {
  if (id.value() == self()) {
    return StatesLevel() ? options_.level : kUnstatedLevel;
  }
  const auto it = stated_levels_.find(id.value());
  return it == stated_levels_.end() ? kUnstatedLevel : it->second;
}

// A replica that states no level any more runs an older build again.
void ReplicaImpl::RecordLevel(const pb::ConsensusMessage& message) {
  const FeatureLevel level{message.level()};
  newest_level_ = std::max(newest_level_, level);
  if (FindReplica(configuration_, message.from()) != nullptr) {
    stated_levels_[message.from()] = level;
  }
}

// False if the fleet writes what this build can't read. The replica then
// ignores its messages: it grants no vote and acknowledges no entry.
bool ReplicaImpl::CanRead(const pb::ConsensusMessage& message) {
  const FeatureLevel needed{message.oldest_reader()};
  if (!StatesLevel() || needed <= options_.level) {
    return true;
  }
  missing_level_ = std::max(missing_level_.value_or(needed), needed);
  return false;
}

// True if the build of a replica that asks to join reads what the fleet writes.
bool ReplicaImpl::CanReadFleet(const Introduction& newcomer) const {
  const FeatureLevel level =
      newcomer.level == kUnstatedLevel ? kNewestUnstated : newcomer.level;
  return level.value() >= fleet_level_.oldest_reader();
}

void ReplicaImpl::AddLevel(pb::ConsensusMessage& message) const {
  if (!StatesLevel()) {
    return;
  }
  message.set_level(options_.level.value());
  message.set_oldest_reader(fleet_level_.oldest_reader());
}

void ReplicaImpl::AdoptFleetLevel(const pb::FleetLevel& level) {
  if (level.level() > fleet_level_.level()) {
    fleet_level_ = level;
  }
}

// Raises the fleet's level once every replica, learners included, has stated a
// higher one to this leader. A replica that does not answer may run any build,
// so it holds the level back.
void ReplicaImpl::RaiseFleetLevel(TimePoint now) {
  if (!StatesLevel() || fleet_level_index_ > delivered_index_) {
    return;
  }
  std::vector<FeatureLevel> levels;
  for (const pb::Replica& it : configuration_.replicas()) {
    levels.push_back(IsActive(it.id(), now) ? LevelOf(ReplicaId(it.id()))
                                            : kUnstatedLevel);
  }
  const FeatureLevel level = FleetLevelFor(levels);
  if (level.value() <= fleet_level_.level()) {
    return;
  }
  pb::LogEntry entry;
  entry.mutable_fleet_level()->set_level(level.value());
  entry.mutable_fleet_level()->set_oldest_reader(OldestReaderOf(level).value());
  AppendEntry(std::move(entry));
  fleet_level_index_ = log_.last_index();
  Replicate(now);
  AdvanceCommit(now);
}

}  // namespace vanillalatch::internal
