#include "src/runtime/fleet_shell.h"

#include <cstdlib>
#include <random>
#include <utility>

#include "vanillalatch/base/hash.h"
#include "vanillalatch/catalog/packed.h"
#include "vanillalatch/packetflow/route_table.h"
#include "vanillalatch/telemetry/log.h"

namespace vanillalatch {
namespace {

constexpr std::size_t kJobQueueCapacity = 4096;  // A power of two.
// Within this many heartbeat intervals each endpoint has sent a heartbeat to
// some control VM, and gossip has disseminated it.
constexpr int kHeartbeatsUntilComplete = 3;
// An endpoint that misses this many heartbeats may have ended. A renewal at
// another control VM is known here within two intervals, seldom three.
constexpr int kHeartbeatsUntilTakeover = 4;
// Short compared with the lifetime of a lease.
constexpr Duration kPackedEndpointsAge = std::chrono::milliseconds(50);
// All VMs of a fleet form one membership group, whatever their data centre.
constexpr std::string_view kFleetGroup = "fleet";

absl::flat_hash_set<ServiceId> ServicesOf(const pb::Catalog& catalog) {
  absl::flat_hash_set<ServiceId> services;
  for (const pb::FlowRoute& route : catalog.flows().routes()) {
    for (const pb::FlowShare& it : route.shares()) {
      services.insert(FlowServiceId(it.service()));
    }
  }
  return services;
}

}  // namespace

MemberListOptions MakeMemberOptions(const Settings& settings, bool dispatches) {
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
  Result<std::unique_ptr<PeerNode>> peers = PeerNode::Create(
      MakeMemberOptions(settings, false), std::random_device()(),
      kHeartbeatsUntilTakeover * settings.doors.heartbeat);
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
      jobs_(kJobQueueCapacity),
      complete_at_(Now() + kHeartbeatsUntilComplete * heartbeat) {}

void FleetShell::Start(Reactor& reactor) {
  control_.SetAddEndpoints(
      [this](pb::SyncReply reply, bool packed,
             ControlShell::Callback<pb::SyncReply> callback) {
        Post([this, reply = std::move(reply), packed,
              callback = std::move(callback)] {
          AddEndpoints(reply, packed, callback);
        });
      });
  control_.SetOnNoteRead([this](const std::string& text) {
    Post([this, text] { RestoreEndpoints(text); });
  });
  control_.SetOnCatalog([this](const pb::Catalog& catalog) {
    Post([this, services = ServicesOf(catalog), revision = catalog.revision()] {
      services_ = services;
      peers_->SetCatalogRevision(revision);
      peers_->registry().SetNamedServices(services);
    });
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
          // The flow message, if any, is ignored: control VMs place no flows.
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
    member_log_.LogChanges(Now(), peers_->members());
    StoreEndpoints();
    Flush();
  }
}

void FleetShell::AddEndpoints(
    pb::SyncReply reply, bool packed,
    const ControlShell::Callback<pb::SyncReply>& callback) {
  const TimePoint now = Now();
  if (packed) {
    AddPackedEndpoints(now, reply);
  } else {
    for (pb::LeaseUpdate& it : peers_->registry().Leases(now)) {
      *reply.add_endpoints() = std::move(it);
    }
    reply.set_endpoints_whole(now >= complete_at_);
  }
  callback(reply);
}

void FleetShell::AddPackedEndpoints(TimePoint now, pb::SyncReply& reply) {
  if (now >= packed_until_) {
    pb::KeptEndpoints endpoints;
    for (pb::LeaseUpdate& it : peers_->registry().Leases(now)) {
      *endpoints.add_endpoints() = std::move(it);
    }
    packed_endpoints_ = PackMessage(endpoints);
    packed_whole_ = now >= complete_at_;
    packed_until_ = now + kPackedEndpointsAge;
  }
  *reply.mutable_packed_endpoints() = packed_endpoints_;
  reply.set_endpoints_whole(packed_whole_);
}

void FleetShell::StoreEndpoints() {
  const TimePoint now = Now();
  if (now < complete_at_ || !stored_endpoints_.IsDue(now)) {
    return;
  }
  if (std::optional<std::string> text = stored_endpoints_.TakeTextToStore(
          now, UnixNowMs(), peers_->registry().LeasesAndTombstones(now))) {
    control_.StoreNote(std::move(*text));
  }
}

void FleetShell::RestoreEndpoints(const std::string& text) {
  const RestoredEndpoints restored =
      StoredEndpoints::Restore(text, UnixNowMs());
  if (restored.endpoints.empty()) {
    return;  // A first start, or the disk was lost.
  }
  LogEvent(LogLevel::kInfo, "endpoints_restored",
           {{"endpoints", restored.endpoints.size()},
            {"age_ms", restored.age_ms},
            {"used", restored.usable}});
  if (!restored.usable) {
    return;
  }
  const TimePoint now = Now();
  for (const pb::LeaseUpdate& it : restored.endpoints) {
    peers_->registry().MergeLease(now, it, false);
  }
  complete_at_ = std::min(complete_at_, now);
  packed_until_ = TimePoint::min();
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
    // The callback is never called; the caller's own timeout ends the call.
    LogEvent(LogLevel::kWarn, "door_call_dropped",
             {{"reason", "too many calls wait"}, {"limit", kJobQueueCapacity}});
  }
}

void FleetShell::Register(Registration registration, bool leaving,
                          Callback<Result<EndpointId>> callback) {
  Post([this, registration = std::move(registration), leaving,
        callback = std::move(callback)] {
    callback(RegisterNow(registration, leaving));
  });
}

Result<EndpointId> FleetShell::RegisterNow(Registration registration,
                                           bool leaving) {
  const TimePoint now = Now();
  if (peers_->IsIsolated(now)) {
    return Error(ErrorKind::kNoQuorum, "this control VM hears no other VM");
  }
  Registry& registry = peers_->registry();
  registry.OnTick(now);
  registration.claims_address = services_.contains(registration.service);
  const Endpoint* previous = registry.FindByName(registration.name);
  const bool already_registered =
      previous != nullptr && previous->epoch >= registration.epoch;
  Result<EndpointId> id = registry.Register(now, registration);
  if (!id.ok()) {
    const Endpoint* known = registry.FindByName(registration.name);
    const bool has_left =
        known == nullptr || known->state != EndpointState::kReady;
    // A repeated report that it leaves has its effect already.
    return leaving && has_left ? Result<EndpointId>(EndpointId{}) : id;
  }
  if (!already_registered) {
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
    Result<EndpointId> result = registry.BeginLeave(now, *id);
    stored_endpoints_.OnDeparture();
    StoreEndpoints();
    return result;
  }
  return id;
}

void FleetShell::EndRegistration(std::string name,
                                 Callback<Result<EndpointId>> callback) {
  Post([this, name = std::move(name), callback = std::move(callback)] {
    // The endpoint may have registered at another VM, so it is searched in the
    // replicated registry.
    const Endpoint* endpoint = peers_->registry().FindByName(name);
    if (endpoint == nullptr) {
      callback(Error(ErrorKind::kNotFound, name + " is not registered"));
      return;
    }
    LogEvent(LogLevel::kInfo, "endpoint_ended",
             {{"endpoint", name}, {"epoch", endpoint->epoch}});
    const Result<EndpointId> result =
        peers_->registry().BeginLeave(Now(), endpoint->id);
    stored_endpoints_.OnDeparture();
    StoreEndpoints();
    callback(result);
  });
}

void FleetShell::Apply(pb::Change change, Callback<pb::ApplyReply> callback,
                       std::function<bool()> is_abandoned) {
  pb::ApplyRequest request;
  *request.mutable_change() = std::move(change);
  control_.Apply(std::move(request), std::move(callback),
                 std::move(is_abandoned));
}

void FleetShell::Get(Callback<pb::GetReply> callback) {
  control_.Get(std::move(callback));
}

bool FleetShell::HasNewerPeer() const {
  return control_.Status().newest_level() > kCurrentLevel.value();
}

void FleetShell::Flush() {
  socket_.SendAll(out_);
  wakeup_.BringForward(peers_->NextWake());
}

}  // namespace vanillalatch
