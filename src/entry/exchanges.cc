// CoAP exchanges with backend servers: sends requests and handles the answers.
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
  // The endpoint may be gone, and its address may belong to another service.
  if (endpoint == nullptr || !IsLiveEndpointOf(record.endpoint, service)) {
    ReleaseFromScheduler(service, record, WorkOutcome::kCancelled);
    Park(record, Duration::zero());
    ApplyVerdicts();
    return;
  }
  Advance(record, RequestEvent::kSend);
  ++record.attempts;
  ++record.possible_runs;
  record.exchange_token = next_exchange_token_++;
  std::uint16_t& next_id =
      next_message_ids_.try_emplace(endpoint->id, next_message_id_)
          .first->second;
  const std::uint16_t message_id = next_id++;
  exchanges_[record.exchange_token] = {record.id, endpoint->id,
                                       endpoint->address, message_id};
  exchanges_by_message_[MessageKey(endpoint->address, message_id)] =
      record.exchange_token;
  BuildBackendRequest(record, message_id);
  out_->Add(SocketRole::kBackend, endpoint->address, buffer_);
  const bool may_retry =
      record.idempotent && record.attempts < kMaxBackendAttempts;
  records_.WakeAt(record, may_retry ? now_ + (record.deadline - now_) /
                                                 kAttemptTimeoutDivisor
                                    : record.deadline);
  RecordHop(record.id,
            record.attempts > 1 ? HopEvent::kRetried : HopEvent::kPlaced,
            endpoint->id.value());
}

// Builds the caller's message with this VM's message id and token, the
// remaining time until the deadline and the request id. Writes the options in
// the order of their numbers, as CoAP requires.
void EntryNodeImpl::BuildBackendRequest(const RequestRecord& record,
                                        std::uint16_t message_id) {
  const CoapMessage& message = *parsers_.stored.Parse(record.request);
  const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(
      std::max(record.deadline - now_, Duration::zero()));
  buffer_.clear();
  CoapBuilder builder(buffer_, CoapType::kConfirmable, message.code, message_id,
                      CoapToken::FromInteger(record.exchange_token));
  CoapOption last_written = 0;
  const auto write_own_options_below = [&](std::uint32_t number) {
    if (last_written < kOptionDeadline && kOptionDeadline < number) {
      builder.UintOption(kOptionDeadline,
                         static_cast<std::uint64_t>(remaining.count()));
      last_written = kOptionDeadline;
    }
    if (last_written < kOptionRequestId && kOptionRequestId < number) {
      builder.Option(kOptionRequestId,
                     CoapToken::FromInteger(record.id.value()).span());
      last_written = kOptionRequestId;
    }
  };
  for (const CoapMessage::OptionValue& it : message.options()) {
    if (it.number == kOptionDeadline || it.number == kOptionRequestId) {
      continue;
    }
    write_own_options_below(it.number);
    builder.Option(it.number, it.value);
  }
  write_own_options_below(std::numeric_limits<std::uint32_t>::max());
  builder.Payload(message.payload);
}

void EntryNodeImpl::OnBackendDatagram(const Datagram& datagram) {
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
    SendEmptyMessage(SocketRole::kBackend, datagram.from, CoapType::kReset,
                     message->message_id);
  }
}

// Matches an answer to its exchange by token and sender address. Any other
// answer is late, duplicated or misdirected, and is dropped.
void EntryNodeImpl::OnBackendAnswer(const Datagram& datagram,
                                    const CoapMessage& message) {
  const auto it = message.token.size == message.token.bytes.size()
                      ? exchanges_.find(message.token.ToInteger())
                      : exchanges_.end();
  const bool matches =
      it != exchanges_.end() && it->second.address == datagram.from;
  if (message.type == CoapType::kConfirmable) {
    SendEmptyMessage(SocketRole::kBackend, datagram.from,
                     matches ? CoapType::kAck : CoapType::kReset,
                     message.message_id);
  }
  RequestRecord* record = matches ? records_.Find(it->second.request) : nullptr;
  if (record == nullptr) {
    ++counters_.dropped_answers;
    const Endpoint* from = registry_->FindByAddress(datagram.from);
    RecordHop(RequestId{}, HopEvent::kDropped,
              from == nullptr ? 0 : from->id.value());
    return;
  }
  AcceptAnswer(*record, message, datagram.bytes);
}

// Handles a reset: the backend server rejected the message. Whether the request
// ran is unknown.
void EntryNodeImpl::OnBackendReset(const Datagram& datagram,
                                   const CoapMessage& message) {
  const auto it =
      exchanges_by_message_.find(MessageKey(datagram.from, message.message_id));
  if (it == exchanges_by_message_.end()) {
    return;
  }
  RequestRecord* record = records_.Find(exchanges_.at(it->second).request);
  CloseExchange(*record, false);
  if (!RetryIfAllowed(*record, WorkOutcome::kFailed)) {
    GiveUp(*record, TimeoutErrorKind(*record), kRetryAfter);
  }
}

void EntryNodeImpl::AcceptAnswer(RequestRecord& record,
                                 const CoapMessage& message, ByteSpan bytes) {
  ServiceState& service = *FindService(record.service);
  CloseExchange(record, false);
  const bool shed = message.code == kCoapUnavailable;
  if (shed) {
    // The backend server states that it did not run the request.
    --record.possible_runs;
    if (RetryIfAllowed(record, WorkOutcome::kRefused)) {
      return;
    }
  }
  if (!TrackBlocks(service, record, message)) {
    GiveUp(record, ErrorKind::kAnswerBroken, kRetryAfter);
    return;
  }
  ReleaseFromScheduler(service, record,
                       shed                          ? WorkOutcome::kRefused
                       : IsServerError(message.code) ? WorkOutcome::kFailed
                                                     : WorkOutcome::kAnswered);
  ++counters_.answered;
  RecordHop(record.id, HopEvent::kAnswered, message.code);
  FinishAndAnswer(record, {bytes.begin(), bytes.end()});
}

// Routes the request again, if possible to another endpoint, and returns true
// if a retry is allowed: it is idempotent or did not run, neither a flow nor a
// blockwise answer binds it to its endpoint, time is left and the retry budget
// permits it. The caller must have closed the exchange, or closes it
// afterwards.
bool EntryNodeImpl::RetryIfAllowed(RequestRecord& record, WorkOutcome outcome) {
  ServiceState& service = *FindService(record.service);
  const bool is_bound = service.has_sessions() || record.block_number > 0;
  const bool may_run_again = record.idempotent || record.possible_runs == 0;
  if (is_bound || !may_run_again || record.attempts >= kMaxBackendAttempts ||
      now_ >= record.deadline || !service.scheduler->TakeRetry(now_)) {
    return false;
  }
  ++counters_.retried;
  ReleaseFromScheduler(service, record, outcome);
  Park(record, Duration::zero());
  Route(record);
  ApplyVerdicts();
  return true;
}

// Handles the end of the time for one attempt. Without a retry, the answer may
// still arrive until the deadline.
void EntryNodeImpl::OnAttemptTimeout(RequestRecord& record) {
  const std::uint64_t token = record.exchange_token;
  if (now_ >= record.deadline) {
    GiveUp(record, TimeoutErrorKind(record), kRetryAfter);
  } else if (RetryIfAllowed(record, WorkOutcome::kTimedOut)) {
    CloseExchangeByToken(token, true);
  } else {
    records_.WakeAt(record, record.deadline);
  }
}

void EntryNodeImpl::CloseExchange(RequestRecord& record, bool notify_backend) {
  const std::uint64_t token = std::exchange(record.exchange_token, 0);
  if (token != 0) {
    CloseExchangeByToken(token, notify_backend);
  }
}

// Closes an exchange. Later answers to it are dropped. If `notify_backend` is
// true, a CoAP reset asks the backend server to stop the work.
void EntryNodeImpl::CloseExchangeByToken(std::uint64_t token,
                                         bool notify_backend) {
  const auto it = exchanges_.find(token);
  if (it == exchanges_.end()) {
    return;
  }
  const Exchange& exchange = it->second;
  if (notify_backend) {
    SendEmptyMessage(SocketRole::kBackend, exchange.address, CoapType::kReset,
                     exchange.message_id);
  }
  exchanges_by_message_.erase(
      MessageKey(exchange.address, exchange.message_id));
  exchanges_.erase(it);
}

void EntryNodeImpl::SendEmptyMessage(SocketRole socket, SocketAddress to,
                                     CoapType type, std::uint16_t message_id) {
  buffer_.clear();
  CoapBuilder(buffer_, type, kCoapEmpty, message_id, CoapToken{});
  out_->Add(socket, to, buffer_);
}

}  // namespace vanillalatch::internal
