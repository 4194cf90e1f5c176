// Implementation of MemberList. Probing is in member_list.cc, the handling of
// received messages in member_messages.cc, and sending in member_send.cc.
#ifndef VANILLALATCH_SRC_MEMBERSHIP_MEMBER_LIST_IMPL_H_
#define VANILLALATCH_SRC_MEMBERSHIP_MEMBER_LIST_IMPL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <utility>
#include <vector>

#include "peer.pb.h"
#include "src/membership/evacuation_board.h"
#include "src/membership/member_table.h"
#include "src/membership/revision_board.h"
#include "src/membership/send_budget.h"
#include "src/membership/update_queue.h"
#include "vanillalatch/membership/member_list.h"

namespace vanillalatch::internal {

class MemberListImpl : public MemberList {
 public:
  MemberListImpl(MemberListOptions options, std::uint64_t seed);

  void OnMessage(TimePoint now, SocketAddress from, NodeId sender,
                 const pb::MembershipMessage& message, LeaseExchange& leases,
                 Outbox& out) override;
  void OnTick(TimePoint now, LeaseExchange& leases, Outbox& out) override;
  TimePoint NextWake() const override;
  void Leave(TimePoint now, LeaseExchange& leases, Outbox& out) override;

  void SetEvacuations(TimePoint now, EvacuationState state) override {
    evacuations_.Set(now, std::move(state));
  }
  const EvacuationState& evacuations() const override {
    return evacuations_.state();
  }
  void SetCatalogRevision(std::uint64_t revision) override {
    revisions_.Set(revision);
  }
  std::uint64_t NewerRevision(TimePoint now) const override {
    return revisions_.Newer(now);
  }

  NodeId self() const override { return self_.id; }
  std::span<const Member> members() const override { return view_; }
  std::uint64_t version() const override { return version_; }
  std::uint64_t bytes_sent() const override { return bytes_sent_; }

 private:
  // Arguments of the call that is being handled, passed on to the functions
  // below.
  struct Event {
    TimePoint now;
    LeaseExchange& leases;
    Outbox& out;
  };
  // The probe in progress. If the first round, a ping and its repetition, gets
  // no ack, a second round probes the same member also through other members.
  struct Probe {
    NodeId target;
    std::uint64_t incarnation = 0;  // Of the target when the probe started.
    std::uint64_t sequence = 0;
    TimePoint started;
    bool retried = false;       // The ping was repeated.
    bool second_round = false;  // The first round got no ack.
    bool acked = false;
  };
  // A probe that this VM makes at the request of another member.
  struct RelayedProbe {
    SocketAddress requester;
    std::uint64_t sequence = 0;  // As used by the requester.
    NodeId target;
    TimePoint expires;
  };
  // What is still to be sent to one member, because its digests differed or
  // because it joins or asked for members.
  struct Sync {
    SocketAddress to;
    std::vector<EndpointId> leases;
    bool needs_members = false;  // Send the state of all members.
    NodeId member_cursor;        // All members with lower ids were sent.
    std::vector<NodeId> wanted;  // Members to send with name and address.
    // The receiver joins: the message with the last of `wanted` is to be marked
    // as complete.
    bool is_join = false;
  };

  // Work of OnTick().
  void Start(TimePoint now);
  // Discards timers and probes if this VM itself did not run for a while.
  void DetectPause(TimePoint now);
  // Pings suspects halfway through the timeout; declares them dead at its end.
  void ExpireSuspicions(Event& event);
  void AdvanceProbe(Event& event);
  void StartProbe(Event& event);
  void RetryProbe(Event& event);
  // False if the target returned with a higher incarnation since the probe
  // started.
  bool HasSameIncarnation(const Probe& probe);
  // Marks the member suspect and pings it, so that it can refute.
  void Suspect(Event& event, NodeId id);
  // The quarter of the buckets whose digests the next probe contains.
  BucketMask NextDigestBuckets();
  // The next member to probe: all in random order, then in a new order.
  std::optional<NodeId> NextTarget();
  // Contacts a failed member, in case it returned or a partition healed, and a
  // seed that is not a member.
  void Reconnect(Event& event);
  void ReconnectToSeed(Event& event);
  // Sends updates without waiting for a probe to carry them: urgent ones in
  // any case, others if the budget allows a large datagram.
  void PushUpdates(Event& event);
  void SendSyncs(Event& event);
  void EndFlapHold(Event& event);

  // Work of OnMessage().
  void MergeMembers(Event& event, SocketAddress from,
                    const pb::MembershipMessage& message);
  // Refutes a claim about this VM with a higher incarnation. Others may hold
  // back a flapping VM by claiming that it leaves: it accepts this for
  // flap_hold_time.
  void MergeClaimAboutSelf(TimePoint now, const pb::MemberUpdate& update);
  // Schedules a Sync for what the sender turns out to lack.
  void CompareDigests(Event& event, SocketAddress from, NodeId sender,
                      const pb::MembershipMessage& message);
  void OnAck(Event& event, const pb::MembershipMessage& message);
  void OnPingRequest(Event& event, SocketAddress from,
                     const pb::MembershipMessage& message);
  void OnJoin(Event& event, SocketAddress from, NodeId sender);
  // Requests name and address of members of which this VM has only the id.
  void RequestMembers(Event& event, SocketAddress to,
                      std::span<const NodeId> wanted);
  void SendJoin(Event& event, SocketAddress to);

  // Sending. False if the budget does not allow the message.
  pb::MembershipMessage NewMessage(pb::MembershipMessage::Kind kind,
                                   std::uint64_t sequence) const;
  bool SendPing(Event& event, const Member& to, std::uint64_t sequence,
                BucketMask digests);
  bool Send(Event& event, SocketAddress to, pb::MembershipMessage message,
            BucketMask digests);
  bool SendBytes(Event& event, SocketAddress to,
                 const pb::MembershipMessage& message);
  void AppendUpdates(std::size_t max_bytes, pb::MembershipMessage& message);
  bool SendSyncPart(Event& event, Sync& sync);
  void AppendMembers(Sync& sync, std::size_t max_bytes,
                     pb::MembershipMessage& message);
  // The maximum size of a membership message that may be sent now if `reserve`
  // bytes of the budget are to be left.
  std::size_t AvailableBytes(TimePoint now, std::int64_t reserve);

  // Up to `count` members that are not dead, sampled at random.
  std::vector<const Member*> RandomLiveMembers(std::size_t count,
                                               NodeId except);
  // How many times an update is sent; grows with log2 of the members.
  std::size_t SendsPerUpdate() const;
  // True if nothing was received for several probe intervals. This VM then does
  // not gossip that it suspects a member or declared one dead.
  bool HasLostContact(TimePoint now) const;
  std::uint32_t MembersDigest() const;
  // Recomputes all_ and view_ after a change.
  void RebuildView();

  MemberListOptions options_;
  Member self_;
  std::mt19937_64 rng_;
  MemberTable table_;
  EvacuationBoard evacuations_;
  RevisionBoard revisions_;
  UpdateQueue updates_;
  SendBudget budget_;
  std::vector<Member> all_;   // By id, this VM included.
  std::vector<Member> view_;  // What members() returns.
  std::uint64_t version_ = 0;
  std::uint64_t bytes_sent_ = 0;

  bool started_ = false;
  bool leaving_ = false;
  // True once a seed has sent all its members, or the join timed out, or if
  // there are no seeds. Until then members() contains only this VM, because
  // users of the list would act wrongly on an incomplete one.
  bool joined_ = false;
  std::optional<TimePoint> flap_hold_until_;
  TimePoint last_tick_;
  TimePoint last_received_;
  TimePoint next_probe_;
  TimePoint next_reconnect_;
  TimePoint join_deadline_;
  TimePoint next_push_;
  TimePoint next_sync_;
  TimePoint next_member_request_;
  TimePoint next_members_sync_;
  std::uint64_t sequence_;
  std::optional<Probe> probe_;
  std::map<std::uint64_t, RelayedProbe> relayed_probes_;  // By own sequence.
  std::map<NodeId, Sync> syncs_;                          // By receiver.
  NodeId last_sync_;           // Receiver of the last sync message.
  std::vector<NodeId> order_;  // Members still to be probed in this round.
  std::size_t next_seed_ = 0;  // Index modulo the number of seeds.
  std::size_t next_bucket_quarter_ = 0;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_MEMBERSHIP_MEMBER_LIST_IMPL_H_
