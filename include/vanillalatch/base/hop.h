// Hop: one event in the handling of a request on one VM, as shown by traces and
// `ctl explain`. A Hop is a plain struct, so recording one is cheap; the text
// is formatted only when a trace or `ctl explain` is requested.
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
  kReceived,    // Came from a caller; subject: the caller's packed address.
  kHandedOver,  // Sent to the dispatcher; subject: its NodeId.
  kAccepted,    // Taken by the dispatcher; subject: the ingress' NodeId.
  kQueued,      // Waits for a free slot; subject: number of requests ahead.
  kPlaced,      // Sent to an endpoint; subject: its EndpointId.
  kRetried,     // Sent to another endpoint; subject: its EndpointId.
  kAnswered,    // Answer sent to the caller; subject: the CoAP code.
  kRefused,     // Ended without being run; subject: the ErrorKind.
  kGivenUp,     // Ended with an error; subject: the ErrorKind, which tells
                // whether the request may have run.
  kReplayed,    // The recorded answer was sent again; subject: its CoAP
                // code.
  kTakenOver,   // Taken by the successor of a failed dispatcher; subject: the
                // NodeId of the failed one.
  kDropped,  // A late, duplicate or unexpected answer was discarded; subject:
             // the EndpointId that sent it.
};

// Returns the stable name of `event` in traces and logs.
std::string_view HopEventName(HopEvent event);

struct Hop {
  RequestId request;
  TimePoint at;
  HopEvent event;
  std::uint64_t subject;  // Its meaning depends on `event`; see HopEvent.
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_BASE_HOP_H_
