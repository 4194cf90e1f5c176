// What an ingress can tell of open flows from the packets that callers send:
// that a flow goes on, that a request begins, that its answer has begun to
// come. Nobody may read the bytes inside; answers go to the caller directly.
//
//   FlowWatch watch;
//   if (std::optional<FlowNews> news = watch.OnPacket(packet)) Tell(*news);
#ifndef VANILLALATCH_PACKETFLOW_FLOW_WATCH_H_
#define VANILLALATCH_PACKETFLOW_FLOW_WATCH_H_

#include <cstdint>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "vanillalatch/packetflow/packet.h"

namespace vanillalatch {

struct FlowNews {
  FlowId id;
  bool requests = false;  // The caller has sent a request.
  bool answered = false;  // The caller has got a part of the answer.
};

class FlowWatch {
 public:
  // That a flow goes on is told twice: one message may be lost.
  static constexpr std::uint8_t kTimesTold = 2;

  // A packet of an open flow that does not end it.
  std::optional<FlowNews> OnPacket(const FlowPacket& packet);
  // The VM that placed the flow. It is the one to tell, whichever VM would
  // place a new flow of the service by now.
  void OnPlaced(FlowId id, NodeId placer);
  // nullopt if the flow was not opened through this VM.
  std::optional<NodeId> PlacerOf(FlowId id) const;
  void Forget(FlowId id);
  // Flows without a packet in the last generation are forgotten.
  void NextGeneration();

  std::size_t size() const { return flows_.size() + before_.size(); }

 private:
  struct Flow {
    NodeId placer;         // 0: not known.
    bool went_on = false;  // A packet behind the opening one has come.
    std::uint8_t told = 0;
    bool working = false;  // A request was sent and not answered yet.
    bool answered_once = false;
    std::uint32_t acknowledged = 0;  // When the request began.
  };

  Flow& At(FlowId id);

  absl::flat_hash_map<FlowId, Flow> flows_;
  absl::flat_hash_map<FlowId, Flow> before_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_PACKETFLOW_FLOW_WATCH_H_
