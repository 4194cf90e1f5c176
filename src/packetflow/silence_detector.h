// Detects silent endpoints of a dispatcher: endpoints that do not answer the
// opening packets sent to them. An endpoint has answered a flow if the caller
// sends another packet after the opening packet.
//
//   detector.OnAnswer(endpoint, service, flow.sent_at);
//   if (detector.IsOverdue(now, endpoint, service, flow.sent_at)) {
//     overdue.push_back(flow);
//   }
//   if (detector.Evaluate(now, endpoint, service, evidence) !=
//       SilenceDetector::Verdict::kNotSilent) {
//     MoveElsewhere(overdue);
//   }
#ifndef VANILLALATCH_SRC_PACKETFLOW_SILENCE_DETECTOR_H_
#define VANILLALATCH_SRC_PACKETFLOW_SILENCE_DETECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>

#include "vanillalatch/admission/answer_time.h"
#include "vanillalatch/base/strong.h"
#include "vanillalatch/base/time.h"
#include "vanillalatch/registry/registry.h"

namespace vanillalatch::internal {

// Describes the overdue flows of one endpoint.
struct SilenceEvidence {
  std::size_t unanswered_flows = 0;
  // A caller has retransmitted its opening packet.
  bool has_retransmission = false;
};

class SilenceDetector {
 public:
  // Detects pauses of this VM by the time between two calls. The time that a
  // flow waits is counted from the end of the last pause.
  void OnTick(TimePoint now);
  // Records that this VM's link is late. Flows that were sent before are no
  // evidence, as a full link drops reports of progress.
  void OnLinkLate(TimePoint now) { link_late_at_ = now; }
  // Records that this VM, or another one, has become the dispatcher of the
  // service. Until all VMs have received this change, some of them report the
  // progress of flows that this VM placed to another VM.
  void OnDispatcherChanged(TimePoint now, ServiceId service) {
    inconclusive_until_[service] = now + kDispatcherChangeGrace;
  }
  // Records the time from sending an opening packet to the caller's next
  // packet.
  void OnHandshake(TimePoint now, Duration handshake) {
    handshake_time_.Add(now, handshake);
  }
  // Records that the endpoint answered a flow whose opening packet was sent at
  // `sent_at`. Returns true if the endpoint was silent until now.
  bool OnAnswer(EndpointId endpoint, ServiceId service, TimePoint sent_at);

  // True if all VMs report the progress of a flow of the service that was sent
  // at `sent_at` to the VM that placed it: not until the end of the grace
  // period that OnDispatcherChanged() starts.
  bool AreReportsComplete(ServiceId service, TimePoint sent_at) const {
    const auto it = inconclusive_until_.find(service);
    return it == inconclusive_until_.end() || sent_at >= it->second;
  }

  // How long a flow may wait for an answer of its endpoint before it is
  // overdue: derived from the mean handshake time, or kMaxSilenceTimeout if no
  // handshake was recorded recently.
  Duration WaitLimit(TimePoint now) const;
  // True if a flow whose opening packet was sent at `sent_at` is overdue and no
  // flow that was sent later to the endpoint has been answered. False for flows
  // that were sent before the end of the grace period that
  // OnDispatcherChanged() starts.
  bool IsOverdue(TimePoint now, EndpointId endpoint, ServiceId service,
                 TimePoint sent_at) const;
  enum class Verdict : std::uint8_t {
    kNotSilent,
    kNewlySilent,
    kAlreadySilent
  };
  // Decides whether the endpoint is silent, and records it.
  Verdict Evaluate(TimePoint now, EndpointId endpoint, ServiceId service,
                   const SilenceEvidence& evidence);
  // Returns a silent endpoint of the service to which the next flow should be
  // sent as a probe; nullopt if no probe is due.
  std::optional<EndpointId> TakeProbe(TimePoint now, ServiceId service);
  // Removes the service's endpoints that are not in `endpoints`.
  void RetainOnly(ServiceId service, std::span<const Endpoint> endpoints);

 private:
  // Number of handshakes over which the mean handshake time is smoothed.
  static constexpr std::uint64_t kHandshakeSmoothing = 64;
  // A change of the membership reaches every VM within this time, which is a
  // few probe intervals of the membership protocol.
  static constexpr Duration kDispatcherChangeGrace =
      std::chrono::milliseconds(300);

  struct State {
    ServiceId service;
    // When the opening packet of the latest flow that it answered was sent.
    TimePoint last_answered_sent_at;
    bool silent = false;
    TimePoint probe_due;  // The next probe is due then, if it is silent.
  };

  std::map<EndpointId, State> endpoints_;
  // Flows of a service that were sent before this time are no evidence.
  std::map<ServiceId, TimePoint> inconclusive_until_;
  AnswerTime handshake_time_{kHandshakeSmoothing};
  TimePoint last_tick_{};
  TimePoint running_since_{};  // End of the last pause of this VM.
  TimePoint link_late_at_{};   // When the link was last late.
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_PACKETFLOW_SILENCE_DETECTOR_H_
