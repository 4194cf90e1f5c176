// Runs a ControlNode: its gRPC service, its timer and its messages.
#ifndef VANILLALATCH_SRC_RUNTIME_CONTROL_SHELL_H_
#define VANILLALATCH_SRC_RUNTIME_CONTROL_SHELL_H_

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <memory>
#include <vector>

#include "vanillalatch/runtime/wakeup.h"
#include "vanillalatch/control/control_node.h"
#include "vanillalatch/rpc/control_client.h"
#include "vanillalatch/rpc/control_service.h"
#include "vanillalatch/settings/settings.h"

namespace vanillalatch {

class ControlShell {
 public:
  // Errors: those of OpenDisk(), ControlNode::Create(), StartControlService().
  static Result<std::unique_ptr<ControlShell>> Create(const Settings& settings);

  // Starts its fibers on this thread.
  void Start();
  // Hands leadership over, then stops. Suspends the calling fiber.
  void Stop();

  const ControlNode& node() const { return *node_; }

  // Calls from this thread; each gets one reply.
  void Apply(const pb::ApplyRequest& request,
             std::function<void(const pb::ApplyReply&)> then);
  void Get(std::function<void(const pb::GetReply&)> then);

 private:
  ControlShell(std::unique_ptr<Disk> disk, std::unique_ptr<ControlNode> node);

  void ServeCalls();
  void RunTimer();
  void Handle(const ControlCall& call);
  // Carries out what the node decided.
  void CarryOut();

  // Each takes one call into the open tickets and passes it to the node.
  void Accept(const std::monostate&) {}
  void Accept(const ApplyCall& call);
  void Accept(const GetCall& call);
  void Accept(const HistoryCall& call);
  void Accept(const StatusCall& call);
  void Accept(const SyncCall& call);
  void Accept(const StepCall& call);

  template <typename Reply>
  using OpenCalls =
      absl::flat_hash_map<Ticket, std::function<void(const Reply&)>>;
  template <typename Reply, typename Replies>
  void Answer(OpenCalls<Reply>& open, const Replies& replies);

  std::unique_ptr<Disk> disk_;
  std::unique_ptr<ControlNode> node_;
  ControlMailbox mailbox_;
  ControlClient client_;
  Wakeup wakeup_;
  std::uint64_t last_ticket_ = 0;
  OpenCalls<pb::ApplyReply> applies_;
  OpenCalls<pb::GetReply> gets_;
  OpenCalls<pb::HistoryReply> histories_;
  OpenCalls<pb::StatusReply> statuses_;
  OpenCalls<pb::SyncReply> syncs_;
  std::unique_ptr<RpcServer> server_;
  std::vector<boost::fibers::fiber> fibers_;
  bool stopping_ = false;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_RUNTIME_CONTROL_SHELL_H_
