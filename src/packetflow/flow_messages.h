// Converts opening packets to and from the messages that entry VMs exchange,
// and splits messages to fit into datagrams.
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

// Converts an opening packet to its message. `revision` is that of the catalog
// from which `opening` takes its service, class and timeout. Does not set the
// fields `settled`, which says whether the sender's data about endpoints is
// complete, and `may_redirect`.
pb::FlowOpening ToMessage(const FlowOpening& opening, std::uint64_t revision);
// Converts a message to an opening packet. Does not set `progress_reported`.
// `shard` is set as for a sharded service.
FlowOpening FromMessage(const pb::FlowOpening& message);

// Distributes the items of a message over several messages, each of which fits
// into one datagram. An item that exceeds the limit gets a message of its own.
std::vector<pb::FlowMessage> SplitIntoDatagrams(pb::FlowMessage message);

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_PACKETFLOW_FLOW_MESSAGES_H_
