// Runs the PeerNode of a control VM in a fleet and does its I/O, and gives the
// platform adapter access to that node and to the ControlShell. The PeerNode
// contains the registered endpoints.
#ifndef VANILLALATCH_SRC_RUNTIME_FLEET_SHELL_H_
#define VANILLALATCH_SRC_RUNTIME_FLEET_SHELL_H_

#include <memory>
#include <string>

#include "absl/container/flat_hash_set.h"
#include "src/runtime/control_shell.h"
#include "src/runtime/member_log.h"
#include "src/runtime/stored_endpoints.h"
#include "vanillalatch/packetflow/peer_node.h"
#include "vanillalatch/runtime/control_api.h"
#include "vanillalatch/runtime/reactor.h"
#include "vanillalatch/runtime/udp_socket.h"
#include "vanillalatch/runtime/wakeup.h"
#include "vanillalatch/settings/settings.h"

namespace vanillalatch {

// The options with which this VM joins the members of its fleet. `dispatches`:
// the VM places flows, as entry VMs do.
MemberListOptions MakeMemberOptions(const Settings& settings, bool dispatches);

class FleetShell final : public ControlApi {
 public:
  // `control` must outlive the shell. Errors: those of UdpSocket::Bind() and
  // PeerNode::Create().
  static Result<std::unique_ptr<FleetShell>> Create(const Settings& settings,
                                                    ControlShell& control);

  // Starts the fibers of the shell on this thread. Must be called before
  // ControlShell::Start().
  void Start(Reactor& reactor);
  // Announces to the other VMs that this one leaves, and ends the fibers of the
  // socket and the timer.
  void Stop();

  void Register(Registration registration, bool leaving,
                Callback<Result<EndpointId>> callback) override;
  void EndRegistration(std::string name,
                       Callback<Result<EndpointId>> callback) override;
  void Apply(pb::Change change, Callback<pb::ApplyReply> callback,
             std::function<bool()> is_abandoned) override;
  void Get(Callback<pb::GetReply> callback) override;
  bool HasNewerPeer() const override;

 private:
  using Job = std::function<void()>;

  FleetShell(UdpSocket socket, std::unique_ptr<PeerNode> peers,
             ControlShell& control, Duration heartbeat);

  void ServeSocket(FdWaiter& waiter);
  void RunTimer();
  void RunJobs();
  // Queues a job for the thread of this shell. Drops it if the queue is full.
  void Post(Job job);
  Result<EndpointId> RegisterNow(Registration registration, bool leaving);
  // Adds the currently registered endpoints to the reply for an entry VM that
  // has just started. `packed`: the VM reads packed messages.
  void AddEndpoints(pb::SyncReply reply, bool packed,
                    const ControlShell::Callback<pb::SyncReply>& callback);
  // Adds the endpoints as they were at most kPackedEndpointsAge ago, so that
  // they are encoded once for many VMs that start together.
  void AddPackedEndpoints(TimePoint now, pb::SyncReply& reply);
  // Stores the endpoints when that is due, so that after a start of the whole
  // fleet the VMs need not wait for a heartbeat of every endpoint.
  void StoreEndpoints();
  // Registers the endpoints that were stored before the start, unless they are
  // too old.
  void RestoreEndpoints(const std::string& text);
  // Sends the datagrams in the outbox.
  void Flush();

  UdpSocket socket_;
  std::unique_ptr<PeerNode> peers_;
  ControlShell& control_;
  boost::fibers::buffered_channel<Job> jobs_;
  StoredEndpoints stored_endpoints_;
  MemberLog member_log_;
  // The services of the newest catalog. Endpoints of others displace none.
  absl::flat_hash_set<ServiceId> services_;
  Outbox out_;
  Wakeup wakeup_;
  bool stopped_ = false;
  // From then on the registry counts as complete: every endpoint has had the
  // time to send a heartbeat to this VM or to a peer.
  TimePoint complete_at_;
  pb::Packed packed_endpoints_;
  bool packed_whole_ = false;  // They were packed after complete_at_.
  TimePoint packed_until_ = TimePoint::min();
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_RUNTIME_FLEET_SHELL_H_
