// Failure detection and member updates inside one data centre: probing with
// suspicion and incarnation numbers. Endpoint leases ride in the same
// datagrams, and a byte budget bounds everything sent.
//
//   auto list = MemberList::Create(options, seed).value();
//   list->OnTick(now, registry, out);
//   list->OnMessage(now, from, message, registry, out);
#ifndef VANILLALATCH_MEMBERSHIP_MEMBER_LIST_H_
#define VANILLALATCH_MEMBERSHIP_MEMBER_LIST_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "membership.pb.h"
#include "vanillalatch/base/outbox.h"
#include "vanillalatch/base/result.h"
#include "vanillalatch/base/strong.h"
#include "vanillalatch/base/time.h"
#include "vanillalatch/membership/member.h"

namespace vanillalatch {

// Which of the buckets of leases a message is about: bit n for bucket n.
using BucketMask = std::uint32_t;

// Supplies and takes the endpoint leases that ride along (the registry).
// `max_bytes` bounds the size of the whole message.
class LeaseExchange {
 public:
  virtual ~LeaseExchange() = default;
  // Adds changes that have been added fewer than `sends` times: endings
  // (leases that are leaving or gone), or the others.
  virtual void AppendLeases(TimePoint now, bool endings, std::size_t sends,
                            std::size_t max_bytes,
                            pb::MembershipMessage& message) = 0;
  // Adds the digests and renewal ages of the buckets in `mask`.
  virtual void AppendDigests(TimePoint now, BucketMask mask,
                             std::size_t max_bytes,
                             pb::MembershipMessage& message) = 0;
  // Adds the leases of `chosen` from its end as lacking, and takes them off.
  virtual void AppendChosen(TimePoint now, std::vector<EndpointId>& chosen,
                            std::size_t max_bytes,
                            pb::MembershipMessage& message) = 0;
  // `spread`: what is new is to be spread further.
  virtual void MergeLease(TimePoint now, const pb::LeaseUpdate& update,
                          bool spread) = 0;
  // Takes renewal ages from leases that are equal here; returns the leases
  // that the sender turns out to lack.
  virtual std::vector<EndpointId> MergeDigests(
      TimePoint now, const pb::MembershipMessage& message) = 0;
  // True if a change waits that has hardly been sent yet.
  virtual bool HasNews(bool endings) = 0;
  // This VM heard from a peer, or is alone: knows of no peer to hear from.
  virtual void OnContact(TimePoint now, bool alone) = 0;
};

struct MemberListOptions {
  std::string name;  // Of this VM.
  std::string data_center;
  bool dispatches = true;            // See Member.
  SocketAddress peer;                // This VM's peer socket.
  std::vector<SocketAddress> seeds;  // Peer sockets to join through.
  std::uint64_t incarnation = 1;     // Higher than at every earlier start.
  Duration probe_interval = std::chrono::milliseconds(200);
  Duration probe_timeout = std::chrono::milliseconds(80);
  Duration suspicion_timeout = std::chrono::milliseconds(1000);
  // Of everything this module sends in any one second, with 28 bytes of IP
  // and UDP header a datagram. At least 3000.
  std::size_t bytes_per_second = 6000;
  // A VM that keeps dying and returning takes no work (kLeaving) until it has
  // stayed up for this long.
  Duration flap_hold = std::chrono::seconds(10);
};

class MemberList {
 public:
  // Error: kInvalidArgument for an empty name or data centre, intervals that
  // are not positive, or a budget below 3000 bytes a second.
  static Result<std::unique_ptr<MemberList>> Create(MemberListOptions options,
                                                    std::uint64_t seed);
  virtual ~MemberList() = default;

  virtual void OnMessage(TimePoint now, SocketAddress from, NodeId sender,
                         const pb::MembershipMessage& message,
                         LeaseExchange& leases, Outbox& out) = 0;
  virtual void OnTick(TimePoint now, LeaseExchange& leases, Outbox& out) = 0;
  // The earliest time at which OnTick() has something to do.
  virtual TimePoint NextWake() const = 0;

  // Announces that this VM is stopping; others stop handing work to it.
  virtual void Leave(TimePoint now, LeaseExchange& leases, Outbox& out) = 0;

  virtual NodeId self() const = 0;
  // All known members, this VM included, ordered by id.
  virtual std::span<const Member> members() const = 0;
  // Grows whenever members() changes.
  virtual std::uint64_t version() const = 0;
  // Bytes handed to the outbox since the start, without headers.
  virtual std::uint64_t bytes_sent() const = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_MEMBERSHIP_MEMBER_LIST_H_
