// Which endpoints of a dispatcher answer nobody, judged by the flows that it
// sent there and whose callers go on or don't.
//
//   watch.OnAnswer(endpoint, service, flow.sent_at);
//   if (watch.Unanswered(now, endpoint, flow.sent_at)) waiting.push_back(flow);
//   if (watch.Judge(now, endpoint, service, evidence)) MoveElsewhere(waiting);
#ifndef VANILLALATCH_SRC_PACKETFLOW_SILENCE_WATCH_H_
#define VANILLALATCH_SRC_PACKETFLOW_SILENCE_WATCH_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>

#include "vanillalatch/admission/answer_time.h"
#include "vanillalatch/base/strong.h"
#include "vanillalatch/base/time.h"
#include "vanillalatch/registry/registry.h"

namespace vanillalatch::internal {

// Flows of one endpoint that have waited for longer than the limit.
struct SilenceEvidence {
  std::size_t flows = 0;
  bool copied = false;  // A caller has sent a copy of its opening packet.
};

class SilenceWatch {
 public:
  // Notices pauses of this VM, after which its silence says nothing.
  void OnTick(TimePoint now);
  // Another VM dispatches the service, or this one does now. Until all VMs know
  // it, some tell another VM of flows that this one has placed.
  void OnDispatcherChanged(TimePoint now, ServiceId service) {
    views_differ_until_[service] = now + kViewsDiffer;
  }
  // A caller went on this long after its opening packet was sent.
  void OnHandshake(TimePoint now, Duration handshake) {
    handshake_.Add(now, handshake);
  }
  // The endpoint answered a flow that was sent at `sent_at`. True if it was
  // silent until now.
  bool OnAnswer(EndpointId endpoint, ServiceId service, TimePoint sent_at);

  // How long a flow may wait for its endpoint.
  Duration Limit(TimePoint now) const;
  // True if a flow that was sent then has waited for too long.
  bool Unanswered(TimePoint now, EndpointId endpoint, ServiceId service,
                  TimePoint sent_at) const;
  enum class Verdict : std::uint8_t { kNotYet, kFound, kKnown };
  // Whether the endpoint is silent: found now, or known before.
  Verdict Judge(TimePoint now, EndpointId endpoint, ServiceId service,
                const SilenceEvidence& evidence);
  // A silent endpoint of the service that is to be tried again.
  std::optional<EndpointId> TakeProbe(TimePoint now, ServiceId service);
  // Forgets the service's endpoints that are not among these.
  void Keep(ServiceId service, std::span<const Endpoint> endpoints);

 private:
  // Handshakes that the usual time is taken from.
  static constexpr std::uint64_t kHandshakeSmoothing = 64;
  // News of a member reaches every VM within this time, some probe intervals
  // of membership.
  static constexpr Duration kViewsDiffer = std::chrono::milliseconds(300);

  struct State {
    ServiceId service;
    TimePoint answered_up_to;  // When the latest flow it answered was sent.
    bool silent = false;
    TimePoint probe_due;
  };

  std::map<EndpointId, State> endpoints_;
  std::map<ServiceId, TimePoint> views_differ_until_;
  AnswerTime handshake_{kHandshakeSmoothing};
  TimePoint last_tick_{};
  TimePoint heard_since_{};  // Without a pause of this VM.
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_PACKETFLOW_SILENCE_WATCH_H_
