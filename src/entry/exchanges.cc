// Requests on their way to backend servers, and the answers that come back.
#include <algorithm>
#include <limits>
#include <utility>

#include "src/entry/entry_node_impl.h"

namespace vanillalatch::internal {
namespace {

std::uint64_t MessageKey(SocketAddress address, std::uint16_t message_id) {
  return (address.Packed() << 16) | message_id;
}

bool IsServerError(CoapCode code) { return code >= MakeCoapCode(5, 0); }

}  // namespace

void EntryNodeImpl::SendToBackend(RequestRecord& record) {
  ServiceState& service = *FindService(record.service);
  const Endpoint* endpoint = registry_->Find(record.endpoint);
  // The address may belong to another service's endpoint by now.
  if (endpoint == nullptr || !IsOfService(record.endpoint, service)) {
    LeaveScheduler(service, record, WorkOutcome::kCancelled);
    Park(record, Duration::zero());
    RunVerdicts();
    return;
  }
  Advance(record, RequestEvent::kSend);
  ++record.attempts;
  ++record.unsettled;
  record.exchange = next_exchange_++;
  std::uint16_t& next_id =
      message_ids_.try_emplace(endpoint->id, next_message_id_).first->second;
  const std::uint16_t message_id = next_id++;
  exchanges_[record.exchange] = {record.id, endpoint->id, endpoint->address,
                                 message_id};
  exchange_messages_[MessageKey(endpoint->address, message_id)] =
      record.exchange;
  BuildForBackend(record, message_id);
  out_->Add(SocketRole::kBackend, endpoint->address, buffer_);
  const bool may_retry = record.idempotent && record.attempts < kMaxAttempts;
  records_.WakeAt(record, may_retry
                              ? now_ + (record.deadline - now_) / kAttemptShare
                              : record.deadline);
  Note(record.id, record.attempts > 1 ? HopEvent::kRetried : HopEvent::kPlaced,
       endpoint->id.value());
}

// The caller's message with our message id and token, what is left of the
// deadline, and the request's identity. Options go out in the order of their
// numbers.
void EntryNodeImpl::BuildForBackend(const RequestRecord& record,
                                    std::uint16_t message_id) {
  const CoapMessage& message = *parsers_.stored.Parse(record.request);
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(
      std::max(record.deadline - now_, Duration::zero()));
  buffer_.clear();
  CoapBuilder builder(buffer_, CoapType::kConfirmable, message.code, message_id,
                      CoapToken::FromInteger(record.exchange));
  CoapOption written = 0;
  const auto write_ours_below = [&](std::uint32_t number) {
    if (written < kOptionDeadline && kOptionDeadline < number) {
      builder.UintOption(kOptionDeadline,
                         static_cast<std::uint64_t>(left.count()));
      written = kOptionDeadline;
    }
    if (written < kOptionRequestId && kOptionRequestId < number) {
      builder.Option(kOptionRequestId,
                     CoapToken::FromInteger(record.id.value()).span());
      written = kOptionRequestId;
    }
  };
  for (const CoapMessage::OptionValue& it : message.options()) {
    if (it.number == kOptionDeadline || it.number == kOptionRequestId) {
      continue;
    }
    write_ours_below(it.number);
    builder.Option(it.number, it.value);
  }
  write_ours_below(std::numeric_limits<std::uint32_t>::max());
  builder.Payload(message.payload);
}

void EntryNodeImpl::OnBackend(const Datagram& datagram) {
  const CoapMessage* message = parsers_.incoming.Parse(datagram.bytes);
  if (message == nullptr) {
    ++counters_.malformed;
    return;
  }
  if (message->IsRequest()) {
    OnBackendRequest(datagram, *message);
  } else if (message->IsResponse()) {
    OnBackendAnswer(datagram, *message);
  } else if (message->type == CoapType::kReset) {
    OnBackendReset(datagram, *message);
  } else if (message->type == CoapType::kConfirmable) {
    ReplyEmpty(SocketRole::kBackend, datagram.from, CoapType::kReset,
               message->message_id);
  }
}

// Matched by our token and the address that was asked: everything else is
// late, doubled or crossed.
void EntryNodeImpl::OnBackendAnswer(const Datagram& datagram,
                                    const CoapMessage& message) {
  const auto it = message.token.size == message.token.bytes.size()
                      ? exchanges_.find(message.token.ToInteger())
                      : exchanges_.end();
  const bool known =
      it != exchanges_.end() && it->second.address == datagram.from;
  if (message.type == CoapType::kConfirmable) {
    ReplyEmpty(SocketRole::kBackend, datagram.from,
               known ? CoapType::kAck : CoapType::kReset, message.message_id);
  }
  RequestRecord* record = known ? records_.Find(it->second.request) : nullptr;
  if (record == nullptr) {
    ++counters_.dropped_answers;
    const Endpoint* from = registry_->FindByAddress(datagram.from);
    Note(RequestId{}, HopEvent::kDropped,
         from == nullptr ? 0 : from->id.value());
    return;
  }
  TakeAnswer(*record, message, datagram.bytes);
}

// The backend server rejects the message: whether it ran is not known.
void EntryNodeImpl::OnBackendReset(const Datagram& datagram,
                                   const CoapMessage& message) {
  const auto it =
      exchange_messages_.find(MessageKey(datagram.from, message.message_id));
  if (it == exchange_messages_.end()) {
    return;
  }
  RequestRecord* record = records_.Find(exchanges_.at(it->second).request);
  CloseExchange(*record, false);
  if (!Retry(*record, WorkOutcome::kFailed)) {
    GiveUp(*record, LateKind(*record), kRetryLater);
  }
}

void EntryNodeImpl::TakeAnswer(RequestRecord& record,
                               const CoapMessage& message, ByteSpan bytes) {
  ServiceState& service = *FindService(record.service);
  CloseExchange(record, false);
  const bool shed = message.code == kCoapUnavailable;
  if (shed) {
    --record.unsettled;  // It says itself that it did not run it.
    if (Retry(record, WorkOutcome::kRefused)) {
      return;
    }
  }
  if (!CheckBlocks(service, record, message)) {
    GiveUp(record, ErrorKind::kAnswerBroken, kRetryLater);
    return;
  }
  LeaveScheduler(service, record,
                 shed                          ? WorkOutcome::kRefused
                 : IsServerError(message.code) ? WorkOutcome::kFailed
                                               : WorkOutcome::kAnswered);
  ++counters_.answered;
  Note(record.id, HopEvent::kAnswered, message.code);
  Conclude(record, {bytes.begin(), bytes.end()});
}

// Sends the request once more, to another endpoint, if that is allowed: it may
// be repeated or did not run, no flow or answer binds it, there is time, and
// the budget for retries has room. The exchange must be closed.
bool EntryNodeImpl::Retry(RequestRecord& record, WorkOutcome outcome) {
  ServiceState& service = *FindService(record.service);
  const bool bound = service.has_sessions() || record.block > 0;
  const bool harmless = record.idempotent || record.unsettled == 0;
  if (bound || !harmless || record.attempts >= kMaxAttempts ||
      now_ >= record.deadline || !service.scheduler->TakeRetry(now_)) {
    return false;
  }
  ++counters_.retried;
  LeaveScheduler(service, record, outcome);
  Park(record, Duration::zero());
  Route(record);
  RunVerdicts();
  return true;
}

// The time for one try is over. Without a retry, the answer may still come
// until the deadline.
void EntryNodeImpl::AttemptFailed(RequestRecord& record) {
  const std::uint64_t exchange = record.exchange;
  if (now_ >= record.deadline) {
    GiveUp(record, LateKind(record), kRetryLater);
  } else if (Retry(record, WorkOutcome::kTimedOut)) {
    CloseExchangeOf(exchange, true);
  } else {
    records_.WakeAt(record, record.deadline);
  }
}

void EntryNodeImpl::CloseExchange(RequestRecord& record, bool tell_backend) {
  const std::uint64_t exchange = std::exchange(record.exchange, 0);
  if (exchange != 0) {
    CloseExchangeOf(exchange, tell_backend);
  }
}

// Answers to it are dropped from now on; a reset asks the backend server to
// stop working at it.
void EntryNodeImpl::CloseExchangeOf(std::uint64_t token, bool tell_backend) {
  const auto it = exchanges_.find(token);
  if (it == exchanges_.end()) {
    return;
  }
  const Exchange& exchange = it->second;
  if (tell_backend) {
    ReplyEmpty(SocketRole::kBackend, exchange.address, CoapType::kReset,
               exchange.message_id);
  }
  exchange_messages_.erase(MessageKey(exchange.address, exchange.message_id));
  exchanges_.erase(it);
}

void EntryNodeImpl::ReplyEmpty(SocketRole socket, SocketAddress to,
                               CoapType type, std::uint16_t message_id) {
  buffer_.clear();
  CoapBuilder(buffer_, type, kCoapEmpty, message_id, CoapToken{});
  out_->Add(socket, to, buffer_);
}

}  // namespace vanillalatch::internal
