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

FlowWatch::Flow& FlowWatch::At(const FlowPacket& packet) {
  const FlowId id = packet.id();
  const auto [it, added] = flows_.try_emplace(id);
  if (added) {
    const auto before = before_.find(id);
    if (before != before_.end()) {
      it->second = before->second;
      before_.erase(before);
    } else {
      it->second.acknowledged = packet.acknowledged;
    }
  }
  return it->second;
}

std::optional<FlowNews> FlowWatch::OnPacket(const FlowPacket& packet) {
  Flow& flow = At(packet);
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
  for (const auto* it : {&placers_, &placers_before_}) {
    const auto found = it->find(id);
    if (found != it->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

void FlowWatch::Forget(FlowId id) {
  flows_.erase(id);
  before_.erase(id);
  placers_.erase(id);
  placers_before_.erase(id);
}

void FlowWatch::NextGeneration() {
  before_ = std::exchange(flows_, {});
  placers_before_ = std::exchange(placers_, {});
}

}  // namespace vanillalatch
