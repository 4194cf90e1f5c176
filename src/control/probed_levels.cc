#include "src/control/probed_levels.h"

#include "vanillalatch/base/error.h"
#include "vanillalatch/catalog/state_machine.h"
#include "vanillalatch/control/control_node.h"

namespace vanillalatch {

pb::ApplyRequest MakeLevelProbe() {
  pb::ApplyRequest request;
  pb::Change& change = *request.mutable_change();
  change.set_change_id("level-probe");
  change.add_services();  // Invalid: it has no name.
  change.mutable_evacuation();
  return request;
}

// Builds that know evacuation orders ignore all other fields of the change and
// answer that they do not lead. Earlier ones find the service without a name.
FeatureLevel LevelFromProbe(const pb::ApplyReply& reply) {
  const bool saw_service =
      reply.outcome().message() == FindCatalogError(MakeLevelProbe().change());
  return saw_service ? FeatureLevel{kEvacuationLevel.value() - 1}
                     : kEvacuationLevel;
}

namespace internal {
namespace {

// Shorter than a restart of a VM takes until it votes again.
constexpr Duration kAnswerLifetime = std::chrono::seconds(1);
// Several round trips between data centres.
constexpr Duration kProbeInterval = std::chrono::milliseconds(200);

}  // namespace

std::optional<FeatureLevel> ProbedLevels::Find(TimePoint now,
                                               std::uint64_t id) const {
  const auto it = entries_.find(id);
  if (it == entries_.end() || it->second.level == kUnstatedLevel ||
      now >= it->second.answered_at + kAnswerLifetime) {
    return std::nullopt;
  }
  return it->second.level;
}

bool ProbedLevels::BeginProbe(TimePoint now, std::uint64_t id) {
  Entry& entry = entries_[id];
  if (entry.asked_at != TimePoint::min() &&
      now < entry.asked_at + kProbeInterval) {
    return false;
  }
  entry.asked_at = now;
  return true;
}

void ProbedLevels::Record(TimePoint now, std::uint64_t id, FeatureLevel level) {
  Entry& entry = entries_[id];
  entry.level = level;
  entry.answered_at = now;
}

}  // namespace internal
}  // namespace vanillalatch
