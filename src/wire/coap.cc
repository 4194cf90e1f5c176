#include "vanillalatch/wire/coap.h"

#include <coap3/coap.h>

#include <algorithm>
#include <utility>

namespace vanillalatch {
namespace {

constexpr std::uint8_t kPayloadMarker = 0xff;
constexpr std::size_t kFixedHeaderBytes = 4;
constexpr std::uint8_t kCoapVersionBits = 0x40;
constexpr std::size_t kMaxOptionHeaderBytes = 5;

std::uint64_t BigEndian(ByteSpan bytes) {
  std::uint64_t value = 0;
  for (const std::uint8_t it : bytes) {
    value = (value << 8) | it;
  }
  return value;
}

std::string_view AsText(ByteSpan bytes) {
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

void AppendHeader(std::vector<std::uint8_t>& out, CoapType type, CoapCode code,
                  std::uint16_t message_id, const CoapToken& token) {
  out.push_back(static_cast<std::uint8_t>(
      kCoapVersionBits | (static_cast<int>(type) << 4) | token.size));
  out.push_back(code);
  out.push_back(static_cast<std::uint8_t>(message_id >> 8));
  out.push_back(static_cast<std::uint8_t>(message_id));
  const ByteSpan bytes = token.span();
  out.insert(out.end(), bytes.begin(), bytes.end());
}

bool IsKnownCritical(CoapOption number) {
  switch (number) {
    case COAP_OPTION_URI_HOST:
    case COAP_OPTION_URI_PORT:
    case COAP_OPTION_URI_PATH:
    case COAP_OPTION_URI_QUERY:
    case COAP_OPTION_IF_MATCH:
    case COAP_OPTION_IF_NONE_MATCH:
    case COAP_OPTION_ACCEPT:
    case COAP_OPTION_BLOCK1:
    case COAP_OPTION_BLOCK2:
      return true;
    default:
      return false;
  }
}

}  // namespace

CoapToken CoapToken::FromInteger(std::uint64_t value) {
  CoapToken token;
  token.size = 8;
  for (std::size_t n = 0; n < 8; ++n) {
    token.bytes[n] = static_cast<std::uint8_t>(value >> (8 * (7 - n)));
  }
  return token;
}

std::uint64_t CoapToken::ToInteger() const { return BigEndian(span()); }

std::optional<ByteSpan> CoapMessage::Option(CoapOption number) const {
  for (const OptionValue& it : options_) {
    if (it.number == number) {
      return it.value;
    }
  }
  return std::nullopt;
}

std::optional<std::uint64_t> CoapMessage::UintOption(CoapOption number) const {
  const std::optional<ByteSpan> value = Option(number);
  if (!value || value->size() > sizeof(std::uint64_t)) {
    return std::nullopt;
  }
  return BigEndian(*value);
}

std::optional<CoapBlock> CoapMessage::Block(CoapOption number) const {
  const std::optional<std::uint64_t> value = UintOption(number);
  if (!value || *value > 0xffffff) {
    return std::nullopt;
  }
  CoapBlock block;
  block.number = static_cast<std::uint32_t>(*value >> 4);
  block.more = (*value & 0x8) != 0;
  block.size_exponent = static_cast<std::uint8_t>(*value & 0x7);
  return block;
}

std::string_view CoapMessage::UriHost() const {
  const std::optional<ByteSpan> value = Option(kOptionUriHost);
  return value ? AsText(*value) : std::string_view();
}

std::string CoapMessage::UriPath() const {
  std::string path;
  for (const OptionValue& it : options_) {
    if (it.number == kOptionUriPath) {
      path.append("/").append(AsText(it.value));
    }
  }
  return path.empty() ? "/" : path;
}

std::optional<std::string_view> CoapMessage::Query(
    std::string_view name) const {
  for (const OptionValue& it : options_) {
    if (it.number != kOptionUriQuery) {
      continue;
    }
    const std::string_view text = AsText(it.value);
    if (text.size() > name.size() && text.substr(0, name.size()) == name &&
        text[name.size()] == '=') {
      return text.substr(name.size() + 1);
    }
  }
  return std::nullopt;
}

bool CoapMessage::HasUnknownCriticalOption() const {
  return std::any_of(options_.begin(), options_.end(), [](const auto& it) {
    return it.number % 2 == 1 && !IsKnownCritical(it.number);
  });
}

struct CoapParser::State {
  coap_pdu_t* pdu = nullptr;
  CoapMessage message;

  State() = default;
  State(const State&) = delete;
  State& operator=(const State&) = delete;
  ~State() {
    if (pdu != nullptr) {
      coap_delete_pdu(pdu);
    }
  }

  void ReadHeader() {
    message.type = static_cast<CoapType>(coap_pdu_get_type(pdu));
    message.code = static_cast<CoapCode>(coap_pdu_get_code(pdu));
    message.message_id = static_cast<std::uint16_t>(coap_pdu_get_mid(pdu));
    const coap_bin_const_t token = coap_pdu_get_token(pdu);
    message.token.size = static_cast<std::uint8_t>(token.length);
    std::copy_n(token.s, token.length, message.token.bytes.begin());
  }

  void ReadOptions() {
    message.options_.clear();
    coap_opt_iterator_t it;
    coap_option_iterator_init(pdu, &it, COAP_OPT_ALL);
    for (const coap_opt_t* option = coap_option_next(&it); option != nullptr;
         option = coap_option_next(&it)) {
      message.options_.push_back(
          {it.number,
           ByteSpan(coap_opt_value(option), coap_opt_length(option))});
    }
  }

  void ReadPayload() {
    std::size_t n = 0;
    const std::uint8_t* data = nullptr;
    message.payload =
        coap_get_data(pdu, &n, &data) != 0 ? ByteSpan(data, n) : ByteSpan();
  }
};

CoapParser::CoapParser(std::unique_ptr<State> state)
    : state_(std::move(state)) {}
CoapParser::CoapParser(CoapParser&&) noexcept = default;
CoapParser& CoapParser::operator=(CoapParser&&) noexcept = default;
CoapParser::~CoapParser() = default;

Result<CoapParser> CoapParser::Create() {
  // The caller counts malformed datagrams, so libcoap does not log them.
  coap_set_log_level(LOG_EMERG);
  auto state = std::make_unique<State>();
  state->pdu =
      coap_pdu_init(COAP_MESSAGE_CON, COAP_EMPTY_CODE, 0, kMaxDatagramBytes);
  if (state->pdu == nullptr) {
    return Error(ErrorKind::kInternal, "libcoap cannot allocate a message");
  }
  return CoapParser(std::move(state));
}

const CoapMessage* CoapParser::Parse(ByteSpan bytes) {
  if (bytes.size() > kMaxDatagramBytes ||
      coap_pdu_parse(COAP_PROTO_UDP, bytes.data(), bytes.size(), state_->pdu) ==
          0) {
    return nullptr;
  }
  state_->ReadHeader();
  state_->ReadOptions();
  state_->ReadPayload();
  return &state_->message;
}

CoapBuilder::CoapBuilder(std::vector<std::uint8_t>& out, CoapType type,
                         CoapCode code, std::uint16_t message_id,
                         const CoapToken& token)
    : out_(out) {
  AppendHeader(out_, type, code, message_id, token);
}

CoapBuilder& CoapBuilder::Option(CoapOption number, ByteSpan value) {
  const std::size_t begin = out_.size();
  out_.resize(begin + kMaxOptionHeaderBytes + value.size());
  const std::size_t n =
      coap_opt_encode(out_.data() + begin, out_.size() - begin,
                      static_cast<std::uint16_t>(number - last_option_),
                      value.data(), value.size());
  out_.resize(begin + n);
  last_option_ = number;
  return *this;
}

CoapBuilder& CoapBuilder::Option(CoapOption number, std::string_view value) {
  return Option(number,
                ByteSpan(reinterpret_cast<const std::uint8_t*>(value.data()),
                         value.size()));
}

CoapBuilder& CoapBuilder::UintOption(CoapOption number, std::uint64_t value) {
  const CoapToken bytes = CoapToken::FromInteger(value);
  const auto first = std::find_if(bytes.bytes.begin(), bytes.bytes.end(),
                                  [](std::uint8_t it) { return it != 0; });
  return Option(number, ByteSpan(first, bytes.bytes.end()));
}

CoapBuilder& CoapBuilder::BlockOption(CoapOption number,
                                      const CoapBlock& block) {
  const std::uint32_t more = block.more ? 0x8 : 0;
  return UintOption(number, (block.number << 4) | more | block.size_exponent);
}

CoapBuilder& CoapBuilder::Payload(ByteSpan payload) {
  if (!payload.empty()) {
    out_.push_back(kPayloadMarker);
    out_.insert(out_.end(), payload.begin(), payload.end());
  }
  return *this;
}

void RewriteCoapHeader(ByteSpan message, CoapType type,
                       std::uint16_t message_id, const CoapToken& token,
                       std::vector<std::uint8_t>& out) {
  const std::size_t old_token = message[0] & 0x0f;
  AppendHeader(out, type, message[1], message_id, token);
  const ByteSpan rest = message.subspan(kFixedHeaderBytes + old_token);
  out.insert(out.end(), rest.begin(), rest.end());
}

}  // namespace vanillalatch
