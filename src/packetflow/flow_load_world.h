// Plays callers and endpoints against one FlowDispatcher in virtual time, for
// tests of what callers get under load. A caller opens a flow for one request;
// it retransmits its opening packet, gives up, and tries again after a refusal
// as described in flow_dispatcher.h. An endpoint runs as many requests as it
// has slots, first in, first out, and sheds what exceeds its queue. During an
// outage the dispatcher receives nothing, and a new one starts at its end.
//
//   LoadResult ours = RunFlowLoad(plan, seed);
//   CHECK(ours.classes[0].InTargetPart() >= 0.98);
#ifndef VANILLALATCH_SRC_PACKETFLOW_FLOW_LOAD_WORLD_H_
#define VANILLALATCH_SRC_PACKETFLOW_FLOW_LOAD_WORLD_H_

#include <cstdint>
#include <vector>

#include "vanillalatch/packetflow/flow_dispatcher.h"

namespace vanillalatch::internal {

struct LoadClass {
  ClassTarget target;
  Duration timeout{};  // The caller's time for the request and its tries.
  Duration mean_demand{};
  double part = 0;  // Of the offered load.
};

// The load as a part of the capacity from a time on.
struct LoadStep {
  TimePoint from;
  double load = 0;
};

struct LoadPlan {
  std::uint32_t endpoints = 14;
  std::uint32_t slots = 3;
  std::uint32_t endpoint_queue = 12;
  std::vector<LoadClass> classes;
  std::vector<LoadStep> steps;
  TimePoint outage_from = kNever;
  TimePoint outage_to = kNever;
  TimePoint end;  // No caller begins after this time.
  // Callers that begin before this time don't count.
  TimePoint measured_from;
};

struct LoadClassResult {
  std::uint64_t asked = 0;
  std::uint64_t in_target = 0;  // Answered within the latency target.
  std::uint64_t late = 0;       // Answered later.
  // Refused for the last time with half a second or more of the timeout left.
  std::uint64_t refused_early = 0;

  double InTargetPart() const {
    return static_cast<double>(in_target) / static_cast<double>(asked);
  }
  double AnsweredPart() const {
    return static_cast<double>(in_target + late) / static_cast<double>(asked);
  }
};

struct LoadResult {
  std::vector<LoadClassResult> classes;
  // From the end of the outage until the last caller began of whom, within
  // 0.1 s, fewer than 95 % were answered within their target.
  Duration recovery{};
  std::uint64_t in_target() const;
  std::uint64_t answered() const;
};

// Plays `plan` with FlowDispatcher.
LoadResult RunFlowLoad(const LoadPlan& plan, std::uint64_t seed);
// Plays `plan` with one queue for all slots that knows the mean demands. It
// first serves the requests that can still meet their target, in class order,
// then those that can only be late, and none that can't be answered in time.
// Callers wait for it, and nothing is served during the outage.
LoadResult RunIdealLoad(const LoadPlan& plan, std::uint64_t seed);

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_PACKETFLOW_FLOW_LOAD_WORLD_H_
