// Which VM places a service's flows, as one ingress sees it: the first in rank
// that has not failed it lately.
//
//   NodeId to = choice.For(now, service, members, self);
#ifndef VANILLALATCH_SRC_PACKETFLOW_DISPATCHER_CHOICE_H_
#define VANILLALATCH_SRC_PACKETFLOW_DISPATCHER_CHOICE_H_

#include <map>
#include <set>
#include <span>

#include "vanillalatch/base/strong.h"
#include "vanillalatch/base/time.h"
#include "vanillalatch/membership/member.h"

namespace vanillalatch::internal {

class DispatcherChoice {
 public:
  // `self` if no other VM is to be asked.
  NodeId For(TimePoint now, ServiceId service, std::span<const Member> members,
             NodeId self) const;

  // It left an opening unanswered: not asked until it is heard again.
  void OnSilent(NodeId vm) { silent_.insert(vm); }
  void OnHeard(NodeId vm) { silent_.erase(vm); }
  // It does not know enough to place anything yet: not asked for a while.
  void OnDeclined(TimePoint now, NodeId vm);

 private:
  std::set<NodeId> silent_;
  std::map<NodeId, TimePoint> declined_until_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_PACKETFLOW_DISPATCHER_CHOICE_H_
