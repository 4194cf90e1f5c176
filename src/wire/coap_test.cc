#include "vanillalatch/wire/coap.h"

#include <catch2/catch.hpp>
#include <string>

namespace vanillalatch {
namespace {

ByteSpan Bytes(std::string_view text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

std::vector<std::uint8_t> SampleRequest() {
  std::vector<std::uint8_t> buf;
  CoapBuilder(buf, CoapType::kConfirmable, kCoapPost, 0x1234,
              CoapToken::FromInteger(77))
      .Option(kOptionUriHost, "records")
      .Option(kOptionUriPath, "notes")
      .Option(kOptionUriPath, "7")
      .Option(kOptionUriQuery, "ep=one")
      .BlockOption(kOptionBlock2, {3, true, 6})
      .UintOption(kOptionDeadline, 250)
      .Payload(Bytes("body"));
  return buf;
}

TEST_CASE("a message that was built parses to the same fields", "[wire]") {
  CoapParser parser = CoapParser::Create().value();
  const std::vector<std::uint8_t> buf = SampleRequest();
  const CoapMessage* m = parser.Parse(buf);
  REQUIRE(m != nullptr);
  CHECK(m->IsRequest());
  CHECK_FALSE(m->IsIdempotent());
  CHECK(m->message_id == 0x1234);
  CHECK(m->token.ToInteger() == 77);
  CHECK(m->UriHost() == "records");
  CHECK(m->UriPath() == "/notes/7");
  CHECK(m->Query("ep") == "one");
  CHECK_FALSE(m->Query("e").has_value());
  CHECK(m->Block(kOptionBlock2)->number == 3);
  CHECK(m->Block(kOptionBlock2)->more);
  CHECK(m->UintOption(kOptionDeadline) == 250);
  CHECK_FALSE(m->HasUnknownCriticalOption());
  CHECK(std::string(m->payload.begin(), m->payload.end()) == "body");
}

TEST_CASE("a rewritten header keeps options and payload", "[wire]") {
  CoapParser parser = CoapParser::Create().value();
  std::vector<std::uint8_t> out;
  CoapToken token;
  token.size = 2;
  token.bytes = {9, 8};
  RewriteCoapHeader(SampleRequest(), CoapType::kNonConfirmable, 5, token, out);
  const CoapMessage* m = parser.Parse(out);
  REQUIRE(m != nullptr);
  CHECK(m->type == CoapType::kNonConfirmable);
  CHECK(m->message_id == 5);
  CHECK(m->token == token);
  CHECK(m->UriPath() == "/notes/7");
  CHECK(m->payload.size() == 4);
}

TEST_CASE("unknown critical options are detected", "[wire]") {
  CoapParser parser = CoapParser::Create().value();
  std::vector<std::uint8_t> buf;
  CoapBuilder(buf, CoapType::kConfirmable, kCoapGet, 1, {}).Option(2049, "x");
  REQUIRE(parser.Parse(buf) != nullptr);
  CHECK(parser.Parse(buf)->HasUnknownCriticalOption());
}

TEST_CASE("a truncated datagram is rejected or parsed, never read past its end",
          "[wire]") {
  CoapParser parser = CoapParser::Create().value();
  const std::vector<std::uint8_t> buf = SampleRequest();
  for (std::size_t n = 0; n < buf.size(); ++n) {
    const std::vector<std::uint8_t> truncated(buf.begin(), buf.begin() + n);
    const CoapMessage* m = parser.Parse(truncated);
    if (n < 12) {
      CHECK(m == nullptr);
    }
  }
  CHECK(parser.Parse(std::vector<std::uint8_t>(kMaxDatagramBytes + 1, 0x40)) ==
        nullptr);
}

}  // namespace
}  // namespace vanillalatch
