// MemberList: failure detection and membership among the VMs of one data
// centre, by a SWIM-style gossip protocol with probes, suspicion and
// incarnation numbers. Updates of endpoint leases are piggybacked on the same
// datagrams. A byte budget limits everything that is sent. The library does no
// I/O: the code that calls it passes in the time and received messages and
// sends what is added to the Outbox.
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

// Set of lease buckets: bit n stands for bucket n. Leases are divided into 32
// buckets by endpoint id. The digest of a bucket is a hash of its leases, by
// which two VMs find out whether they have the same leases.
using BucketMask = std::uint32_t;

// The evacuated data centres, as of a catalog revision. VMs pass them on in
// probes and acks, so that one that is cut off from the control VMs has them.
struct EvacuationState {
  std::uint64_t revision = 0;  // 0: none known.
  std::vector<std::string> data_centers;
};

// Source and receiver of the endpoint leases that are piggybacked; implemented
// by Registry. `max_bytes` is the maximum size of the whole message, not only
// of what is added.
class LeaseExchange {
 public:
  virtual ~LeaseExchange() = default;
  // Adds lease changes that have been added fewer than `max_sends` times. If
  // `departures` is true, only those of leases that are leaving or gone,
  // otherwise only those of ready leases.
  virtual void AppendLeases(TimePoint now, bool departures,
                            std::size_t max_sends, std::size_t max_bytes,
                            pb::MembershipMessage& message) = 0;
  // Adds the digests of the buckets in `mask` and the renewal ages of their
  // leases: how long ago each was last renewed.
  virtual void AppendDigests(TimePoint now, BucketMask mask,
                             std::size_t max_bytes,
                             pb::MembershipMessage& message) = 0;
  // Adds the leases listed in `missing` to `message.lacking` and removes them
  // from `missing`, from its end, until the message is full.
  virtual void AppendMissingLeases(TimePoint now,
                                   std::vector<EndpointId>& missing,
                                   std::size_t max_bytes,
                                   pb::MembershipMessage& message) = 0;
  // Merges one lease of a peer. If `gossip` is true, a change is gossiped
  // to other peers.
  virtual void MergeLease(TimePoint now, const pb::LeaseUpdate& update,
                          bool gossip) = 0;
  // Compares the digests in `message` with the local leases. Merges the renewal
  // ages of leases that are equal on both VMs and returns the leases that the
  // sender lacks or has in another version.
  virtual std::vector<EndpointId> MergeDigests(
      TimePoint now, const pb::MembershipMessage& message) = 0;
  // True if a change is pending that has been sent fewer than two times.
  // `departures` selects the kind of change as in AppendLeases().
  virtual bool HasFreshUpdates(bool departures) = 0;
  // Reports that a message of a peer was received, or, with `alone`, that the
  // member list contains no peer from which one could be received.
  virtual void OnContact(TimePoint now, bool alone) = 0;
};

struct MemberListOptions {
  std::string name;         // Of this VM.
  std::string data_center;  // Messages of other data centres are ignored.
  bool dispatches = true;   // See Member.
  // Data centre in which this VM runs, as its Member lists it. Differs from
  // `data_center` if VMs of several data centres form one group.
  std::string location;
  SocketAddress peer;  // Address of this VM's socket for other VMs.
  // Peer addresses of VMs through which this VM joins.
  std::vector<SocketAddress> seeds;
  std::uint64_t incarnation = 1;  // Must be higher than at every earlier start.
  // One member is probed in each interval.
  Duration probe_interval = std::chrono::milliseconds(200);
  // After this time without an ack the probe is sent again.
  Duration probe_timeout = std::chrono::milliseconds(80);
  // A suspected member that does not refute within this time is declared dead.
  Duration suspicion_timeout = std::chrono::milliseconds(1000);
  // Maximum of what the member list sends in any one second, including 28 bytes
  // of IP and UDP headers per datagram. At least 3000.
  std::size_t bytes_per_second = 6000;
  // A VM that fails and returns repeatedly is listed as kLeaving, and thus gets
  // no work, until it has stayed up for this long.
  Duration flap_hold_time = std::chrono::seconds(10);
};

class MemberList {
 public:
  // `seed` seeds the random order of probes. Error: kInvalidArgument for an
  // empty name or data centre, intervals that are not positive, a probe timeout
  // that is not below the probe interval, or a budget below 3000 bytes per
  // second.
  static Result<std::unique_ptr<MemberList>> Create(MemberListOptions options,
                                                    std::uint64_t seed);
  virtual ~MemberList() = default;

  // Handles a message that `sender` sent from the address `from`.
  virtual void OnMessage(TimePoint now, SocketAddress from, NodeId sender,
                         const pb::MembershipMessage& message,
                         LeaseExchange& leases, Outbox& out) = 0;
  // Does what is due at `now`: probes, timeouts and pending updates.
  virtual void OnTick(TimePoint now, LeaseExchange& leases, Outbox& out) = 0;
  // The earliest time at which OnTick() has something to do.
  virtual TimePoint NextWake() const = 0;

  // Announces that this VM is stopping, so that others send it no new work.
  virtual void Leave(TimePoint now, LeaseExchange& leases, Outbox& out) = 0;

  // Sets the evacuations of this VM's catalog. Replaces what peers sent, unless
  // theirs has a higher revision.
  virtual void SetEvacuations(TimePoint now, EvacuationState state) = 0;
  // The evacuations with the highest revision, from the catalog or from a peer.
  virtual const EvacuationState& evacuations() const = 0;

  // Sets the revision of the catalog that this VM has in force. Probes and acks
  // state it.
  virtual void SetCatalogRevision(std::uint64_t revision) = 0;
  // The highest catalog revision that a peer has stated of late; 0 if none has
  // stated a higher one than that of this VM. A hint only: whether the catalog
  // exists is not known.
  virtual std::uint64_t NewerRevision(TimePoint now) const = 0;

  virtual NodeId self() const = 0;
  // All members, including this VM and members that are dead, ordered by id.
  // Until this VM has joined, only the VM itself. Valid until the next call of
  // a function that is not const.
  virtual std::span<const Member> members() const = 0;
  // Increases whenever members() changes.
  virtual std::uint64_t version() const = 0;
  // Bytes added to outboxes since the start, without IP and UDP headers.
  virtual std::uint64_t bytes_sent() const = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_MEMBERSHIP_MEMBER_LIST_H_
