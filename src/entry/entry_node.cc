#include "vanillalatch/entry/entry_node.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

#include "src/entry/entry_node_impl.h"
#include "vanillalatch/base/hash.h"

namespace vanillalatch {

Result<std::unique_ptr<EntryNode>> EntryNode::Create(EntryOptions options,
                                                     TimePoint now,
                                                     std::uint64_t seed) {
  auto members = MemberList::Create(options.membership, seed);
  if (!members.ok()) {
    return members.error();
  }
  RegistryOptions registry_options;
  registry_options.data_center = options.membership.data_center;
  auto registry = Registry::Create(registry_options);
  if (!registry.ok()) {
    return registry.error();
  }
  RecordTableOptions record_options;
  record_options.keep = options.exchange_lifetime;
  record_options.keep_idempotent = options.exchange_lifetime;
  auto records = RecordTable::Create(record_options);
  if (!records.ok()) {
    return records.error();
  }
  auto parser = CoapParser::Create();
  auto stored_parser = CoapParser::Create();
  if (!parser.ok() || !stored_parser.ok()) {
    return Error(ErrorKind::kInternal, "libcoap can't set up a message");
  }
  return std::unique_ptr<EntryNode>(std::make_unique<internal::EntryNodeImpl>(
      std::move(options), seed, std::move(*members), std::move(*registry),
      std::move(*records),
      internal::Parsers{std::move(*parser), std::move(*stored_parser)}, now));
}

namespace internal {

EntryNodeImpl::EntryNodeImpl(EntryOptions options, std::uint64_t seed,
                             std::unique_ptr<MemberList> members,
                             std::unique_ptr<Registry> registry,
                             RecordTable records, Parsers parsers,
                             TimePoint now)
    : options_(std::move(options)),
      seed_(seed),
      members_(std::move(members)),
      registry_(std::move(registry)),
      records_(std::move(records)),
      parsers_(std::move(parsers)),
      self_(members_->self()),
      instance_(StableHash(self_.value(), options_.membership.incarnation)),
      started_(now),
      next_exchange_(StableHash(instance_, seed)),
      next_message_id_(static_cast<std::uint16_t>(next_exchange_)),
      next_sequence_(next_exchange_ >> 1),
      slow_tick_(now),
      now_(now) {}

void EntryNodeImpl::Begin(TimePoint now, Outbox& out) {
  const bool frozen = now > now_ + options_.membership.suspicion_timeout;
  now_ = std::max(now_, now);
  out_ = &out;
  if (frozen) {
    Thaw();
  }
}

// This VM had no event for so long that others may have taken it for dead, and
// have gone on without it: it asks what it has missed.
void EntryNodeImpl::Thaw() {
  thawed_at_ = now_;
  // A caller that did not get its refusal may have sent the request again, and
  // others have run it.
  records_.ForEach([&](RequestRecord& record) {
    if (record.state == RequestState::kFinished && record.says_not_run) {
      record.says_not_run = false;
      record.unsettled = 1;
      records_.ReplaceAnswer(record,
                             ErrorMessage(LateKind(record), kRetryLater));
    }
  });
  for (auto& [id, service] : services_) {
    service.complete = false;
    service.complete_until = TimePoint::min();
    service.transfer = {};
    if (service.dispatches) {
      BeginCollection(service);
    }
  }
}

// Reacts to members and endpoints that the event changed.
void EntryNodeImpl::AfterEvent() {
  if (members_->version() != members_version_ || (!joined_ && Joined())) {
    members_version_ = members_->version();
    OnMembersChanged();
  }
  for (auto& [id, service] : services_) {
    const std::uint64_t version = registry_->VersionOf(id);
    if (version != service.endpoints_version) {
      service.endpoints_version = version;
      service.scheduler->SetEndpoints(now_, registry_->EndpointsOf(id));
      service.placer->SetEndpoints(now_, registry_->EndpointsOf(id));
      service.scheduler->OnTick(now_, verdicts_);
      RunVerdicts();
    }
  }
}

void EntryNodeImpl::OnDatagram(TimePoint now, const Datagram& datagram,
                               Outbox& out) {
  Begin(now, out);
  ++counters_.datagrams;
  switch (datagram.socket) {
    case SocketRole::kCaller:
      OnCaller(datagram);
      break;
    case SocketRole::kBackend:
      OnBackend(datagram);
      break;
    case SocketRole::kPeer:
      OnPeer(datagram);
      break;
  }
  AfterEvent();
}

void EntryNodeImpl::OnTick(TimePoint now, Outbox& out) {
  Begin(now, out);
  members_->OnTick(now_, *registry_, out);
  registry_->OnTick(now_);
  AfterEvent();
  while (RequestRecord* it = records_.NextDue(now_)) {
    WakeRecord(*it);
  }
  for (auto& [id, service] : services_) {
    TickCollection(service);
    TickTransfer(service);
    if (service.scheduler->NextWake() <= now_) {
      service.scheduler->OnTick(now_, verdicts_);
      RunVerdicts();
    }
  }
  if (now_ >= slow_tick_) {
    slow_tick_ = now_ + kSlowTick;
    ForgetIdle();
    GreetMembers();
    RenewHolds();
    NoteDispatchers();
  }
}

TimePoint EntryNodeImpl::NextWake() const {
  TimePoint at = std::min(members_->NextWake(), records_.NextWake());
  at = std::min(at, slow_tick_);
  for (const auto& [id, service] : services_) {
    at = std::min(at, service.scheduler->NextWake());
    if (service.dispatches && !service.ready) {
      at = std::min({at, service.collection.resend, service.collection.ends});
    }
    at = std::min(at, service.transfer.resend);
  }
  return at;
}

// Drops flows and answers of many blocks that have been idle, a part at a
// time.
void EntryNodeImpl::ForgetIdle() {
  for (auto& [id, service] : services_) {
    SessionPlacer& placer = *service.placer;
    service.pins.ExpireSome(now_, [&](SocketAddress, EndpointId endpoint) {
      placer.Close(endpoint);
    });
    absl::erase_if(service.blocks,
                   [&](const auto& it) { return it.second.expires <= now_; });
  }
}

void EntryNodeImpl::WakeRecord(RequestRecord& record) {
  const ServiceState* service = FindService(record.service);
  if (record.state == RequestState::kFinished) {
    SendDone(record);
    return;
  }
  if (service == nullptr) {
    GiveUp(record,
           record.unsettled > 0 ? ErrorKind::kOutcomeUnknown
                                : ErrorKind::kNotFound,
           kRetryLater);
    return;
  }
  if (record.state == RequestState::kHeld) {
    WakeHeld(record);
    return;
  }
  if (now_ >= record.deadline) {
    GiveUp(record, LateKind(record), kRetryLater);
    return;
  }
  switch (record.state) {
    case RequestState::kParked:
      Route(record);
      break;
    case RequestState::kPlaced:
      SendHold(record);
      break;
    case RequestState::kSent:
      AttemptFailed(record);
      break;
    default:
      records_.WakeAt(record, record.deadline);
      break;
  }
}

// A record whose duty lies elsewhere: offers it again until it is taken, and
// forgets it when nobody can resend the request any more.
void EntryNodeImpl::WakeHeld(RequestRecord& record) {
  if (now_ >= record.received + options_.exchange_lifetime) {
    ReleaseAdopted(record);
    records_.Finish(record, now_, {});
    return;
  }
  if (record.adopted && now_ >= record.deadline) {
    ReleaseAdopted(record);
  }
  if (!record.acknowledged && now_ >= record.deadline) {
    record.unsettled = 1;  // The acknowledgement may have been lost.
    GiveUp(record, LateKind(record), kRetryLater);
    return;
  }
  if (!record.acknowledged) {
    SendHandover(record);
    return;
  }
  records_.WakeAt(record, record.received + options_.exchange_lifetime);
}

ErrorKind EntryNodeImpl::LateKind(const RequestRecord& record) {
  if (record.unsettled == 0) {
    return ErrorKind::kDeadlineUnmeetable;
  }
  return record.idempotent ? ErrorKind::kDeadlineExceeded
                           : ErrorKind::kOutcomeUnknown;
}

void EntryNodeImpl::Note(RequestId request, HopEvent event,
                         std::uint64_t subject) {
  const Hop hop{request, now_, event, subject};
  if (hops_.size() >= options_.max_hops_kept && !hops_.empty()) {
    hops_.pop_front();
  }
  if (options_.max_hops_kept > 0) {
    hops_.push_back(hop);
  }
  if (new_hops_.size() < options_.max_hops_kept) {
    new_hops_.push_back(hop);
  }
}

std::vector<Hop> EntryNodeImpl::HopsOf(RequestId request) const {
  std::vector<Hop> found;
  std::copy_if(hops_.begin(), hops_.end(), std::back_inserter(found),
               [&](const Hop& it) { return it.request == request; });
  return found;
}

std::vector<Hop> EntryNodeImpl::TakeHops() {
  return std::exchange(new_hops_, {});
}

pb::SyncRequest EntryNodeImpl::Report(TimePoint now) const {
  static constexpr std::array<std::string_view, 4> kStates = {
      "alive", "suspect", "leaving", "dead"};
  pb::SyncRequest report;
  report.set_vm(options_.membership.name);
  report.set_data_center(options_.membership.data_center);
  report.set_revision(catalog_revision_);
  report.set_state(stopping_             ? "stopping"
                   : drained_by_catalog_ ? "draining"
                                         : "serving");
  for (const auto& [id, service] : services_) {
    if (service.dispatches) {
      pb::ServiceReport& figures = *report.add_services();
      figures = service.scheduler->Report(now);
      figures.set_service_id(id.value());
    }
  }
  for (const Member& it : members_->members()) {
    report.add_members(
        it.name + " " +
        std::string(kStates.at(static_cast<std::size_t>(it.state))));
  }
  return report;
}

}  // namespace internal
}  // namespace vanillalatch
