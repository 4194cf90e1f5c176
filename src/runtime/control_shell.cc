#include "src/runtime/control_shell.h"

#include <random>
#include <utility>

#include "vanillalatch/runtime/reactor.h"

namespace vanillalatch {
namespace {

constexpr std::size_t kMailboxCalls = 4096;  // A power of two.
constexpr Duration kLongestStop = std::chrono::seconds(3);
constexpr Duration kStopPoll = std::chrono::milliseconds(20);

// In a fleet a control VM is known by its address alone.
void JoinThroughSeeds(const Settings& settings, ControlOptions& options) {
  options.vm = settings.control->listen.ToString();
  options.address = options.vm;
  options.data_center = settings.data_center;
  options.open = true;
  options.may_found = settings.control->first_start;
  for (const SocketAddress& it : settings.fleet->control) {
    options.initial.push_back({it.ToString(), it.ToString(), ""});
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
    options.initial.push_back({it.vm, it.address.ToString(), it.data_center});
  }
  if (settings.control->voters.empty()) {
    JoinThroughSeeds(settings, options);
  }
  return options;
}

}  // namespace

Result<std::unique_ptr<ControlShell>> ControlShell::Create(
    const Settings& settings) {
  Result<std::unique_ptr<Disk>> disk = OpenDisk(settings.control->data_folder);
  if (!disk.ok()) {
    return disk.error();
  }
  Result<std::unique_ptr<ControlNode>> node = ControlNode::Create(
      OptionsFrom(settings), **disk, Now(), std::random_device()());
  if (!node.ok()) {
    return node.error();
  }
  std::unique_ptr<ControlShell> shell(
      new ControlShell(std::move(*disk), std::move(*node)));
  Result<std::unique_ptr<RpcServer>> server =
      StartControlService(settings.control->listen, shell->mailbox_);
  if (!server.ok()) {
    return server.error();
  }
  shell->server_ = std::move(*server);
  return shell;
}

ControlShell::ControlShell(std::unique_ptr<Disk> disk,
                           std::unique_ptr<ControlNode> node)
    : disk_(std::move(disk)), node_(std::move(node)), mailbox_(kMailboxCalls) {}

void ControlShell::Start() {
  fibers_.emplace_back([this] { ServeCalls(); });
  fibers_.emplace_back([this] { RunTimer(); });
}

void ControlShell::Stop() {
  const TimePoint limit = Now() + kLongestStop;
  while (!node_->BeginStop(Now()) && Now() < limit) {
    CarryOut();
    boost::this_fiber::sleep_for(kStopPoll);
  }
  CarryOut();
  stopping_ = true;
  mailbox_.close();
  wakeup_.Interrupt();
  for (boost::fibers::fiber& it : fibers_) {
    it.join();
  }
  server_->Stop();
}

void ControlShell::ServeCalls() {
  ControlCall call;
  while (mailbox_.pop(call) == boost::fibers::channel_op_status::success) {
    Handle(call);
    CarryOut();
  }
}

void ControlShell::RunTimer() {
  while (!stopping_) {
    wakeup_.SleepUntil(node_->NextWake());
    node_->OnTick(Now());
    CarryOut();
  }
}

void ControlShell::Handle(const ControlCall& call) {
  std::visit([this](const auto& it) { Accept(it); }, call);
}

void ControlShell::Accept(const ApplyCall& call) {
  const Ticket ticket(++last_ticket_);
  applies_[ticket] = Replying(call);
  node_->OnApply(Now(), ticket, *call.request);
}

void ControlShell::Accept(const GetCall& call) {
  const Ticket ticket(++last_ticket_);
  gets_[ticket] = Replying(call);
  node_->OnGet(Now(), ticket);
}

void ControlShell::Accept(const HistoryCall& call) {
  const Ticket ticket(++last_ticket_);
  histories_[ticket] = Replying(call);
  node_->OnHistory(Now(), ticket, *call.request);
}

void ControlShell::Accept(const StatusCall& call) {
  const Ticket ticket(++last_ticket_);
  statuses_[ticket] = Replying(call);
  node_->OnStatus(Now(), ticket);
}

void ControlShell::Accept(const SyncCall& call) {
  const Ticket ticket(++last_ticket_);
  syncs_[ticket] = Replying(call);
  node_->OnSync(Now(), ticket, *call.request);
}

void ControlShell::Accept(const StepCall& call) {
  node_->OnMessage(Now(), *call.request);
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

void ControlShell::Apply(const pb::ApplyRequest& request,
                         std::function<void(const pb::ApplyReply&)> then) {
  const Ticket ticket(++last_ticket_);
  applies_[ticket] = std::move(then);
  node_->OnApply(Now(), ticket, request);
  CarryOut();
}

void ControlShell::Get(std::function<void(const pb::GetReply&)> then) {
  const Ticket ticket(++last_ticket_);
  gets_[ticket] = std::move(then);
  node_->OnGet(Now(), ticket);
  CarryOut();
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
}

}  // namespace vanillalatch
