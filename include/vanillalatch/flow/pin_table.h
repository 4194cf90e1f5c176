// The flows of one service and the endpoint that each is pinned to: compact,
// with idle flows dropped a few at a time.
//
//   PinTable pins = PinTable::Create(options).value();
//   pins.Put(caller, endpoint, now);
//   if (std::optional<EndpointId> it = pins.Touch(caller, now)) ...
//   pins.ExpireSome(now, [&](SocketAddress caller, EndpointId it) { ... });
#ifndef VANILLALATCH_FLOW_PIN_TABLE_H_
#define VANILLALATCH_FLOW_PIN_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "vanillalatch/base/address.h"
#include "vanillalatch/base/result.h"
#include "vanillalatch/base/strong.h"
#include "vanillalatch/base/time.h"

namespace vanillalatch {

struct PinTableOptions {
  // A flow without a datagram for this long has ended. At least one second.
  Duration idle = std::chrono::minutes(30);
  std::size_t max_flows = 2'000'000;
  // Buckets looked at by one ExpireSome().
  std::size_t expire_step = 256;
};

class PinTable {
 public:
  using Visitor = std::function<void(SocketAddress, EndpointId)>;

  // Error: kInvalidArgument for an idle time below one second or no room.
  static Result<PinTable> Create(PinTableOptions options);

  // The flow's endpoint, marked as used now; nullopt if the flow is unknown
  // or has been idle for too long.
  std::optional<EndpointId> Touch(SocketAddress caller, TimePoint now);
  // Adds or moves a flow. False if the table is full.
  bool Put(SocketAddress caller, EndpointId endpoint, TimePoint now);
  bool Remove(SocketAddress caller);

  // Looks at the next part of the table and drops its idle flows; `dropped`
  // is told each of them.
  void ExpireSome(TimePoint now, const Visitor& dropped);

  // Visits up to `count` flows from `cursor` on; returns the cursor to go on
  // from, 0 at the end. Flows added meanwhile may be missed.
  std::size_t VisitSome(std::size_t cursor, std::size_t count,
                        const Visitor& visit) const;

  std::size_t size() const { return flows_.size(); }
  // Memory of the table, slack included, bytes.
  std::size_t MemoryBytes() const;

 private:
  struct Flow {
    std::uint32_t place;        // Index into order_.
    std::uint32_t endpoint;     // Index into endpoints_.
    std::uint32_t used_second;  // Seconds on the timeline.
  };

  explicit PinTable(PinTableOptions options) : options_(options) {}
  std::uint32_t IndexOf(EndpointId endpoint);
  bool IsIdle(const Flow& flow, TimePoint now) const;
  void Erase(std::uint64_t caller);

  PinTableOptions options_;
  absl::flat_hash_map<std::uint64_t, Flow> flows_;  // By packed caller.
  std::vector<std::uint64_t> order_;  // Every flow once, for slow scans.
  std::vector<EndpointId> endpoints_;
  absl::flat_hash_map<EndpointId, std::uint32_t> endpoint_index_;
  std::size_t expire_at_ = 0;  // Index into order_.
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_FLOW_PIN_TABLE_H_
