#include <catch2/catch.hpp>
#include <set>

#include "vanillalatch/base/address.h"
#include "vanillalatch/base/error.h"
#include "vanillalatch/base/hash.h"

namespace vanillalatch {
namespace {

TEST_CASE("addresses are read strictly", "[base]") {
  struct Row {
    const char* text;
    bool ok;
  };
  const auto row = GENERATE(values<Row>({
      {"127.0.0.1:5683", true},
      {"10.1.2.3:65535", true},
      {"127.0.0.1", false},
      {"127.0.0.1:", false},
      {"127.0.0.1:65536", false},
      {"127.0.0.1:12x", false},
      {"host:12", false},
      {"", false},
  }));
  CAPTURE(row.text);
  const Result<SocketAddress> a = SocketAddress::Parse(row.text);
  REQUIRE(a.ok() == row.ok);
  if (row.ok) {
    CHECK(a->ToString() == row.text);
    CHECK(SocketAddress::FromPacked(a->Packed()) == *a);
  }
}

TEST_CASE("every error kind has its own row and name", "[base]") {
  std::set<std::string_view> names;
  int n = 0;
  for (const ErrorAnswer& it : ErrorAnswers()) {
    CHECK(static_cast<int>(it.kind) == n++);
    CHECK(names.insert(it.name).second);
    CHECK(it.coap_code >= 0x80);
    CHECK(it.exit_code != 0);
  }
  CHECK(n == static_cast<int>(ErrorKind::kInternal) + 1);
}

TEST_CASE("stable hashes do not change between versions", "[base]") {
  CHECK(StableHash("entry-north-1") == StableHash("entry-north-1"));
  CHECK(StableHash("a") == 0xe6c632b61e964e1fULL);
  CHECK(StableHash(1, 2) != StableHash(2, 1));
}

}  // namespace
}  // namespace vanillalatch
