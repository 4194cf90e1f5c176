#include "vanillalatch/registry/registry.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

#include "src/registry/lease.h"
#include "src/registry/lease_store.h"

namespace vanillalatch {
namespace internal {
namespace {

using std::chrono::milliseconds;

constexpr Duration kMinLifetime = std::chrono::seconds(1);
constexpr Duration kMaxLifetime = std::chrono::hours(24);
// A change has this long to spread by itself before unequal digests make a
// VM send whole buckets.
constexpr Duration kSpreadTime = milliseconds(600);
constexpr BucketMask kAllBuckets = ~BucketMask{0};
// A change sent fewer times than this is news.
constexpr std::size_t kNewsSends = 2;
// Tag and length of one message in a repeated field.
constexpr std::size_t kFieldBytes = 3;

// A renewal is sent at once only when less than a third of the lease is left
// as far as this VM knows; otherwise the ages in the digests carry it.
bool RenewalIsUrgent(const Lease& lease, TimePoint now) {
  return lease.state == LeaseState::kLapsed ||
         lease.expires() - now < lease.lifetime / 3;
}

// Which of two registrations of one address holds it.
auto AddressRank(const Lease& lease) {
  return std::tuple(lease.claim, lease.endpoint.epoch, lease.endpoint.id);
}

class RegistryImpl : public Registry {
 public:
  explicit RegistryImpl(RegistryOptions options)
      : options_(std::move(options)) {}

  Result<EndpointId> Register(TimePoint now,
                              const Registration& registration) override;
  Result<EndpointId> BeginLeave(TimePoint now, EndpointId id) override;
  bool OnTick(TimePoint now) override;

  std::span<const Endpoint> EndpointsOf(ServiceId service) const override {
    return store_.ViewOf(service);
  }
  const Endpoint* Find(EndpointId id) const override {
    return store_.FindInView(id);
  }
  const Endpoint* FindByAddress(SocketAddress address) const override {
    return store_.FindInView(store_.AddressInView(address));
  }
  std::uint64_t VersionOf(ServiceId service) const override {
    return store_.VersionOf(service);
  }

  void AppendLeases(TimePoint now, std::size_t sends, std::size_t max_bytes,
                    pb::MembershipMessage& message) override;
  void AppendDigests(TimePoint now, BucketMask mask, std::size_t max_bytes,
                     pb::MembershipMessage& message) override;
  std::size_t AppendBucket(TimePoint now, std::size_t bucket,
                           std::size_t cursor, std::size_t max_bytes,
                           pb::MembershipMessage& message) override;
  void MergeLease(TimePoint now, const pb::LeaseUpdate& update) override;
  BucketMask MergeDigests(TimePoint now,
                          const pb::MembershipMessage& message) override;
  bool HasNews() const override;
  void OnContact(TimePoint now) override;

 private:
  struct Pending {
    EndpointId id;
    std::size_t sent = 0;
  };

  std::optional<Error> Check(const Registration& registration);
  Result<EndpointId> RenewHere(TimePoint now, const Registration& registration,
                               Lease& lease);
  EndpointId Add(TimePoint now, const Registration& registration,
                 EndpointId id);
  void MergeKnown(TimePoint now, Lease& lease, const Lease& incoming);
  void MergeNew(TimePoint now, Lease incoming);
  // Settles who holds the address of `lease`; false if somebody else does.
  bool TakeAddress(TimePoint now, const Lease& lease);
  // Marks it gone and remembers it.
  void Remove(TimePoint now, Lease& lease);
  void Expire(TimePoint now, Lease& lease);
  void Spread(EndpointId id);
  void Show(TimePoint now, const Lease& lease);
  void UpdateDoubt(TimePoint now);
  std::uint64_t NextClaim(SocketAddress address);
  pb::LeaseBucket DigestOfBucket(TimePoint now, std::size_t bucket);
  bool MergeBucket(TimePoint now, const pb::LeaseBucket& bucket);

  RegistryOptions options_;
  LeaseStore store_;
  std::vector<Pending> pending_;
  // Buckets whose leases may be out of date, for lack of contact.
  BucketMask doubted_ = 0;
  std::optional<TimePoint> last_contact_;
  TimePoint contact_since_;
};

std::optional<Error> RegistryImpl::Check(const Registration& registration) {
  if (registration.data_center != options_.data_center) {
    return Error(ErrorKind::kWrongDataCenter,
                 "registration for data centre " + registration.data_center);
  }
  if (registration.name.empty() || registration.slots == 0 ||
      registration.lifetime < kMinLifetime ||
      registration.lifetime > kMaxLifetime) {
    return Error(ErrorKind::kInvalidArgument,
                 "a registration needs a name, slots and a lifetime between "
                 "1 s and 1 day");
  }
  const Lease* newest =
      store_.FindNewest(registration.service, registration.name);
  if (newest != nullptr && registration.epoch < newest->endpoint.epoch) {
    return Error(ErrorKind::kConflict,
                 "a later registration of " + registration.name + " is known");
  }
  return std::nullopt;
}

Result<EndpointId> RegistryImpl::Register(TimePoint now,
                                          const Registration& registration) {
  if (std::optional<Error> error = Check(registration)) {
    return *std::move(error);
  }
  const EndpointId id =
      EndpointIdOf(registration.service, registration.name, registration.epoch);
  if (Lease* lease = store_.Find(id)) {
    return RenewHere(now, registration, *lease);
  }
  return Add(now, registration, id);
}

Result<EndpointId> RegistryImpl::RenewHere(TimePoint now,
                                           const Registration& registration,
                                           Lease& lease) {
  Endpoint& endpoint = lease.endpoint;
  if (lease.state == LeaseState::kGone ||
      endpoint.address != registration.address) {
    return Error(ErrorKind::kConflict,
                 registration.name + " needs a new epoch to register again");
  }
  const bool urgent = RenewalIsUrgent(lease, now);
  if (urgent && !TakeAddress(now, lease)) {
    Remove(now, lease);
    return Error(ErrorKind::kConflict,
                 "the address of " + registration.name + " was reused");
  }
  const bool changed = endpoint.slots != registration.slots ||
                       lease.lifetime != registration.lifetime;
  endpoint.slots = registration.slots;
  endpoint.load_percent = registration.load_percent;
  endpoint.load_reported = now;
  lease.lifetime = registration.lifetime;
  lease.renewed = now;
  lease.renewed_here = now;
  store_.Apply(lease, LeaseEvent::kRenew, now);
  if (changed) {
    ++endpoint.version;
  }
  if (changed || urgent) {
    Spread(endpoint.id);
  }
  Show(now, lease);
  return endpoint.id;
}

EndpointId RegistryImpl::Add(TimePoint now, const Registration& registration,
                             EndpointId id) {
  Lease lease;
  Endpoint& endpoint = lease.endpoint;
  endpoint.id = id;
  endpoint.service = registration.service;
  endpoint.name = registration.name;
  endpoint.address = registration.address;
  endpoint.slots = registration.slots;
  endpoint.registered = now;
  endpoint.load_percent = registration.load_percent;
  endpoint.load_reported = now;
  endpoint.epoch = registration.epoch;
  endpoint.version = 1;
  lease.claim = NextClaim(registration.address);
  lease.lifetime = registration.lifetime;
  lease.renewed = now;
  lease.renewed_here = now;
  lease.changed = now;
  MergeNew(now, std::move(lease));
  return id;
}

Result<EndpointId> RegistryImpl::BeginLeave(TimePoint now, EndpointId id) {
  Lease* lease = store_.Find(id);
  if (lease == nullptr || lease->state == LeaseState::kGone) {
    return Error(ErrorKind::kNotFound, "no such endpoint");
  }
  if (lease->state == LeaseState::kLapsed) {
    Remove(now, *lease);
    return id;
  }
  if (lease->state == LeaseState::kReady) {
    ++lease->endpoint.version;
    store_.Apply(*lease, LeaseEvent::kLeave, now);
    Spread(id);
    Show(now, *lease);
  }
  return id;
}

void RegistryImpl::MergeLease(TimePoint now, const pb::LeaseUpdate& update) {
  std::optional<Lease> incoming = FromUpdate(update, now);
  if (!incoming) {
    return;
  }
  if (Lease* lease = store_.Find(incoming->endpoint.id)) {
    MergeKnown(now, *lease, *incoming);
  } else if (incoming->expires() > now) {
    MergeNew(now, *std::move(incoming));
  }
}

void RegistryImpl::MergeKnown(TimePoint now, Lease& lease,
                              const Lease& incoming) {
  if (lease.state == LeaseState::kGone) {
    return;
  }
  if (incoming.state == LeaseState::kGone) {
    Remove(now, lease);
    return;
  }
  bool news = false;
  const bool urgent = RenewalIsUrgent(lease, now);
  lease.claim = std::max(lease.claim, incoming.claim);
  if (incoming.endpoint.version > lease.endpoint.version) {
    lease.endpoint.version = incoming.endpoint.version;
    lease.endpoint.slots = incoming.endpoint.slots;
    lease.lifetime = incoming.lifetime;
    news = true;
  }
  if (Renew(lease, incoming.renewed)) {
    lease.endpoint.load_percent = incoming.endpoint.load_percent;
    lease.endpoint.load_reported = incoming.endpoint.load_reported;
    if (lease.state == LeaseState::kLapsed && !TakeAddress(now, lease)) {
      Remove(now, lease);
      return;
    }
    store_.Apply(lease, LeaseEvent::kRenew, now);
    news |= urgent;
  }
  if (incoming.state == LeaseState::kLeaving &&
      lease.state != LeaseState::kLeaving) {
    if (lease.state == LeaseState::kLapsed) {
      Remove(now, lease);
      return;
    }
    store_.Apply(lease, LeaseEvent::kLeave, now);
    news = true;
  }
  if (news) {
    Spread(lease.endpoint.id);
  }
  Show(now, lease);
}

void RegistryImpl::MergeNew(TimePoint now, Lease incoming) {
  const EndpointId id = incoming.endpoint.id;
  Lease* newest =
      store_.FindNewest(incoming.endpoint.service, incoming.endpoint.name);
  if (newest != nullptr && newest->state != LeaseState::kGone) {
    if (newest->endpoint.epoch > incoming.endpoint.epoch) {
      return;
    }
    Remove(now, *newest);
  }
  const bool holds = !incoming.live() || TakeAddress(now, incoming);
  Lease& lease = store_.Insert(std::move(incoming));
  if (!holds) {
    Remove(now, lease);
    return;
  }
  Spread(id);
  Show(now, lease);
}

bool RegistryImpl::TakeAddress(TimePoint now, const Lease& lease) {
  Lease* holder = store_.FindByAddress(lease.endpoint.address);
  if (holder == nullptr || holder->endpoint.id == lease.endpoint.id) {
    return true;
  }
  if (AddressRank(*holder) > AddressRank(lease)) {
    return false;
  }
  Remove(now, *holder);
  return true;
}

std::uint64_t RegistryImpl::NextClaim(SocketAddress address) {
  std::uint64_t highest = 0;
  store_.ForEach([&](const Lease& it) {
    if (it.endpoint.address == address) {
      highest = std::max(highest, it.claim);
    }
  });
  return highest + 1;
}

void RegistryImpl::Remove(TimePoint now, Lease& lease) {
  store_.Apply(lease, LeaseEvent::kReplace, now);
  lease.lifetime = std::max(lease.lifetime, options_.tombstone);
  lease.renewed = now;
  Spread(lease.endpoint.id);
  Show(now, lease);
}

void RegistryImpl::Expire(TimePoint now, Lease& lease) {
  if (lease.state == LeaseState::kLeaving) {
    Remove(now, lease);
    return;
  }
  store_.Apply(lease, LeaseEvent::kExpire, now);
  Show(now, lease);
}

bool RegistryImpl::OnTick(TimePoint now) {
  bool changed = false;
  std::vector<EndpointId> forgotten;
  UpdateDoubt(now);
  store_.ForEach([&](Lease& it) {
    if (doubted_ != 0) {
      Show(now, it);
    }
    if (now < it.expires()) {
      return;
    }
    if (it.live()) {
      Expire(now, it);
      changed = true;
    } else if (it.state == LeaseState::kGone ||
               now >= it.expires() + options_.tombstone) {
      forgotten.push_back(it.endpoint.id);
    }
  });
  for (const EndpointId& it : forgotten) {
    store_.Erase(it);
  }
  return changed;
}

void RegistryImpl::UpdateDoubt(TimePoint now) {
  if (!last_contact_) {
    last_contact_ = now;
    contact_since_ = now;
  }
  if (now - *last_contact_ > options_.doubt_after) {
    doubted_ = kAllBuckets;
  }
}

void RegistryImpl::OnContact(TimePoint now) {
  const bool silent =
      last_contact_ && now - *last_contact_ > options_.doubt_after;
  UpdateDoubt(now);
  if (silent) {
    contact_since_ = now;
  }
  last_contact_ = now;
  if (doubted_ != 0 && now - contact_since_ > options_.doubt_after) {
    doubted_ = 0;
    store_.ForEach([&](const Lease& it) { Show(now, it); });
  }
}

void RegistryImpl::Spread(EndpointId id) {
  std::erase_if(pending_, [&](const Pending& it) { return it.id == id; });
  pending_.insert(pending_.begin(), {id, 0});
}

void RegistryImpl::Show(TimePoint now, const Lease& lease) {
  const bool doubted = ((doubted_ >> BucketOf(lease.endpoint.id)) & 1) != 0 &&
                       lease.renewed_here + options_.first_hand_bound < now;
  store_.Show(lease, doubted);
}

void RegistryImpl::AppendLeases(TimePoint now, std::size_t sends,
                                std::size_t max_bytes,
                                pb::MembershipMessage& message) {
  std::size_t size = message.ByteSizeLong();
  std::stable_sort(
      pending_.begin(), pending_.end(),
      [](const Pending& a, const Pending& b) { return a.sent < b.sent; });
  for (Pending& it : pending_) {
    const Lease* lease = store_.Find(it.id);
    if (lease == nullptr || lease->state == LeaseState::kLapsed) {
      it.sent = sends;
      continue;
    }
    pb::LeaseUpdate update;
    ToUpdate(*lease, now, update);
    size += update.ByteSizeLong() + kFieldBytes;
    if (size > max_bytes) {
      break;
    }
    *message.add_leases() = std::move(update);
    ++it.sent;
  }
  std::erase_if(pending_, [&](const Pending& it) { return it.sent >= sends; });
}

bool RegistryImpl::HasNews() const {
  return std::any_of(pending_.begin(), pending_.end(),
                     [](const Pending& it) { return it.sent < kNewsSends; });
}

pb::LeaseBucket RegistryImpl::DigestOfBucket(TimePoint now,
                                             std::size_t bucket) {
  pb::LeaseBucket digest;
  digest.set_bucket(static_cast<std::uint32_t>(bucket));
  std::uint32_t sum = 0;
  for (const EndpointId& it : store_.Bucket(bucket)) {
    const Lease* lease = store_.Find(it);
    if (lease->live()) {
      sum ^= DigestOf(*lease);
      digest.mutable_ages()->push_back(static_cast<char>(AgeOf(*lease, now)));
    }
  }
  digest.set_digest(sum);
  return digest;
}

void RegistryImpl::AppendDigests(TimePoint now, BucketMask mask,
                                 std::size_t max_bytes,
                                 pb::MembershipMessage& message) {
  std::size_t size = message.ByteSizeLong();
  for (std::size_t n = 0; n < kBuckets; ++n) {
    if (((mask >> n) & 1) == 0) {
      continue;
    }
    pb::LeaseBucket digest = DigestOfBucket(now, n);
    size += digest.ByteSizeLong() + kFieldBytes;
    if (size > max_bytes) {
      return;
    }
    *message.add_buckets() = std::move(digest);
  }
}

bool RegistryImpl::MergeBucket(TimePoint now, const pb::LeaseBucket& bucket) {
  const pb::LeaseBucket own = DigestOfBucket(now, bucket.bucket());
  if (own.digest() != bucket.digest() ||
      own.ages().size() != bucket.ages().size()) {
    return false;
  }
  std::size_t n = 0;
  for (const EndpointId& it : store_.Bucket(bucket.bucket())) {
    Lease* lease = store_.Find(it);
    if (lease->live()) {
      const auto age = static_cast<std::uint8_t>(bucket.ages()[n++]);
      if (Renew(*lease, RenewedFromAge(*lease, age, now))) {
        Show(now, *lease);
      }
    }
  }
  return true;
}

BucketMask RegistryImpl::MergeDigests(TimePoint now,
                                      const pb::MembershipMessage& message) {
  BucketMask differ = 0;
  for (const pb::LeaseBucket& it : message.buckets()) {
    if (it.bucket() >= kBuckets) {
      continue;
    }
    const BucketMask bit = BucketMask{1} << it.bucket();
    if (MergeBucket(now, it)) {
      doubted_ &= ~bit;
    } else if (now - store_.ChangedAt(it.bucket()) >= kSpreadTime &&
               !store_.Bucket(it.bucket()).empty()) {
      differ |= bit;
    }
  }
  return differ;
}

std::size_t RegistryImpl::AppendBucket(TimePoint now, std::size_t bucket,
                                       std::size_t cursor,
                                       std::size_t max_bytes,
                                       pb::MembershipMessage& message) {
  const std::span<const EndpointId> ids = store_.Bucket(bucket);
  std::size_t size = message.ByteSizeLong();
  for (std::size_t n = cursor; n < ids.size(); ++n) {
    const Lease* lease = store_.Find(ids[n]);
    if (lease->state == LeaseState::kLapsed) {
      continue;
    }
    pb::LeaseUpdate update;
    ToUpdate(*lease, now, update);
    size += update.ByteSizeLong() + kFieldBytes;
    if (size > max_bytes) {
      return n;
    }
    *message.add_leases() = std::move(update);
  }
  return 0;
}

}  // namespace
}  // namespace internal

Result<std::unique_ptr<Registry>> Registry::Create(RegistryOptions options) {
  if (options.data_center.empty()) {
    return Error(ErrorKind::kInvalidArgument, "a registry needs a data centre");
  }
  return std::unique_ptr<Registry>(
      std::make_unique<internal::RegistryImpl>(std::move(options)));
}

}  // namespace vanillalatch
