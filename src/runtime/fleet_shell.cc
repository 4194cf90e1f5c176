#include "src/runtime/fleet_shell.h"

#include <cstdlib>
#include <random>
#include <utility>

#include "vanillalatch/base/hash.h"
#include "vanillalatch/telemetry/log.h"

namespace vanillalatch {
namespace {

constexpr std::size_t kJobs = 4096;  // A power of two.
// In this many heartbeats each endpoint has reported somewhere, and its report
// has spread.
constexpr int kHeartbeatsToHearAll = 3;
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
  options.incarnation = static_cast<std::uint64_t>(UnixNowMs());
  return options;
}

Result<std::unique_ptr<FleetShell>> FleetShell::Create(const Settings& settings,
                                                       ControlShell& control) {
  Result<UdpSocket> socket = UdpSocket::Bind(settings.fleet->listen);
  if (!socket.ok()) {
    return socket.error();
  }
  Result<std::unique_ptr<PeerNode>> peers =
      PeerNode::Create(FleetMember(settings, false), std::random_device()());
  if (!peers.ok()) {
    return peers.error();
  }
  return std::unique_ptr<FleetShell>(new FleetShell(std::move(*socket),
                                                    std::move(*peers), control,
                                                    settings.doors.heartbeat));
}

FleetShell::FleetShell(UdpSocket socket, std::unique_ptr<PeerNode> peers,
                       ControlShell& control, Duration heartbeat)
    : socket_(std::move(socket)),
      peers_(std::move(peers)),
      control_(control),
      jobs_(kJobs),
      whole_at_(Now() + kHeartbeatsToHearAll * heartbeat) {}

void FleetShell::Start(Reactor& reactor) {
  control_.SetAddEndpoints(
      [this](pb::SyncReply reply, ControlShell::Then<pb::SyncReply> then) {
        Post([this, reply = std::move(reply), then = std::move(then)] {
          AddEndpoints(reply, then);
        });
      });
  control_.SetOnNote([this](const std::string& text) {
    Post([this, text] { TakeKept(text); });
  });
  FdWaiter& waiter = reactor.Watch(socket_.fd());
  boost::fibers::fiber([this, &waiter] { ServeSocket(waiter); }).detach();
  boost::fibers::fiber([this] { RunTimer(); }).detach();
  boost::fibers::fiber([this] { RunJobs(); }).detach();
}

void FleetShell::Stop() {
  peers_->Leave(Now(), out_);
  Flush();
  stopped_ = true;
}

void FleetShell::ServeSocket(FdWaiter& waiter) {
  ServeBatches(waiter, stopped_, [&] {
    const TimePoint now = Now();
    const std::size_t n =
        socket_.Receive([&](SocketAddress from, ByteSpan bytes) {
          // Control VMs place no flows: what is said of them is not for them.
          peers_->OnDatagram(now, from, bytes, out_);
        });
    Flush();
    return n;
  });
}

void FleetShell::RunTimer() {
  while (!stopped_) {
    wakeup_.SleepUntil(peers_->NextWake());
    peers_->OnTick(Now(), out_);
    member_log_.Review(Now(), peers_->members());
    KeepEndpoints();
    Flush();
  }
}

void FleetShell::AddEndpoints(pb::SyncReply reply,
                              const ControlShell::Then<pb::SyncReply>& then) {
  const TimePoint now = Now();
  for (pb::LeaseUpdate& it : peers_->registry().Leases(now)) {
    *reply.add_endpoints() = std::move(it);
  }
  reply.set_endpoints_whole(now >= whole_at_);
  then(reply);
}

void FleetShell::KeepEndpoints() {
  const TimePoint now = Now();
  if (now < whole_at_ || !kept_.Due(now)) {
    return;
  }
  if (std::optional<std::string> text =
          kept_.Next(now, UnixNowMs(), peers_->registry().Leases(now))) {
    control_.KeepNote(std::move(*text));
  }
}

void FleetShell::TakeKept(const std::string& text) {
  const RestoredEndpoints kept = KeptEndpoints::Restore(text, UnixNowMs());
  if (kept.endpoints.empty()) {
    return;  // A first start, or a disk that was lost.
  }
  LogEvent(LogLevel::kInfo, "endpoints_restored",
           {{"endpoints", kept.endpoints.size()},
            {"age_ms", kept.age_ms},
            {"used", kept.usable}});
  if (!kept.usable) {
    return;
  }
  const TimePoint now = Now();
  for (const pb::LeaseUpdate& it : kept.endpoints) {
    peers_->registry().MergeLease(now, it, false);
  }
  whole_at_ = std::min(whole_at_, now);
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
  if (peers_->IsIsolated(now)) {
    return Error(ErrorKind::kNoQuorum, "this control VM hears no other VM");
  }
  Registry& registry = peers_->registry();
  registry.OnTick(now);
  const Endpoint* before = registry.FindByName(registration.name);
  const bool known = before != nullptr && before->epoch >= registration.epoch;
  Result<EndpointId> id = registry.Register(now, registration);
  if (!id.ok()) {
    return id;
  }
  if (!known) {
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
    // It may have registered at another VM.
    const Endpoint* endpoint = peers_->registry().FindByName(name);
    if (endpoint == nullptr) {
      then(Error(ErrorKind::kNotFound, name + " is not registered"));
      return;
    }
    LogEvent(LogLevel::kInfo, "endpoint_ended",
             {{"endpoint", name}, {"epoch", endpoint->epoch}});
    then(peers_->registry().BeginLeave(Now(), endpoint->id));
  });
}

void FleetShell::Apply(pb::Change change, Then<pb::ApplyReply> then) {
  pb::ApplyRequest request;
  *request.mutable_change() = std::move(change);
  control_.Apply(std::move(request), std::move(then));
}

void FleetShell::Get(Then<pb::GetReply> then) { control_.Get(std::move(then)); }

void FleetShell::Flush() {
  socket_.SendAll(out_);
  wakeup_.BringForward(peers_->NextWake());
}

}  // namespace vanillalatch
