// Handles messages of callers: requests, resends, pings and cancellations.
#include <algorithm>
#include <cmath>

#include "src/entry/entry_node_impl.h"
#include "src/entry/paths.h"
#include "vanillalatch/base/hash.h"
#include "vanillalatch/catalog/catalog_file.h"
#include "vanillalatch/placement/rendezvous.h"

namespace vanillalatch::internal {
namespace {

constexpr CoapCode kMaxSupportedMethod = kCoapDelete;

// Returns the value of the Max-Age option: whole seconds, at least one.
std::uint64_t MaxAge(Duration retry_after) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
  return std::max<std::int64_t>(1, seconds.count());
}

}  // namespace

void EntryNodeImpl::OnCallerDatagram(const Datagram& datagram) {
  const CoapMessage* message = parsers_.incoming.Parse(datagram.bytes);
  if (message == nullptr) {
    ++counters_.malformed;
    return;
  }
  if (message->code == kCoapEmpty) {
    if (message->type == CoapType::kConfirmable) {
      SendEmptyMessage(SocketRole::kCaller, datagram.from, CoapType::kReset,
                       message->message_id);
    } else if (message->type == CoapType::kReset) {
      CancelMessage(datagram.from, message->message_id);
    }
    return;
  }
  const bool is_request_type = message->type == CoapType::kConfirmable ||
                               message->type == CoapType::kNonConfirmable;
  if (!message->IsRequest() || !is_request_type) {
    ++counters_.malformed;
    return;
  }
  OnCallerRequest(datagram, *message);
}

void EntryNodeImpl::OnCallerRequest(const Datagram& datagram,
                                    const CoapMessage& message) {
  if (message.HasUnknownCriticalOption() ||
      message.code > kMaxSupportedMethod) {
    Refuse(datagram.from, message, ErrorKind::kUnsupported, Duration::zero());
    return;
  }
  const RequestId id = ComputeRequestId(datagram.from, message, datagram.bytes);
  if (RequestRecord* existing = records_.Find(id)) {
    OnResend(*existing, message, datagram);
    return;
  }
  const ServiceState* service = FindService(message.UriHost());
  if (service == nullptr) {
    const auto deleted = deleted_services_.find(message.UriHost());
    const bool ran_before = deleted != deleted_services_.end() &&
                            now_ < deleted->second + options_.exchange_lifetime;
    Refuse(datagram.from, message,
           ran_before && MayBeResend(message) ? ErrorKind::kOutcomeUnknown
                                              : ErrorKind::kNotFound,
           Duration::zero());
    return;
  }
  RequestRecord* record = records_.Insert(id, now_);
  if (record == nullptr) {
    Refuse(datagram.from, message,
           MayBeResend(message) ? ErrorKind::kOutcomeUnknown
                                : ErrorKind::kOverloaded,
           kRetryAfter);
    return;
  }
  record->caller = datagram.from;
  FillFromDatagram(*record, *service, message, datagram.bytes);
  const auto remaining = message.UintOption(kOptionDeadline);
  record->deadline =
      now_ + (remaining
                  ? std::min<Duration>(std::chrono::milliseconds(*remaining),
                                       kMaxDeadline)
                  : options_.backend_timeout);
  RecordHop(id, HopEvent::kReceived, datagram.from.Packed());
  Route(*record);
}

// True if the request, of which this VM has no record, must not be answered as
// "not run": it is not idempotent and may be a resend of one that ran through
// another VM. A request that was issued just now is no resend.
bool EntryNodeImpl::MayBeResend(const CoapMessage& message) const {
  const TimePoint issued = IssueTime(message);
  return !message.IsIdempotent() &&
         (issued == kNever || issued + kMaxFreshRequestAge < now_);
}

// Returns kNever if the message has no Issued option.
TimePoint EntryNodeImpl::IssueTime(const CoapMessage& message) const {
  const auto issued = message.UintOption(kOptionIssued);
  return issued
             ? TimePoint(std::chrono::milliseconds(
                   static_cast<std::int64_t>(*issued) - options_.unix_epoch_ms))
             : kNever;
}

// Fills in the fields of the record that the request datagram determines.
void EntryNodeImpl::FillFromDatagram(RequestRecord& record,
                                     const ServiceState& service,
                                     const CoapMessage& message,
                                     ByteSpan datagram) {
  record.service = service.id();
  const pb::ClassTarget* target =
      FindClassByPath(service.config, message.UriPath());
  record.work_class = ClassId{target == nullptr ? 0 : target->id()};
  record.fingerprint = ComputeFingerprint(message);
  record.idempotent = message.IsIdempotent();
  record.type = message.type;
  record.message_id = message.message_id;
  record.token = message.token;
  record.request.assign(datagram.begin(), datagram.end());
  record.issued = IssueTime(message);
  const std::optional<CoapBlock> block = message.Block(kOptionBlock2);
  record.answer_key =
      StableHash(StableHash(record.caller.Packed(), service.id().value()),
                 StableHash(PathAndQuery(message)));
  record.block_number = block ? block->number : 0;
  records_.IndexMessage(record);
}

// Handles a resend: it never runs the request a second time. Refuses a
// different request that carries the same id.
void EntryNodeImpl::OnResend(RequestRecord& record, const CoapMessage& message,
                             const Datagram& datagram) {
  if (record.fingerprint != ComputeFingerprint(message)) {
    Refuse(datagram.from, message, ErrorKind::kInvalidArgument,
           Duration::zero());
    return;
  }
  record.caller = datagram.from;
  record.type = message.type;
  record.message_id = message.message_id;
  record.token = message.token;
  records_.IndexMessage(record);
  if (record.answer_deferred) {
    return;
  }
  if (record.state == RequestState::kFinished && !record.answer.empty()) {
    ++counters_.replayed;
    RecordHop(record.id, HopEvent::kReplayed, record.answer[1]);
    AnswerCaller(record);
    return;
  }
  if (record.state == RequestState::kFinished) {
    RequestReplay(record, datagram);
  } else if (record.state == RequestState::kHeld) {
    record.request.assign(datagram.bytes.begin(), datagram.bytes.end());
    SendHandover(record);
  }
}

// Asks the dispatcher for the answer of a finished request, which this VM does
// not store. If this VM is the dispatcher, the answer is lost.
void EntryNodeImpl::RequestReplay(const RequestRecord& record,
                                  const Datagram& datagram) {
  const std::optional<NodeId> to =
      DispatcherOf(record.service, members_->members(), 0);
  if (!to || *to == self_) {
    const ErrorKind kind = ErrorKind::kOutcomeUnknown;
    const CoapMessage* message = parsers_.incoming.Parse(datagram.bytes);
    Refuse(datagram.from, *message, kind, kRetryAfter);
    return;
  }
  pb::RequestMessage message;
  pb::Handover& handover = *message.mutable_handover();
  FillHandover(record, handover);
  handover.set_datagram(datagram.bytes.data(), datagram.bytes.size());
  handover.set_maybe_sent(true);
  handover.set_hops(record.hops + 1);
  SendToPeer(*to, message);
}

// Sends the stored answer with the message id and token of the latest resend.
void EntryNodeImpl::AnswerCaller(const RequestRecord& record) {
  buffer_.clear();
  const bool confirmable = record.type == CoapType::kConfirmable;
  RewriteCoapHeader(record.answer,
                    confirmable ? CoapType::kAck : CoapType::kNonConfirmable,
                    confirmable ? record.message_id : next_message_id_++,
                    record.token, buffer_);
  out_->Add(SocketRole::kCaller, record.caller, buffer_);
}

std::vector<std::uint8_t> EntryNodeImpl::BuildErrorAnswer(
    ErrorKind kind, Duration retry_after) {
  const ErrorAnswer& row = AnswerFor(kind);
  std::vector<std::uint8_t> bytes;
  CoapBuilder builder(bytes, CoapType::kAck, row.coap_code, 0, CoapToken{});
  if (retry_after > Duration::zero()) {
    builder.UintOption(kOptionMaxAge, MaxAge(retry_after));
  }
  std::string text(row.name);
  text.append(": ").append(row.text);
  builder.Payload(
      {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
  return bytes;
}

// Refuses a request that has no record here.
void EntryNodeImpl::Refuse(SocketAddress to, const CoapMessage& request,
                           ErrorKind kind, Duration retry_after) {
  ++(AnswerFor(kind).not_run ? counters_.refused : counters_.given_up);
  RequestRecord error_record;
  error_record.caller = to;
  error_record.type = request.type;
  error_record.message_id = request.message_id;
  error_record.token = request.token;
  error_record.answer = BuildErrorAnswer(kind, retry_after);
  AnswerCaller(error_record);
}

// Cancels a request that the caller reset. A CoAP reset carries only the
// message id, so without a record this VM notifies the dispatchers of all
// services.
void EntryNodeImpl::CancelMessage(SocketAddress caller,
                                  std::uint16_t message_id) {
  RequestRecord* record = records_.FindByMessage(caller, message_id);
  if (record != nullptr && IsResponsible(*record)) {
    CancelRequest(*record);
    return;
  }
  pb::RequestMessage message;
  message.mutable_cancel()->set_caller(caller.Packed());
  message.mutable_cancel()->set_message_id(message_id);
  if (record != nullptr && record->state == RequestState::kHeld) {
    SendToPeer(record->responsible_vm, message);
    return;
  }
  std::set<NodeId> dispatchers;
  for (const auto& [id, service] : services_) {
    dispatchers.insert(service.dispatcher);
  }
  for (const NodeId it : dispatchers) {
    if (it != self_ && it != NodeId{}) {
      SendToPeer(it, message);
    }
  }
}

void EntryNodeImpl::CancelRequest(RequestRecord& record) {
  ServiceState* service = FindService(record.service);
  CloseExchange(record, true);
  if (service != nullptr) {
    ReleaseFromScheduler(*service, record, WorkOutcome::kCancelled);
  }
  RecordHop(record.id, HopEvent::kGivenUp,
            static_cast<std::uint64_t>(ErrorKind::kCancelled));
  ++counters_.given_up;
  record.answer = {};
  records_.Finish(record, now_,
                  BuildErrorAnswer(ErrorKind::kCancelled, Duration::zero()));
  SendDone(record);
  ApplyVerdicts();
}

}  // namespace vanillalatch::internal
