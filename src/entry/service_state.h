// What one entry VM keeps of one service of the catalog.
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

// The endpoint that serves an answer of many blocks.
struct BlockPin {
  EndpointId endpoint;
  std::uint64_t tag = 0;  // Hash of the answer's ETag; 0: it has none.
  TimePoint expires;
  std::optional<TimePoint> told;  // To the VM that would take over.
};

// Asking the members for their open requests of a service.
struct Collection {
  std::uint64_t sequence = 0;
  TimePoint ends;
  TimePoint resend;
  // Parts still missing by member; kUnknownParts before its first reply.
  std::map<NodeId, std::uint32_t> missing;
  std::set<std::uint64_t> seen;  // Member and part.
  // Starts of dispatchers that members knew, and of members that never
  // dispatched.
  std::set<std::uint64_t> earlier;
  std::set<std::uint64_t> unserved;
  std::map<std::uint64_t, NodeId> served;  // Starts that did.
  // Members that say they know everything, unless one of these has served.
  std::map<NodeId, std::vector<std::uint64_t>> claims;
};
inline constexpr std::uint32_t kUnknownParts = 0xffffffff;

// Sending everything that is kept of a service to another VM.
struct TransferState {
  NodeId to;  // 0: nothing to send.
  std::uint64_t sequence = 0;
  std::vector<RequestId> finished;  // Still to be sent.
  // Where the part that was sent begins, and where the next one will.
  std::size_t finished_at = 0;
  std::size_t finished_next = 0;
  std::vector<std::uint64_t> blocks;  // Answers of many blocks.
  std::size_t blocks_at = 0;
  std::size_t blocks_next = 0;
  std::size_t pins_at = 0;
  std::size_t pins_next = 0;
  bool last = false;  // The part that was sent is the last one.
  TimePoint resend = kNever;
};

struct ServiceState {
  explicit ServiceState(PinTable table) : pins(std::move(table)) {}

  pb::Service config;
  std::unique_ptr<SlotScheduler> scheduler;
  std::unique_ptr<SessionPlacer> placer;
  PinTable pins;
  absl::flat_hash_map<std::uint64_t, BlockPin> blocks;
  std::uint64_t endpoints_version = 0;

  bool dispatches = false;  // This VM has rank 0.
  bool ready = false;       // It has collected what the members hold.
  NodeId dispatcher;        // Rank 0 as known; 0: none.
  // Starts of dispatchers that this VM has known, and until when.
  std::map<std::uint64_t, TimePoint> known_dispatchers;
  NodeId successor;  // Rank 1 as known; 0: none.
  // The VM that this one has collected from may no longer be overruled by an
  // older dispatcher; 0: none has asked.
  NodeId fence;
  bool served = false;  // This VM has dispatched the service.
  bool is_new = false;  // Created while this VM was running.
  // Start of this VM, if it dispatches without any member knowing of an earlier
  // dispatcher: what was issued before may be a resend to VMs that are lost.
  TimePoint born = TimePoint::min();
  // Every request that was sent since then was sent by this VM.
  TimePoint knows_since = TimePoint::min();
  // This VM knows of every request that a caller may still resend.
  bool complete = false;
  // This VM knew everything until lately, and can tell it until then, except
  // for what the dispatchers since then have added.
  std::set<NodeId> followers;
  TimePoint complete_until;
  // VMs that know everything together, and still have to transfer it.
  std::vector<NodeId> sources;
  // All living members have said what they hold.
  bool all_collected = false;
  // Set if it does not and nobody can tell: requests from before this time
  // that may not be repeated have an unknown outcome.
  TimePoint unsure_before = TimePoint::min();

  Collection collection;
  TransferState transfer;

  ServiceId id() const { return ServiceId{config.id()}; }
  bool has_sessions() const { return config.work() == pb::WORK_SESSIONS; }
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_ENTRY_SERVICE_STATE_H_
