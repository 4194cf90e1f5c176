// Runs a control VM's PeerNode, and lets doors reach it and the ControlShell.
#ifndef VANILLALATCH_SRC_RUNTIME_FLEET_SHELL_H_
#define VANILLALATCH_SRC_RUNTIME_FLEET_SHELL_H_

#include <memory>
#include <string>

#include "src/runtime/control_shell.h"
#include "src/runtime/kept_endpoints.h"
#include "src/runtime/member_log.h"
#include "vanillalatch/packetflow/peer_node.h"
#include "vanillalatch/runtime/control_gate.h"
#include "vanillalatch/runtime/reactor.h"
#include "vanillalatch/runtime/udp_socket.h"
#include "vanillalatch/runtime/wakeup.h"
#include "vanillalatch/settings/settings.h"

namespace vanillalatch {

// How this VM appears among the VMs of its fleet.
MemberListOptions FleetMember(const Settings& settings, bool dispatches);

class FleetShell final : public ControlGate {
 public:
  // Errors: those of UdpSocket::Bind() and PeerNode::Create().
  static Result<std::unique_ptr<FleetShell>> Create(const Settings& settings,
                                                    ControlShell& control);

  // Starts its fibers on this thread.
  void Start(Reactor& reactor);
  // Tells the other VMs that this one stops.
  void Stop();

  void Register(Registration registration, bool leaving,
                Then<Result<EndpointId>> then) override;
  void EndRegistration(std::string name,
                       Then<Result<EndpointId>> then) override;
  void Apply(pb::Change change, Then<pb::ApplyReply> then) override;
  void Get(Then<pb::GetReply> then) override;

 private:
  using Job = std::function<void()>;

  FleetShell(UdpSocket socket, std::unique_ptr<PeerNode> peers,
             ControlShell& control, Duration heartbeat);

  void ServeSocket(FdWaiter& waiter);
  void RunTimer();
  void RunJobs();
  void Post(Job job);
  Result<EndpointId> RegisterNow(const Registration& registration,
                                 bool leaving);
  // Endpoints as they are now, for an entry VM that has just started.
  void AddEndpoints(pb::SyncReply reply,
                    const ControlShell::Then<pb::SyncReply>& then);
  // Stores the endpoints when they have changed, so that a start of the whole
  // fleet need not wait for every heartbeat.
  void KeepEndpoints();
  void TakeKept(const std::string& text);
  void Flush();

  UdpSocket socket_;
  std::unique_ptr<PeerNode> peers_;
  ControlShell& control_;
  boost::fibers::buffered_channel<Job> jobs_;
  KeptEndpoints kept_;
  MemberLog member_log_;
  Outbox out_;
  Wakeup wakeup_;
  bool stopped_ = false;
  // Every endpoint has had the time to be heard, here or at a peer.
  TimePoint whole_at_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_RUNTIME_FLEET_SHELL_H_
