// Derives the progress of open flows from the headers of the packets that
// callers send: the flow continues, a request begins, its answer has begun to
// arrive. An ingress (the entry VM that receives a caller's packets) uses it to
// report progress to the VM that placed the flow. Payloads are opaque, and
// answers go from the endpoint to the caller without passing an entry VM.
//
//   FlowTracker tracker;
//   if (std::optional<FlowUpdate> update = tracker.OnPacket(packet)) {
//     Report(*update);
//   }
#ifndef VANILLALATCH_PACKETFLOW_FLOW_TRACKER_H_
#define VANILLALATCH_PACKETFLOW_FLOW_TRACKER_H_

#include <cstdint>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "vanillalatch/base/time.h"
#include "vanillalatch/packetflow/packet.h"

namespace vanillalatch {

// Progress of a flow after its opening packet. That an update exists means that
// the endpoint has accepted the flow, since the caller continues with it.
struct FlowUpdate {
  FlowId id;
  bool request_sent = false;    // The packet contains data of a request.
  bool answer_started = false;  // The caller has received part of the answer.
  // How long ago the caller's packet arrived. Set by the receiver of a report.
  Duration age{};
};

class FlowTracker {
 public:
  // The first packets of a flow after its opening packet yield this many
  // updates, so that the loss of one message does not hide that the flow
  // continues.
  static constexpr std::uint8_t kInitialUpdates = 2;

  // Records a packet of an open flow that neither opens nor ends it. Returns
  // the update to report, or nullopt if the packet shows nothing new.
  std::optional<FlowUpdate> OnPacket(const FlowPacket& packet);
  // Records which VM placed the flow, and discards what is stored about an
  // earlier flow with the same id. Updates go to that VM, even if another VM
  // places new flows of the service by now.
  void OnPlaced(FlowId id, NodeId placer);
  // Returns the VM that placed the flow; nullopt if the flow was not opened
  // through this VM.
  std::optional<NodeId> PlacerOf(FlowId id) const;
  // Removes the flow.
  void Erase(FlowId id);
  // Starts a new generation and removes the flows that had no packet in the
  // generation that ends.
  void AdvanceGeneration();

  std::size_t size() const { return flows_.size() + previous_flows_.size(); }

 private:
  struct Flow {
    NodeId placer;            // 0: unknown.
    bool has_packet = false;  // A packet after the opening packet was received.
    std::uint8_t updates_sent = 0;  // Counts up to kInitialUpdates.
    bool request_pending = false;   // A request was sent and not answered yet.
    bool has_answer = false;        // At least one request was answered.
    // The caller's acknowledgement number when the request began. A higher one
    // shows that a part of the answer has arrived.
    std::uint32_t acknowledged_at_request = 0;
  };

  // Returns the entry of a flow. Adds it, or moves it from the previous
  // generation, if the current generation does not have it.
  Flow& FindOrAdd(FlowId id);

  absl::flat_hash_map<FlowId, Flow> flows_;           // Current generation.
  absl::flat_hash_map<FlowId, Flow> previous_flows_;  // Previous generation.
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_PACKETFLOW_FLOW_TRACKER_H_
