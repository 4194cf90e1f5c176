// The state that one entry VM keeps about one caller's request, and the state
// machine (charts/request.json) that the request follows.
//
// One entry VM is responsible for answering the request; more than one may be
// while VMs disagree about which of them have failed. A VM that handed the
// request over keeps its record in kHeld.
//
// The second record (or "hold") is a copy of the record on another VM, its
// holder, so that one failure does not lose the request. It is in kHeld as
// well. By confirming it, the holder grants the dispatcher permission to send
// the request to a backend server.
//
//   RequestRecord record;
//   Advance(record, RequestEvent::kTake);  // held -> parked
//   if (record.state == RequestState::kParked) ...
#ifndef VANILLALATCH_REQUEST_REQUEST_RECORD_H_
#define VANILLALATCH_REQUEST_REQUEST_RECORD_H_

#include <cstdint>
#include <vector>

#include "absl/container/inlined_vector.h"
#include "vanillalatch/base/address.h"
#include "vanillalatch/base/strong.h"
#include "vanillalatch/base/time.h"
#include "vanillalatch/wire/coap.h"

namespace vanillalatch {

// The states of charts/request.json.
enum class RequestState : std::uint8_t {
  kHeld,      // New, or another VM is responsible for the answer.
  kParked,    // Waits until it can be queued or handed over.
  kQueued,    // Waits in the scheduler for a slot.
  kPlaced,    // Has a slot; waits until a second record is confirmed.
  kSent,      // Sent to a backend server.
  kFinished,  // Has its final answer, which is stored for replay.
};

// The events of charts/request.json.
enum class RequestEvent : std::uint8_t {
  kTake,      // This VM becomes responsible.
  kSubmit,    // To the scheduler.
  kPlace,     // The scheduler assigned a slot.
  kSend,      // To the backend server.
  kPark,      // Gives up its slot or its place in the queue, and waits.
  kHandOver,  // Another VM becomes responsible.
  kFinish,    // The final answer is recorded, or callers can no longer resend
              // the request.
};

struct RequestRecord {
  RequestId id;
  SocketAddress caller;
  ServiceId service;
  ClassId work_class;  // 0: no class of the service matches the path.
  // Hash of everything that a resend repeats. Distinguishes different requests
  // that carry the same id.
  std::uint64_t fingerprint = 0;
  RequestState state = RequestState::kHeld;
  bool idempotent = true;
  bool orphaned = false;  // A VM that was responsible for it has failed.
  // kFinished: the answer says "not run" and is withheld until every VM in
  // `done_recipients` has acknowledged it, so that none of them runs the
  // request after the caller was told that it did not run.
  bool answer_deferred = false;
  bool answer_says_not_run = false;  // kFinished only.
  bool hold_granted = false;         // `holder` confirmed the second record.
  bool acknowledged = false;         // `responsible_vm` has confirmed its role.
  // Occupies a slot in this VM's scheduler on behalf of another dispatcher
  // that may be running it.
  bool adopted = false;
  std::uint8_t peer_sends = 0;  // Transmissions of the current peer message.
  // Queries to peers about the flow's endpoint, and waits for the endpoint of a
  // blockwise answer.
  std::uint8_t pin_queries = 0;
  bool opens_flow = false;    // This request created the pin of its flow.
  std::uint8_t attempts = 0;  // Sends to backend servers by this VM.
  // Sends to backend servers, by this VM or an earlier dispatcher, that may
  // have run: no answer says that they did not.
  std::uint8_t possible_runs = 0;
  std::uint32_t hops = 0;  // Handovers of the responsibility so far.

  // From the caller's latest datagram of this request; the answer uses them.
  CoapType type = CoapType::kConfirmable;
  std::uint16_t message_id = 0;
  CoapToken token;

  TimePoint received;  // When this VM created the record.
  TimePoint deadline = kNever;
  TimePoint issued = kNever;   // From the Issued option; kNever if absent.
  TimePoint wake_at = kNever;  // When the next action is due.
  TimePoint expires = kNever;  // kFinished: when the record is erased.

  // kHeld: the VM that must answer the request. kFinished: the VM that did.
  NodeId responsible_vm;
  // Incarnation of `responsible_vm` at the handover; 0 if unknown.
  std::uint64_t responsible_incarnation = 0;
  // Instance of the dispatcher that this VM, as holder of the second record,
  // granted permission to send the request to a backend server; 0: none. In a
  // record from a collection: id of the VM that may have sent the request.
  std::uint64_t grant_holder = 0;
  NodeId holder;  // Stores, or is asked to store, the second record.
  // VMs to notify with a Done message when the request has its final answer.
  absl::InlinedVector<NodeId, 2> done_recipients;
  EndpointId endpoint;               // Of the latest placement.
  std::uint64_t exchange_token = 0;  // CoAP token sent to the backend server;
                                     // 0: no exchange is open.
  std::uint64_t answer_key = 0;      // Hash of caller, service, path and query.
  std::uint64_t expected_etag_hash = 0;  // Of a blockwise answer; 0: none.
  std::uint32_t block_number = 0;        // Requested with Block2.

  std::vector<std::uint8_t> request;  // The caller's datagram; cleared at the
                                      // end of the request.
  std::vector<std::uint8_t> answer;   // kFinished; empty if it was evicted or
                                      // is stored on another VM only.
};

// True if this VM is responsible for answering the request.
inline bool IsResponsible(const RequestRecord& record) {
  return record.state != RequestState::kHeld &&
         record.state != RequestState::kFinished;
}

// Moves the record along its chart. Throws Error kInternal if the chart has no
// transition for the event in the record's state.
void Advance(RequestRecord& record, RequestEvent event);

// Returns the value of the RequestId option. Without that option, or if it is
// 0, derives the id from the caller and the datagram, so that a resend of the
// same bytes has the same id on every VM. The result is never 0.
RequestId ComputeRequestId(SocketAddress caller, const CoapMessage& message,
                           ByteSpan datagram);

// Returns a hash of method, options and payload. Excludes the Deadline and
// Issued options, which a resend may change.
std::uint64_t ComputeFingerprint(const CoapMessage& message);

}  // namespace vanillalatch

#endif  // VANILLALATCH_REQUEST_REQUEST_RECORD_H_
