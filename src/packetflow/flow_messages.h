// Openings as VMs send them to each other, and messages cut to the size of a
// datagram.
//
//   *message.add_openings() = ToMessage(opening, revision);
//   FlowOpening opening = FromMessage(message.openings(0));
#ifndef VANILLALATCH_SRC_PACKETFLOW_FLOW_MESSAGES_H_
#define VANILLALATCH_SRC_PACKETFLOW_FLOW_MESSAGES_H_

#include <cstdint>
#include <vector>

#include "flow.pb.h"
#include "vanillalatch/packetflow/flow_dispatcher.h"

namespace vanillalatch::internal {

// `revision`: of the catalog that the opening goes by.
pb::FlowOpening ToMessage(const FlowOpening& opening, std::uint64_t revision);
FlowOpening FromMessage(const pb::FlowOpening& message);

// The parts of a message, each small enough for one datagram.
std::vector<pb::FlowMessage> CutToDatagrams(pb::FlowMessage message);

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_PACKETFLOW_FLOW_MESSAGES_H_
