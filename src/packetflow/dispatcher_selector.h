// Selects the VM to which an ingress hands over the opening packets of a
// shard: the first VM, in the order that ShardDispatcherOf() gives, that has
// neither left a packet unacknowledged nor declined one recently.
//
//   NodeId to = selector.Select(now, shard, members, self);
#ifndef VANILLALATCH_SRC_PACKETFLOW_DISPATCHER_SELECTOR_H_
#define VANILLALATCH_SRC_PACKETFLOW_DISPATCHER_SELECTOR_H_

#include <map>
#include <set>
#include <span>

#include "vanillalatch/base/strong.h"
#include "vanillalatch/base/time.h"
#include "vanillalatch/membership/member.h"
#include "vanillalatch/packetflow/flow_dispatcher.h"

namespace vanillalatch::internal {

class DispatcherSelector {
 public:
  // Returns `self` if this VM is to place the flow: no VM before it in the
  // order is usable, or none of the first few VMs is.
  NodeId Select(TimePoint now, const ShardId& shard,
                std::span<const Member> members, NodeId self) const;

  // True if the VM has left a packet unacknowledged and was not heard since.
  bool IsSilent(NodeId vm) const { return silent_.contains(vm); }

  // Records that a VM did not acknowledge an opening packet in time. It is not
  // selected until OnContact().
  void OnTimeout(NodeId vm) { silent_.insert(vm); }
  // Records that a datagram from a VM was received.
  void OnContact(NodeId vm) { silent_.erase(vm); }
  // Records that a VM declined an opening packet. It is not selected for a
  // short time.
  void OnDeclined(TimePoint now, NodeId vm);

 private:
  std::set<NodeId> silent_;
  std::map<NodeId, TimePoint> declined_until_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_PACKETFLOW_DISPATCHER_SELECTOR_H_
