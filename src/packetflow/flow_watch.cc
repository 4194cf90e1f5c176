#include "vanillalatch/packetflow/flow_watch.h"

#include <utility>

namespace vanillalatch {
namespace {

// True if `number` is behind `mark` in the order of sequence numbers, which
// start again at zero.
bool IsLater(std::uint32_t number, std::uint32_t mark) {
  return static_cast<std::int32_t>(number - mark) > 0;
}

}  // namespace

FlowWatch::Flow& FlowWatch::At(FlowId id) {
  const auto [it, added] = flows_.try_emplace(id);
  const auto before = added ? before_.find(id) : before_.end();
  if (before != before_.end()) {
    it->second = before->second;
    before_.erase(before);
  }
  return it->second;
}

void FlowWatch::OnPlaced(FlowId id, NodeId placer) {
  Flow& flow = At(id);
  flow = {};  // The port may have had a flow before.
  flow.placer = placer;
}

std::optional<FlowNews> FlowWatch::OnPacket(const FlowPacket& packet) {
  Flow& flow = At(packet.id());
  if (!std::exchange(flow.went_on, true)) {
    flow.acknowledged = packet.acknowledged;
  }
  FlowNews news{packet.id(), packet.carries_data, false};
  bool tell = flow.told < kTimesTold;
  if (packet.carries_data && !flow.working) {
    flow.working = true;
    flow.acknowledged = packet.acknowledged;
    tell |= flow.answered_once;
  } else if (!packet.carries_data && flow.working &&
             IsLater(packet.acknowledged, flow.acknowledged)) {
    flow.working = false;
    flow.answered_once = true;
    news.answered = true;
    tell = true;
  }
  if (!tell) {
    return std::nullopt;
  }
  flow.told = static_cast<std::uint8_t>(flow.told + (flow.told < kTimesTold));
  return news;
}

std::optional<NodeId> FlowWatch::PlacerOf(FlowId id) const {
  for (const auto* it : {&flows_, &before_}) {
    const auto found = it->find(id);
    if (found != it->end() && found->second.placer != NodeId{}) {
      return found->second.placer;
    }
  }
  return std::nullopt;
}

void FlowWatch::Forget(FlowId id) {
  flows_.erase(id);
  before_.erase(id);
}

void FlowWatch::NextGeneration() { before_ = std::exchange(flows_, {}); }

}  // namespace vanillalatch
