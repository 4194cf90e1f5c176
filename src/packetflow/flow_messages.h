// Converts opening packets to and from the messages that entry VMs exchange,
// and splits messages to fit into datagrams.
//
//   *message.add_openings() = ToMessage(opening, revision, form);
//   FlowOpening opening = FromMessage(message.openings(0));
#ifndef VANILLALATCH_SRC_PACKETFLOW_FLOW_MESSAGES_H_
#define VANILLALATCH_SRC_PACKETFLOW_FLOW_MESSAGES_H_

#include <cstdint>
#include <vector>

#include "flow.pb.h"
#include "vanillalatch/packetflow/flow_node.h"

namespace vanillalatch::internal {

// The form of messages that a VM understands. Receivers accept every form up to
// their own; senders use the one that the receiver has stated last.
enum class MessageForm : std::uint8_t {
  kFull = 0,
  kCompact = 1,  // Without fields that follow from others.
};

// Converts an opening packet to its message. `revision` is that of the catalog
// from which `opening` takes its service, class and timeout. Does not set the
// fields `settled`, which says whether the sender's data about endpoints is
// complete, and `may_redirect`.
pb::FlowOpening ToMessage(const FlowOpening& opening, std::uint64_t revision,
                          MessageForm form);
// Converts a message to an opening packet. Does not set `progress_reported`.
// `shard` is set as for a sharded service.
FlowOpening FromMessage(const pb::FlowOpening& message);

// Adds the sizes of the items of a message to `traffic`, and the rest of its
// datagram of `bytes`.
void CountTraffic(const pb::FlowMessage& message, std::size_t bytes,
                  PeerTraffic& traffic);

// Distributes the items of a message over several messages, each of which fits
// into one datagram. An item that exceeds the limit gets a message of its own.
std::vector<pb::FlowMessage> SplitIntoDatagrams(pb::FlowMessage message);

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_PACKETFLOW_FLOW_MESSAGES_H_
