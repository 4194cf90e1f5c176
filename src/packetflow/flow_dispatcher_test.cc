// Tests when FlowDispatcher makes flows occupy and release slots, and how it
// treats retransmissions, refusals and silent endpoints.
#include "vanillalatch/packetflow/flow_dispatcher.h"

#include <catch2/catch.hpp>

namespace vanillalatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ServiceId kService{1};
constexpr ClassId kClass{1};
constexpr std::uint32_t kSlots = 2;

// A dispatcher with one endpoint, which has two slots and takes one flow per
// slot.
class OneEndpoint {
 public:
  OneEndpoint() {
    FlowDispatcherOptions options;
    options.overlap_percent = 100;
    dispatcher_ = FlowDispatcher::Create(options, 1).value();
    ClassTarget target;
    target.id = kClass;
    target.latency = milliseconds(400);
    dispatcher_->SetClasses(std::vector{target});
    Endpoint endpoint;
    endpoint.id = EndpointId(7);
    endpoint.service = kService;
    endpoint.name = "aa";
    endpoint.slots = kSlots;
    dispatcher_->SetEndpoints(now_, kService, std::vector{endpoint}, actions_);
  }

  // Processes an opening packet. Returns true if it was sent to the endpoint
  // immediately.
  bool Open(std::uint64_t id, std::uint32_t sequence = 1,
            std::uint32_t copy = 0, Duration age = Duration::zero()) {
    actions_ = {};
    FlowOpening opening;
    opening.id = FlowId(id);
    opening.caller = SocketAddress{0x64400001U, 4000};
    opening.service = kService;
    opening.work_class = kClass;
    opening.timeout = seconds(1);
    opening.sequence = sequence;
    opening.copy = copy;
    opening.age = age;
    opening.packet = std::to_string(id);
    opening.progress_reported = true;
    dispatcher_->Open(now_, opening, actions_);
    return IsPlaced(id);
  }

  bool IsPlaced(std::uint64_t id) const {
    for (const FlowPlacement& it : actions_.placements) {
      if (it.packet == std::to_string(id)) {
        return true;
      }
    }
    return false;
  }

  // Processes a report of the flow's progress.
  void Report(std::uint64_t id, bool request_sent, bool answer_started) {
    actions_ = {};
    const EstablishedFlow flow{kService, kClass, seconds(1), EndpointId(7)};
    dispatcher_->OnFlowUpdate(now_, {FlowId(id), request_sent, answer_started},
                              flow, actions_);
  }

  void End(std::uint64_t id, bool given_up = false) {
    actions_ = {};
    dispatcher_->End(now_, FlowId(id), given_up, {}, actions_);
  }

  void RemoveEndpoint() {
    dispatcher_->SetEndpoints(now_, kService, {}, actions_);
  }

  // Advances the time, with one tick per millisecond as in a VM.
  void Run(Duration time) {
    actions_ = {};
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += milliseconds(1);
      dispatcher_->OnTick(now_, actions_);
    }
  }

  TimePoint now() const { return now_; }
  const FlowActions& actions() const { return actions_; }
  FlowDispatcher& dispatcher() { return *dispatcher_; }

 private:
  std::unique_ptr<FlowDispatcher> dispatcher_;
  TimePoint now_{seconds(100)};
  FlowActions actions_;
};

TEST_CASE("a flow waits for a slot and gets it when another one ends") {
  OneEndpoint one;
  CHECK(one.Open(1));
  CHECK(one.Open(2));
  CHECK(!one.Open(3));
  CHECK(one.actions().refusals.empty());
  one.End(1);
  CHECK(one.IsPlaced(3));
}

TEST_CASE("a flow gives its slot back when its answer begins to come") {
  OneEndpoint one;
  one.Open(1);
  one.Open(2);
  one.Report(1, true, false);
  CHECK(!one.Open(3));
  one.Report(1, false, true);
  CHECK(one.IsPlaced(3));
  // The next request on the flow occupies a slot again.
  one.Report(2, true, false);
  one.Report(2, false, true);
  one.Report(1, true, false);
  CHECK(!one.Open(4));
  one.Report(1, false, true);
  CHECK(one.IsPlaced(4));
}

TEST_CASE("a flow without a request gives its slot back soon") {
  OneEndpoint one;
  one.Open(1);
  one.Open(2);
  one.Report(1, false, false);
  one.Report(2, false, false);
  one.Run(FlowDispatcher::kUnusedFlowTimeout + milliseconds(60));
  CHECK(one.Open(3));
  CHECK(one.Open(4));
}

TEST_CASE("a request on a flow that another VM placed takes a slot") {
  OneEndpoint one;
  one.Report(1, true, false);
  one.Report(2, true, false);
  CHECK(!one.Open(3));
  one.Report(2, false, true);
  CHECK(one.IsPlaced(3));
  // An answer on an unknown flow frees no slot.
  one.Report(9, false, true);
  CHECK(!one.Open(4));
}

TEST_CASE("copies of an opening packet") {
  OneEndpoint one;
  CHECK(one.Open(1));
  CHECK(!one.Open(1));       // The same transmission, received twice.
  CHECK(one.Open(1, 1, 1));  // First retransmission: to the same endpoint.
  CHECK(!one.Open(1, 1, 1));
  CHECK(one.dispatcher().counters().repeated == 1);
  CHECK(one.Open(1, 2, 0));  // Another flow from the same port.
  CHECK(one.dispatcher().counters().opened == 2);
}

TEST_CASE(
    "a flow whose end is not reported gives its slot back after its timeout") {
  OneEndpoint one;
  one.Open(1);
  one.Open(2);
  one.Report(1, true, false);
  one.Report(2, true, false);
  one.Run(milliseconds(1100));
  CHECK(one.Open(3));
  CHECK(one.dispatcher().counters().expired == 2);
}

// Guards against an open flow that gets a second endpoint from a copy of its
// opening packet that was parked until this VM was ready: another VM had placed
// the flow, and reports do not state its sequence number.
TEST_CASE("a late copy does not open a flow that was learnt from a report") {
  struct Row {
    Duration age;  // Of the opening packet, 20 ms after the report.
    bool opens;
  };
  const Row row =
      GENERATE(Row{milliseconds(230), false}, Row{milliseconds(20), false},
               // The caller uses its port again.
               Row{milliseconds(10), true});
  CAPTURE(row.age.count());
  OneEndpoint one;
  one.Report(1, true, false);
  one.Run(milliseconds(20));
  CHECK(one.Open(1, 5, 1, row.age) == row.opens);
}

TEST_CASE("flows that wait are taken out to be handed over") {
  OneEndpoint one;
  for (std::uint64_t n = 1; n <= 4; ++n) {
    one.Open(n);
  }
  const std::vector<FlowOpening> waiting =
      one.dispatcher().TakeWaiting(TimePoint(seconds(101)), kService);
  REQUIRE(waiting.size() == 2);
  CHECK(waiting[0].packet == "3");
  one.End(1);
  CHECK(one.actions().placements.empty());
}

TEST_CASE("without an endpoint a flow is refused immediately") {
  OneEndpoint one;
  FlowActions actions;
  one.dispatcher().SetEndpoints(TimePoint(seconds(100)), kService, {}, actions);
  CHECK(!one.Open(1));
  REQUIRE(one.actions().refusals.size() == 1);
  CHECK(one.actions().refusals[0].kind == ErrorKind::kNoEndpoint);
}

TEST_CASE("no caller waits for a silent endpoint that is to be tried again") {
  OneEndpoint one;
  Endpoint silent;
  silent.id = EndpointId(7);
  silent.service = kService;
  silent.name = "aa";
  silent.slots = kSlots;
  Endpoint other = silent;
  other.id = EndpointId(8);
  other.name = "bb";
  FlowActions actions;
  // Flow 1 is placed on endpoint 7 while that is the only one. Then endpoint 8
  // is added, and endpoint 7 does not answer the retransmission either.
  REQUIRE(one.Open(1));
  one.dispatcher().SetEndpoints(one.now(), kService, std::vector{silent, other},
                                actions);
  REQUIRE(one.Open(1, 1, 1));
  one.Run(FlowDispatcher::kMaxSilenceTimeout + milliseconds(50));
  REQUIRE(one.dispatcher().counters().endpoints_found_silent == 1);
  // Requests on two earlier flows occupy both slots of endpoint 7.
  one.Report(11, true, false);
  one.Report(12, true, false);
  one.Run(FlowDispatcher::kSilentProbeInterval);
  REQUIRE(one.Open(2));
  CHECK(one.actions().placements.front().endpoint == EndpointId(8));
}

// Guards against slots that stay occupied until the caller's timeout when no VM
// reports the progress of a flow, as after a restart of all VMs.
TEST_CASE("a flow whose progress is not reported gives its slot back") {
  struct Row {
    bool request_sent;        // Otherwise the endpoint has not accepted it.
    bool reports_incomplete;  // The dispatcher has just changed.
    bool released;
  };
  const auto row = GENERATE(values<Row>({{false, false, true},
                                         {false, true, true},
                                         {true, true, true},
                                         {true, false, false}}));
  OneEndpoint one;
  if (row.reports_incomplete) {
    one.dispatcher().OnDispatcherChanged(one.now(), kService);
  }
  for (const std::uint64_t id : {1, 2}) {
    REQUIRE(one.Open(id));
    if (row.request_sent) {
      one.Report(id, true, false);
    }
  }
  CHECK(!one.Open(3));
  one.Run(FlowDispatcher::kMaxSilenceTimeout + milliseconds(60));
  CHECK(one.IsPlaced(3) == row.released);
}

// Guards against a flow that is opened at two endpoints although the first one
// had no time to answer.
TEST_CASE("copies from before the placement don't move a flow") {
  OneEndpoint one;
  one.Open(1);
  one.Open(2);
  one.Report(1, true, false);
  one.Report(2, true, false);
  CHECK(!one.Open(3));
  CHECK(!one.Open(3, 1, 1));
  one.Run(milliseconds(590));
  one.End(1);
  REQUIRE(one.IsPlaced(3));
  one.Run(milliseconds(10));
  CHECK(one.Open(3, 1, 2));  // Sent to the same endpoint again.
  CHECK(one.dispatcher().counters().moved == 0);
  CHECK(one.dispatcher().counters().repeated == 1);
}

// Guards against callers that waited during an outage and make the next ones
// late.
TEST_CASE("late flows get the slots that others leave") {
  OneEndpoint one;
  one.Open(1);
  one.Open(2);
  one.Report(1, true, false);
  one.Report(2, true, false);
  CHECK(!one.Open(3, 1, 2, FlowDispatcher::kTransmissionTimes[2]));
  CHECK(one.actions().refusals.empty());
  CHECK(!one.Open(4));
  one.End(1);
  CHECK(one.IsPlaced(4));
  CHECK(!one.IsPlaced(3));
  one.End(2);
  CHECK(one.IsPlaced(3));
  CHECK(one.actions().events.back().late);
  CHECK(one.dispatcher().counters().placed_late == 1);
}

TEST_CASE("a late flow is refused when its caller is about to give up") {
  OneEndpoint one;
  one.Open(1);
  one.Open(2);
  one.Report(1, true, false);
  one.Report(2, true, false);
  CHECK(!one.Open(3, 1, 2, FlowDispatcher::kTransmissionTimes[2]));
  one.Run(milliseconds(300));
  CHECK(one.actions().refusals.empty());
  // The route's timeout of 1 s passes before kOpeningTimeout.
  one.Run(milliseconds(110));
  CHECK(one.actions().refusals.size() == 1);
}

TEST_CASE("an endpoint takes at least one flow a slot") {
  FlowDispatcherOptions options;
  options.overlap_percent = 99;
  CHECK(FlowDispatcher::Create(options, 1).error().kind() ==
        ErrorKind::kInvalidArgument);
}

TEST_CASE("a flow reports how long its parts took, and why it ended") {
  OneEndpoint one;
  one.Open(1);
  one.Run(milliseconds(5));
  one.Report(1, true, false);
  REQUIRE(one.actions().timings.size() == 1);
  CHECK(one.actions().timings[0].part == FlowTiming::Part::kHandshake);
  CHECK(one.actions().timings[0].duration == milliseconds(5));
  one.Run(milliseconds(20));
  one.Report(1, false, true);
  REQUIRE(one.actions().timings.size() == 1);
  CHECK(one.actions().timings[0].part == FlowTiming::Part::kAnswer);
  CHECK(one.actions().timings[0].duration == milliseconds(25));
  // The end of the next flow is not reported.
  one.Open(2);
  REQUIRE(one.actions().events.size() == 1);
  CHECK(one.actions().events[0].kind == FlowEvent::Kind::kPlaced);
  CHECK(one.actions().events[0].elapsed == Duration::zero());
  one.Run(milliseconds(1100));
  REQUIRE(one.actions().events.size() == 1);
  CHECK(one.actions().events[0].kind == FlowEvent::Kind::kExpired);
  CHECK(one.actions().events[0].endpoint == EndpointId(7));
  CHECK_FALSE(one.actions().events[0].accepted);
}

TEST_CASE("a flow that is given up in the queue has no endpoint") {
  OneEndpoint one;
  one.Open(1);
  one.Open(2);
  one.Open(3);
  one.End(3, true);
  REQUIRE(one.actions().events.size() == 1);
  CHECK(one.actions().events[0].kind == FlowEvent::Kind::kGivenUp);
  CHECK(one.actions().events[0].endpoint == EndpointId{});
}

TEST_CASE("a late copy of a flow that has ended opens nothing") {
  OneEndpoint one;
  REQUIRE(one.Open(1));
  one.End(1);
  CHECK_FALSE(one.Open(1, 1, 1));
  CHECK(one.actions().refusals.empty());
  // The caller reuses the port for another flow.
  CHECK(one.Open(1, 2));
  one.End(1);
  one.Run(milliseconds(1600));
  CHECK(one.Open(1, 2, 1));
}

TEST_CASE("a late copy of a flow that was refused is refused again") {
  OneEndpoint one;
  one.RemoveEndpoint();
  for (std::uint32_t copy = 0; copy < 3; ++copy) {
    one.Open(1, 1, copy);
    REQUIRE(one.actions().refusals.size() == 1);
    CHECK(one.actions().refusals[0].id == FlowId(1));
    CHECK(one.actions().refusals[0].kind == ErrorKind::kNoEndpoint);
  }
}

}  // namespace
}  // namespace vanillalatch
