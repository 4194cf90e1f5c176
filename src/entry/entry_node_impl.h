// The entry VM's decisions, one member function an event. The parts stand in
// files of their own, which the groups below name.
#ifndef VANILLALATCH_SRC_ENTRY_ENTRY_NODE_IMPL_H_
#define VANILLALATCH_SRC_ENTRY_ENTRY_NODE_IMPL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "membership.pb.h"
#include "peer.pb.h"
#include "src/entry/service_state.h"
#include "vanillalatch/entry/entry_node.h"
#include "vanillalatch/registry/registry.h"
#include "vanillalatch/request/record_table.h"
#include "vanillalatch/wire/coap.h"

namespace vanillalatch::internal {

// A message to a peer is repeated after this time, then after twice as long,
// up to the longest.
inline constexpr Duration kPeerResend = std::chrono::milliseconds(20);
inline constexpr int kMaxResendDoublings = 5;
// A duty that nobody can take now is offered again after this time.
inline constexpr Duration kParkedRetry = std::chrono::milliseconds(30);
// A new dispatcher serves after this time, also without all replies.
inline constexpr Duration kCollectLimit = std::chrono::milliseconds(300);
// A VM with seeds waits this long for the first other member.
inline constexpr Duration kJoinLimit = std::chrono::seconds(2);
// In the smaller part of a data centre, a request issued this long ago may be a
// resend: callers wait longer before they resend.
inline constexpr Duration kFreshRequest = std::chrono::seconds(1);
// From this many VMs on, of two equal parts only one is the larger.
inline constexpr std::size_t kTieBreakMembers = 4;
// What a VM that was frozen says of requests is unsure for this long.
inline constexpr Duration kThawSettle = std::chrono::seconds(2);
// Two losses within this time may have taken both records of a request.
inline constexpr Duration kLossMemory = std::chrono::seconds(15);
// A VM that is neither dispatcher nor next in rank any more can still transfer
// what it knows for this long.
inline constexpr Duration kKnowledgeKept = std::chrono::seconds(3);
// After this time, a VM that has just started has seen all members.
inline constexpr Duration kJoinSettle = std::chrono::seconds(1);
// Clocks of callers and entry VMs may differ by this much.
inline constexpr Duration kClockSkew = std::chrono::seconds(2);
// A duty is handed on at most this often before it stays where it is.
inline constexpr std::uint32_t kMaxHandOvers = 8;
// Tries at backend servers for a request that may be repeated.
inline constexpr int kMaxAttempts = 3;
// An endpoint is tried for this share of the time that is left.
inline constexpr int kAttemptShare = 2;
// A leaving VM stays at least this long, so that others learn of it.
inline constexpr Duration kLeaveSpread = std::chrono::seconds(1);
// An answer of many blocks may pause this long between blocks.
inline constexpr Duration kBlockIdle = std::chrono::seconds(30);
// Room for the contents of one datagram between peers, bytes.
inline constexpr std::size_t kPeerPayload = 1200;
// Idle flows and answers are looked for this often.
inline constexpr Duration kSlowTick = std::chrono::milliseconds(100);

// Times that the next VM in rank is asked about a flow.
inline constexpr int kMaxPinQueries = 4;
// When a caller may come back after its request was given up on.
inline constexpr Duration kRetryLater = std::chrono::seconds(1);
// A caller's deadline is cut to this.
inline constexpr Duration kLongestDeadline = std::chrono::minutes(10);

// Two, so that a stored request can be read while a datagram is.
struct Parsers {
  CoapParser incoming;
  CoapParser stored;
};

class EntryNodeImpl : public EntryNode {
 public:
  EntryNodeImpl(EntryOptions options, std::uint64_t seed,
                std::unique_ptr<MemberList> members,
                std::unique_ptr<Registry> registry, RecordTable records,
                Parsers parsers, TimePoint now);

  void OnDatagram(TimePoint now, const Datagram& datagram,
                  Outbox& out) override;
  void OnCatalog(TimePoint now, const pb::Catalog& catalog,
                 Outbox& out) override;
  void OnTick(TimePoint now, Outbox& out) override;
  TimePoint NextWake() const override;
  void BeginStop(TimePoint now, Outbox& out) override;
  bool Stopped(TimePoint now) const override;
  Revision revision() const override { return Revision{catalog_revision_}; }
  const EntryCounters& counters() const override { return counters_; }
  std::size_t open_requests() const override { return records_.open(); }
  pb::SyncRequest Report(TimePoint now) const override;
  std::vector<Hop> HopsOf(RequestId request) const override;
  std::vector<Hop> TakeHops() override;

 private:
  // An exchange with a backend server that is not over.
  struct Exchange {
    RequestId request;
    EndpointId endpoint;
    SocketAddress address;
    std::uint16_t message_id;
  };

  // entry_node.cc
  void Begin(TimePoint now, Outbox& out);
  void Thaw();
  void AfterEvent();
  void Note(RequestId request, HopEvent event, std::uint64_t subject);
  void WakeRecord(RequestRecord& record);
  void WakeHeld(RequestRecord& record);
  void ForgetIdle();
  // What to say of a request that ran out of time.
  static ErrorKind LateKind(const RequestRecord& record);

  // services.cc
  ServiceState* FindService(ServiceId id);
  ServiceState* FindService(std::string_view name);
  void UpdateService(const pb::Service& config, bool is_new);
  void DropServicesExcept(const std::set<ServiceId>& current);

  // callers.cc
  void OnCaller(const Datagram& datagram);
  void OnCallerRequest(const Datagram& datagram, const CoapMessage& message);
  void OnResend(RequestRecord& record, const CoapMessage& message,
                const Datagram& datagram);
  void Describe(RequestRecord& record, const ServiceState& service,
                const CoapMessage& message, ByteSpan datagram);
  void AskForReplay(const RequestRecord& record, const Datagram& datagram);
  void AnswerCaller(const RequestRecord& record);
  void Refuse(SocketAddress to, const CoapMessage& request, ErrorKind kind,
              Duration retry_after);
  void CancelMessage(SocketAddress caller, std::uint16_t message_id);
  void CancelRecord(RequestRecord& record);
  std::vector<std::uint8_t> ErrorMessage(ErrorKind kind, Duration retry_after);

  // dispatch.cc
  void Route(RequestRecord& record);
  void HandOver(RequestRecord& record, NodeId to);
  void TakeDuty(RequestRecord& record);
  void Submit(RequestRecord& record);
  bool IsUnsure(const ServiceState& service, const RequestRecord& record) const;
  bool OrphanMayHaveRun(const ServiceState& service,
                        const RequestRecord& record) const;
  bool MayRunElsewhere(const RequestRecord& record) const;
  // The VM that must confirm a second record; 0: there is none.
  NodeId HolderFor(const ServiceState& service) const;
  void RunVerdicts();
  void Place(ServiceState& service, RequestRecord& record, EndpointId endpoint);
  bool NeedsHold(const ServiceState& service,
                 const RequestRecord& record) const;
  // Gives the slot back, if there is one, and what then starts.
  void LeaveScheduler(ServiceState& service, RequestRecord& record,
                      WorkOutcome outcome);
  // The same for work that another dispatcher has in a slot.
  void ReleaseAdopted(RequestRecord& record);
  bool SurelyNotRun(const RequestRecord& record);
  // Back to waiting, from any state with the duty; offered again later.
  void Park(RequestRecord& record, Duration retry);
  void GiveUp(RequestRecord& record, ErrorKind kind, Duration retry_after);
  void Conclude(RequestRecord& record, std::vector<std::uint8_t> answer,
                bool not_run = false);

  // pinning.cc
  bool ChoosePin(ServiceState& service, RequestRecord& record, Work& work);
  bool ChooseBlockPin(ServiceState& service, RequestRecord& record, Work& work);
  std::optional<EndpointId> OpenFlow(ServiceState& service,
                                     RequestRecord& record);
  bool AskAboutFlow(ServiceState& service, RequestRecord& record);
  bool IsOfService(EndpointId endpoint, const ServiceState& service) const;
  bool CheckBlocks(ServiceState& service, RequestRecord& record,
                   const CoapMessage& message);

  // exchanges.cc
  void SendToBackend(RequestRecord& record);
  void BuildForBackend(const RequestRecord& record, std::uint16_t message_id);
  void OnBackend(const Datagram& datagram);
  void OnBackendAnswer(const Datagram& datagram, const CoapMessage& message);
  void OnBackendReset(const Datagram& datagram, const CoapMessage& message);
  void TakeAnswer(RequestRecord& record, const CoapMessage& message,
                  ByteSpan bytes);
  bool Retry(RequestRecord& record, WorkOutcome outcome);
  void AttemptFailed(RequestRecord& record);
  void CloseExchange(RequestRecord& record, bool tell_backend);
  void CloseExchangeOf(std::uint64_t token, bool tell_backend);
  void ReplyEmpty(SocketRole socket, SocketAddress to, CoapType type,
                  std::uint16_t message_id);

  // registrations.cc
  void OnBackendRequest(const Datagram& datagram, const CoapMessage& message);
  void OnRegistration(const Datagram& datagram, const CoapMessage& message);
  void OnDeregistration(const Datagram& datagram, const CoapMessage& message,
                        std::string_view path);
  void ReplyBackend(SocketAddress to, const CoapMessage& request, CoapCode code,
                    std::string_view text);
  void ReplyError(SocketAddress to, const CoapMessage& request,
                  const Error& error);

  // peers.cc
  void OnPeer(const Datagram& datagram);
  void OnRequestMessage(NodeId from, const pb::RequestMessage& message);
  // Takes the content of `message`.
  void SendPeer(NodeId to, pb::RequestMessage& message);
  const Member* FindMember(NodeId id) const;
  // True if the VM has died, or is not known.
  bool IsGone(NodeId id) const;
  bool IsLeavingOrGone(NodeId id) const;
  void NoteInstance(NodeId from, std::uint64_t instance);
  void GreetMembers();
  void OnHello(NodeId from, const pb::Hello& hello);
  void Tell(RequestRecord& record, NodeId id);
  void FillHandover(const RequestRecord& record, pb::Handover& handover) const;
  void SendHandover(RequestRecord& record);
  void FillDone(const RequestRecord& record, pb::Done& done) const;
  void SendDone(RequestRecord& record);
  void OnHandover(NodeId from, const pb::Handover& handover);
  void OnHandoverAck(NodeId from, const pb::HandoverAck& ack);
  void OnKnownHandover(NodeId from, const pb::Handover& handover,
                       RequestRecord& record);
  RequestRecord* RecordOf(const pb::Handover& handover);
  void OnDone(NodeId from, const pb::Done& done);
  void TakeDone(NodeId from, const pb::Done& done);
  void DoubtRefusal(RequestRecord& record);
  void OnDoneAck(NodeId from, const pb::DoneAck& ack);
  void OnCancel(const pb::Cancel& cancel);

  // holds.cc
  void SendHold(RequestRecord& record);
  void OnHold(NodeId from, const pb::Hold& hold);
  pb::HoldReply::Verdict JudgeHold(NodeId from, const pb::Hold& hold,
                                   const RequestRecord* record) const;
  bool KeepHold(NodeId from, const pb::Hold& hold, RequestRecord* record);
  void OnHoldReply(NodeId from, const pb::HoldReply& reply);

  // takeover.cc
  bool Joined() const;
  void OnMembersChanged();
  void NoteLosses();
  // True if most of the data centre's VMs were lost without notice.
  bool InMinority() const;
  void ReviewService(ServiceState& service);
  void ReviewKnowledge(ServiceState& service, NodeId old_successor);
  void ReviewSources(ServiceState& service);
  void BecomeComplete(ServiceState& service);
  void NoteDispatchers();

  // collection.cc
  void BeginCollection(ServiceState& service);
  void SendCollect(ServiceState& service);
  void TickCollection(ServiceState& service);
  static void ReviewClaims(ServiceState& service);
  bool AwaitsEndpoints(const ServiceState& service) const;
  void FinishCollection(ServiceState& service);
  void OnCollect(NodeId from, const pb::Collect& collect);
  void OnCollectReply(NodeId from, const pb::CollectReply& reply);
  void TakeOpenRequest(ServiceState& service, const pb::OpenRequest& open);
  void StartServing(ServiceState& service);

  // record_review.cc
  // Looks again at every record after a change of members; what `restarted`
  // had is lost.
  void ReviewRecords(NodeId restarted);
  bool IsWithPresentLife(const RequestRecord& record) const;
  void ReviewHeld(RequestRecord& record);
  void NoteEarlierSend(RequestRecord& record, const pb::Handover& handover);
  void ReviewDuty(RequestRecord& record, NodeId restarted);
  void RenewHolds();

  // transfer.cc
  void BeginTransfer(ServiceState& service, NodeId to);
  void TickTransfer(ServiceState& service);
  void SendTransferPart(ServiceState& service);
  bool HasUnsettledOrphan(const ServiceState& service) const;
  void CopyFinished(RequestRecord& record);
  static void FillBlockPin(std::uint64_t answer, const BlockPin& from,
                           pb::BlockPin& pin);
  void TellBlockPin(ServiceState& service, std::uint64_t answer);
  void OnTransfer(NodeId from, const pb::Transfer& transfer);
  void OnTransferAck(NodeId from, const pb::TransferAck& ack);
  void EndOfTransfer(ServiceState& service, NodeId from, bool partial);
  void EndTransfer(ServiceState& service);
  void PutPin(ServiceState& service, SocketAddress caller, EndpointId endpoint);
  void OnPinQuery(NodeId from, const pb::PinQuery& query);
  void OnPinReply(NodeId from, const pb::PinReply& reply);

  // stops.cc
  bool IsDrained() const;
  void Leave();
  void Rejoin();

  EntryOptions options_;
  std::uint64_t seed_;
  std::unique_ptr<MemberList> members_;
  std::unique_ptr<Registry> registry_;
  RecordTable records_;
  Parsers parsers_;
  NodeId self_;
  std::uint64_t instance_;  // Of this VM and start.
  TimePoint started_;

  std::uint64_t catalog_revision_ = 0;
  std::map<ServiceId, ServiceState> services_;
  std::map<std::string, ServiceId, std::less<>> service_names_;

  absl::flat_hash_map<std::uint64_t, Exchange> exchanges_;  // By token.
  // By backend address and message id.
  absl::flat_hash_map<std::uint64_t, std::uint64_t> exchange_messages_;
  absl::flat_hash_map<EndpointId, std::uint16_t> message_ids_;
  std::uint64_t next_exchange_;
  std::uint16_t next_message_id_;
  std::uint64_t next_sequence_;

  std::uint64_t members_version_ = 0;
  std::map<NodeId, std::uint64_t> instances_;  // Of peers.
  std::map<NodeId, MemberState> member_states_;
  std::map<NodeId, TimePoint> lost_members_;  // Without notice.
  // When a member died last, and the one before: without notice.
  TimePoint lost_at_ = TimePoint::min();
  TimePoint lost_before_ = TimePoint::min();
  std::set<NodeId> greeted_;  // Know this VM's instance.
  SocketAddress peer_from_;   // Sender of the peer datagram being handled.
  bool joined_ = false;
  bool stopping_ = false;
  bool drained_by_catalog_ = false;  // Announced by membership.
  bool renewals_due_ = false;        // A second record may be missing.
  TimePoint left_;
  TimePoint slow_tick_;
  // End of the latest time without any event that was long enough for others
  // to take this VM for dead.
  TimePoint thawed_at_ = TimePoint(-kThawSettle);

  EntryCounters counters_;
  std::deque<Hop> hops_;
  std::vector<Hop> new_hops_;

  // Valid during one event.
  TimePoint now_;
  Outbox* out_ = nullptr;
  std::vector<Verdict> verdicts_;
  bool running_verdicts_ = false;
  std::vector<std::uint8_t> buffer_;
  pb::PeerDatagram incoming_;
  pb::PeerDatagram outgoing_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_ENTRY_ENTRY_NODE_IMPL_H_
