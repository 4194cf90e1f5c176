#include "src/standin/callers.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "src/standin/content.h"

namespace vanillalatch::standin {
namespace {

// The first resend follows after kAckTimeout times a random factor between 1
// and kAckRandomFactor. The interval doubles with each resend.
constexpr Duration kAckTimeout = std::chrono::milliseconds(500);
constexpr double kAckRandomFactor = 1.5;
// A call is given up at its deadline, but not earlier than this.
constexpr Duration kGiveUpAfter = std::chrono::seconds(10);
// A request's deadline is this multiple of its latency target, and at least
// kMinDeadline.
constexpr std::int64_t kDeadlineLatencyFactor = 8;
constexpr Duration kMinDeadline = std::chrono::seconds(2);
constexpr std::uint8_t kBlockSizeExponent = 6;  // Blocks of 1,024 bytes.
constexpr int kServerErrorClass = 5;            // Of the codes 5.xx.
constexpr CoapCode kBadGateway = MakeCoapCode(5, 2);

std::string_view PayloadText(const CoapMessage& message) {
  return {reinterpret_cast<const char*>(message.payload.data()),
          message.payload.size()};
}

ByteSpan Bytes(std::string_view text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

bool IsSuccess(CoapCode code) { return code >> 5 == 2; }

CallOutcome OutcomeOfError(CoapCode code) {
  if (code == kCoapUnavailable || code >> 5 < kServerErrorClass) {
    return CallOutcome::kRefused;
  }
  return code == kBadGateway ? CallOutcome::kBroken
                             : CallOutcome::kUnknownOutcome;
}

// Returns the ETag of `message`, or an empty vector if there is none.
std::vector<std::uint8_t> ETagOf(const CoapMessage& message) {
  const std::optional<ByteSpan> tag = message.Option(kOptionETag);
  return tag ? std::vector<std::uint8_t>(tag->begin(), tag->end())
             : std::vector<std::uint8_t>();
}

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace

Callers::Callers(CallerOptions options, TimePoint now, std::int64_t unix_ms)
    : options_(std::move(options)),
      random_(options_.seed),
      end_(now + options_.duration),
      next_arrival_(now),
      unix_ms_at_zero_(unix_ms - Milliseconds(now.time_since_epoch())),
      message_ids_(options_.flows),
      counters_(options_.kinds.size()) {}

void Callers::OnTick(TimePoint now, CallerOutbox& out) {
  std::exponential_distribution<double> intervals(options_.rate);
  while (next_arrival_ <= now && next_arrival_ < end_) {
    StartCall(next_arrival_, out, now);
    next_arrival_ += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(intervals(random_)));
  }
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const auto [at, token] = *timers_.begin();
    timers_.erase(timers_.begin());
    const auto it = calls_.find(token);
    if (it == calls_.end() || it->second.next_timer != at) {
      continue;
    }
    if (now >= it->second.give_up) {
      EndCall(now, token, CallOutcome::kUnanswered);
    } else {
      ++counters_[it->second.kind].resends;
      Send(now, token, it->second, out);
    }
  }
}

void Callers::StartCall(TimePoint intended, CallerOutbox& out, TimePoint now) {
  std::vector<double> weights;
  for (const RequestKind& it : options_.kinds) {
    weights.push_back(it.weight);
  }
  Call call;
  call.kind = std::discrete_distribution<std::size_t>(weights.begin(),
                                                      weights.end())(random_);
  call.flow = std::uniform_int_distribution<std::size_t>(
      0, options_.flows - 1)(random_);
  const Token token = random_();
  std::array<char, 17> key{};
  std::snprintf(key.data(), key.size(), "%016llx",
                static_cast<unsigned long long>(random_()));
  call.key = key.data();
  call.intended = intended;
  ++counters_[call.kind].sent;
  BuildRequest(now, token, call);
  Send(now, token, calls_[token] = std::move(call), out);
}

void Callers::BuildRequest(TimePoint now, Token token, Call& call) {
  const RequestKind& kind = options_.kinds[call.kind];
  const Duration deadline =
      std::max(kind.latency_target * kDeadlineLatencyFactor, kMinDeadline);
  const std::string_view path = kind.path;
  call.datagram.clear();
  CoapBuilder builder(call.datagram, CoapType::kConfirmable, kind.method,
                      ++message_ids_[call.flow], CoapToken::FromInteger(token));
  builder.Option(kOptionUriHost, kind.service)
      .Option(kOptionUriPath, path.substr(1));
  if (kind.method == kCoapGet) {
    builder.Option(kOptionUriQuery, "key=" + call.key);
  }
  if (kind.answer_bytes > 0) {
    builder.Option(kOptionUriQuery, "size=" + std::to_string(kind.answer_bytes))
        .BlockOption(kOptionBlock2, {call.block, false, kBlockSizeExponent});
  }
  builder
      .UintOption(kOptionDeadline,
                  static_cast<std::uint64_t>(Milliseconds(deadline)))
      .UintOption(kOptionIssued,
                  static_cast<std::uint64_t>(
                      unix_ms_at_zero_ + Milliseconds(now.time_since_epoch())));
  if (kind.method == kCoapPost) {
    builder.Payload(Bytes("key=" + call.key));
  }
  call.sends = 0;
  call.give_up = now + std::max(deadline, kGiveUpAfter);
  call.resend_after = std::chrono::duration_cast<Duration>(
      kAckTimeout *
      std::uniform_real_distribution<double>(1, kAckRandomFactor)(random_));
}

void Callers::Send(TimePoint now, Token token, Call& call, CallerOutbox& out) {
  call.last_entry = SampleEntry(call);
  out.items.push_back(
      {call.flow, options_.entry_addresses[call.last_entry], call.datagram});
  ++call.sends;
  call.next_timer = std::min(now + call.resend_after, call.give_up);
  call.resend_after *= 2;
  timers_.emplace(call.next_timer, token);
}

std::size_t Callers::SampleEntry(const Call& call) {
  const std::size_t count = options_.entry_addresses.size();
  if (call.sends == 0 || count == 1) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
  }
  // A step of 1 to count - 1 from the last entry VM reaches any other one.
  std::uniform_int_distribution<std::size_t> steps(1, count - 1);
  return (call.last_entry + steps(random_)) % count;
}

void Callers::EndCall(TimePoint now, Token token, CallOutcome outcome) {
  const Call& call = calls_.at(token);
  KindCounters& counters = counters_[call.kind];
  ++counters.outcomes.at(static_cast<std::size_t>(outcome));
  if (outcome == CallOutcome::kAnswered) {
    const Duration latency = now - call.intended;
    counters.latencies.push_back(latency);
    counters.within_target +=
        latency <= options_.kinds[call.kind].latency_target ? 1 : 0;
  }
  calls_.erase(token);
}

CallOutcome Callers::ClassifyAnswer(const Call& call,
                                    const CoapMessage& message) const {
  if (!IsSuccess(message.code)) {
    return OutcomeOfError(message.code);
  }
  const std::string& service = options_.kinds[call.kind].service;
  const std::string_view text = PayloadText(message);
  if (text.starts_with(AnswerPrefix(service, call.key))) {
    return CallOutcome::kAnswered;
  }
  return text.starts_with("service=") ? CallOutcome::kMisrouted
                                      : CallOutcome::kBroken;
}

bool Callers::IsNextBlock(const Call& call, const CoapMessage& message) const {
  const std::optional<CoapBlock> block = message.Block(kOptionBlock2);
  return block && block->number == call.block &&
         (call.block == 0 || ETagOf(message) == call.etag);
}

void Callers::HandleBlock(TimePoint now, Token token,
                          const CoapMessage& message, CallerOutbox& out) {
  Call& call = calls_.at(token);
  if (!IsNextBlock(call, message)) {
    EndCall(now, token, CallOutcome::kBroken);
    return;
  }
  const RequestKind& kind = options_.kinds[call.kind];
  call.etag = ETagOf(message);
  call.content += PayloadText(message);
  if (!message.Block(kOptionBlock2)->more) {
    const std::string expected =
        LargeContent(kind.service, call.key, kind.answer_bytes);
    const bool misrouted =
        !call.content.starts_with(AnswerPrefix(kind.service, call.key));
    EndCall(now, token,
            call.content == expected ? CallOutcome::kAnswered
            : misrouted              ? CallOutcome::kMisrouted
                                     : CallOutcome::kBroken);
    return;
  }
  // The next block is requested with a new message and a new token.
  ++call.block;
  const Token next_token = random_();
  Call& next_call = calls_[next_token] = std::move(call);
  calls_.erase(token);
  BuildRequest(now, next_token, next_call);
  Send(now, next_token, next_call, out);
}

void Callers::OnAnswer(TimePoint now, std::size_t flow,
                       const CoapMessage& message, CallerOutbox& out) {
  if (!message.IsResponse()) {
    return;
  }
  const Token token = message.token.ToInteger();
  const auto it = calls_.find(token);
  // A resend may be answered twice; the call has ended at the second answer.
  if (it == calls_.end() || it->second.flow != flow) {
    return;
  }
  const bool large = options_.kinds[it->second.kind].answer_bytes > 0;
  if (large && IsSuccess(message.code)) {
    HandleBlock(now, token, message, out);
  } else {
    EndCall(now, token, ClassifyAnswer(it->second, message));
  }
}

TimePoint Callers::NextWake() const {
  const TimePoint arrival = next_arrival_ < end_ ? next_arrival_ : kNever;
  return timers_.empty() ? arrival : std::min(arrival, timers_.begin()->first);
}

bool Callers::IsDone() const { return next_arrival_ >= end_ && calls_.empty(); }

}  // namespace vanillalatch::standin
