// Tests what FlowDispatcher takes for evidence of silence, and how many flows
// it moves for it. Guards against verdicts that are due to a full link, and
// against moves that fill it.
#include <catch2/catch.hpp>

#include "vanillalatch/packetflow/flow_dispatcher.h"

namespace vanillalatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ServiceId kService{1};
constexpr ClassId kClass{1};
constexpr std::uint64_t kFlows = 30;

// A dispatcher whose flows are all on one endpoint, which does not answer. A
// second one is free.
class SilentEndpoint {
 public:
  explicit SilentEndpoint(bool limit_moves) {
    FlowDispatcherOptions options;
    options.limit_moves = limit_moves;
    dispatcher_ = FlowDispatcher::Create(options, 1).value();
    ClassTarget target;
    target.id = kClass;
    target.latency = seconds(1);
    dispatcher_->SetClasses(std::vector{target});
    Endpoint endpoint;
    endpoint.id = EndpointId(7);
    endpoint.service = kService;
    endpoint.name = "aa";
    endpoint.slots = kFlows;
    endpoints_.push_back(endpoint);
    dispatcher_->SetEndpoints(now_, kService, endpoints_, actions_);
    endpoint.id = EndpointId(8);
    endpoint.name = "bb";
    endpoint.slots = 2 * kFlows;
    endpoints_.push_back(endpoint);
  }

  void AddSecondEndpoint() {
    dispatcher_->SetEndpoints(now_, kService, endpoints_, actions_);
  }

  void Open(std::uint64_t id, std::uint32_t copy = 0) {
    FlowOpening opening;
    opening.id = FlowId(id);
    opening.service = kService;
    opening.work_class = kClass;
    opening.timeout = seconds(2);
    opening.copy = copy;
    opening.progress_reported = true;
    dispatcher_->Open(now_, opening, actions_);
  }

  // Advances the time, with a tick every 5 ms.
  void Run(Duration time, bool link_late = false) {
    for (const TimePoint end = now_ + time; now_ < end;) {
      now_ += milliseconds(5);
      if (link_late) {
        dispatcher_->OnLinkLate(now_);
      }
      dispatcher_->OnTick(now_, actions_);
    }
  }

  void Report(std::uint64_t id, Duration age) {
    FlowUpdate update;
    update.id = FlowId(id);
    update.request_sent = true;
    update.age = age;
    dispatcher_->OnFlowUpdate(now_, update, {}, actions_);
  }

  const FlowActions& actions() const { return actions_; }
  const FlowDispatcherCounters& counters() const {
    return dispatcher_->counters();
  }

 private:
  std::unique_ptr<FlowDispatcher> dispatcher_;
  std::vector<Endpoint> endpoints_;
  TimePoint now_{seconds(100)};
  FlowActions actions_;
};

TEST_CASE("flows beyond the budget move with their next retransmission") {
  const bool limit = GENERATE(false, true);
  SilentEndpoint one(limit);
  for (std::uint64_t id = 1; id <= kFlows; ++id) {
    one.Open(id);
  }
  one.AddSecondEndpoint();
  one.Run(milliseconds(290));
  const std::uint64_t moved = one.counters().moved;
  CHECK(one.counters().endpoints_found_silent == 1);
  CHECK(moved == (limit ? 10 : kFlows));
  CHECK(one.counters().moves_refused == kFlows - moved);
  for (std::uint64_t id = 1; id <= kFlows; ++id) {
    one.Open(id, 1);
  }
  // Those that were moved are repeated to their new endpoint.
  CHECK(one.counters().moved == kFlows);
  CHECK(one.counters().repeated == moved);
}

TEST_CASE("flows that were sent while the link was late are no evidence") {
  SilentEndpoint one(true);
  one.Open(1);
  one.Open(2);
  one.AddSecondEndpoint();
  one.Run(milliseconds(400), true);
  one.Run(milliseconds(400));
  CHECK(one.counters().endpoints_found_silent == 0);
  // Retransmissions after it are sent to the endpoint again, and count.
  one.Open(1, 1);
  one.Open(2, 1);
  one.Run(milliseconds(290));
  CHECK(one.counters().endpoints_found_silent == 1);
}

TEST_CASE("a measured time excludes the age of its report") {
  SilentEndpoint one(true);
  one.Open(1);
  one.Run(milliseconds(10));
  one.Report(1, milliseconds(4));
  REQUIRE(one.actions().timings.size() == 2);
  CHECK(one.actions().timings[1].part == FlowTiming::Part::kHandshake);
  CHECK(one.actions().timings[1].duration == milliseconds(6));
}

}  // namespace
}  // namespace vanillalatch
