// Decisions about shards. A service whose messages exceed what the link of one
// VM can carry is divided into shards, one for each data centre; each shard has
// a dispatcher of its own, which counts and queues only for the endpoints of
// its data centre. All VMs derive the same shards and dispatchers from
// settings, members and endpoints. The functions are pure.
//
//   if (IsSharded(link_mbit_per_s, endpoints)) {
//     to = ShardDispatcherOf({service, data_center}, members, 0);
//   }
//   if (auto it = SelectOtherShard(now, home, reports, overlap_percent)) ...
#ifndef VANILLALATCH_SRC_PACKETFLOW_SHARD_H_
#define VANILLALATCH_SRC_PACKETFLOW_SHARD_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "vanillalatch/base/strong.h"
#include "vanillalatch/base/time.h"
#include "vanillalatch/membership/member.h"
#include "vanillalatch/packetflow/flow_dispatcher.h"
#include "vanillalatch/registry/registry.h"

namespace vanillalatch::internal {

// Bytes that a dispatcher receives for each request, in about two datagrams
// with their headers: an opening packet or the start of a request, and a report
// of progress.
inline constexpr double kBytesPerRequest = 150;
// Requests per second that one slot serves: 50 ms of work each.
inline constexpr double kRequestsPerSlot = 20;
// A report of a shard's load that is older counts as no room. Reports are
// repeated every 250 ms, so that the loss of one does not matter.
inline constexpr Duration kMaxShardReportAge = std::chrono::milliseconds(500);
// A shard passes on work only to one that has more than this part of its slots
// free. Otherwise two full shards would pass on work to each other.
inline constexpr std::uint32_t kMinFreeDivisor = 10;

// True if the endpoints of a service are in several data centres and have more
// slots than one dispatcher can serve with half of its link. False if the rate
// of the link is unknown (0).
bool IsSharded(double link_mbit_per_s, std::span<const Endpoint> endpoints);

// The data centres that have a shard of a sharded service, in alphabetical
// order: those with endpoints of the service or with entry VMs. The VMs of a
// data centre without endpoints need a dispatcher that passes on their work.
std::vector<std::string> ShardsOf(std::span<const Endpoint> endpoints,
                                  std::span<const Member> members);

// The member that ranks `rank`-th for a shard among the members that may
// dispatch; nullopt if there are fewer. The members of the shard's data centre
// precede all others. For an unsharded service it is DispatcherOf().
std::optional<NodeId> ShardDispatcherOf(const ShardId& shard,
                                        std::span<const Member> members,
                                        std::size_t rank);

// True if the member is listed, in any state, as an entry VM of the data
// centre.
bool HasEntryVms(const std::string& data_center,
                 std::span<const Member> members);

// What a shard's dispatcher knows about another shard of the service.
struct OtherShard {
  std::string data_center;
  ShardLoad load;                         // As reported.
  TimePoint received = TimePoint::min();  // When the report was received.
  Duration way{};                         // One-way delay to it.
  // By how much the flows that were passed on to it and occupy a slot there
  // have increased since the report.
  std::int32_t passed_on = 0;
};

// Selects the shard to which the dispatcher of the shard with `home` passes on
// an opening; nullopt if it is to place, queue or refuse the flow itself. It
// passes on if the flow would wait here for longer than the way to another
// shard that has more than a tenth of its slots free. Of several, the one with
// the most free slots is selected.
//
// Endpoints take more flows than they have slots (`overlap_percent`), since a
// flow does not use its slot all the time. While this shard can still place the
// flow at once, the other shard must have slots free without overlap.
std::optional<std::size_t> SelectOtherShard(TimePoint now,
                                            const ShardLoad& home,
                                            std::span<const OtherShard> others,
                                            std::uint32_t overlap_percent);

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_PACKETFLOW_SHARD_H_
