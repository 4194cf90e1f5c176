#include "src/registry/testing/membership_world.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "peer.pb.h"
#include "vanillalatch/base/hash.h"

namespace vanillalatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kIpUdpHeaderBytes = 28;
constexpr Duration kRegistrationRetryInterval = milliseconds(200);
constexpr std::uint16_t kPeerPort = 7000;
constexpr std::uint32_t kVmNetwork = 0x0a000000;       // 10.0.0.0
constexpr std::uint32_t kBackendNetwork = 0x0a010000;  // 10.1.0.0

std::string_view StateName(MemberState state) {
  static constexpr std::string_view kNames[] = {"alive", "suspect", "leaving",
                                                "dead"};
  return kNames[static_cast<std::size_t>(state)];
}

}  // namespace

MembershipWorld::MembershipWorld(std::uint64_t seed)
    : rng_(seed), network_(seed + 1) {}

void MembershipWorld::AddVms(std::size_t count) {
  for (std::size_t n = 0; n < count; ++n) {
    const std::string name = "vm" + std::to_string(vms_.size() + 1);
    FakeVm& vm = vms_[name];
    vm.name = name;
    vm.peer = {kVmNetwork + static_cast<std::uint32_t>(vms_.size()), kPeerPort};
    by_peer_[vm.peer.Packed()] = &vm;
    names_[NodeId{StableHash(name)}] = name;
    if (seeds_.size() < 3) {
      seeds_.push_back(vm.peer);
    }
  }
}

void MembershipWorld::StartVm(const std::string& name) {
  FakeVm& vm = Vm(name);
  MemberListOptions options;
  options.name = name;
  options.data_center = vm.data_center;
  options.peer = vm.peer;
  options.incarnation = ++vm.incarnation;
  std::copy_if(seeds_.begin(), seeds_.end(), std::back_inserter(options.seeds),
               [&](SocketAddress it) { return it != vm.peer; });
  vm.list = MemberList::Create(options, rng_()).value();
  vm.registry = Registry::Create({vm.data_center}).value();
  vm.frozen = false;
  vm.socket.clear();
  vm.recorded_members.clear();
  vm.recorded_version = 0;
  vm.next_tick = now_;
  AppendToJournal(name + " starts");
}

void MembershipWorld::KillVm(const std::string& name) {
  FakeVm& vm = Vm(name);
  vm.list.reset();
  vm.registry.reset();
  AppendToJournal(name + " dies");
}

void MembershipWorld::Freeze(const std::string& name) {
  Vm(name).frozen = true;
  AppendToJournal(name + " freezes");
}

void MembershipWorld::Thaw(const std::string& name) {
  FakeVm& vm = Vm(name);
  vm.frozen = false;
  vm.next_tick = now_;
  AppendToJournal(name + " thaws");
  Tick(vm);
  for (const FakeNetwork::Packet& it : std::exchange(vm.socket, {})) {
    Receive(vm, it);
  }
}

void MembershipWorld::AddEndpoints(std::size_t count, ServiceId service) {
  for (std::size_t n = 0; n < count; ++n) {
    const std::size_t number = backends_.size() + 1;
    Registration registration;
    registration.service = service;
    registration.address = {
        kBackendNetwork + static_cast<std::uint32_t>(number), 5683};
    registration.slots = 3;
    AddBackend("e" + std::to_string(number), registration);
  }
}

FakeBackend& MembershipWorld::AddBackend(const std::string& name,
                                         Registration registration) {
  FakeBackend& backend = backends_[name];
  registration.name = name;
  registration.data_center = "north";
  registration.epoch = backend.registration.epoch + 1;
  backend = FakeBackend{};
  backend.registration = std::move(registration);
  backend.next_renewal = now_;
  return backend;
}

void MembershipWorld::RestartBackend(const std::string& name) {
  AddBackend(name, Backend(name).registration);
  AppendToJournal(name + " restarts");
}

void MembershipWorld::Split(std::size_t first) {
  for (const auto& [name, a] : vms_) {
    for (const auto& [other, b] : vms_) {
      const bool a_first = a.peer.ip <= kVmNetwork + first;
      const bool b_first = b.peer.ip <= kVmNetwork + first;
      if (a_first != b_first) {
        network_.Disconnect(a.peer, b.peer);
      }
    }
  }
}

void MembershipWorld::Isolate(const std::string& name) {
  for (const auto& [other, it] : vms_) {
    network_.Disconnect(Vm(name).peer, it.peer);
    network_.Disconnect(it.peer, Vm(name).peer);
  }
}

FakeVm& MembershipWorld::Vm(const std::string& name) {
  const auto it = vms_.find(name);
  if (it == vms_.end()) {
    throw scenario::Failure("unknown VM " + name);
  }
  return it->second;
}

FakeBackend& MembershipWorld::Backend(const std::string& name) {
  const auto it = backends_.find(name);
  if (it == backends_.end()) {
    throw scenario::Failure("unknown backend server " + name);
  }
  return it->second;
}

std::vector<FakeVm*> MembershipWorld::Running() {
  std::vector<FakeVm*> running;
  for (auto& [name, vm] : vms_) {
    if (vm.list != nullptr && !vm.frozen) {
      running.push_back(&vm);
    }
  }
  return running;
}

void MembershipWorld::Run(Duration duration) {
  const TimePoint end = now_ + duration;
  while (now_ < end) {
    StepOnce(end);
  }
}

std::optional<Duration> MembershipWorld::RunUntil(
    Duration limit, const std::function<bool()>& holds) {
  static constexpr Duration kCheckInterval = milliseconds(10);
  const TimePoint begin = now_;
  while (!holds()) {
    if (now_ - begin >= limit) {
      return std::nullopt;
    }
    Run(std::min<Duration>(kCheckInterval, limit - (now_ - begin)));
  }
  return now_ - begin;
}

TimePoint MembershipWorld::NextEvent() {
  TimePoint next = network_.NextArrival();
  for (FakeVm* it : Running()) {
    next = std::min(next, it->next_tick);
  }
  for (const auto& [name, it] : backends_) {
    next = it.running ? std::min(next, it.next_renewal) : next;
  }
  return next;
}

void MembershipWorld::StepOnce(TimePoint until) {
  now_ = std::max(now_, std::min(until, NextEvent()));
  while (std::optional<FakeNetwork::Packet> packet = network_.Take(now_)) {
    Deliver(*packet);
  }
  for (FakeVm* it : Running()) {
    if (it->next_tick <= now_) {
      Tick(*it);
    }
  }
  for (auto& [name, it] : backends_) {
    if (it.running && it.next_renewal <= now_) {
      RegisterOrRenew(it);
    }
  }
}

void MembershipWorld::Deliver(const FakeNetwork::Packet& packet) {
  const auto it = by_peer_.find(packet.to.Packed());
  if (it == by_peer_.end() || it->second->list == nullptr) {
    return;
  }
  if (it->second->frozen) {
    it->second->socket.push_back(packet);
    return;
  }
  Receive(*it->second, packet);
}

void MembershipWorld::Receive(FakeVm& vm, const FakeNetwork::Packet& packet) {
  pb::PeerDatagram datagram;
  if (!datagram.ParseFromArray(packet.bytes.data(),
                               static_cast<int>(packet.bytes.size()))) {
    throw scenario::Failure("a received datagram cannot be parsed");
  }
  Outbox out;
  vm.list->OnMessage(now_, packet.from, NodeId{datagram.from()},
                     datagram.membership(), *vm.registry, out);
  Flush(vm, out);
}

void MembershipWorld::Tick(FakeVm& vm) {
  Outbox out;
  vm.registry->OnTick(now_);
  vm.list->OnTick(now_, *vm.registry, out);
  vm.next_tick = std::max(vm.list->NextWake(), now_ + milliseconds(1));
  Flush(vm, out);
}

void MembershipWorld::Flush(FakeVm& vm, Outbox& out) {
  for (const Outbox::Item& it : out.items()) {
    if (it.size > 1200) {
      throw scenario::Failure("a datagram exceeds the limit of 1200 bytes: " +
                              std::to_string(it.size) + " bytes");
    }
    CountSend(vm, it.size + kIpUdpHeaderBytes);
    network_.Send(now_, vm.peer, it.to, out.Bytes(it));
  }
  RecordMemberChanges(vm);
}

void MembershipWorld::CountSend(FakeVm& vm, std::size_t bytes) {
  vm.sends.emplace_back(now_, bytes);
  vm.sent_in_second += bytes;
  vm.sent_total += bytes;
  while (now_ - vm.sends.front().first >= seconds(1)) {
    vm.sent_in_second -= vm.sends.front().second;
    vm.sends.pop_front();
  }
  vm.busiest_second = std::max(vm.busiest_second, vm.sent_in_second);
}

void MembershipWorld::RegisterOrRenew(FakeBackend& backend) {
  backend.next_renewal = now_ + kRegistrationRetryInterval;
  std::vector<FakeVm*> up;
  for (auto& [name, vm] : vms_) {
    if (vm.list != nullptr) {
      up.push_back(&vm);
    }
  }
  if (up.empty()) {
    return;
  }
  FakeVm& vm = *up[rng_() % up.size()];
  if (vm.frozen) {
    return;
  }
  const Result<EndpointId> id =
      vm.registry->Register(now_, backend.registration);
  if (!id.ok()) {
    backend.last_error = AnswerFor(id.error().kind()).name;
    backend.running = false;
    return;
  }
  backend.id = *id;
  if (backend.leaving && vm.registry->BeginLeave(now_, *id).ok()) {
    backend.leaving = false;
    AppendToJournal(backend.registration.name + " announces to " + vm.name +
                    " that it leaves");
  }
  // Up to a tenth early, so that backend servers do not renew simultaneously.
  backend.next_renewal =
      now_ + backend.renew_interval * (90 + rng_() % 11) / 100;
  RecordMemberChanges(vm);
}

void MembershipWorld::RecordMemberChanges(FakeVm& vm) {
  if (vm.list->version() != vm.recorded_version) {
    vm.recorded_version = vm.list->version();
    for (const Member& it : vm.list->members()) {
      const auto old = vm.recorded_members.find(it.id);
      if (old == vm.recorded_members.end() || old->second.state != it.state) {
        observed_states_.insert({names_[it.id], it.state});
        AppendToJournal(vm.name + " sees " + names_[it.id] + " " +
                        std::string(StateName(it.state)) + ", incarnation " +
                        std::to_string(it.incarnation));
      }
      vm.recorded_members[it.id] = it;
    }
  }
  if (observer_) {
    observer_(vm);
  }
}

void MembershipWorld::AppendToJournal(const std::string& text) {
  if (quiet_) {
    return;
  }
  char time[32];
  const double at =
      std::chrono::duration<double>(now_.time_since_epoch()).count() - 1;
  std::snprintf(time, sizeof(time), "%9.4f ", at);
  journal_ += time + text + "\n";
}

}  // namespace vanillalatch
