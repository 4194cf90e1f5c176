#include "vanillalatch/telemetry/trace.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>

#include "vanillalatch/base/address.h"

namespace vanillalatch {
namespace {

using Json = nlohmann::json;

Hop MakeHop(HopEvent event, std::uint64_t subject) {
  return {RequestId(0xb7ad6b7169203331), TimePoint(), event, subject};
}

TEST_CASE("a hop's subject is shown as what it is", "[telemetry]") {
  struct Row {
    HopEvent event;
    std::uint64_t subject;
    std::string name;
    std::string text;
  };
  const std::uint64_t caller =
      SocketAddress::Parse("127.0.0.1:5683").value().Packed();
  const auto row = GENERATE_COPY(values<Row>({
      {HopEvent::kReceived, caller, "caller", "127.0.0.1:5683"},
      {HopEvent::kHandedOver, 0x1f, "vm", "000000000000001f"},
      {HopEvent::kQueued, 12, "ahead", "12"},
      {HopEvent::kPlaced, 0xa1, "endpoint", "00000000000000a1"},
      {HopEvent::kAnswered, 0x45, "code", "2.05"},
      {HopEvent::kRefused, static_cast<std::uint64_t>(ErrorKind::kOverloaded),
       "kind", "overloaded"},
      {HopEvent::kGivenUp, 250, "kind", "unknown"},
  }));
  CHECK(HopSubjectName(row.event) == row.name);
  CHECK(FormatHopSubject(MakeHop(row.event, row.subject)) == row.text);
}

TEST_CASE("spans of one request share its trace id", "[telemetry]") {
  const std::string path =
      std::filesystem::temp_directory_path() /
      ("trace_test." + std::to_string(getpid()) + ".jsonl");
  auto writer = TraceWriter::Create(path, "entry-1").value();
  writer->Write(MakeHop(HopEvent::kReceived, 0), 1'700'000'000'000'001);
  writer->Write(MakeHop(HopEvent::kPlaced, 0xa1), 1'700'000'000'000'001);
  writer->Flush();
  std::ifstream file(path);
  std::set<std::string> spans;
  std::string line;
  while (std::getline(file, line)) {
    const Json span = Json::parse(line);
    const std::string parent = span["traceparent"];
    CHECK(parent.substr(0, 36) == "00-0000000000000000b7ad6b7169203331-");
    CHECK(parent.substr(52) == "-01");
    CHECK(span["parent_span_id"] == "b7ad6b7169203331");
    CHECK(span["start_unix_us"] == 1'700'000'000'000'001);
    CHECK(span["attributes"]["vm"] == "entry-1");
    spans.insert(parent.substr(36, 16));
  }
  std::filesystem::remove(path);
  CHECK(spans.size() == 2);
}

TEST_CASE("a request id is read back and nothing else is", "[telemetry]") {
  const RequestId id(0xb7ad6b7169203331);
  CHECK(ParseRequestId(FormatRequestId(id)).value() == id);
  CHECK(ParseRequestId(FormatTraceId(id)).value() == id);
  const auto bad = GENERATE(values<std::string>(
      {"", "12", "b7ad6b716920333g", "-7ad6b7169203331",
       "10000000000000000b7ad6b716920333", "b7ad6b71692033311"}));
  CHECK(ParseRequestId(bad).error().kind() == ErrorKind::kInvalidArgument);
}

TEST_CASE("a trace file that can't be written is an error", "[telemetry]") {
  CHECK(TraceWriter::Create("/nonexistent/trace", "vm").error().kind() ==
        ErrorKind::kStorage);
}

}  // namespace
}  // namespace vanillalatch
