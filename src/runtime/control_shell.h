// Runs a ControlNode on a thread of its own: its gRPC service, its timer, its
// messages and its disk. A disk that hangs or refuses holds up nothing else;
// after a refusal the node is made anew from what is stored.
#ifndef VANILLALATCH_SRC_RUNTIME_CONTROL_SHELL_H_
#define VANILLALATCH_SRC_RUNTIME_CONTROL_SHELL_H_

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "vanillalatch/control/control_node.h"
#include "vanillalatch/rpc/control_client.h"
#include "vanillalatch/rpc/control_service.h"
#include "vanillalatch/runtime/wakeup.h"
#include "vanillalatch/settings/settings.h"

namespace vanillalatch {

class ControlShell {
 public:
  template <typename Reply>
  using Then = std::function<void(const Reply&)>;
  // Completes the reply to an entry VM that asked for endpoints, and passes it
  // on. Called on the control thread.
  using AddEndpoints = std::function<void(pb::SyncReply, Then<pb::SyncReply>)>;
  // What was stored by KeepNote(); empty if there is nothing. Called on the
  // control thread, once.
  using OnNote = std::function<void(const std::string&)>;

  // Errors: those of StartControlService(). A disk that refuses is tried again
  // and again.
  static Result<std::unique_ptr<ControlShell>> Create(const Settings& settings);

  // Before Start().
  void SetAddEndpoints(AddEndpoints add) { add_endpoints_ = std::move(add); }
  void SetOnNote(OnNote on_note) { on_note_ = std::move(on_note); }

  void Start();
  // Hands leadership over, then stops. Suspends the calling fiber.
  void Stop();

  // Any thread may call these; each gets one reply, on the control thread.
  void Apply(pb::ApplyRequest request, Then<pb::ApplyReply> then);
  void Get(Then<pb::GetReply> then);
  // Stores a small text that may be lost or old after a crash.
  void KeepNote(std::string text);
  pb::ControlStatus Status() const;

 private:
  template <typename Reply>
  using OpenCalls = absl::flat_hash_map<Ticket, Then<Reply>>;
  using Job = std::function<void()>;

  explicit ControlShell(const Settings& settings);

  void RunThread();
  void ServeCalls();
  void RunJobs();
  void RunTimer();
  void HandOver();
  // Runs `work` on the node and carries out what it decides. Without a node,
  // or if the disk refuses, every open call is refused.
  void WithNode(const std::function<void(ControlNode&)>& work);
  void OpenNode();
  void LoseNode(const Error& error);
  void RefuseOpenCalls(ErrorKind refusal, const std::string& reason);
  // Carries out what the node decided.
  void CarryOut();
  bool Post(Job job);

  // Each takes one call into the open tickets and passes it to the node.
  void Accept(const std::monostate&) {}
  void Accept(const ApplyCall& call);
  void Accept(const GetCall& call);
  void Accept(const HistoryCall& call);
  void Accept(const StatusCall& call);
  void Accept(const SyncCall& call);
  void Accept(const StepCall& call);

  template <typename Reply, typename Replies>
  void Answer(OpenCalls<Reply>& open, const Replies& replies);
  template <typename Reply>
  Ticket Open(OpenCalls<Reply>& open, Then<Reply> then);

  const Settings settings_;
  std::unique_ptr<Disk> disk_;
  std::unique_ptr<ControlNode> node_;  // Empty while the disk refuses.
  ControlMailbox mailbox_;
  boost::fibers::buffered_channel<Job> jobs_;
  ControlClient client_;
  Wakeup wakeup_;
  TimePoint reopen_at_{};
  std::uint64_t last_ticket_ = 0;
  OpenCalls<pb::ApplyReply> applies_;
  OpenCalls<pb::GetReply> gets_;
  OpenCalls<pb::HistoryReply> histories_;
  OpenCalls<pb::StatusReply> statuses_;
  OpenCalls<pb::SyncReply> syncs_;
  std::unique_ptr<RpcServer> server_;
  AddEndpoints add_endpoints_;
  OnNote on_note_;
  std::thread thread_;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> stopped_ = false;
  mutable std::mutex status_mutex_;
  pb::ControlStatus status_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_RUNTIME_CONTROL_SHELL_H_
