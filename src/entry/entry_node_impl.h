// The implementation of EntryNode. Each group of member functions names the
// source file that defines it. The comments use terms of service_state.h
// (dispatcher, successor, complete, instance, source) and of request_record.h
// (responsible, second record, holder, grant).
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
#include "vanillalatch/base/hash.h"
#include "vanillalatch/entry/entry_node.h"
#include "vanillalatch/registry/registry.h"
#include "vanillalatch/request/record_table.h"
#include "vanillalatch/wire/coap.h"

namespace vanillalatch::internal {

// An unacknowledged message to a peer is resent after this time. The interval
// then doubles with each resend, at most kMaxResendDoublings times.
inline constexpr Duration kPeerResendInterval = std::chrono::milliseconds(20);
inline constexpr int kMaxResendDoublings = 5;
// A parked request is routed again after this time.
inline constexpr Duration kParkedRetryInterval = std::chrono::milliseconds(30);
// A new dispatcher waits at most this long for the open requests of the other
// members before it serves.
inline constexpr Duration kCollectionTimeout = std::chrono::milliseconds(300);
// A dispatcher that lacks the state of a source asks for it again after this
// time.
inline constexpr Duration kSourceReminderInterval =
    std::chrono::milliseconds(100);
// A VM with seeds waits at most this long for contact with another member.
inline constexpr Duration kJoinTimeout = std::chrono::seconds(2);
// In the smaller part of a partitioned data centre, a request that was issued
// longer ago than this may be a resend. A younger one is not: callers wait
// longer than this before they resend.
inline constexpr Duration kMaxFreshRequestAge = std::chrono::seconds(1);
// In a data centre with at least this many VMs, a tie between two equal parts
// is broken, so that only one of them counts as the larger.
inline constexpr std::size_t kMinTieBreakMembers = 4;
// For this long after it was frozen (see OnThaw()), a VM does not claim that a
// request did not run: another VM may have taken over and run it.
inline constexpr Duration kThawSettleTime = std::chrono::seconds(2);
// Two VM failures within this time may have destroyed both records of a
// request.
inline constexpr Duration kDoubleFailureWindow = std::chrono::seconds(15);
// For this long after it stopped being dispatcher or successor, a VM can still
// transfer its complete state.
inline constexpr Duration kCompleteStateRetention = std::chrono::seconds(3);
// A successor that is not complete asks the dispatcher for its state this
// often.
inline constexpr Duration kTransferQueryInterval = std::chrono::seconds(1);
// This long after its start, a VM has received the list of all members.
inline constexpr Duration kMemberDiscoveryTime = std::chrono::seconds(1);
// The clocks of callers and entry VMs differ by at most this much.
inline constexpr Duration kClockSkew = std::chrono::seconds(2);
// After this many handovers, a request stays on the VM that has it. Bounds the
// loops that arise while VMs disagree about the dispatcher.
inline constexpr std::uint32_t kMaxHandOvers = 8;
// Sends of one request to backend servers, including the first. Only a request
// that is idempotent or did not run is sent again.
inline constexpr int kMaxBackendAttempts = 3;
// An attempt may use the time until the deadline divided by this before the
// request is retried at another endpoint.
inline constexpr int kAttemptTimeoutDivisor = 2;
// A stopping VM runs at least this long, so that gossip spreads its departure.
inline constexpr Duration kLeaveGossipTime = std::chrono::seconds(1);
// A caller may pause this long between two blocks of a blockwise answer: its
// endpoint is stored this long after the latest block that was not the last.
// How often, and for how long at least, endpoints are read again after the end
// of an evacuation.
inline constexpr Duration kEndpointRefreshInterval =
    std::chrono::milliseconds(100);
inline constexpr Duration kMinEndpointRefreshTime = std::chrono::seconds(6);
inline constexpr Duration kBlockPinIdleTimeout = std::chrono::seconds(30);
// Capacity for the contents of one datagram between peers.
inline constexpr std::size_t kPeerPayloadBytes = 1200;
// Interval of the periodic work: idle pins, hellos and second records.
inline constexpr Duration kHousekeepingInterval =
    std::chrono::milliseconds(100);

// Limit of RequestRecord::pin_queries: how many times per request this VM asks
// the holder of the second record for the endpoint of the request's flow, or
// waits for a block pin.
inline constexpr int kMaxPinQueries = 4;
// Max-Age of the answer to a request that was refused or given up: the caller
// may try again after this time.
inline constexpr Duration kRetryAfter = std::chrono::seconds(1);
// A longer deadline of a caller is shortened to this.
inline constexpr Duration kMaxDeadline = std::chrono::minutes(10);

// Returns the hash that identifies one VM and one start of it.
inline std::uint64_t InstanceOf(NodeId id, std::uint64_t incarnation) {
  return StableHash(id.value(), incarnation);
}

// Two parsers, so that a stored request can be parsed while a received message
// is in use: a parser invalidates its last message when it parses the next.
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
  std::size_t open_requests() const override { return records_.open_count(); }
  pb::SyncRequest Report(TimePoint now) const override;
  std::vector<Hop> HopsOf(RequestId request) const override;
  std::vector<Hop> TakeHops() override;

 private:
  // An open CoAP exchange with a backend server.
  struct Exchange {
    RequestId request;
    EndpointId endpoint;
    SocketAddress address;
    std::uint16_t message_id;
  };

  // entry_node.cc
  // Must be called first in each event: sets the time and the outbox, and
  // detects that this VM was frozen.
  void BeginEvent(TimePoint now, Outbox& out);
  void OnThaw();
  void AfterEvent();
  void RecordHop(RequestId request, HopEvent event, std::uint64_t subject);
  void OnRecordDue(RequestRecord& record);
  void OnHeldRecordDue(RequestRecord& record);
  void ExpireIdlePins();
  // Returns the error kind of a request whose deadline has passed.
  static ErrorKind TimeoutErrorKind(const RequestRecord& record);

  // evacuation.cc
  // Applies the evacuations of the catalog or of a peer's notice.
  void UpdateEvacuations();
  // Puts back the requests that were about to be sent to an endpoint in an
  // evacuated data centre.
  void ParkWorkOfEvacuated();
  // The evacuated data centres, as the schedulers' endpoints name them.
  std::vector<std::string> EvacuatedNames() const;
  bool IsEvacuated(EndpointId endpoint) const;
  // Sets what this VM may give to cold endpoints of the service.
  void UpdateColdUse(ServiceState& service);
  // Passes the endpoints of a service to its scheduler and its placer.
  void SetEndpoints(ServiceState& service);

  // services.cc
  ServiceState* FindService(ServiceId id);
  ServiceState* FindService(std::string_view name);
  void UpdateService(const pb::Service& config, bool created_while_running);
  void DropServicesExcept(const std::set<ServiceId>& current);

  // callers.cc
  void OnCallerDatagram(const Datagram& datagram);
  void OnCallerRequest(const Datagram& datagram, const CoapMessage& message);
  bool MayBeResend(const CoapMessage& message) const;
  TimePoint IssueTime(const CoapMessage& message) const;
  void OnResend(RequestRecord& record, const CoapMessage& message,
                const Datagram& datagram);
  void FillFromDatagram(RequestRecord& record, const ServiceState& service,
                        const CoapMessage& message, ByteSpan datagram);
  void RequestReplay(const RequestRecord& record, const Datagram& datagram);
  void AnswerCaller(const RequestRecord& record);
  void Refuse(SocketAddress to, const CoapMessage& request, ErrorKind kind,
              Duration retry_after);
  void CancelMessage(SocketAddress caller, std::uint16_t message_id);
  void CancelRequest(RequestRecord& record);
  std::vector<std::uint8_t> BuildErrorAnswer(ErrorKind kind,
                                             Duration retry_after);

  // dispatch.cc
  void Route(RequestRecord& record);
  void HandOver(RequestRecord& record, NodeId to);
  void TakeResponsibility(RequestRecord& record);
  void Submit(RequestRecord& record);
  bool MayBeResendOfLostRequest(const ServiceState& service,
                                const RequestRecord& record) const;
  bool OrphanMayHaveRun(const ServiceState& service,
                        const RequestRecord& record) const;
  bool MayRunElsewhere(const RequestRecord& record) const;
  // Returns the VM that must confirm the second record; 0 if there is none.
  NodeId SelectHolder(const ServiceState& service) const;
  void ApplyVerdicts();
  void Place(ServiceState& service, RequestRecord& record, EndpointId endpoint);
  bool NeedsHold(const ServiceState& service,
                 const RequestRecord& record) const;
  // Removes the request from the queue, or releases its slot. Adds the verdicts
  // on requests that can start now to verdicts_.
  void ReleaseFromScheduler(ServiceState& service, RequestRecord& record,
                            WorkOutcome outcome);
  // Releases the slot that the request occupies for another dispatcher.
  void ReleaseAdoptedSlot(RequestRecord& record);
  bool CertainlyNotRun(const RequestRecord& record);
  // Moves a request that this VM is responsible for to kParked. It is routed
  // again after `retry`.
  void Park(RequestRecord& record, Duration retry);
  void GiveUp(RequestRecord& record, ErrorKind kind, Duration retry_after);
  void FinishAndAnswer(RequestRecord& record, std::vector<std::uint8_t> answer,
                       bool not_run = false);

  // pinning.cc
  bool SelectPin(ServiceState& service, RequestRecord& record, Work& work);
  bool SelectBlockPin(ServiceState& service, RequestRecord& record, Work& work);
  std::optional<EndpointId> PinNewFlow(ServiceState& service,
                                       RequestRecord& record);
  bool QueryPin(ServiceState& service, RequestRecord& record);
  bool IsLiveEndpointOf(EndpointId endpoint, const ServiceState& service) const;
  bool TrackBlocks(ServiceState& service, RequestRecord& record,
                   const CoapMessage& message);

  // exchanges.cc
  void SendToBackend(RequestRecord& record);
  void BuildBackendRequest(const RequestRecord& record,
                           std::uint16_t message_id);
  void OnBackendDatagram(const Datagram& datagram);
  void OnBackendAnswer(const Datagram& datagram, const CoapMessage& message);
  void OnBackendReset(const Datagram& datagram, const CoapMessage& message);
  void AcceptAnswer(RequestRecord& record, const CoapMessage& message,
                    ByteSpan bytes);
  bool RetryIfAllowed(RequestRecord& record, WorkOutcome outcome);
  void OnAttemptTimeout(RequestRecord& record);
  void CloseExchange(RequestRecord& record, bool notify_backend);
  void CloseExchangeByToken(std::uint64_t token, bool notify_backend);
  void SendEmptyMessage(SocketRole socket, SocketAddress to, CoapType type,
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
  void OnPeerDatagram(const Datagram& datagram);
  void OnRequestMessage(NodeId from, const pb::RequestMessage& message);
  // Sends `message` and leaves it empty.
  void SendToPeer(NodeId to, pb::RequestMessage& message);
  const Member* FindMember(NodeId id) const;
  // True if the VM is marked as dead in the member list, or not in it.
  bool IsFailed(NodeId id) const;
  bool IsLeavingOrFailed(NodeId id) const;
  void TrackInstance(NodeId from, std::uint64_t instance);
  void SendHellos();
  void OnHello(NodeId from, const pb::Hello& hello);
  void AddDoneRecipient(RequestRecord& record, NodeId id);
  void FillHandover(const RequestRecord& record, pb::Handover& handover) const;
  void SendHandover(RequestRecord& record);
  void FillDone(const RequestRecord& record, pb::Done& done) const;
  void SendDone(RequestRecord& record);
  void OnHandover(NodeId from, const pb::Handover& handover);
  void OnHandoverAck(NodeId from, const pb::HandoverAck& ack);
  void OnRepeatedHandover(NodeId from, const pb::Handover& handover,
                          RequestRecord& record);
  RequestRecord* CreateRecord(const pb::Handover& handover);
  void OnDone(NodeId from, const pb::Done& done);
  // Returns true if this VM or a third one is responsible for the request.
  bool MergeDone(NodeId from, const pb::Done& done);
  void StoreDone(NodeId from, const pb::Done& done);
  void FinishWithAnswerOfPeer(RequestRecord& record, const std::string& answer);
  void RetractRefusal(RequestRecord& record);
  void OnDoneAck(NodeId from, const pb::DoneAck& ack);
  void OnCancel(const pb::Cancel& cancel);

  // holds.cc
  void SendHold(RequestRecord& record);
  void OnHold(NodeId from, const pb::Hold& hold);
  pb::HoldReply::Verdict EvaluateHold(NodeId from, const pb::Hold& hold,
                                      const RequestRecord* record) const;
  bool StoreHold(NodeId from, const pb::Hold& hold, RequestRecord* record);
  void OnHoldReply(NodeId from, const pb::HoldReply& reply);

  // takeover.cc
  bool HasJoined() const;
  void OnMembersChanged();
  void TrackFailures();
  std::size_t CountAliveMembers() const;
  // Failures within the last exchange_lifetime, without VMs that announced that
  // they leave.
  std::size_t CountRecentlyFailedMembers() const;
  // True if more VMs of the data centre are alive than have failed recently.
  bool InMajority() const;
  // True if most VMs of the data centre have failed within the last
  // exchange_lifetime without announcing that they leave, so that this VM may
  // be in the smaller part of a partition. See kMinTieBreakMembers for ties.
  bool InMinority() const;
  void UpdateRoles(ServiceState& service);
  void UpdateCompleteness(ServiceState& service, NodeId old_dispatcher,
                          NodeId old_successor);
  void BecomeSuccessorOf(ServiceState& service, NodeId dispatcher);
  void AddLaterDispatcher(ServiceState& service, NodeId dispatcher);
  static void DropRetainedState(ServiceState& service, NodeId lost,
                                std::uint64_t present);
  void RemoveFailedSources(ServiceState& service);
  void MarkComplete(ServiceState& service, NodeId from);
  void TrackDispatchers();

  // collection.cc
  void BeginCollection(ServiceState& service);
  void SendCollect(ServiceState& service);
  void TickCollection(ServiceState& service);
  void RemindSources(ServiceState& service);
  bool SelectSources(ServiceState& service);
  bool AwaitsEndpoints(const ServiceState& service) const;
  void FinishCollection(ServiceState& service);
  void OnCollect(NodeId from, const pb::Collect& collect);
  void OnCollectReply(NodeId from, const pb::CollectReply& reply);
  void ImportOpenRequest(ServiceState& service, const pb::OpenRequest& open);
  void StartServing(ServiceState& service);

  // record_review.cc
  // Re-evaluates every open record after a change of members. The VM
  // `restarted` (0: none) has lost its records.
  void ReevaluateRecords(NodeId restarted);
  bool IsWithCurrentIncarnation(const RequestRecord& record) const;
  void OnResponsibleVmFailed(RequestRecord& record);
  void MergeEarlierSend(RequestRecord& record, const pb::Handover& handover);
  void ReevaluateResponsibility(RequestRecord& record, NodeId restarted);
  void RenewHolds();

  // transfer.cc
  void BeginTransfer(ServiceState& service, NodeId to);
  void RequestHoldsFrom(const ServiceState& service, NodeId successor);
  void TickTransfer(ServiceState& service);
  void SendTransferPart(ServiceState& service);
  bool HasOrphanThatMayHaveRun(const ServiceState& service) const;
  void ReplicateFinished(RequestRecord& record);
  // True if this VM sent the non-idempotent request to a backend server, which
  // may have run it, and no longer dispatches its service.
  bool IsAnswerOfFormerDispatcher(const RequestRecord& record);
  void AddPresentDispatchers(RequestRecord& record);
  static void FillBlockPin(std::uint64_t answer_key, const BlockPin& from,
                           pb::BlockPin& pin);
  void SendBlockPin(ServiceState& service, std::uint64_t answer_key);
  void OnTransfer(NodeId from, const pb::Transfer& transfer);
  // Repairs a successor that is not complete although the dispatcher has ended
  // its transfer: it took that one for failed for a moment.
  void SendTransferQueries();
  void OnTransferQuery(NodeId from, const pb::TransferQuery& query);
  void OnTransferAck(NodeId from, const pb::TransferAck& ack);
  void OnLastTransferPart(ServiceState& service, NodeId from, bool partial);
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
  std::uint64_t instance_;  // Identifies this VM and this start of it.
  TimePoint started_;

  std::uint64_t catalog_revision_ = 0;
  std::map<ServiceId, ServiceState> services_;
  std::map<std::string, ServiceId, std::less<>> service_names_;
  // Deleted within the last exchange_lifetime, and when.
  std::map<std::string, TimePoint, std::less<>> deleted_services_;

  absl::flat_hash_map<std::uint64_t, Exchange> exchanges_;  // By token.
  // Exchange tokens by backend address and message id.
  absl::flat_hash_map<std::uint64_t, std::uint64_t> exchanges_by_message_;
  absl::flat_hash_map<EndpointId, std::uint16_t> next_message_ids_;
  std::uint64_t next_exchange_token_;
  std::uint16_t next_message_id_;
  std::uint64_t next_sequence_;  // Of collections and transfer parts.

  EvacuationState evacuations_;  // As applied.
  // Until when, and when next, endpoints are read again after an evacuation, as
  // their renewals say whether they are cold.
  TimePoint refresh_until_{};
  TimePoint refresh_due_{};
  std::uint64_t members_version_ = 0;
  std::map<NodeId, std::uint64_t> peer_instances_;
  std::map<NodeId, MemberState> member_states_;
  std::map<NodeId, TimePoint> failed_members_;  // And when.
  // Times of the latest two failures of members that had not announced that
  // they leave.
  TimePoint last_failure_ = TimePoint::min();
  TimePoint previous_failure_ = TimePoint::min();
  // Peers that have acknowledged this VM's instance.
  std::set<NodeId> hello_acknowledged_;
  SocketAddress peer_sender_;  // Sender of the peer datagram being handled.
  bool joined_ = false;
  bool stopping_ = false;
  bool drained_by_catalog_ = false;  // The catalog drains this VM.
  bool hold_renewals_due_ = false;   // Some request may lack a second record.
  TimePoint stop_began_;
  TimePoint next_housekeeping_;
  // End of the latest period without events that was so long that other VMs may
  // have declared this VM failed.
  TimePoint thawed_at_ = TimePoint(-kThawSettleTime);

  EntryCounters counters_;
  std::deque<Hop> hops_;
  std::vector<Hop> new_hops_;  // Since the last TakeHops().

  // Valid during one event.
  TimePoint now_;
  Outbox* out_ = nullptr;
  std::vector<Verdict> verdicts_;
  bool applying_verdicts_ = false;
  std::vector<std::uint8_t> buffer_;
  pb::PeerDatagram incoming_;
  pb::PeerDatagram outgoing_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_ENTRY_ENTRY_NODE_IMPL_H_
