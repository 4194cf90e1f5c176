// The logic of one entry VM that places requests. It receives datagrams, the
// catalog and the time, and writes the datagrams to send to an Outbox; it does
// no I/O. It combines membership, the registry of backend endpoints, placement
// and request handling.
//
// Every entry VM can receive a caller's request (as its ingress) and hands it
// over to the VM that dispatches the request's service (the dispatcher).
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
  // Unix time of TimePoint zero, milliseconds. Converts the Issued option.
  std::int64_t unix_epoch_ms = 0;
  // Deadline of a request that has no Deadline option, from its arrival.
  Duration backend_timeout = std::chrono::seconds(5);
  // How long after its first send a caller may resend a request (RFC 7252
  // EXCHANGE_LIFETIME). Answers are stored that long for replay.
  Duration exchange_lifetime = std::chrono::seconds(247);
  // A planned stop waits at most this long for open requests to finish.
  Duration drain_limit = std::chrono::seconds(10);
  // Records of requests that this VM stores. Further requests are refused.
  std::size_t max_records = 100'000;
  // Hops of recent requests that are stored for traces and explain.
  std::size_t max_stored_hops = 65536;
};

// Counters since the process started, for metrics.
struct EntryCounters {
  std::uint64_t datagrams = 0;    // Received on any socket.
  std::uint64_t malformed = 0;    // Malformed or unexpected datagrams.
  std::uint64_t handed_over = 0;  // Requests handed to another VM.
  std::uint64_t answered = 0;     // Answers of backend servers accepted.
  std::uint64_t refused = 0;      // Requests answered as "not run".
  // Requests that were cancelled, or that ended with an error and may have run.
  std::uint64_t given_up = 0;
  std::uint64_t retried = 0;   // Sends to a further backend server.
  std::uint64_t replayed = 0;  // Resends answered from the stored answer.
  // Answers of backend servers that are late, duplicated or from an address
  // that was not asked.
  std::uint64_t dropped_answers = 0;
  std::uint64_t taken_over = 0;  // Requests taken over from a failed VM.
};

class EntryNode {
 public:
  // Error: kInvalidArgument if an option is invalid, kInternal if libcoap
  // cannot allocate a message.
  static Result<std::unique_ptr<EntryNode>> Create(EntryOptions options,
                                                   TimePoint now,
                                                   std::uint64_t seed);
  virtual ~EntryNode() = default;

  // Handles one datagram that a socket of this VM received.
  virtual void OnDatagram(TimePoint now, const Datagram& datagram,
                          Outbox& out) = 0;
  // Puts the catalog in force. Ignores one whose revision is not higher than
  // that of the catalog in force.
  virtual void OnCatalog(TimePoint now, const pb::Catalog& catalog,
                         Outbox& out) = 0;
  // Does everything that is due. Must be called at NextWake() at the latest.
  virtual void OnTick(TimePoint now, Outbox& out) = 0;
  // Returns when something is due next.
  virtual TimePoint NextWake() const = 0;

  // Begins a planned stop: announces that this VM leaves, hands over the
  // requests that it dispatches, and lets those that run finish.
  virtual void BeginStop(TimePoint now, Outbox& out) = 0;
  // True if the planned stop is complete, so that the process may exit.
  virtual bool Stopped(TimePoint now) const = 0;

  // Returns the revision of the catalog in force; 0 before the first catalog.
  virtual Revision revision() const = 0;
  virtual const EntryCounters& counters() const = 0;
  // Returns the number of requests without a final answer that this VM is
  // responsible for, has handed over, or stores a second record of.
  virtual std::size_t open_requests() const = 0;
  // Returns the sync request to send to a control VM. The caller fills in
  // admin_address.
  virtual pb::SyncRequest Report(TimePoint now) const = 0;
  // Returns the stored hops of one request, oldest first.
  virtual std::vector<Hop> HopsOf(RequestId request) const = 0;
  // Returns the hops recorded since the last call, for the trace file; the
  // first max_stored_hops if there were more.
  virtual std::vector<Hop> TakeHops() = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_ENTRY_ENTRY_NODE_H_
