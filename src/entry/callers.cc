// What callers send: requests, resends of them, pings and cancellations.
#include <algorithm>
#include <cmath>

#include "src/entry/entry_node_impl.h"
#include "src/entry/paths.h"
#include "vanillalatch/base/hash.h"
#include "vanillalatch/catalog/catalog_file.h"
#include "vanillalatch/placement/rendezvous.h"

namespace vanillalatch::internal {
namespace {

constexpr CoapCode kLastKnownMethod = kCoapDelete;

// Whole seconds, at least one.
std::uint64_t MaxAge(Duration retry_after) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
  return std::max<std::int64_t>(1, seconds.count());
}

}  // namespace

void EntryNodeImpl::OnCaller(const Datagram& datagram) {
  const CoapMessage* message = parsers_.incoming.Parse(datagram.bytes);
  if (message == nullptr) {
    ++counters_.malformed;
    return;
  }
  if (message->code == kCoapEmpty) {
    if (message->type == CoapType::kConfirmable) {
      ReplyEmpty(SocketRole::kCaller, datagram.from, CoapType::kReset,
                 message->message_id);
    } else if (message->type == CoapType::kReset) {
      CancelMessage(datagram.from, message->message_id);
    }
    return;
  }
  const bool wanted = message->type == CoapType::kConfirmable ||
                      message->type == CoapType::kNonConfirmable;
  if (!message->IsRequest() || !wanted) {
    ++counters_.malformed;
    return;
  }
  OnCallerRequest(datagram, *message);
}

void EntryNodeImpl::OnCallerRequest(const Datagram& datagram,
                                    const CoapMessage& message) {
  if (message.HasUnknownCriticalOption() || message.code > kLastKnownMethod) {
    Refuse(datagram.from, message, ErrorKind::kUnsupported, Duration::zero());
    return;
  }
  const ServiceState* service = FindService(message.UriHost());
  if (service == nullptr) {
    Refuse(datagram.from, message, ErrorKind::kNotFound, Duration::zero());
    return;
  }
  const RequestId id = IdentityOf(datagram.from, message, datagram.bytes);
  if (RequestRecord* known = records_.Find(id)) {
    OnResend(*known, message, datagram);
    return;
  }
  RequestRecord* record = records_.Insert(id, now_);
  if (record == nullptr) {
    Refuse(datagram.from, message, ErrorKind::kOverloaded, kRetryLater);
    return;
  }
  record->caller = datagram.from;
  Describe(*record, *service, message, datagram.bytes);
  const auto left = message.UintOption(kOptionDeadline);
  record->deadline =
      now_ + (left ? std::min<Duration>(std::chrono::milliseconds(*left),
                                        kLongestDeadline)
                   : options_.backend_timeout);
  Note(id, HopEvent::kReceived, datagram.from.Packed());
  Route(*record);
}

// Fills in what the datagram says about its request.
void EntryNodeImpl::Describe(RequestRecord& record, const ServiceState& service,
                             const CoapMessage& message, ByteSpan datagram) {
  record.service = service.id();
  const pb::ClassTarget* target =
      FindClassByPath(service.config, message.UriPath());
  record.work_class = ClassId{target == nullptr ? 0 : target->id()};
  record.fingerprint = FingerprintOf(message);
  record.idempotent = message.IsIdempotent();
  record.type = message.type;
  record.message_id = message.message_id;
  record.token = message.token;
  record.request.assign(datagram.begin(), datagram.end());
  if (const auto issued = message.UintOption(kOptionIssued)) {
    record.issued = TimePoint(std::chrono::milliseconds(
        static_cast<std::int64_t>(*issued) - options_.unix_epoch_ms));
  }
  const std::optional<CoapBlock> block = message.Block(kOptionBlock2);
  record.answer_key =
      StableHash(StableHash(record.caller.Packed(), service.id().value()),
                 StableHash(PathAndQuery(message)));
  record.block = block ? block->number : 0;
  records_.IndexMessage(record);
}

// The same request again: never a second run. A request that claims the
// identity of another one is refused.
void EntryNodeImpl::OnResend(RequestRecord& record, const CoapMessage& message,
                             const Datagram& datagram) {
  if (record.fingerprint != FingerprintOf(message)) {
    Refuse(datagram.from, message, ErrorKind::kInvalidArgument,
           Duration::zero());
    return;
  }
  record.caller = datagram.from;
  record.type = message.type;
  record.message_id = message.message_id;
  record.token = message.token;
  records_.IndexMessage(record);
  if (record.answer_due) {
    return;
  }
  if (record.state == RequestState::kFinished && !record.answer.empty()) {
    ++counters_.replayed;
    Note(record.id, HopEvent::kReplayed, record.answer[1]);
    AnswerCaller(record);
    return;
  }
  if (record.state == RequestState::kFinished) {
    AskForReplay(record, datagram);
  } else if (record.state == RequestState::kHeld) {
    record.request.assign(datagram.bytes.begin(), datagram.bytes.end());
    SendHandover(record);
  }
}

// The answer is with the dispatcher, or lost with it.
void EntryNodeImpl::AskForReplay(const RequestRecord& record,
                                 const Datagram& datagram) {
  const std::optional<NodeId> to =
      DispatcherOf(record.service, members_->members(), 0);
  if (!to || *to == self_) {
    const ErrorKind kind = ErrorKind::kOutcomeUnknown;
    const CoapMessage* message = parsers_.incoming.Parse(datagram.bytes);
    Refuse(datagram.from, *message, kind, kRetryLater);
    return;
  }
  pb::RequestMessage message;
  pb::Handover& handover = *message.mutable_handover();
  FillHandover(record, handover);
  handover.set_datagram(datagram.bytes.data(), datagram.bytes.size());
  handover.set_maybe_sent(true);
  handover.set_hops(record.hops + 1);
  SendPeer(*to, message);
}

// Sends the recorded answer under the header that the caller waits for.
void EntryNodeImpl::AnswerCaller(const RequestRecord& record) {
  buffer_.clear();
  const bool confirmable = record.type == CoapType::kConfirmable;
  RewriteCoapHeader(record.answer,
                    confirmable ? CoapType::kAck : CoapType::kNonConfirmable,
                    confirmable ? record.message_id : next_message_id_++,
                    record.token, buffer_);
  out_->Add(SocketRole::kCaller, record.caller, buffer_);
}

std::vector<std::uint8_t> EntryNodeImpl::ErrorMessage(ErrorKind kind,
                                                      Duration retry_after) {
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

// Refuses a request of which no record is kept; it was not run.
void EntryNodeImpl::Refuse(SocketAddress to, const CoapMessage& request,
                           ErrorKind kind, Duration retry_after) {
  ++counters_.refused;
  RequestRecord shape;
  shape.caller = to;
  shape.type = request.type;
  shape.message_id = request.message_id;
  shape.token = request.token;
  shape.answer = ErrorMessage(kind, retry_after);
  AnswerCaller(shape);
}

// A reset names only the message: whoever dispatches may have the request.
void EntryNodeImpl::CancelMessage(SocketAddress caller,
                                  std::uint16_t message_id) {
  RequestRecord* record = records_.FindByMessage(caller, message_id);
  if (record != nullptr && HasDuty(*record)) {
    CancelRecord(*record);
    return;
  }
  pb::RequestMessage message;
  message.mutable_cancel()->set_caller(caller.Packed());
  message.mutable_cancel()->set_message_id(message_id);
  if (record != nullptr && record->state == RequestState::kHeld) {
    SendPeer(record->next, message);
    return;
  }
  std::set<NodeId> dispatchers;
  for (const auto& [id, service] : services_) {
    dispatchers.insert(service.dispatcher);
  }
  for (const NodeId it : dispatchers) {
    if (it != self_ && it != NodeId{}) {
      SendPeer(it, message);
    }
  }
}

void EntryNodeImpl::CancelRecord(RequestRecord& record) {
  ServiceState* service = FindService(record.service);
  CloseExchange(record, true);
  if (service != nullptr) {
    LeaveScheduler(*service, record, WorkOutcome::kCancelled);
  }
  Note(record.id, HopEvent::kGivenUp,
       static_cast<std::uint64_t>(ErrorKind::kCancelled));
  ++counters_.given_up;
  record.answer = {};
  records_.Finish(record, now_,
                  ErrorMessage(ErrorKind::kCancelled, Duration::zero()));
  SendDone(record);
  RunVerdicts();
}

}  // namespace vanillalatch::internal
