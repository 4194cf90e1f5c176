#include "src/runtime/control_shell.h"

#include <bit>
#include <boost/fiber/operations.hpp>
#include <functional>
#include <random>
#include <utility>

#include "vanillalatch/runtime/reactor.h"
#include "vanillalatch/telemetry/log.h"

namespace vanillalatch {
namespace {

constexpr std::size_t kMailboxCapacity = 4096;  // A power of two.
// How long a planned stop waits for the leadership transfer.
constexpr Duration kStopTimeout = std::chrono::seconds(3);
constexpr Duration kStopPollInterval = std::chrono::milliseconds(20);
constexpr const char* kDiskFailed = "the disk of this control VM refuses";
constexpr const char* kBuildTooOld =
    "the build of this control VM can't read its data";
constexpr std::size_t kJobQueueCapacity = 4096;  // A power of two.
// How long after a failure the disk is opened again: well within the time for
// which operators wait for an acknowledgement.
constexpr Duration kReopenDelay = std::chrono::milliseconds(500);
// The file in the data folder that contains the text of StoreNote().
constexpr std::string_view kNoteFile = "note";

// Configures a control VM whose settings name no voters: it joins the group
// through the control VMs of its fleet. Control VMs of a fleet are identified
// by their addresses alone.
void ConfigureOpenMembership(const Settings& settings,
                             ControlOptions& options) {
  options.vm = settings.control->listen.ToString();
  options.address = options.vm;
  options.data_center = settings.data_center;
  options.open_membership = true;
  options.may_bootstrap = settings.control->first_start;
  for (const SocketAddress& it : settings.fleet->control) {
    options.configured_vms.push_back({it.ToString(), it.ToString(), ""});
  }
}

// Returns a callback that answers the gRPC call.
template <typename Call>
auto MakeReplyCallback(const Call& call) {
  return [call](const auto& reply) { call.Reply(reply); };
}

ControlOptions MakeControlOptions(const Settings& settings) {
  ControlOptions options;
  options.vm = settings.vm;
  for (const DataCenterSettings& it : settings.data_centers) {
    options.data_centers.push_back(it.name);
  }
  for (const ControlVoter& it : settings.control->voters) {
    options.configured_vms.push_back(
        {it.vm, it.address.ToString(), it.data_center});
  }
  if (settings.control->voters.empty()) {
    ConfigureOpenMembership(settings, options);
  }
  return options;
}

std::string ErrorKindName(ErrorKind kind) {
  return std::string(AnswerFor(kind).name);
}

// Logs an evacuation order that is acknowledged, or refused as invalid or
// abandoned.
void LogOrder(const pb::Change& change, const pb::ChangeOutcome& outcome) {
  const pb::EvacuationOrder& order = change.evacuation();
  if (outcome.accepted()) {
    LogEvent(LogLevel::kInfo,
             order.end() ? "evacuation_ended" : "evacuation_started",
             {{"data_center", order.data_center()},
              {"revision", outcome.revision()},
              {"author", change.author()},
              {"changed", !outcome.summary().empty()}});
  } else if (outcome.error_kind() ==
                 AnswerFor(ErrorKind::kInvalidArgument).name ||
             outcome.error_kind() == AnswerFor(ErrorKind::kCancelled).name ||
             outcome.error_kind() == AnswerFor(ErrorKind::kNotFound).name) {
    LogEvent(LogLevel::kWarn, "evacuation_refused",
             {{"data_center", order.data_center()},
              {"end", order.end()},
              {"author", change.author()},
              {"kind", outcome.error_kind()},
              {"reason", outcome.message()}});
  }
}

// Returns a callback that also logs the outcome of an evacuation order.
ControlShell::Callback<pb::ApplyReply> WithOrderLog(
    const pb::Change& change, ControlShell::Callback<pb::ApplyReply> callback) {
  if (!change.has_evacuation()) {
    return callback;
  }
  return [change, callback = std::move(callback)](const pb::ApplyReply& reply) {
    LogOrder(change, reply.outcome());
    callback(reply);
  };
}

// Answers every open call with the same reply.
template <typename Calls, typename Reply>
void ReplyToAll(Calls& open, const Reply& reply) {
  for (auto& [ticket, callback] : std::exchange(open, {})) {
    callback(reply);
  }
}

}  // namespace

Result<std::unique_ptr<ControlShell>> ControlShell::Create(
    const Settings& settings) {
  std::unique_ptr<ControlShell> shell(new ControlShell(settings));
  Result<std::unique_ptr<RpcServer>> server = StartControlService(
      settings.control->listen, shell->mailbox_, shell->sync_mailbox_);
  if (!server.ok()) {
    return server.error();
  }
  shell->server_ = std::move(*server);
  return shell;
}

ControlShell::ControlShell(const Settings& settings)
    : settings_(settings),
      mailbox_(kMailboxCapacity),
      sync_mailbox_(kMailboxCapacity),
      jobs_(std::make_shared<boost::fibers::buffered_channel<Job>>(
          kJobQueueCapacity)) {
  status_.set_vm(settings.vm);
  status_.set_data_center(settings.data_center);
  status_.set_role(kClosedRole);
}

void ControlShell::Start() {
  thread_ = std::thread([this] { RunThread(); });
}

void ControlShell::RunThread() {
  Reactor::StartOnThisThread();
  OpenNode();
  boost::fibers::fiber calls([this] { ServeCalls(); });
  boost::fibers::fiber syncs([this] { ServeSyncs(); });
  boost::fibers::fiber jobs([this] { RunJobs(); });
  boost::fibers::fiber timer([this] { RunTimer(); });
  calls.join();
  syncs.join();
  jobs.join();
  timer.join();
  // The gRPC server can't stop before every call that it accepted has ended.
  RefuseOpenCalls(ErrorKind::kStopping, "this control VM has stopped");
}

void ControlShell::Stop() {
  stopping_ = true;
  Post([this] {
    boost::fibers::fiber([this] { TransferLeadershipAndEnd(); }).detach();
  });
  const TimePoint limit = Now() + kStopTimeout + kStopPollInterval;
  while (!stopped_ && Now() < limit) {
    boost::this_fiber::sleep_for(kStopPollInterval);
  }
  server_->Stop();
  if (stopped_) {
    thread_.join();
  } else {
    // The thread is blocked in a disk operation. It is detached, so that the
    // process can end without it.
    LogEvent(LogLevel::kWarn, "control_not_stopped",
             {{"reason", "the disk does not answer"}});
    thread_.detach();
  }
}

void ControlShell::TransferLeadershipAndEnd() {
  const TimePoint limit = Now() + kStopTimeout;
  bool done = false;
  while (!done && Now() < limit) {
    done = node_ == nullptr;
    RunOnNode([&](ControlNode& node) { done = node.BeginStop(Now()); });
    boost::this_fiber::sleep_for(kStopPollInterval);
  }
  mailbox_.close();
  sync_mailbox_.close();
  jobs_->close();
  stopped_ = true;
  wakeup_.Interrupt();
}

void ControlShell::ServeCalls() {
  ControlCall call;
  while (mailbox_.pop(call) == boost::fibers::channel_op_status::success) {
    std::visit([this](const auto& it) { Handle(it); }, call);
  }
}

// Yields after each call, so that the messages of the log and the timer take
// their turn while many Sync calls wait.
void ControlShell::ServeSyncs() {
  SyncCall call;
  while (sync_mailbox_.pop(call) == boost::fibers::channel_op_status::success) {
    HandleSync(call);
    boost::this_fiber::yield();
  }
}

void ControlShell::RunJobs() {
  Job job;
  while (jobs_->pop(job) == boost::fibers::channel_op_status::success) {
    job();
  }
}

bool ControlShell::Post(Job job) {
  if (jobs_->try_push(std::move(job)) ==
      boost::fibers::channel_op_status::success) {
    return true;
  }
  LogEvent(LogLevel::kWarn, "control_call_dropped",
           {{"reason", "too many calls wait"}, {"limit", kJobQueueCapacity}});
  return false;
}

void ControlShell::RunTimer() {
  while (!stopped_) {
    wakeup_.SleepUntil(node_ == nullptr ? reopen_at_ : node_->NextWake());
    if (node_ == nullptr && Now() >= reopen_at_) {
      OpenNode();
    }
    if (node_ != nullptr) {
      RunOnNode([](ControlNode& node) { node.OnTick(Now()); });
    }
  }
}

void ControlShell::OpenNode() {
  Result<std::unique_ptr<Disk>> disk = OpenDisk(settings_.control->data_folder);
  if (!disk.ok()) {
    CloseNode(disk.error());
    return;
  }
  disk_ = std::move(*disk);
  Result<std::unique_ptr<ControlNode>> node = ControlNode::Create(
      MakeControlOptions(settings_), *disk_, Now(), std::random_device()());
  if (!node.ok()) {
    CloseNode(node.error());
    return;
  }
  node_ = std::move(*node);
  refusal_reason_.clear();
  const LogFileSummary& log_file = node_->log_file();
  LogEvent(LogLevel::kInfo, "control_opened",
           {{"revision", node_->Status().revision()},
            {"term", node_->Status().term()},
            {"records", log_file.records},
            {"dropped_bytes", log_file.dropped_bytes},
            {"last_index", log_file.last_index},
            {"commit_index", log_file.commit_index}});
  if (on_note_read_) {
    std::exchange(on_note_read_, {})(ReadNote());
  }
}

std::string ControlShell::ReadNote() {
  try {
    return disk_->Read(kNoteFile).value_or(std::string());
  } catch (const Error& e) {
    LogEvent(LogLevel::kWarn, "note_not_kept",
             {{"reason", std::string(e.what())}});
    return {};
  }
}

void ControlShell::CloseNode(const Error& error) {
  if (error.kind() == ErrorKind::kUnsupported) {
    LogEvent(LogLevel::kError, "build_too_old",
             {{"build_level", kCurrentLevel.value()},
              {"reason", std::string(error.what())}});
    reopen_at_ = kNever;
    RefuseOpenCalls(ErrorKind::kStorage, kBuildTooOld);
    return;
  }
  LogRefusal(error);
  node_.reset();
  pb::ControlStatus status = Status();
  status.set_role(kClosedRole);
  UpdateStatus(status);
  reopen_at_ = Now() + kReopenDelay;
  RefuseOpenCalls(ErrorKind::kStorage, kDiskFailed);
}

void ControlShell::LogRefusal(const Error& error) {
  const std::string reason = error.what();
  refusals_ = reason == refusal_reason_ ? refusals_ + 1 : 1;
  refusal_reason_ = reason;
  if (!std::has_single_bit(refusals_)) {
    return;
  }
  LogEvent(LogLevel::kError, "disk_refused",
           {{"reason", reason},
            {"kind", ErrorKindName(error.kind())},
            {"leads", node_ != nullptr && node_->Status().role() == "leader"},
            {"times", refusals_}});
}

void ControlShell::RefuseOpenCalls(ErrorKind refusal,
                                   const std::string& reason) {
  const std::string kind = ErrorKindName(refusal);
  pb::ApplyReply apply;
  apply.mutable_outcome()->set_error_kind(kind);
  apply.mutable_outcome()->set_message(
      reason + "; whether the change was taken is unknown. Send it again");
  ReplyToAll(applies_, apply);
  pb::GetReply get;
  get.set_error_kind(kind);
  ReplyToAll(gets_, get);
  pb::HistoryReply history;
  history.set_error_kind(kind);
  ReplyToAll(histories_, history);
  pb::StatusReply status;
  status.set_error_kind(kind);
  ReplyToAll(statuses_, status);
  ReplyToAll(syncs_, pb::SyncReply());
}

void ControlShell::RunOnNode(
    const std::function<void(ControlNode&)>& operation) {
  if (node_ == nullptr) {
    RefuseOpenCalls(ErrorKind::kStorage,
                    reopen_at_ == kNever ? kBuildTooOld : kDiskFailed);
    return;
  }
  try {
    operation(*node_);
    ExecuteActions();
  } catch (const Error& e) {
    CloseNode(e);
  }
}

template <typename Reply>
Ticket ControlShell::AddOpenCall(OpenCalls<Reply>& open,
                                 Callback<Reply> callback) {
  const Ticket ticket(++last_ticket_);
  open[ticket] = std::move(callback);
  return ticket;
}

void ControlShell::Handle(const ApplyCall& call) {
  const Ticket ticket = AddOpenCall<pb::ApplyReply>(
      applies_, WithOrderLog(call.request->change(), MakeReplyCallback(call)));
  RunOnNode([&](ControlNode& node) {
    const TimePoint now = Now();
    node.OnApply(now, ticket, *call.request,
                 {now, [call] { return call.IsCancelled(); }});
  });
}

void ControlShell::Handle(const GetCall& call) {
  const Ticket ticket =
      AddOpenCall<pb::GetReply>(gets_, MakeReplyCallback(call));
  RunOnNode([&](ControlNode& node) { node.OnGet(Now(), ticket); });
}

void ControlShell::Handle(const HistoryCall& call) {
  const Ticket ticket =
      AddOpenCall<pb::HistoryReply>(histories_, MakeReplyCallback(call));
  RunOnNode(
      [&](ControlNode& node) { node.OnHistory(Now(), ticket, *call.request); });
}

void ControlShell::Handle(const StatusCall& call) {
  const Ticket ticket =
      AddOpenCall<pb::StatusReply>(statuses_, MakeReplyCallback(call));
  RunOnNode([&](ControlNode& node) { node.OnStatus(Now(), ticket); });
}

void ControlShell::HandleSync(const SyncCall& call) {
  if (call.IsCancelled()) {
    call.Reply({});
    return;
  }
  Callback<pb::SyncReply> callback = MakeReplyCallback(call);
  if (call.request->wants_endpoints() && add_endpoints_) {
    const bool packed = call.request->accepts_packed();
    callback = [this, call, callback, packed](const pb::SyncReply& reply) {
      // While the process stops, the thread that adds the endpoints may be
      // blocked in Stop(), waiting for this very call to end.
      const bool unneeded = stopping_ || call.IsCancelled();
      unneeded ? callback(reply) : add_endpoints_(reply, packed, callback);
    };
  }
  const Ticket ticket = AddOpenCall<pb::SyncReply>(syncs_, std::move(callback));
  RunOnNode(
      [&](ControlNode& node) { node.OnSync(Now(), ticket, *call.request); });
}

void ControlShell::Handle(const StepCall& call) {
  RunOnNode([&](ControlNode& node) { node.OnMessage(Now(), *call.request); });
  call.Reply({});
}

template <typename Reply, typename Replies>
void ControlShell::SendReplies(OpenCalls<Reply>& open, const Replies& replies) {
  for (const auto& [ticket, reply] : replies) {
    const auto it = open.find(ticket);
    if (it != open.end()) {
      it->second(reply);
      open.erase(it);
    }
  }
}

void ControlShell::Apply(pb::ApplyRequest request,
                         Callback<pb::ApplyReply> callback,
                         std::function<bool()> is_abandoned) {
  Post([this, request = std::move(request), callback = std::move(callback),
        origin = CallOrigin{Now(), std::move(is_abandoned)}] {
    const Ticket ticket = AddOpenCall<pb::ApplyReply>(
        applies_, WithOrderLog(request.change(), callback));
    RunOnNode([&](ControlNode& node) {
      node.OnApply(Now(), ticket, request, origin);
    });
  });
}

void ControlShell::Get(Callback<pb::GetReply> callback) {
  Post([this, callback = std::move(callback)] {
    const Ticket ticket = AddOpenCall<pb::GetReply>(gets_, callback);
    RunOnNode([&](ControlNode& node) { node.OnGet(Now(), ticket); });
  });
}

void ControlShell::StoreNote(std::string text) {
  Post([this, text = std::move(text)] {
    if (node_ == nullptr) {
      return;
    }
    try {
      disk_->Replace(kNoteFile, text);
    } catch (const Error& e) {
      LogEvent(LogLevel::kWarn, "note_not_kept",
               {{"reason", std::string(e.what())}});
    }
  });
}

pb::ControlStatus ControlShell::Status() const {
  const std::lock_guard<std::mutex> lock(status_mutex_);
  return status_;
}

void ControlShell::ExecuteActions() {
  const ControlActions actions = node_->TakeActions();
  for (const ControlActions::Send& it : actions.sends) {
    client_.Send(it.address, it.message);
  }
  for (const ControlActions::Probe& it : actions.probes) {
    SendProbe(it);
  }
  SendReplies(applies_, actions.applies);
  SendReplies(gets_, actions.gets);
  SendReplies(histories_, actions.histories);
  SendReplies(statuses_, actions.statuses);
  SendReplies(syncs_, actions.syncs);
  wakeup_.BringForward(node_->NextWake());
  UpdateStatus(node_->Status());
  PassCatalogOn();
}

void ControlShell::PassCatalogOn() {
  const pb::Catalog& catalog = node_->catalog();
  if (on_catalog_ && catalog.revision() > last_revision_) {
    last_revision_ = catalog.revision();
    on_catalog_(catalog);
  }
}

void ControlShell::SendProbe(const ControlActions::Probe& probe) {
  const auto handle = [this, id = probe.replica](FeatureLevel level) {
    RunOnNode(
        [&](ControlNode& node) { node.OnProbeAnswered(Now(), id, level); });
  };
  client_.Apply(
      probe.address, MakeLevelProbe(),
      [handle, jobs = jobs_](const pb::ApplyReply& reply) {
        // A full queue drops the answer; the node asks again.
        jobs->try_push(std::bind_front(handle, LevelFromProbe(reply)));
      });
}

void ControlShell::UpdateStatus(const pb::ControlStatus& status) {
  const std::lock_guard<std::mutex> lock(status_mutex_);
  if (status.fleet_level() > status_.fleet_level()) {
    LogEvent(LogLevel::kInfo, "fleet_level_raised",
             {{"fleet_level", status.fleet_level()},
              {"build_level", kCurrentLevel.value()}});
  }
  if (status.missing_level() > status_.missing_level()) {
    LogEvent(LogLevel::kError, "build_too_old",
             {{"build_level", kCurrentLevel.value()},
              {"needed_level", status.missing_level()},
              {"reason", "the fleet writes what this build can't read"}});
  }
  status_ = status;
}

}  // namespace vanillalatch
