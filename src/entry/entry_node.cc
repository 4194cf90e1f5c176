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
  record_options.max_records = options.max_records;
  record_options.retention = options.exchange_lifetime;
  record_options.idempotent_retention = options.exchange_lifetime;
  auto records = RecordTable::Create(record_options);
  if (!records.ok()) {
    return records.error();
  }
  auto parser = CoapParser::Create();
  auto stored_parser = CoapParser::Create();
  if (!parser.ok() || !stored_parser.ok()) {
    return Error(ErrorKind::kInternal, "libcoap cannot allocate a message");
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
      instance_(InstanceOf(self_, options_.membership.incarnation)),
      started_(now),
      next_exchange_token_(StableHash(instance_, seed)),
      next_message_id_(static_cast<std::uint16_t>(next_exchange_token_)),
      next_sequence_(next_exchange_token_ >> 1),
      next_housekeeping_(now),
      now_(now) {}

void EntryNodeImpl::BeginEvent(TimePoint now, Outbox& out) {
  const bool frozen = now > now_ + options_.membership.suspicion_timeout;
  now_ = std::max(now_, now);
  out_ = &out;
  if (frozen) {
    OnThaw();
  }
}

// Handles the end of a period without events that was so long that other VMs
// may have declared this VM failed and taken over its requests. This VM is no
// longer complete, and a dispatcher collects the open requests again.
void EntryNodeImpl::OnThaw() {
  thawed_at_ = now_;
  // A caller that did not receive a "not run" answer may have resent the
  // request, and another VM may have run it. The answer no longer holds.
  records_.ForEach([&](RequestRecord& record) {
    if (record.state == RequestState::kFinished && record.answer_says_not_run) {
      record.answer_says_not_run = false;
      record.possible_runs = 1;
      records_.ReplaceAnswer(
          record, BuildErrorAnswer(TimeoutErrorKind(record), kRetryAfter));
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

// Applies the changes that the event made to the members and endpoints.
void EntryNodeImpl::AfterEvent() {
  if (members_->version() != members_version_ || (!joined_ && HasJoined())) {
    members_version_ = members_->version();
    OnMembersChanged();
  }
  UpdateEvacuations();
  const bool refresh = now_ < refresh_until_ && now_ >= refresh_due_;
  if (refresh) {
    refresh_due_ = now_ + kEndpointRefreshInterval;
  }
  for (auto& [id, service] : services_) {
    const std::uint64_t version = registry_->VersionOf(id);
    if (refresh || version != service.endpoints_version) {
      service.endpoints_version = version;
      SetEndpoints(service);
      service.scheduler->OnTick(now_, verdicts_);
      ApplyVerdicts();
    }
  }
}

void EntryNodeImpl::OnDatagram(TimePoint now, const Datagram& datagram,
                               Outbox& out) {
  BeginEvent(now, out);
  ++counters_.datagrams;
  switch (datagram.socket) {
    case SocketRole::kCaller:
      OnCallerDatagram(datagram);
      break;
    case SocketRole::kBackend:
      OnBackendDatagram(datagram);
      break;
    case SocketRole::kPeer:
      OnPeerDatagram(datagram);
      break;
  }
  AfterEvent();
}

void EntryNodeImpl::OnTick(TimePoint now, Outbox& out) {
  BeginEvent(now, out);
  members_->OnTick(now_, *registry_, out);
  registry_->OnTick(now_);
  AfterEvent();
  while (RequestRecord* it = records_.PopDue(now_)) {
    OnRecordDue(*it);
  }
  for (auto& [id, service] : services_) {
    TickCollection(service);
    TickTransfer(service);
    if (service.scheduler->NextWake() <= now_) {
      service.scheduler->OnTick(now_, verdicts_);
      ApplyVerdicts();
    }
  }
  if (now_ >= next_housekeeping_) {
    next_housekeeping_ = now_ + kHousekeepingInterval;
    ExpireIdlePins();
    SendHellos();
    RenewHolds();
    SendTransferQueries();
    TrackDispatchers();
  }
}

TimePoint EntryNodeImpl::NextWake() const {
  TimePoint at = std::min(members_->NextWake(), records_.NextWake());
  at = std::min(at, next_housekeeping_);
  for (const auto& [id, service] : services_) {
    at = std::min(at, service.scheduler->NextWake());
    if (service.dispatches && !service.ready) {
      at = std::min(
          {at, service.collection.resend_at, service.collection.ends_at});
    }
    at = std::min(at, service.transfer.resend_at);
  }
  return at;
}

// Removes expired pins of flows, a bounded number per call, and of blockwise
// answers.
void EntryNodeImpl::ExpireIdlePins() {
  for (auto& [id, service] : services_) {
    SessionPlacer& placer = *service.placer;
    service.pins.ExpireSome(now_, [&](SocketAddress, EndpointId endpoint) {
      placer.Close(endpoint);
    });
    absl::erase_if(service.blocks,
                   [&](const auto& it) { return it.second.expires <= now_; });
  }
}

void EntryNodeImpl::OnRecordDue(RequestRecord& record) {
  const ServiceState* service = FindService(record.service);
  if (record.state == RequestState::kFinished) {
    SendDone(record);
    return;
  }
  if (service == nullptr) {
    GiveUp(record,
           record.possible_runs > 0 ? ErrorKind::kOutcomeUnknown
                                    : ErrorKind::kNotFound,
           kRetryAfter);
    return;
  }
  if (record.state == RequestState::kHeld) {
    OnHeldRecordDue(record);
    return;
  }
  if (now_ >= record.deadline) {
    GiveUp(record, TimeoutErrorKind(record), kRetryAfter);
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
      OnAttemptTimeout(record);
      break;
    default:
      records_.WakeAt(record, record.deadline);
      break;
  }
}

// Handles a record that another VM is responsible for: resends the handover
// until that VM acknowledges it, and finishes the record when the caller can no
// longer resend the request.
void EntryNodeImpl::OnHeldRecordDue(RequestRecord& record) {
  if (now_ >= record.received + options_.exchange_lifetime) {
    ReleaseAdoptedSlot(record);
    records_.Finish(record, now_, {});
    return;
  }
  if (record.adopted && now_ >= record.deadline) {
    ReleaseAdoptedSlot(record);
  }
  if (!record.acknowledged && now_ >= record.deadline) {
    record.possible_runs = 1;  // The acknowledgement may have been lost.
    GiveUp(record, TimeoutErrorKind(record), kRetryAfter);
    return;
  }
  if (!record.acknowledged) {
    SendHandover(record);
    return;
  }
  records_.WakeAt(record, record.received + options_.exchange_lifetime);
}

ErrorKind EntryNodeImpl::TimeoutErrorKind(const RequestRecord& record) {
  if (record.possible_runs == 0) {
    return ErrorKind::kDeadlineUnmeetable;
  }
  return record.idempotent ? ErrorKind::kDeadlineExceeded
                           : ErrorKind::kOutcomeUnknown;
}

void EntryNodeImpl::RecordHop(RequestId request, HopEvent event,
                              std::uint64_t subject) {
  const Hop hop{request, now_, event, subject};
  if (hops_.size() >= options_.max_stored_hops && !hops_.empty()) {
    hops_.pop_front();
  }
  if (options_.max_stored_hops > 0) {
    hops_.push_back(hop);
  }
  if (new_hops_.size() < options_.max_stored_hops) {
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
