// MemberList: probing, merging and sending of one VM.
#ifndef VANILLALATCH_SRC_MEMBERSHIP_MEMBER_LIST_IMPL_H_
#define VANILLALATCH_SRC_MEMBERSHIP_MEMBER_LIST_IMPL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include "peer.pb.h"
#include "src/membership/member_table.h"
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

  NodeId self() const override { return self_.id; }
  std::span<const Member> members() const override { return view_; }
  std::uint64_t version() const override { return version_; }
  std::uint64_t bytes_sent() const override { return bytes_sent_; }

 private:
  // One event: the time, and where to read leases and write datagrams.
  struct Event {
    TimePoint now;
    LeaseExchange& leases;
    Outbox& out;
  };
  // The probe of one member that is under way.
  struct Probe {
    NodeId target;
    std::uint64_t incarnation = 0;  // Of the target when it began.
    std::uint64_t sequence = 0;
    TimePoint started;
    bool retried = false;
    bool again = false;  // The probe before failed on the same member.
    bool acked = false;
  };
  // A probe made for another member.
  struct Relay {
    SocketAddress requester;
    std::uint64_t sequence = 0;  // Of the requester.
    NodeId target;
    TimePoint expires;
  };
  // What one member still has to be sent, after its digests differed.
  struct Sync {
    SocketAddress to;
    std::vector<EndpointId> leases;
    bool members = false;
    NodeId member_cursor;
    std::vector<NodeId> wanted;  // Members to send with name and address.
    bool joins = false;          // Wants to know when it has them all.
  };

  // Ticks.
  void Start(TimePoint now);
  void NoticePause(TimePoint now);
  void EndSuspicions(Event& event);
  void StepProbe(Event& event);
  void StartProbe(Event& event);
  void ProbeOtherWays(Event& event);
  bool StillMeant(const Probe& probe);
  void Suspect(Event& event, NodeId id);
  // The buckets whose digests the next probe carries.
  BucketMask NextQuarter();
  std::optional<NodeId> NextTarget();
  void SeekMissing(Event& event);
  void SeekSeed(Event& event);
  void PushNews(Event& event);
  void SendSyncs(Event& event);
  void EndFlapHold(Event& event);

  // Messages.
  void MergeMembers(Event& event, SocketAddress from,
                    const pb::MembershipMessage& message);
  void MergeSelf(TimePoint now, const pb::MemberUpdate& update);
  void CompareDigests(Event& event, SocketAddress from, NodeId sender,
                      const pb::MembershipMessage& message);
  void OnAck(Event& event, const pb::MembershipMessage& message);
  void OnPingRequest(Event& event, SocketAddress from,
                     const pb::MembershipMessage& message);
  void OnJoin(Event& event, SocketAddress from, NodeId sender);
  // Asks for members that are known by their ids only.
  void AskFor(Event& event, SocketAddress to, std::span<const NodeId> wanted);
  void Join(Event& event, SocketAddress to);

  // Sending. False if the budget has no room.
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
  std::size_t Room(TimePoint now, std::int64_t reserve);

  std::vector<const Member*> RandomLive(std::size_t count, NodeId except);
  std::size_t SendsPerUpdate() const;
  bool Deaf(TimePoint now) const;
  std::uint32_t MembersDigest() const;
  void Changed();

  MemberListOptions options_;
  Member self_;
  std::mt19937_64 rng_;
  MemberTable table_;
  UpdateQueue updates_;
  SendBudget budget_;
  std::vector<Member> all_;   // By id, this VM included.
  std::vector<Member> view_;  // As shown to others.
  std::uint64_t version_ = 0;
  std::uint64_t bytes_sent_ = 0;

  bool started_ = false;
  bool leaving_ = false;
  // A seed has sent all its members, or there are no seeds. Before that this
  // VM shows itself alone: half a list would have it act on half a list.
  bool joined_ = false;
  std::optional<TimePoint> flap_hold_until_;
  TimePoint last_tick_;
  TimePoint last_heard_;
  TimePoint next_probe_;
  TimePoint next_seek_;
  TimePoint join_by_;
  TimePoint next_push_;
  TimePoint next_sync_;
  TimePoint next_ask_;
  TimePoint next_members_sync_;
  std::uint64_t sequence_;
  std::optional<Probe> probe_;
  std::map<std::uint64_t, Relay> relays_;  // By our sequence.
  std::map<NodeId, Sync> syncs_;
  NodeId last_sync_;
  std::vector<NodeId> order_;  // Members still to be probed in this round.
  std::size_t next_seed_ = 0;
  std::size_t next_quarter_ = 0;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_MEMBERSHIP_MEMBER_LIST_IMPL_H_
