// CoAP messages (RFC 7252) as callers and backend servers send them. Parsing
// and option encoding are libcoap's.
//
//   CoapParser parser = CoapParser::Create().value();
//   const CoapMessage* message = parser.Parse(bytes);  // nullptr: malformed
//   if (message->IsRequest()) ...
//
//   std::vector<std::uint8_t> buf;
//   CoapBuilder(buf, CoapType::kAck, kContent, id, token).Payload(body);
#ifndef VANILLALATCH_WIRE_COAP_H_
#define VANILLALATCH_WIRE_COAP_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "vanillalatch/base/outbox.h"
#include "vanillalatch/base/result.h"

namespace vanillalatch {

enum class CoapType : std::uint8_t {
  kConfirmable = 0,
  kNonConfirmable = 1,
  kAck = 2,
  kReset = 3,
};

// A method or response code: class in the upper three bits, detail below.
using CoapCode = std::uint8_t;
constexpr CoapCode MakeCoapCode(int code_class, int detail) {
  return static_cast<CoapCode>((code_class << 5) | detail);
}
inline constexpr CoapCode kCoapEmpty = 0;
inline constexpr CoapCode kCoapGet = 1;
inline constexpr CoapCode kCoapPost = 2;
inline constexpr CoapCode kCoapPut = 3;
inline constexpr CoapCode kCoapDelete = 4;
inline constexpr CoapCode kCoapCreated = MakeCoapCode(2, 1);
inline constexpr CoapCode kCoapDeleted = MakeCoapCode(2, 2);
inline constexpr CoapCode kCoapChanged = MakeCoapCode(2, 4);
inline constexpr CoapCode kCoapContent = MakeCoapCode(2, 5);
inline constexpr CoapCode kCoapNotFound = MakeCoapCode(4, 4);
inline constexpr CoapCode kCoapUnavailable = MakeCoapCode(5, 3);
inline constexpr CoapCode kCoapGatewayTimeout = MakeCoapCode(5, 4);

// Option numbers. The last three are ours, from the range for experiments;
// they are elective and safe to forward, so others may ignore them.
using CoapOption = std::uint16_t;
inline constexpr CoapOption kOptionUriHost = 3;
inline constexpr CoapOption kOptionETag = 4;
inline constexpr CoapOption kOptionUriPath = 11;
inline constexpr CoapOption kOptionMaxAge = 14;  // Seconds.
inline constexpr CoapOption kOptionUriQuery = 15;
inline constexpr CoapOption kOptionBlock2 = 23;
inline constexpr CoapOption kOptionBlock1 = 27;
inline constexpr CoapOption kOptionDeadline = 65000;   // Milliseconds left.
inline constexpr CoapOption kOptionIssued = 65004;     // Unix milliseconds.
inline constexpr CoapOption kOptionRequestId = 65008;  // RequestId, 8 bytes.

// The largest datagram that is accepted, bytes.
inline constexpr std::size_t kMaxDatagramBytes = 1472;

// A token of up to eight bytes.
struct CoapToken {
  std::array<std::uint8_t, 8> bytes{};
  std::uint8_t size = 0;

  static CoapToken FromInteger(std::uint64_t value);  // Eight bytes.
  // The token as an integer; unique among tokens of the same size.
  std::uint64_t ToInteger() const;
  ByteSpan span() const { return ByteSpan(bytes).first(size); }
  friend bool operator==(const CoapToken&, const CoapToken&) = default;
};

// Number, "more" flag and size exponent of a block option (RFC 7959).
struct CoapBlock {
  std::uint32_t number = 0;
  bool more = false;
  std::uint8_t size_exponent = 6;  // Blocks of 2^(4 + exponent) bytes.
};

// One parsed message. Views stay valid until the parser's next Parse().
class CoapMessage {
 public:
  CoapType type = CoapType::kConfirmable;
  CoapCode code = kCoapEmpty;
  std::uint16_t message_id = 0;
  CoapToken token;
  ByteSpan payload;

  bool IsRequest() const { return code != 0 && code < 0x20; }
  bool IsResponse() const { return code >= 0x40; }
  // True if the request may be repeated without a second effect.
  bool IsIdempotent() const { return code != kCoapPost; }

  // First value of an option; nullopt if it is absent.
  std::optional<ByteSpan> Option(CoapOption number) const;
  std::optional<std::uint64_t> UintOption(CoapOption number) const;
  std::optional<CoapBlock> Block(CoapOption number) const;
  std::string_view UriHost() const;  // Empty if absent.
  // "/first/second". Query values follow as "?a=b&c=d" from UriQuery().
  std::string UriPath() const;
  // Value of the query "name=value"; nullopt if absent.
  std::optional<std::string_view> Query(std::string_view name) const;
  // True if a critical option is present that this program does not know.
  bool HasUnknownCriticalOption() const;

  struct OptionValue {
    CoapOption number;
    ByteSpan value;
  };
  const std::vector<OptionValue>& options() const { return options_; }

 private:
  friend class CoapParser;
  std::vector<OptionValue> options_;
};

// Parses datagrams; reuses its memory from one to the next.
class CoapParser {
 public:
  // Error: kInternal if libcoap refuses to set up a message.
  static Result<CoapParser> Create();

  CoapParser(CoapParser&&) noexcept;
  CoapParser& operator=(CoapParser&&) noexcept;
  ~CoapParser();

  // nullptr if the bytes are no CoAP message or above kMaxDatagramBytes.
  const CoapMessage* Parse(ByteSpan bytes);

 private:
  struct State;
  explicit CoapParser(std::unique_ptr<State> state);
  std::unique_ptr<State> state_;
};

// Writes one message at the end of `out`. Options are added in the order of
// their numbers.
class CoapBuilder {
 public:
  CoapBuilder(std::vector<std::uint8_t>& out, CoapType type, CoapCode code,
              std::uint16_t message_id, const CoapToken& token);

  CoapBuilder& Option(CoapOption number, ByteSpan value);
  CoapBuilder& Option(CoapOption number, std::string_view value);
  CoapBuilder& UintOption(CoapOption number, std::uint64_t value);
  CoapBuilder& BlockOption(CoapOption number, const CoapBlock& block);
  CoapBuilder& Payload(ByteSpan payload);

 private:
  std::vector<std::uint8_t>& out_;
  CoapOption last_option_ = 0;
};

// Copies `message` (a whole valid datagram) with another type, message id and
// token; options and payload stay as they are.
void RewriteCoapHeader(ByteSpan message, CoapType type,
                       std::uint16_t message_id, const CoapToken& token,
                       std::vector<std::uint8_t>& out);

}  // namespace vanillalatch

#endif  // VANILLALATCH_WIRE_COAP_H_
