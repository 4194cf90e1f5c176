// The state that one entry VM keeps about one service of the catalog.
//
// Rendezvous hashing ranks the entry VMs for each service. Rank 0 is the
// dispatcher: it places the service's requests on endpoints. Rank 1 is the
// successor: it stores second records (see request_record.h) and takes over
// after a failure.
//
// A VM is complete for a service if it has every pin, and a record of every
// non-idempotent request that may have run and that a caller may still resend.
// The successor of a new dispatcher is complete only after that one's transfer:
// a dispatcher that is not complete has its second records confirmed by others.
// A complete dispatcher can tell a resend from a new request by itself, except
// as ServiceState::history_start says. One that is not complete asks one of its
// `sources` to confirm the second record; without a source, it gives up
// non-idempotent requests that may have been issued before
// `outcome_unknown_before`.
//
// An instance is a hash that identifies one VM and one start of it.
#ifndef VANILLALATCH_SRC_ENTRY_SERVICE_STATE_H_
#define VANILLALATCH_SRC_ENTRY_SERVICE_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "catalog.pb.h"
#include "vanillalatch/base/strong.h"
#include "vanillalatch/base/time.h"
#include "vanillalatch/flow/pin_table.h"
#include "vanillalatch/placement/session_placer.h"
#include "vanillalatch/placement/slot_scheduler.h"

namespace vanillalatch::internal {

// The endpoint that serves the blocks of one blockwise answer (RFC 7959).
struct BlockPin {
  EndpointId endpoint;
  std::uint64_t etag_hash = 0;  // Of the answer's ETag; 0: it has none.
  TimePoint expires;
  std::optional<TimePoint> sent_at;  // To the VM that takes over.
};

// The collection of open requests from all members, by a new dispatcher before
// it serves.
struct Collection {
  std::uint64_t sequence = 0;
  TimePoint ends_at;
  TimePoint resend_at;
  // Number of missing parts by member; kUnknownPartCount before its first
  // reply.
  std::map<NodeId, std::uint32_t> missing_parts;
  std::set<std::uint64_t> received_parts;  // Member XOR part number.
  // Instances that members reported as dispatchers.
  std::set<std::uint64_t> earlier_dispatchers;
  // Instances of members that have not dispatched the service since their
  // start.
  std::set<std::uint64_t> never_served;
  // Members that have dispatched the service, by instance.
  std::map<std::uint64_t, NodeId> served_by;
  // Members that report a complete state. Their state lacks the requests of the
  // listed instances, if these have dispatched the service.
  std::map<NodeId, std::vector<std::uint64_t>> completeness_claims;
};
inline constexpr std::uint32_t kUnknownPartCount = 0xffffffff;

// The transfer of a service's state to another VM, in parts. One part is in
// flight; the ranges [begin, end) say which entries it contains.
struct TransferState {
  NodeId to;                        // 0: no transfer.
  std::uint64_t sequence = 0;       // Of the part; 0: not assigned yet.
  std::vector<RequestId> finished;  // Requests to transfer.
  std::size_t finished_begin = 0;
  std::size_t finished_end = 0;
  std::vector<std::uint64_t> blocks;  // Keys of blockwise answers.
  std::size_t blocks_begin = 0;
  std::size_t blocks_end = 0;
  std::size_t pins_begin = 0;  // Positions in PinTable::VisitSome().
  std::size_t pins_end = 0;    // 0 after the last pin.
  bool last_part_sent = false;
  TimePoint resend_at = kNever;
};

struct ServiceState {
  explicit ServiceState(PinTable table) : pins(std::move(table)) {}

  pb::Service config;
  std::unique_ptr<SlotScheduler> scheduler;
  std::unique_ptr<SessionPlacer> placer;
  PinTable pins;
  absl::flat_hash_map<std::uint64_t, BlockPin> blocks;  // By answer key.
  std::uint64_t endpoints_version = 0;

  // Role and share of this VM as passed to the scheduler.
  bool uses_cold_as_dispatcher = false;
  std::optional<ColdUse> cold_use;

  bool dispatches = false;  // This VM has rank 0.
  bool ready = false;       // As dispatcher, this VM has ended its collection.
  NodeId dispatcher;        // Rank 0 of the member list; 0: none.
  // Instances of dispatchers, and when their entries expire.
  std::map<std::uint64_t, TimePoint> recent_dispatchers;
  NodeId successor;  // Rank 1 of the member list; 0: none.
  // The dispatcher that last collected open requests from this VM; 0: none.
  // While it is alive, this VM grants no other dispatcher a second record, as
  // that one may be out of date.
  NodeId fencing_dispatcher;
  // Until then that dispatcher counts as alive, even if the member list still
  // shows it as failed: it has just collected.
  TimePoint fence_holds_until;
  bool has_served = false;             // This VM has dispatched the service.
  bool created_while_running = false;  // Not in this VM's first catalog.
  // Start of this VM if it became complete because, by the reports of all
  // members, no other VM has dispatched the service; TimePoint::min() otherwise
  // and for a service that was created while running. A request that was issued
  // before may be a resend of one that failed VMs received.
  TimePoint history_start = TimePoint::min();
  // All requests that were sent to backend servers since then were sent by this
  // VM. TimePoint::min(): no other VM has sent any.
  TimePoint sole_sender_since = TimePoint::min();
  bool complete = false;
  // If this VM is no longer complete, it can still use and transfer its state
  // until `complete_until`; kNever while it is the successor. That state lacks
  // the later requests of these dispatchers.
  // With the instance that the member list showed when each became dispatcher.
  std::map<NodeId, std::uint64_t> later_dispatchers;
  TimePoint complete_until;
  TimePoint transfer_query_at;  // Next query for the dispatcher's state.
  // VMs whose states together are complete, and that still have to transfer
  // them.
  std::vector<NodeId> sources;
  // All live members have reported their open requests.
  bool all_collected = false;
  // Set if this VM is not complete and no source is left. The outcome of
  // non-idempotent requests that were issued before is unknown.
  TimePoint outcome_unknown_before = TimePoint::min();

  Collection collection;
  TransferState transfer;

  ServiceId id() const { return ServiceId{config.id()}; }
  bool has_sessions() const { return config.work() == pb::WORK_SESSIONS; }
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_ENTRY_SERVICE_STATE_H_
