#include "src/runtime/control_shell.h"

#include <boost/fiber/operations.hpp>
#include <random>
#include <utility>

#include "vanillalatch/runtime/reactor.h"
#include "vanillalatch/telemetry/log.h"

namespace vanillalatch {
namespace {

constexpr std::size_t kMailboxCalls = 4096;  // A power of two.
constexpr Duration kLongestStop = std::chrono::seconds(3);
constexpr Duration kStopPoll = std::chrono::milliseconds(20);
constexpr const char* kDiskRefuses = "the disk of this control VM refuses";
constexpr std::size_t kJobs = 4096;  // A power of two.
// A disk that refused is tried again after this time: well within the time
// that operators wait for an acknowledgement.
constexpr Duration kReopenPause = std::chrono::milliseconds(500);
constexpr std::string_view kNoteFile = "note";

// In a fleet a control VM is known by its address alone.
void JoinThroughSeeds(const Settings& settings, ControlOptions& options) {
  options.vm = settings.control->listen.ToString();
  options.address = options.vm;
  options.data_center = settings.data_center;
  options.open_membership = true;
  options.may_bootstrap = settings.control->first_start;
  for (const SocketAddress& it : settings.fleet->control) {
    options.configured_vms.push_back({it.ToString(), it.ToString(), ""});
  }
}

// The reply to a gRPC call.
template <typename Call>
auto Replying(const Call& call) {
  return [call](const auto& reply) { call.Reply(reply); };
}

ControlOptions OptionsFrom(const Settings& settings) {
  ControlOptions options;
  options.vm = settings.vm;
  for (const ControlVoter& it : settings.control->voters) {
    options.configured_vms.push_back(
        {it.vm, it.address.ToString(), it.data_center});
  }
  if (settings.control->voters.empty()) {
    JoinThroughSeeds(settings, options);
  }
  return options;
}

std::string NameOf(ErrorKind kind) { return std::string(AnswerFor(kind).name); }

// Answers every open call alike.
template <typename Open, typename Reply>
void AnswerAll(Open& open, const Reply& reply) {
  for (auto& [ticket, then] : std::exchange(open, {})) {
    then(reply);
  }
}

}  // namespace

Result<std::unique_ptr<ControlShell>> ControlShell::Create(
    const Settings& settings) {
  std::unique_ptr<ControlShell> shell(new ControlShell(settings));
  Result<std::unique_ptr<RpcServer>> server =
      StartControlService(settings.control->listen, shell->mailbox_);
  if (!server.ok()) {
    return server.error();
  }
  shell->server_ = std::move(*server);
  return shell;
}

ControlShell::ControlShell(const Settings& settings)
    : settings_(settings), mailbox_(kMailboxCalls), jobs_(kJobs) {
  status_.set_vm(settings.vm);
  status_.set_data_center(settings.data_center);
  status_.set_role("learner");
}

void ControlShell::Start() {
  thread_ = std::thread([this] { RunThread(); });
}

void ControlShell::RunThread() {
  Reactor::StartOnThisThread();
  OpenNode();
  boost::fibers::fiber calls([this] { ServeCalls(); });
  boost::fibers::fiber jobs([this] { RunJobs(); });
  boost::fibers::fiber timer([this] { RunTimer(); });
  calls.join();
  jobs.join();
  timer.join();
  // The server waits for each call that it has let in.
  RefuseOpenCalls(ErrorKind::kStopping, "this control VM has stopped");
}

void ControlShell::Stop() {
  stopping_ = true;
  Post([this] { boost::fibers::fiber([this] { HandOver(); }).detach(); });
  const TimePoint limit = Now() + kLongestStop + kStopPoll;
  while (!stopped_ && Now() < limit) {
    boost::this_fiber::sleep_for(kStopPoll);
  }
  server_->Stop();
  if (stopped_) {
    thread_.join();
  } else {
    // The disk holds the thread up; the process ends without it.
    LogEvent(LogLevel::kWarn, "control_not_stopped",
             {{"reason", "the disk does not answer"}});
    thread_.detach();
  }
}

void ControlShell::HandOver() {
  const TimePoint limit = Now() + kLongestStop;
  bool done = false;
  while (!done && Now() < limit) {
    done = node_ == nullptr;
    WithNode([&](ControlNode& node) { done = node.BeginStop(Now()); });
    boost::this_fiber::sleep_for(kStopPoll);
  }
  mailbox_.close();
  jobs_.close();
  stopped_ = true;
  wakeup_.Interrupt();
}

void ControlShell::ServeCalls() {
  ControlCall call;
  while (mailbox_.pop(call) == boost::fibers::channel_op_status::success) {
    std::visit([this](const auto& it) { Accept(it); }, call);
  }
}

void ControlShell::RunJobs() {
  Job job;
  while (jobs_.pop(job) == boost::fibers::channel_op_status::success) {
    job();
  }
}

bool ControlShell::Post(Job job) {
  if (jobs_.try_push(std::move(job)) ==
      boost::fibers::channel_op_status::success) {
    return true;
  }
  LogEvent(LogLevel::kWarn, "control_call_dropped",
           {{"reason", "too many calls wait"}, {"limit", kJobs}});
  return false;
}

void ControlShell::RunTimer() {
  while (!stopped_) {
    wakeup_.SleepUntil(node_ == nullptr ? reopen_at_ : node_->NextWake());
    if (node_ == nullptr && Now() >= reopen_at_) {
      OpenNode();
    }
    if (node_ != nullptr) {
      WithNode([](ControlNode& node) { node.OnTick(Now()); });
    }
  }
}

void ControlShell::OpenNode() {
  Result<std::unique_ptr<Disk>> disk = OpenDisk(settings_.control->data_folder);
  if (!disk.ok()) {
    LoseNode(disk.error());
    return;
  }
  disk_ = std::move(*disk);
  Result<std::unique_ptr<ControlNode>> node = ControlNode::Create(
      OptionsFrom(settings_), *disk_, Now(), std::random_device()());
  if (!node.ok()) {
    LoseNode(node.error());
    return;
  }
  node_ = std::move(*node);
  LogEvent(LogLevel::kInfo, "control_opened",
           {{"revision", node_->Status().revision()},
            {"term", node_->Status().term()}});
  if (on_note_) {
    std::exchange(on_note_, {})(disk_->Read(kNoteFile).value_or(std::string()));
  }
}

void ControlShell::LoseNode(const Error& error) {
  LogEvent(LogLevel::kError, "disk_refused",
           {{"reason", std::string(error.what())},
            {"kind", NameOf(error.kind())},
            {"leads", node_ != nullptr && node_->Status().role() == "leader"}});
  node_.reset();
  reopen_at_ = Now() + kReopenPause;
  RefuseOpenCalls(ErrorKind::kStorage, kDiskRefuses);
}

void ControlShell::RefuseOpenCalls(ErrorKind refusal,
                                   const std::string& reason) {
  const std::string kind = NameOf(refusal);
  pb::ApplyReply apply;
  apply.mutable_outcome()->set_error_kind(kind);
  apply.mutable_outcome()->set_message(
      reason + "; whether the change was taken is unknown. Send it again");
  AnswerAll(applies_, apply);
  pb::GetReply get;
  get.set_error_kind(kind);
  AnswerAll(gets_, get);
  pb::HistoryReply history;
  history.set_error_kind(kind);
  AnswerAll(histories_, history);
  pb::StatusReply status;
  status.set_error_kind(kind);
  AnswerAll(statuses_, status);
  AnswerAll(syncs_, pb::SyncReply());
}

void ControlShell::WithNode(const std::function<void(ControlNode&)>& work) {
  if (node_ == nullptr) {
    RefuseOpenCalls(ErrorKind::kStorage, kDiskRefuses);
    return;
  }
  try {
    work(*node_);
    CarryOut();
  } catch (const Error& e) {
    LoseNode(e);
  }
}

template <typename Reply>
Ticket ControlShell::Open(OpenCalls<Reply>& open, Then<Reply> then) {
  const Ticket ticket(++last_ticket_);
  open[ticket] = std::move(then);
  return ticket;
}

void ControlShell::Accept(const ApplyCall& call) {
  const Ticket ticket = Open<pb::ApplyReply>(applies_, Replying(call));
  WithNode(
      [&](ControlNode& node) { node.OnApply(Now(), ticket, *call.request); });
}

void ControlShell::Accept(const GetCall& call) {
  const Ticket ticket = Open<pb::GetReply>(gets_, Replying(call));
  WithNode([&](ControlNode& node) { node.OnGet(Now(), ticket); });
}

void ControlShell::Accept(const HistoryCall& call) {
  const Ticket ticket = Open<pb::HistoryReply>(histories_, Replying(call));
  WithNode(
      [&](ControlNode& node) { node.OnHistory(Now(), ticket, *call.request); });
}

void ControlShell::Accept(const StatusCall& call) {
  const Ticket ticket = Open<pb::StatusReply>(statuses_, Replying(call));
  WithNode([&](ControlNode& node) { node.OnStatus(Now(), ticket); });
}

void ControlShell::Accept(const SyncCall& call) {
  Then<pb::SyncReply> then = Replying(call);
  if (call.request->wants_endpoints() && add_endpoints_) {
    then = [this, then](const pb::SyncReply& reply) {
      // While the process stops, nobody may be left to add endpoints.
      stopping_ ? then(reply) : add_endpoints_(reply, then);
    };
  }
  const Ticket ticket = Open<pb::SyncReply>(syncs_, std::move(then));
  WithNode(
      [&](ControlNode& node) { node.OnSync(Now(), ticket, *call.request); });
}

void ControlShell::Accept(const StepCall& call) {
  WithNode([&](ControlNode& node) { node.OnMessage(Now(), *call.request); });
  call.Reply({});
}

template <typename Reply, typename Replies>
void ControlShell::Answer(OpenCalls<Reply>& open, const Replies& replies) {
  for (const auto& [ticket, reply] : replies) {
    const auto it = open.find(ticket);
    if (it != open.end()) {
      it->second(reply);
      open.erase(it);
    }
  }
}

void ControlShell::Apply(pb::ApplyRequest request, Then<pb::ApplyReply> then) {
  Post([this, request = std::move(request), then = std::move(then)] {
    const Ticket ticket = Open<pb::ApplyReply>(applies_, then);
    WithNode([&](ControlNode& node) { node.OnApply(Now(), ticket, request); });
  });
}

void ControlShell::Get(Then<pb::GetReply> then) {
  Post([this, then = std::move(then)] {
    const Ticket ticket = Open<pb::GetReply>(gets_, then);
    WithNode([&](ControlNode& node) { node.OnGet(Now(), ticket); });
  });
}

void ControlShell::KeepNote(std::string text) {
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

void ControlShell::CarryOut() {
  const ControlActions actions = node_->TakeActions();
  for (const ControlActions::Send& it : actions.sends) {
    client_.Send(it.address, it.message);
  }
  Answer(applies_, actions.applies);
  Answer(gets_, actions.gets);
  Answer(histories_, actions.histories);
  Answer(statuses_, actions.statuses);
  Answer(syncs_, actions.syncs);
  wakeup_.BringForward(node_->NextWake());
  const std::lock_guard<std::mutex> lock(status_mutex_);
  status_ = node_->Status();
}

}  // namespace vanillalatch
