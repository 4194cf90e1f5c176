// Runs a ControlNode on its own thread and does all of its I/O: the gRPC
// service, the timer, the messages and the disk. The node decides without I/O,
// except that it writes to the disk. A disk that hangs or fails delays no other
// part of the process; after a failure the node is created again from the
// stored data.
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
  using Callback = std::function<void(const Reply&)>;
  // Adds the registered endpoints to the reply for an entry VM that requested
  // them, packed if `packed` is true, and passes it to the callback. Called on
  // the control thread.
  using AddEndpoints =
      std::function<void(pb::SyncReply, bool packed, Callback<pb::SyncReply>)>;
  // Receives the text that StoreNote() stored before the start, or an empty
  // string if there is none. Called once, on the control thread, when the disk
  // is first opened.
  using OnNoteRead = std::function<void(const std::string&)>;

  // Receives each newer catalog of which this VM learns that it is committed.
  // Called on the control thread.
  using OnCatalog = std::function<void(const pb::Catalog&)>;

  // Starts the gRPC service. Errors: those of StartControlService(). A disk
  // that fails is no error here: opening it is retried until it succeeds.
  static Result<std::unique_ptr<ControlShell>> Create(const Settings& settings);

  // These must be called before Start().
  void SetAddEndpoints(AddEndpoints add) { add_endpoints_ = std::move(add); }
  void SetOnNoteRead(OnNoteRead on_note_read) {
    on_note_read_ = std::move(on_note_read);
  }
  void SetOnCatalog(OnCatalog on_catalog) {
    on_catalog_ = std::move(on_catalog);
  }

  // Starts the control thread.
  void Start();
  // Transfers leadership to another control VM if this one leads, then stops.
  // Suspends the calling fiber, for about 3 s at most, then blocks its thread
  // while the gRPC server stops.
  void Stop();

  // Both are thread-safe. The callback is called once, on the control thread;
  // not at all if the queue of the thread is full or closed.
  // `is_abandoned` is that of CallOrigin.
  void Apply(pb::ApplyRequest request, Callback<pb::ApplyReply> callback,
             std::function<bool()> is_abandoned = {});
  void Get(Callback<pb::GetReply> callback);
  // Stores a short text in the data folder, in place of the one stored before.
  // The write is best effort: after a crash the text may be missing or old.
  // Thread-safe.
  void StoreNote(std::string text);
  // The status after the node's last action. The role is kClosedRole while
  // there is no node. Thread-safe.
  pb::ControlStatus Status() const;

 private:
  template <typename Reply>
  using OpenCalls = absl::flat_hash_map<Ticket, Callback<Reply>>;
  using Job = std::function<void()>;

  explicit ControlShell(const Settings& settings);

  void RunThread();
  void ServeCalls();
  void ServeSyncs();
  void RunJobs();
  void RunTimer();
  // Ends the fibers of the control thread, after the leadership transfer.
  void TransferLeadershipAndEnd();
  // Runs `operation` on the node and executes the actions that the node
  // requests. Refuses every open call if there is no node or the disk fails.
  void RunOnNode(const std::function<void(ControlNode&)>& operation);
  // Opens the disk and creates the node from it.
  void OpenNode();
  // Returns the text of StoreNote(); empty if there is none or it can't be
  // read.
  std::string ReadNote();
  // Destroys the node after a disk failure, and schedules OpenNode(). A build
  // that can't read the stored data does not try again.
  void CloseNode(const Error& error);
  // Logs an error of the disk. One that repeats is logged after 1, 2, 4, 8 ...
  // times, so that it does not displace what preceded it.
  void LogRefusal(const Error& error);
  void RefuseOpenCalls(ErrorKind refusal, const std::string& reason);
  // Sends the messages and replies that the node requested.
  void ExecuteActions();
  // Passes the catalog on if it is newer than the last one.
  void PassCatalogOn();
  // Asks a control VM for its feature level.
  void SendProbe(const ControlActions::Probe& probe);
  // Stores the status and logs changes of feature levels.
  void UpdateStatus(const pb::ControlStatus& status);
  // Queues a job for the control thread. Returns false if the queue is full or
  // closed.
  bool Post(Job job);

  // Each registers the call as open and passes it to the node.
  void Handle(const std::monostate&) {}
  void Handle(const ApplyCall& call);
  void Handle(const GetCall& call);
  void Handle(const HistoryCall& call);
  void Handle(const StatusCall& call);
  void Handle(const StepCall& call);
  // The same for a Sync call. One that was cancelled while it waited is not
  // passed to the node.
  void HandleSync(const SyncCall& call);

  // Calls the callbacks of the calls that the node has answered.
  template <typename Reply, typename Replies>
  void SendReplies(OpenCalls<Reply>& open, const Replies& replies);
  // Registers an open call. Returns the ticket under which the node answers it.
  template <typename Reply>
  Ticket AddOpenCall(OpenCalls<Reply>& open, Callback<Reply> callback);

  const Settings settings_;
  std::unique_ptr<Disk> disk_;
  std::unique_ptr<ControlNode> node_;  // nullptr while the disk fails.
  ControlMailbox mailbox_;
  SyncMailbox sync_mailbox_;
  // Shared with open probes, which may be answered after the shell has ended.
  std::shared_ptr<boost::fibers::buffered_channel<Job>> jobs_;
  ControlClient client_;
  Wakeup wakeup_;
  TimePoint reopen_at_{};  // When to call OpenNode() again if node_ is nullptr.
  std::string refusal_reason_;  // Empty once the node has been opened.
  std::uint64_t refusals_ = 0;  // With this reason.
  std::uint64_t last_ticket_ = 0;
  OpenCalls<pb::ApplyReply> applies_;
  OpenCalls<pb::GetReply> gets_;
  OpenCalls<pb::HistoryReply> histories_;
  OpenCalls<pb::StatusReply> statuses_;
  OpenCalls<pb::SyncReply> syncs_;
  std::unique_ptr<RpcServer> server_;
  AddEndpoints add_endpoints_;
  OnNoteRead on_note_read_;
  OnCatalog on_catalog_;
  std::uint64_t last_revision_ = 0;  // The newest that was passed to it.
  std::thread thread_;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> stopped_ = false;
  mutable std::mutex status_mutex_;  // Guards status_.
  pb::ControlStatus status_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_RUNTIME_CONTROL_SHELL_H_
