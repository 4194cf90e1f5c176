#include "src/runtime/fleet_shell.h"

#include <random>
#include <utility>

#include "vanillalatch/telemetry/log.h"

namespace vanillalatch {
namespace {

constexpr std::size_t kJobs = 4096;  // A power of two.
// All VMs of a fleet are one group, whatever their data centre.
constexpr std::string_view kFleetGroup = "fleet";

}  // namespace

MemberListOptions FleetMember(const Settings& settings, bool dispatches) {
  MemberListOptions options;
  options.name = settings.vm;
  options.data_center = kFleetGroup;
  options.dispatches = dispatches;
  options.peer = settings.fleet->listen;
  for (const SocketAddress& it : settings.fleet->seeds) {
    if (it != options.peer) {
      options.seeds.push_back(it);
    }
  }
  options.incarnation = static_cast<std::uint64_t>(
      UnixEpochMs() + std::chrono::duration_cast<std::chrono::milliseconds>(
                          Now().time_since_epoch())
                          .count());
  return options;
}

Result<std::unique_ptr<FleetShell>> FleetShell::Create(const Settings& settings,
                                                       ControlShell& control) {
  Result<UdpSocket> socket = UdpSocket::Bind(settings.fleet->listen);
  if (!socket.ok()) {
    return socket.error();
  }
  RegistryOptions registry;
  registry.epochs_are_start_times = true;
  Result<std::unique_ptr<PeerNode>> peers =
      PeerNode::Create(FleetMember(settings, false), std::move(registry),
                       std::random_device()());
  if (!peers.ok()) {
    return peers.error();
  }
  return std::unique_ptr<FleetShell>(
      new FleetShell(std::move(*socket), std::move(*peers), control));
}

FleetShell::FleetShell(UdpSocket socket, std::unique_ptr<PeerNode> peers,
                       ControlShell& control)
    : socket_(std::move(socket)),
      peers_(std::move(peers)),
      control_(control),
      jobs_(kJobs) {}

void FleetShell::Start(Reactor& reactor) {
  FdWaiter& waiter = reactor.Watch(socket_.fd());
  boost::fibers::fiber([this, &waiter] { ServeSocket(waiter); }).detach();
  boost::fibers::fiber([this] { RunTimer(); }).detach();
  boost::fibers::fiber([this] { RunJobs(); }).detach();
}

void FleetShell::Stop() {
  peers_->Leave(Now(), out_);
  Flush();
}

void FleetShell::ServeSocket(FdWaiter& waiter) {
  for (;;) {
    waiter.WaitReadable();
    std::size_t n = 0;
    do {
      const TimePoint now = Now();
      n = socket_.Receive([&](SocketAddress from, ByteSpan bytes) {
        // Control VMs place no flows: what is said about them is not for them.
        peers_->OnDatagram(now, from, bytes, out_);
      });
      Flush();
      boost::this_fiber::yield();
    } while (n > 0);
  }
}

void FleetShell::RunTimer() {
  for (;;) {
    wakeup_.SleepUntil(peers_->NextWake());
    peers_->OnTick(Now(), out_);
    Flush();
  }
}

void FleetShell::RunJobs() {
  Job job;
  while (jobs_.pop(job) == boost::fibers::channel_op_status::success) {
    job();
    Flush();
  }
}

void FleetShell::Post(Job job) {
  if (jobs_.try_push(std::move(job)) !=
      boost::fibers::channel_op_status::success) {
    // The caller's own timeout ends the call.
    LogEvent(LogLevel::kWarn, "door_call_dropped",
             {{"reason", "too many calls wait"}, {"limit", kJobs}});
  }
}

void FleetShell::Register(Registration registration, bool leaving,
                          Then<Result<EndpointId>> then) {
  Post([this, registration = std::move(registration), leaving,
        then = std::move(then)] { then(RegisterNow(registration, leaving)); });
}

Result<EndpointId> FleetShell::RegisterNow(const Registration& registration,
                                           bool leaving) {
  const TimePoint now = Now();
  Registry& registry = peers_->registry();
  registry.OnTick(now);
  Result<EndpointId> id = registry.Register(now, registration);
  if (!id.ok()) {
    return id;
  }
  const auto [it, added] = registered_.try_emplace(registration.name, *id);
  if (added || it->second != *id) {
    it->second = *id;
    LogEvent(LogLevel::kInfo, "endpoint_registered",
             {{"endpoint", registration.name},
              {"address", registration.address.ToString()},
              {"data_center", registration.data_center},
              {"slots", registration.slots},
              {"epoch", registration.epoch}});
  }
  const Endpoint* endpoint = registry.Find(*id);
  if (leaving && endpoint != nullptr &&
      endpoint->state == EndpointState::kReady) {
    LogEvent(LogLevel::kInfo, "endpoint_leaving",
             {{"endpoint", registration.name}, {"epoch", registration.epoch}});
    return registry.BeginLeave(now, *id);
  }
  return id;
}

void FleetShell::EndRegistration(std::string name,
                                 Then<Result<EndpointId>> then) {
  Post([this, name = std::move(name), then = std::move(then)] {
    const auto it = registered_.find(name);
    if (it == registered_.end()) {
      then(Error(ErrorKind::kNotFound, name + " is not registered here"));
      return;
    }
    LogEvent(LogLevel::kInfo, "endpoint_ended", {{"endpoint", name}});
    const EndpointId id = it->second;
    registered_.erase(it);
    then(peers_->registry().BeginLeave(Now(), id));
  });
}

void FleetShell::Apply(pb::Change change, Then<pb::ApplyReply> then) {
  Post([this, change = std::move(change), then = std::move(then)] {
    pb::ApplyRequest request;
    *request.mutable_change() = change;
    control_.Apply(request, then);
  });
}

void FleetShell::Get(Then<pb::GetReply> then) {
  Post([this, then = std::move(then)] { control_.Get(then); });
}

void FleetShell::Flush() {
  for (const Outbox::Item& it : out_.items()) {
    socket_.Queue(it.to, out_.Bytes(it));
  }
  socket_.Flush();
  out_.Clear();
  wakeup_.BringForward(peers_->NextWake());
}

}  // namespace vanillalatch
