// What happened to a request at one hop: the decisions that traces and
// `ctl explain` show. Cheap to record; formatted only when somebody asks.
//
//   hops.push_back({request, now, HopEvent::kPlaced, endpoint.value()});
#ifndef VANILLALATCH_BASE_HOP_H_
#define VANILLALATCH_BASE_HOP_H_

#include <cstdint>
#include <string_view>

#include "vanillalatch/base/error.h"
#include "vanillalatch/base/strong.h"
#include "vanillalatch/base/time.h"

namespace vanillalatch {

enum class HopEvent : std::uint8_t {
  kReceived,    // From a caller; subject: the caller's packed address.
  kHandedOver,  // To the dispatcher; subject: its NodeId.
  kAccepted,    // By the dispatcher; subject: the ingress' NodeId.
  kQueued,      // No free slot; subject: requests ahead.
  kPlaced,      // Sent to an endpoint; subject: its EndpointId.
  kRetried,     // Sent to another endpoint; subject: its EndpointId.
  kAnswered,    // To the caller; subject: the CoAP code.
  kRefused,     // Final answer without a run; subject: the ErrorKind.
  kGivenUp,     // Final answer, outcome as its kind says; subject: ErrorKind.
  kReplayed,    // The recorded answer was sent again.
  kTakenOver,   // By the successor of a lost dispatcher; subject: old NodeId.
  kDropped,     // A late, doubled or crossed answer; subject: EndpointId.
};

// Stable name in traces and logs.
std::string_view HopEventName(HopEvent event);

struct Hop {
  RequestId request;
  TimePoint at;
  HopEvent event;
  std::uint64_t subject;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_BASE_HOP_H_
