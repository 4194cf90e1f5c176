// Runs simulated callers against a simulated backend server. The demo and the
// process scenarios rely on their counters, so each test checks that a fault or
// an outcome is counted as what it is.
#include <catch2/catch.hpp>
#include <functional>
#include <nlohmann/json.hpp>

#include "src/standin/announcer.h"
#include "src/standin/backend_server.h"
#include "src/standin/callers.h"
#include "src/standin/content.h"
#include "src/standin/summary.h"

namespace vanillalatch::standin {
namespace {

using std::chrono::milliseconds;

constexpr SocketAddress kEntry{0x7f000001, 5683};

std::vector<RequestKind> Kinds() {
  return ParseLoadPlan("plan", R"({"kinds": [
    {"service": "records", "class": "notes", "method": "POST",
     "path": "/notes", "weight": 2, "latency": "100ms", "success": "99%"},
    {"service": "records", "class": "reads", "method": "GET",
     "path": "/all", "weight": 2, "latency": "100ms", "success": "99%"},
    {"service": "records", "class": "files", "method": "GET",
     "path": "/files", "weight": 1, "latency": "500ms", "success": "99%",
     "size": 5000}]})")
      .value();
}

// Delivers datagrams between callers and one backend server. Each direction
// takes less than one step. Drops each datagram for whose number `lose` returns
// true.
class DirectPath {
 public:
  using LossFunction = std::function<bool(std::uint64_t)>;

  DirectPath(const std::string& service, int slots, LossFunction lose)
      : server_({"records-1", service, slots, milliseconds(2), 7}),
        lose_(std::move(lose)) {}

  void Run(Callers& callers, TimePoint now) {
    CallerOutbox sent;
    while (!callers.IsDone()) {
      now += milliseconds(1);
      callers.OnTick(now, sent);
      Deliver(now, sent);
      server_.OnTick(now, answers_);
      ReturnAnswers(now, callers, sent);
    }
  }

  const BackendServer& server() const { return server_; }

 private:
  void Deliver(TimePoint now, CallerOutbox& sent) {
    for (const CallerOutbox::Item& it : sent.items) {
      if (!lose_(++datagrams_)) {
        // The port of the caller's address is the index of its flow.
        const SocketAddress from{1, static_cast<std::uint16_t>(it.flow)};
        server_.OnRequest(now, from, *parser_.Parse(it.bytes), answers_);
      }
    }
    sent.items.clear();
  }

  void ReturnAnswers(TimePoint now, Callers& callers, CallerOutbox& sent) {
    for (const Outbox::Item& it : answers_.items()) {
      if (!lose_(++datagrams_)) {
        callers.OnAnswer(now, it.to.port, *parser_.Parse(answers_.Bytes(it)),
                         sent);
      }
    }
    answers_.Clear();
  }

  CoapParser parser_ = CoapParser::Create().value();
  BackendServer server_;
  LossFunction lose_;
  Outbox answers_;
  std::uint64_t datagrams_ = 0;
};

Callers MakeCallers(TimePoint now) {
  CallerOptions options;
  options.entry_addresses = {kEntry};
  options.kinds = Kinds();
  options.rate = 200;
  options.duration = std::chrono::seconds(2);
  options.flows = 8;
  options.seed = 3;
  return Callers(options, now, 1'700'000'000'000);
}

nlohmann::json RunDirect(const std::string& service, int slots,
                         const DirectPath::LossFunction& lose,
                         BackendCounters* counters = nullptr) {
  const TimePoint begin(std::chrono::seconds(1));
  Callers callers = MakeCallers(begin);
  DirectPath path(service, slots, lose);
  path.Run(callers, begin);
  if (counters != nullptr) {
    *counters = path.server().counters();
  }
  return nlohmann::json::parse(CallerSummary("north", callers));
}

TEST_CASE("without faults every answer is complete", "[standin]") {
  BackendCounters counters;
  const auto summary = RunDirect(
      "records", 100, [](std::uint64_t) { return false; }, &counters);
  CHECK(summary["sent"] > 300);
  CHECK(summary["answered"] == summary["sent"]);
  CHECK(counters.double_runs == 0);
  CHECK(counters.distinct_bodies == summary["classes"][0]["sent"]);
  CHECK(summary["classes"][0]["p50_ms"] > 0);
  CHECK(summary["classes"][2]["within"] > 0.9);
}

TEST_CASE("lost datagrams are resent and nothing runs twice", "[standin]") {
  BackendCounters counters;
  const auto summary = RunDirect(
      "records", 100, [](std::uint64_t n) { return n % 11 == 0; }, &counters);
  CHECK(summary["answered"] == summary["sent"]);
  CHECK(summary["classes"][0]["resends"] > 0);
  CHECK(counters.retransmissions > 0);
  CHECK(counters.double_runs == 0);
  CHECK(counters.distinct_bodies == summary["classes"][0]["sent"]);
}

TEST_CASE("another service's answers are counted as misrouted", "[standin]") {
  const auto summary =
      RunDirect("plans", 100, [](std::uint64_t) { return false; });
  CHECK(summary["misrouted"] == summary["sent"]);
  CHECK(summary["answered"] == 0);
}

TEST_CASE("a server without a free slot refuses", "[standin]") {
  BackendCounters counters;
  const auto summary = RunDirect(
      "records", 0, [](std::uint64_t) { return false; }, &counters);
  CHECK(summary["refused"] == summary["sent"]);
  CHECK(counters.distinct_bodies == 0);
}

TEST_CASE("a resend goes to another entry VM", "[standin]") {
  CallerOptions options;
  options.entry_addresses = {{0x7f000001, 1}, {0x7f000001, 2}, {0x7f000001, 3}};
  options.kinds = Kinds();
  options.rate = 1;
  options.duration = milliseconds(1);
  TimePoint now(std::chrono::seconds(1));
  Callers callers(options, now, 1'700'000'000'000);
  CallerOutbox sent;
  while (!callers.IsDone()) {
    callers.OnTick(now, sent);
    now = callers.NextWake();
  }
  REQUIRE(sent.items.size() >= 4);
  for (std::size_t i = 1; i < sent.items.size(); ++i) {
    CHECK(sent.items[i].to != sent.items[i - 1].to);
    CHECK(sent.items[i].bytes == sent.items[0].bytes);
  }
}

TEST_CASE("silence is counted as unanswered", "[standin]") {
  const auto summary =
      RunDirect("records", 100, [](std::uint64_t) { return true; });
  CHECK(summary["unanswered"] == summary["sent"]);
}

TEST_CASE("a body that runs twice is counted", "[standin]") {
  BackendServer server({"records-1", "records", 3, milliseconds(1), 1});
  CoapParser parser = CoapParser::Create().value();
  Outbox out;
  const TimePoint now(std::chrono::seconds(1));
  for (const std::uint16_t id : {1, 2}) {
    std::vector<std::uint8_t> buf;
    const std::string body = "key=a1";
    CoapBuilder(buf, CoapType::kConfirmable, kCoapPost, id,
                CoapToken::FromInteger(id))
        .Payload(
            {reinterpret_cast<const std::uint8_t*>(body.data()), body.size()});
    server.OnRequest(now, kEntry, *parser.Parse(buf), out);
  }
  CHECK(server.counters().distinct_bodies == 1);
  CHECK(server.counters().double_runs == 1);
}

TEST_CASE("a reset frees the slot and cancels the answer", "[standin]") {
  BackendServer server({"records-1", "records", 1, milliseconds(5), 1});
  CoapParser parser = CoapParser::Create().value();
  Outbox out;
  const TimePoint now(std::chrono::seconds(1));
  std::vector<std::uint8_t> buf;
  CoapBuilder(buf, CoapType::kConfirmable, kCoapGet, 9,
              CoapToken::FromInteger(9));
  server.OnRequest(now, kEntry, *parser.Parse(buf), out);
  CHECK(server.busy_slots() == 1);
  server.OnReset(now, kEntry, 9);
  server.OnTick(now + std::chrono::seconds(10), out);
  CHECK(server.busy_slots() == 0);
  CHECK(server.counters().cancelled == 1);
  CHECK(out.items().empty());
}

TEST_CASE("a backend server registers, renews and leaves", "[standin]") {
  Announcer announcer({"records-1",
                       "records",
                       "north",
                       3,
                       77,
                       std::chrono::seconds(9),
                       {kEntry},
                       1});
  CoapParser parser = CoapParser::Create().value();
  Outbox out;
  TimePoint now(std::chrono::seconds(1));
  const auto answer = [&](CoapCode code) {
    const CoapMessage* request = parser.Parse(out.Bytes(out.items().back()));
    std::vector<std::uint8_t> buf;
    CoapBuilder(buf, CoapType::kAck, code, request->message_id, request->token)
        .Option(8, "rd")
        .Option(8, "1f");
    out.Clear();
    announcer.OnAnswer(now, *parser.Parse(buf));
  };
  announcer.OnTick(now, 40, out);
  const CoapMessage* request = parser.Parse(out.Bytes(out.items().back()));
  CHECK(request->UriPath() == "/rd");
  CHECK(request->Query("ep") == "records-1");
  CHECK(request->Query("d") == "records");
  CHECK(request->Query("dc") == "north");
  CHECK(request->Query("slots") == "3");
  CHECK(request->Query("epoch") == "77");
  CHECK(request->Query("load") == "40");
  answer(kCoapCreated);
  CHECK(announcer.registered());
  CHECK(announcer.NextWake() == now + std::chrono::seconds(3));
  announcer.BeginLeave(now);
  announcer.OnTick(now, 0, out);
  request = parser.Parse(out.Bytes(out.items().back()));
  CHECK(request->code == kCoapDelete);
  CHECK(request->UriPath() == "/rd/1f");
  answer(kCoapNotFound);
  CHECK_FALSE(announcer.has_left());
  announcer.OnTick(announcer.NextWake(), 0, out);
  answer(kCoapDeleted);
  CHECK(announcer.has_left());
}

TEST_CASE("percentiles are samples", "[standin]") {
  std::vector<Duration> samples;
  for (int i = 100; i >= 1; --i) {
    samples.emplace_back(milliseconds(i));
  }
  CHECK(Percentile(samples, 0.5) == milliseconds(51));
  CHECK(Percentile(samples, 0.99) == milliseconds(100));
  CHECK(Percentile({}, 0.5) == Duration::zero());
}

}  // namespace
}  // namespace vanillalatch::standin
