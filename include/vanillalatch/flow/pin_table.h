// Stores the endpoint that each flow of one service is pinned to. A flow is
// identified by its caller's address. The table is compact, and idle flows are
// removed incrementally.
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
  // A flow without a datagram for longer than this has ended. At least one
  // second; fractions of a second are ignored.
  Duration idle_timeout = std::chrono::minutes(30);
  std::size_t max_flows = 2'000'000;
  // Maximum number of flows that one call of ExpireSome() checks. At least one.
  std::size_t expire_batch = 256;
};

class PinTable {
 public:
  // Receives the caller's address and the endpoint of a flow.
  using Visitor = std::function<void(SocketAddress, EndpointId)>;

  // Error: kInvalidArgument for an idle timeout below one second, or if
  // max_flows or expire_batch is zero.
  static Result<PinTable> Create(PinTableOptions options);

  // Marks the flow as used now and returns its endpoint. Returns nullopt if the
  // flow is unknown or has exceeded the idle timeout.
  std::optional<EndpointId> Touch(SocketAddress caller, TimePoint now);
  // Adds a flow, or pins an existing one to another endpoint, and marks it as
  // used now. Returns false if the flow is new and the table is full.
  bool Put(SocketAddress caller, EndpointId endpoint, TimePoint now);
  // Removes a flow. Returns false if it is unknown.
  bool Remove(SocketAddress caller);

  // Checks the next expire_batch flows, removes those that have exceeded the
  // idle timeout, and calls `dropped` for each removed flow.
  void ExpireSome(TimePoint now, const Visitor& dropped);

  // Visits up to `count` flows, starting at `cursor`. Returns the cursor for
  // the next call, or 0 at the end of the table. May miss flows if the table
  // changes between two calls.
  std::size_t VisitSome(std::size_t cursor, std::size_t count,
                        const Visitor& visit) const;

  std::size_t size() const { return flows_.size(); }
  // Estimate of the memory that the table has allocated, including unused
  // capacity, in bytes.
  std::size_t MemoryBytes() const;

 private:
  struct Flow {
    std::uint32_t order_index;       // Index into order_.
    std::uint32_t endpoint_index;    // Index into endpoints_.
    std::uint32_t last_used_second;  // Seconds since the epoch of TimePoint.
  };

  explicit PinTable(PinTableOptions options) : options_(options) {}
  std::uint32_t FindOrAddEndpoint(EndpointId endpoint);
  bool IsIdle(const Flow& flow, TimePoint now) const;
  void Erase(std::uint64_t caller);

  PinTableOptions options_;
  absl::flat_hash_map<std::uint64_t, Flow> flows_;  // By packed caller.
  // The packed caller of every flow, for incremental scans.
  std::vector<std::uint64_t> order_;
  std::vector<EndpointId> endpoints_;  // Every endpoint that was ever pinned.
  absl::flat_hash_map<EndpointId, std::uint32_t> endpoint_index_;
  std::size_t next_expiry_index_ = 0;  // Index into order_.
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_FLOW_PIN_TABLE_H_
