#include "src/standin/backend_server.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "src/standin/content.h"

namespace vanillalatch::standin {
namespace {

// How long an exchange is stored after its end to detect retransmissions. A
// sender reuses its message ids after 65,536 messages.
constexpr Duration kExchangeLifetime = std::chrono::seconds(30);
constexpr Duration kExpiryCheckInterval = std::chrono::seconds(1);
constexpr std::size_t kMaxContentBytes = 1 << 20;
constexpr std::uint64_t kShedMaxAgeSeconds = 1;    // Max-Age of an answer 5.03.
constexpr std::uint8_t kMaxBlockSizeExponent = 6;  // Blocks of 1,024 bytes.

CoapType AnswerType(const CoapMessage& message) {
  return message.type == CoapType::kConfirmable ? CoapType::kAck
                                                : CoapType::kNonConfirmable;
}

std::string_view PayloadText(const CoapMessage& message) {
  return {reinterpret_cast<const char*>(message.payload.data()),
          message.payload.size()};
}

// Returns the key that the answer must contain: the text after "key=" in the
// payload of a POST, else the query parameter "key".
std::string_view KeyOf(const CoapMessage& message) {
  constexpr std::string_view kPrefix = "key=";
  if (PayloadText(message).starts_with(kPrefix)) {
    return PayloadText(message).substr(kPrefix.size());
  }
  return message.Query("key").value_or("");
}

// Returns the requested answer size in bytes; 0 asks for a short answer.
std::size_t ContentSize(const CoapMessage& message) {
  const std::string_view text = message.Query("size").value_or("");
  std::size_t size = 0;
  std::from_chars(text.data(), text.data() + text.size(), size);
  return std::min(size, kMaxContentBytes);
}

ByteSpan Bytes(std::string_view text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

}  // namespace

BackendServer::BackendServer(BackendOptions options)
    : options_(std::move(options)), random_(options_.seed) {}

bool BackendServer::HandleRetransmission(const MessageKey& key,
                                         const CoapMessage& message,
                                         Outbox& out) {
  const auto it = exchanges_.find(key);
  if (it == exchanges_.end() || !(it->second.token == message.token)) {
    return false;
  }
  ++counters_.retransmissions;
  if (!it->second.is_running) {
    out.Add(SocketRole::kBackend, key.from, it->second.answer);
  }
  return true;
}

void BackendServer::CountRun(const CoapMessage& message) {
  if (message.code != kCoapPost) {
    return;
  }
  const int runs = ++runs_[std::string(PayloadText(message))];
  ++(runs == 1 ? counters_.distinct_bodies : counters_.double_runs);
}

std::vector<std::uint8_t> BackendServer::BuildShedAnswer(
    const CoapMessage& message) const {
  std::vector<std::uint8_t> buf;
  CoapBuilder(buf, AnswerType(message), kCoapUnavailable, message.message_id,
              message.token)
      .UintOption(kOptionMaxAge, kShedMaxAgeSeconds);
  return buf;
}

std::vector<std::uint8_t> BackendServer::BuildAnswer(
    const CoapMessage& message) const {
  std::vector<std::uint8_t> buf;
  const CoapCode code = message.code == kCoapPost ? kCoapChanged : kCoapContent;
  CoapBuilder builder(buf, AnswerType(message), code, message.message_id,
                      message.token);
  const std::size_t size = ContentSize(message);
  if (size == 0) {
    const std::string text =
        AnswerText(options_.service, KeyOf(message), options_.name);
    builder.Payload(Bytes(text));
    return buf;
  }
  CoapBlock block = message.Block(kOptionBlock2).value_or(CoapBlock{});
  block.size_exponent = std::min(block.size_exponent, kMaxBlockSizeExponent);
  const std::size_t block_bytes = std::size_t{16} << block.size_exponent;
  const std::string content =
      LargeContent(options_.service, KeyOf(message), size);
  const std::size_t begin =
      std::min(content.size(), block.number * block_bytes);
  const std::string_view rest = std::string_view{content}.substr(begin);
  block.more = begin + block_bytes < content.size();
  builder.Option(kOptionETag, CoapToken::FromInteger(EntityTag(content)).span())
      .BlockOption(kOptionBlock2, block)
      .Payload(Bytes(rest.substr(0, block_bytes)));
  return buf;
}

void BackendServer::OnRequest(TimePoint now, SocketAddress from,
                              const CoapMessage& message, Outbox& out) {
  last_request_ = now;
  const MessageKey key{from, message.message_id};
  if (HandleRetransmission(key, message, out)) {
    return;
  }
  if (busy_slots_ >= options_.slots) {
    ++counters_.shed;
    out.Add(SocketRole::kBackend, from, BuildShedAnswer(message));
    return;
  }
  ++counters_.requests;
  ++busy_slots_;
  CountRun(message);
  std::exponential_distribution<double> times(
      1.0 / static_cast<double>(options_.mean_service_time.count()));
  Exchange exchange;
  exchange.token = message.token;
  exchange.begin = now;
  exchange.end = now + Duration(static_cast<std::int64_t>(times(random_)));
  exchange.answer = BuildAnswer(message);
  slot_ends_.emplace(exchange.end, key);
  exchanges_[key] = std::move(exchange);
}

void BackendServer::FreeSlot(TimePoint now, Exchange& exchange) {
  exchange.is_running = false;
  --busy_slots_;
  counters_.busy += now - exchange.begin;
}

void BackendServer::OnReset(TimePoint now, SocketAddress from,
                            std::uint16_t message_id) {
  const auto it = exchanges_.find({from, message_id});
  if (it != exchanges_.end() && it->second.is_running) {
    FreeSlot(now, it->second);
    ++counters_.cancelled;
  }
}

void BackendServer::OnTick(TimePoint now, Outbox& out) {
  while (!slot_ends_.empty() && slot_ends_.begin()->first <= now) {
    const auto [end, key] = *slot_ends_.begin();
    slot_ends_.erase(slot_ends_.begin());
    const auto it = exchanges_.find(key);
    if (it != exchanges_.end() && it->second.is_running &&
        it->second.end == end) {
      FreeSlot(end, it->second);
      out.Add(SocketRole::kBackend, key.from, it->second.answer);
    }
  }
  RemoveExpiredExchanges(now);
}

void BackendServer::RemoveExpiredExchanges(TimePoint now) {
  if (now < next_expiry_check_) {
    return;
  }
  next_expiry_check_ = now + kExpiryCheckInterval;
  std::erase_if(exchanges_, [now](const auto& it) {
    return !it.second.is_running && it.second.end + kExchangeLifetime < now;
  });
}

TimePoint BackendServer::NextWake() const {
  return slot_ends_.empty() ? kNever : slot_ends_.begin()->first;
}

}  // namespace vanillalatch::standin
