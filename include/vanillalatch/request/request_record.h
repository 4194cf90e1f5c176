// One request as one entry VM knows it, and the chart of its life.
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

// The states and events of charts/request.json.
enum class RequestState : std::uint8_t {
  kHeld,
  kParked,
  kQueued,
  kPlaced,
  kSent,
  kFinished,
};

enum class RequestEvent : std::uint8_t {
  kTake,
  kSubmit,
  kPlace,
  kSend,
  kPark,
  kHandOver,
  kFinish,
};

struct RequestRecord {
  RequestId id;
  SocketAddress caller;
  ServiceId service;
  ClassId work_class;
  // Of everything that a resend repeats; tells apart requests that claim the
  // same id.
  std::uint64_t fingerprint = 0;
  RequestState state = RequestState::kHeld;
  bool idempotent = true;
  bool orphaned = false;  // A VM that had the duty is lost.
  // The answer says "not run": it is sent once nobody else may run it.
  bool answer_due = false;
  bool says_not_run = false;     // kFinished: what the answer says.
  bool granted = false;          // A second record is held for this VM.
  bool acknowledged = false;     // By `next`.
  bool adopted = false;          // Counted in a slot for another dispatcher.
  std::uint8_t sends = 0;        // Of the message to a peer that is repeated.
  std::uint8_t pin_queries = 0;  // Times that its flow was asked about.
  bool new_flow = false;         // Its flow was pinned by this request.
  std::uint8_t attempts = 0;     // Times that it was sent to a backend server.
  // Sends that may have run: without an answer that says otherwise.
  std::uint8_t unsettled = 0;
  std::uint32_t hops = 0;  // Times that the duty to answer was handed on.

  // What the caller's latest datagram of this request asks to be answered.
  CoapType type = CoapType::kConfirmable;
  std::uint16_t message_id = 0;
  CoapToken token;

  TimePoint received;
  TimePoint deadline = kNever;
  TimePoint issued = kNever;   // As the caller says; kNever: it does not.
  TimePoint wake = kNever;     // Next time that something is to be done.
  TimePoint expires = kNever;  // kFinished: to be forgotten.

  NodeId next;  // kHeld: the VM that has the duty.
  // The incarnation of `next` that the duty was handed to; 0: not known.
  std::uint64_t next_incarnation = 0;
  std::uint64_t grantee = 0;  // Dispatcher that may have sent it; 0: none.
  NodeId holder;              // Holds, or is asked for, the second record.
  // The VMs that wait to hear that the request has its final answer.
  absl::InlinedVector<NodeId, 2> tell;
  EndpointId endpoint;           // Of the latest placing.
  std::uint64_t exchange = 0;    // Token of the open exchange; 0: none.
  std::uint64_t answer_key = 0;  // Caller and path: of an answer in blocks.
  std::uint64_t answer_tag = 0;  // Hash of the ETag that must come.
  std::uint32_t block = 0;       // Number of the block that is asked for.

  std::vector<std::uint8_t> request;  // As the caller sent it; open only.
  std::vector<std::uint8_t> answer;   // kFinished; may be dropped early.
};

// True if this VM has the duty to answer the request.
inline bool HasDuty(const RequestRecord& record) {
  return record.state != RequestState::kHeld &&
         record.state != RequestState::kFinished;
}

// Moves the record along its chart. Throws Error kInternal if the event has
// no meaning in the record's state.
void Advance(RequestRecord& record, RequestEvent event);

// The identity of a caller's request: its RequestId option, else derived from
// the caller and the datagram, so that a resend of the same bytes has the same
// identity on every VM.
RequestId IdentityOf(SocketAddress caller, const CoapMessage& message,
                     ByteSpan datagram);

// Hash of method, options (without deadline and time of issue) and payload.
std::uint64_t FingerprintOf(const CoapMessage& message);

}  // namespace vanillalatch

#endif  // VANILLALATCH_REQUEST_REQUEST_RECORD_H_
