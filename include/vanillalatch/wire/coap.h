// Parser and builder for the CoAP messages (RFC 7252) that entry VMs exchange
// with callers and backend servers. libcoap does the parsing and the encoding
// of options.
//
//   CoapParser parser = CoapParser::Create().value();
//   const CoapMessage* message = parser.Parse(bytes);  // nullptr: malformed
//   if (message->IsRequest()) ...
//
//   std::vector<std::uint8_t> buf;
//   CoapBuilder(buf, CoapType::kAck, kCoapContent, id, token).Payload(body);
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

// A method or response code: the class in the upper three bits, the detail in
// the lower five.
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

// Option numbers. The last three belong to this project and lie in the range
// for experimental use. They are elective and safe to forward, so other
// implementations may ignore them.
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

// CoapParser::Parse() rejects larger datagrams. An Ethernet frame of 1500 bytes
// carries this much after the IPv4 and UDP headers.
inline constexpr std::size_t kMaxDatagramBytes = 1472;

// A token of up to eight bytes.
struct CoapToken {
  std::array<std::uint8_t, 8> bytes{};
  std::uint8_t size = 0;

  // Returns a token of eight bytes.
  static CoapToken FromInteger(std::uint64_t value);
  // Returns the token as an integer, unique among tokens of the same size.
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

// One parsed message. Its spans and string views stay valid until the parser's
// next Parse(); they refer to the parser's copy of the datagram.
class CoapMessage {
 public:
  CoapType type = CoapType::kConfirmable;
  CoapCode code = kCoapEmpty;
  std::uint16_t message_id = 0;
  CoapToken token;
  ByteSpan payload;

  bool IsRequest() const { return code != 0 && code < 0x20; }
  bool IsResponse() const { return code >= 0x40; }
  // True if repeating the request has no second effect: every method but POST.
  bool IsIdempotent() const { return code != kCoapPost; }

  // Returns the first value of an option; nullopt if it is absent or, for the
  // typed accessors, malformed.
  std::optional<ByteSpan> Option(CoapOption number) const;
  std::optional<std::uint64_t> UintOption(CoapOption number) const;
  std::optional<CoapBlock> Block(CoapOption number) const;
  std::string_view UriHost() const;  // Empty if absent.
  // Returns the path segments as "/first/second"; "/" without segments. Does
  // not include the query.
  std::string UriPath() const;
  // Returns the value of the query "name=value"; nullopt if it is absent.
  std::optional<std::string_view> Query(std::string_view name) const;
  // True if a critical option is present that this program does not support.
  // RFC 7252 requires that such a request is rejected.
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

// Parses datagrams one at a time; reuses its memory for the next one.
class CoapParser {
 public:
  // Error: kInternal if libcoap cannot allocate a message.
  static Result<CoapParser> Create();

  CoapParser(CoapParser&&) noexcept;
  CoapParser& operator=(CoapParser&&) noexcept;
  ~CoapParser();

  // Returns nullptr if the bytes are not a CoAP message or exceed
  // kMaxDatagramBytes.
  const CoapMessage* Parse(ByteSpan bytes);

 private:
  struct State;
  explicit CoapParser(std::unique_ptr<State> state);
  std::unique_ptr<State> state_;
};

// Appends one message to `out`, which must outlive the builder. The caller must
// add options in ascending order of their numbers, and the payload last.
class CoapBuilder {
 public:
  CoapBuilder(std::vector<std::uint8_t>& out, CoapType type, CoapCode code,
              std::uint16_t message_id, const CoapToken& token);

  CoapBuilder& Option(CoapOption number, ByteSpan value);
  CoapBuilder& Option(CoapOption number, std::string_view value);
  // Adds the value in big-endian order without leading zero bytes.
  CoapBuilder& UintOption(CoapOption number, std::uint64_t value);
  CoapBuilder& BlockOption(CoapOption number, const CoapBlock& block);
  // Adds the payload and its marker; adds nothing if the payload is empty.
  CoapBuilder& Payload(ByteSpan payload);

 private:
  std::vector<std::uint8_t>& out_;
  CoapOption last_option_ = 0;
};

// Appends a copy of `message` to `out` with another type, message id and
// token. The code, the options and the payload stay. `message` must be a
// complete, valid datagram.
void RewriteCoapHeader(ByteSpan message, CoapType type,
                       std::uint16_t message_id, const CoapToken& token,
                       std::vector<std::uint8_t>& out);

}  // namespace vanillalatch

#endif  // VANILLALATCH_WIRE_COAP_H_
