// The decisions of one entry VM: datagrams, catalog and time in, datagrams
// out. Composes membership, registry, placement and request handling; the
// whole of it has no I/O.
//
//   auto node = EntryNode::Create(options, now, seed).value();
//   node->OnCatalog(now, catalog, out);
//   node->OnDatagram(now, datagram, out);
//   node->OnTick(now, out);   // at NextWake() or earlier
#ifndef VANILLALATCH_ENTRY_ENTRY_NODE_H_
#define VANILLALATCH_ENTRY_ENTRY_NODE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "control.pb.h"
#include "vanillalatch/base/hop.h"
#include "vanillalatch/base/outbox.h"
#include "vanillalatch/base/result.h"
#include "vanillalatch/base/time.h"
#include "vanillalatch/membership/member_list.h"

namespace vanillalatch {

struct EntryOptions {
  MemberListOptions membership;
  // The Unix time at TimePoint zero, milliseconds: for the Issued option.
  std::int64_t unix_epoch_ms = 0;
  Duration backend_timeout = std::chrono::seconds(5);  // Without a deadline.
  // Longest time that a caller may still resend a request (RFC 7252
  // EXCHANGE_LIFETIME); answers are kept that long for replay.
  Duration exchange_lifetime = std::chrono::seconds(247);
  // A planned stop waits for open requests up to this time.
  Duration drain_limit = std::chrono::seconds(10);
  std::size_t max_hops_kept = 65536;  // For traces and explain.
};

// Counters since the start, for metrics.
struct EntryCounters {
  std::uint64_t datagrams = 0;
  std::uint64_t malformed = 0;
  std::uint64_t handed_over = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t given_up = 0;
  std::uint64_t retried = 0;
  std::uint64_t replayed = 0;
  std::uint64_t dropped_answers = 0;  // Late, doubled or crossed.
  std::uint64_t taken_over = 0;
};

class EntryNode {
 public:
  // Error: kInvalidArgument.
  static Result<std::unique_ptr<EntryNode>> Create(EntryOptions options,
                                                   TimePoint now,
                                                   std::uint64_t seed);
  virtual ~EntryNode() = default;

  virtual void OnDatagram(TimePoint now, const Datagram& datagram,
                          Outbox& out) = 0;
  // Ignores a catalog whose revision is not higher than the one in force.
  virtual void OnCatalog(TimePoint now, const pb::Catalog& catalog,
                         Outbox& out) = 0;
  virtual void OnTick(TimePoint now, Outbox& out) = 0;
  virtual TimePoint NextWake() const = 0;

  // Planned stop: announces it, hands over what it dispatches, and lets open
  // requests end. The process may exit when Stopped().
  virtual void BeginStop(TimePoint now, Outbox& out) = 0;
  virtual bool Stopped(TimePoint now) const = 0;

  virtual Revision revision() const = 0;
  virtual const EntryCounters& counters() const = 0;
  // Requests that this VM has to answer or holds a second record of.
  virtual std::size_t open_requests() const = 0;
  // The sync request to send to a control VM; admin_address is left empty.
  virtual pb::SyncRequest Report(TimePoint now) const = 0;
  // The hops recorded for one request, oldest first.
  virtual std::vector<Hop> HopsOf(RequestId request) const = 0;
  // Hops recorded since the last call; for the trace file.
  virtual std::vector<Hop> TakeHops() = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_ENTRY_ENTRY_NODE_H_
