#include "src/standin/backend_server.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "src/standin/content.h"

namespace vanillalatch::standin {
namespace {

// Message ids of one sender come again after 65,536 messages.
constexpr Duration kExchangeLifetime = std::chrono::seconds(30);
constexpr Duration kForgetEvery = std::chrono::seconds(1);
constexpr std::size_t kMaxContentBytes = 1 << 20;
constexpr std::uint64_t kShedMaxAgeSeconds = 1;
constexpr std::uint8_t kLargestExponent = 6;

CoapType AnswerType(const CoapMessage& message) {
  return message.type == CoapType::kConfirmable ? CoapType::kAck
                                                : CoapType::kNonConfirmable;
}

std::string_view PayloadText(const CoapMessage& message) {
  return {reinterpret_cast<const char*>(message.payload.data()),
          message.payload.size()};
}

// "key=a1" in the payload of a POST, else the query "key".
std::string_view KeyOf(const CoapMessage& message) {
  constexpr std::string_view kPrefix = "key=";
  if (PayloadText(message).starts_with(kPrefix)) {
    return PayloadText(message).substr(kPrefix.size());
  }
  return message.Query("key").value_or("");
}

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

bool BackendServer::IsRepeated(const MessageKey& key,
                               const CoapMessage& message, Outbox& out) {
  const auto it = exchanges_.find(key);
  if (it == exchanges_.end() || !(it->second.token == message.token)) {
    return false;
  }
  ++counters_.repeated;
  if (!it->second.open) {
    out.Add(SocketRole::kBackend, key.from, it->second.answer);
  }
  return true;
}

void BackendServer::CountRun(const CoapMessage& message) {
  if (message.code != kCoapPost) {
    return;
  }
  const int runs = ++runs_[std::string(PayloadText(message))];
  ++(runs == 1 ? counters_.bodies : counters_.double_runs);
}

std::vector<std::uint8_t> BackendServer::BuildShed(
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
  block.size_exponent = std::min(block.size_exponent, kLargestExponent);
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
  if (IsRepeated(key, message, out)) {
    return;
  }
  if (busy_slots_ >= options_.slots) {
    ++counters_.shed;
    out.Add(SocketRole::kBackend, from, BuildShed(message));
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
  ends_.emplace(exchange.end, key);
  exchanges_[key] = std::move(exchange);
}

void BackendServer::FreeSlot(TimePoint now, Exchange& exchange) {
  exchange.open = false;
  --busy_slots_;
  counters_.busy += now - exchange.begin;
}

void BackendServer::OnReset(TimePoint now, SocketAddress from,
                            std::uint16_t message_id) {
  const auto it = exchanges_.find({from, message_id});
  if (it != exchanges_.end() && it->second.open) {
    FreeSlot(now, it->second);
    ++counters_.cancelled;
  }
}

void BackendServer::OnTick(TimePoint now, Outbox& out) {
  while (!ends_.empty() && ends_.begin()->first <= now) {
    const auto [end, key] = *ends_.begin();
    ends_.erase(ends_.begin());
    const auto it = exchanges_.find(key);
    if (it != exchanges_.end() && it->second.open && it->second.end == end) {
      FreeSlot(end, it->second);
      out.Add(SocketRole::kBackend, key.from, it->second.answer);
    }
  }
  Forget(now);
}

void BackendServer::Forget(TimePoint now) {
  if (now < next_forget_) {
    return;
  }
  next_forget_ = now + kForgetEvery;
  std::erase_if(exchanges_, [now](const auto& it) {
    return !it.second.open && it.second.end + kExchangeLifetime < now;
  });
}

TimePoint BackendServer::NextWake() const {
  return ends_.empty() ? kNever : ends_.begin()->first;
}

}  // namespace vanillalatch::standin
