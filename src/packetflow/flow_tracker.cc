#include "vanillalatch/packetflow/flow_tracker.h"

#include <utility>

namespace vanillalatch {
namespace {

// True if `number` follows `mark` in the order of sequence numbers, which wrap
// around to zero.
bool IsLater(std::uint32_t number, std::uint32_t mark) {
  return static_cast<std::int32_t>(number - mark) > 0;
}

}  // namespace

FlowTracker::Flow& FlowTracker::FindOrAdd(FlowId id) {
  const auto [it, added] = flows_.try_emplace(id);
  const auto before = added ? previous_flows_.find(id) : previous_flows_.end();
  if (before != previous_flows_.end()) {
    it->second = before->second;
    previous_flows_.erase(before);
  }
  return it->second;
}

void FlowTracker::OnPlaced(FlowId id, NodeId placer) {
  Flow& flow = FindOrAdd(id);
  flow = {};  // The caller may reuse the port of an earlier flow.
  flow.placer = placer;
}

std::optional<FlowUpdate> FlowTracker::OnPacket(const FlowPacket& packet) {
  Flow& flow = FindOrAdd(packet.id());
  if (!std::exchange(flow.has_packet, true)) {
    flow.acknowledged_at_request = packet.acknowledged;
  }
  FlowUpdate update{packet.id(), packet.carries_data, false};
  bool should_report = flow.updates_sent < kInitialUpdates;
  if (packet.carries_data && !flow.request_pending) {
    flow.request_pending = true;
    flow.acknowledged_at_request = packet.acknowledged;
    should_report |= flow.has_answer;
  } else if (!packet.carries_data && flow.request_pending &&
             IsLater(packet.acknowledged, flow.acknowledged_at_request)) {
    flow.request_pending = false;
    flow.has_answer = true;
    update.answer_started = true;
    should_report = true;
  }
  if (!should_report) {
    return std::nullopt;
  }
  flow.updates_sent = static_cast<std::uint8_t>(
      flow.updates_sent + (flow.updates_sent < kInitialUpdates));
  return update;
}

std::optional<NodeId> FlowTracker::PlacerOf(FlowId id) const {
  for (const auto* it : {&flows_, &previous_flows_}) {
    const auto found = it->find(id);
    if (found != it->end() && found->second.placer != NodeId{}) {
      return found->second.placer;
    }
  }
  return std::nullopt;
}

void FlowTracker::Erase(FlowId id) {
  flows_.erase(id);
  previous_flows_.erase(id);
}

void FlowTracker::AdvanceGeneration() {
  previous_flows_ = std::exchange(flows_, {});
}

}  // namespace vanillalatch
