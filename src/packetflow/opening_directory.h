// Tracks which VMs may hold an opening packet: they have placed its flow, let
// it wait, or have handed it over. Several VMs may place the flows of a service
// while its route, its dispatcher or the members change. A copy that reaches a
// VM that does not know the flow is placed there only after every VM that may
// hold the opening was asked.
//
// A VM records each opening that it hands over, declines or passes on to
// another shard, and each change of what decides where openings go: the routes
// and the first dispatcher of a shard. Every record expires when no further
// copy can arrive. docs/design/platform.md has a table of the events.
//
//   OpeningDirectory directory;
//   directory.OnRoutesReplaced(now, former_routes);
//   directory.OnHandedOver(now, opening, dispatcher);
//   for (const NodeId it : directory.MayHold(now, copy, fleet, 0)) Ask(it);
#ifndef VANILLALATCH_SRC_PACKETFLOW_OPENING_DIRECTORY_H_
#define VANILLALATCH_SRC_PACKETFLOW_OPENING_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "vanillalatch/base/strong.h"
#include "vanillalatch/base/time.h"
#include "vanillalatch/membership/member.h"
#include "vanillalatch/packetflow/flow_dispatcher.h"
#include "vanillalatch/packetflow/route_table.h"

namespace vanillalatch::internal {

class OpeningDirectory {
 public:
  // Limit of the openings of which a record is kept, with 40 bytes each. If
  // more arrive, no record of the further ones is made until others expire.
  static constexpr std::size_t kMaxRecords = 1U << 16U;

  // What the answer depends on besides the records.
  struct Fleet {
    NodeId self;
    std::span<const Member> members;
    // The shard of a service in which the opening belongs.
    std::function<ShardId(ServiceId)> shard_of;
    // The shards of the opening's service if its first dispatcher is silent and
    // may have passed the opening on to any of them; otherwise empty.
    std::vector<ShardId> other_shards;
  };

  // Another VM has accepted an opening from this one. `in_other_shard`: it was
  // passed on to that VM's shard.
  void OnHandedOver(TimePoint now, const FlowOpening& opening, NodeId to,
                    bool in_other_shard = false);
  // This VM has declined an opening that `from` handed over. `from` places it,
  // or hands it over to a third VM, unless this VM knows where it is.
  void OnDeclined(TimePoint now, const FlowOpening& opening, NodeId from);
  // This VM, as a shard's dispatcher, has passed an opening on to another
  // shard.
  void OnPassedOn(TimePoint now, const FlowOpening& opening,
                  const std::string& data_center);
  // The opening has come back from the shard to which it was passed on.
  void OnReturned(FlowId id) { passed_on_.erase(id); }
  // The routes of another catalog are in force from now on.
  void OnRoutesReplaced(TimePoint now, RouteTable former);
  // Sets the VM that ranks first for a shard. Returns true if it has changed.
  bool SetFirstDispatcher(TimePoint now, const ShardId& shard, NodeId first);
  // This VM has complete data about endpoints from now on.
  void OnReady(TimePoint now) { ready_since_ = now; }
  // Removes what has expired. To be called regularly.
  void OnTick(TimePoint now);

  // The VM that this one has handed the opening over to, or has turned away;
  // nullopt if there is none. `is_sharded`: the opening's service has shards. A
  // VM of another shard is not returned then: the dispatcher of the opening's
  // own shard names that one.
  std::optional<NodeId> RecordedHolder(TimePoint now,
                                       const FlowOpening& opening,
                                       bool is_sharded) const;
  // The data centre of the shard to which the opening was passed on; nullptr if
  // it was not.
  const std::string* PassedOnTo(TimePoint now,
                                const FlowOpening& opening) const;
  // True if the first transmission of the opening may have gone past this VM,
  // to one that ranks after it, as this VM could not place flows, or not all
  // others knew that it could.
  bool WasUnreadyFor(TimePoint now, const FlowOpening& opening) const {
    return !ready_since_ || now - opening.age < *ready_since_ + kTakeoverTime;
  }
  // The VMs to ask for an opening that this VM does not know, in this order,
  // without duplicates and without this VM. `unready`: for how many of them
  // WasUnreadyFor() is true; a VM that ranks after them was the dispatcher.
  std::vector<NodeId> MayHold(TimePoint now, const FlowOpening& opening,
                              const Fleet& fleet, std::size_t unready) const;

  std::size_t records() const { return holders_.size() + passed_on_.size(); }

 private:
  // After a VM has become ready, others may not have heard of it, or leave it
  // out for a while as it has declined.
  static constexpr Duration kTakeoverTime = std::chrono::seconds(1);

  struct Holder {
    std::uint32_t sequence = 0;
    NodeId vm;
    TimePoint until;
    bool in_other_shard = false;
  };
  struct PassedOn {
    std::uint32_t sequence = 0;
    std::string data_center;
    TimePoint until;
  };
  struct FormerRoutes {
    RouteTable routes;
    TimePoint until;
  };
  struct FirstDispatcher {
    NodeId vm;
    NodeId former;  // Valid until `former_until`.
    TimePoint former_until = TimePoint::min();
  };

  void Record(TimePoint now, const FlowOpening& opening, NodeId vm,
              bool in_other_shard, bool replaces);
  void AddDispatchersOf(TimePoint now, const ShardId& shard, const Fleet& fleet,
                        std::size_t ranks, std::vector<NodeId>& vms) const;

  absl::flat_hash_map<FlowId, Holder> holders_;
  absl::flat_hash_map<FlowId, PassedOn> passed_on_;
  std::deque<FormerRoutes> former_routes_;  // The latest one first.
  std::map<ShardId, FirstDispatcher> first_dispatchers_;
  std::optional<TimePoint> ready_since_;
  TimePoint expire_due_{};
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_PACKETFLOW_OPENING_DIRECTORY_H_
