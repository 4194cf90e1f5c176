#include "vanillalatch/registry/registry.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "src/registry/lease.h"
#include "src/registry/lease_store.h"

namespace vanillalatch {
namespace internal {
namespace {

using std::chrono::milliseconds;

constexpr Duration kMinLifetime = std::chrono::seconds(1);
constexpr Duration kMaxLifetime = std::chrono::hours(24);
// A change has this long to spread by itself before digests make a VM send it
// to those that lack it.
constexpr Duration kSpreadTime = milliseconds(500);
// A bucket that changed within this time is left out of the digests.
constexpr Duration kHotTime = milliseconds(300);
// How long a bucket goes on to show the digest of each lease after it was
// found to differ.
constexpr Duration kUnsettledTime = milliseconds(2000);
constexpr BucketMask kAllBuckets = ~BucketMask{0};
// A lease without news of a renewal runs out at the end of its lifetime if
// news would have come: a peer compared it within the last third of the
// lifetime, at least kConfirmTime. Else it is kept for
// kGraceLifetimes, so that a burst of changes doesn't cost renewals.
constexpr Duration kConfirmTime = milliseconds(1500);
constexpr int kGraceLifetimes = 3;
// With many changes waiting, registrations and renewals are sent fewer times
// than endings are: digests find who missed one.
constexpr std::size_t kManyPending = 30;
constexpr std::size_t kReadySendsOfMany = 2;
// A change sent fewer times than this is news.
constexpr std::size_t kNewsSends = 2;
// Tag and length of one message in a repeated field.
constexpr std::size_t kFieldBytes = 3;

// News of renewals would have come: a peer compared the lease of late.
bool ConfirmedOfLate(const Lease& lease, TimePoint now) {
  return now - lease.confirmed <= std::max(lease.lifetime / 3, kConfirmTime);
}

// A renewal is sent at once only if less than a third of the lease is left and
// no peer compared it of late. Else the ages in the digests carry it.
bool RenewalIsUrgent(const Lease& lease, TimePoint now) {
  return lease.expires() - now < lease.lifetime / 3 &&
         !ConfirmedOfLate(lease, now);
}

// Which of two registrations of one address holds it.
auto AddressRank(const Lease& lease) {
  return std::tuple(lease.claim, lease.endpoint.epoch, lease.endpoint.id);
}

std::uint16_t ShortDigest(char low, char high) {
  return static_cast<std::uint16_t>(static_cast<std::uint8_t>(low) |
                                    static_cast<std::uint8_t>(high) << 8);
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

  void AppendLeases(TimePoint now, bool endings, std::size_t sends,
                    std::size_t max_bytes,
                    pb::MembershipMessage& message) override;
  void AppendDigests(TimePoint now, BucketMask mask, std::size_t max_bytes,
                     pb::MembershipMessage& message) override;
  void AppendChosen(TimePoint now, std::vector<EndpointId>& chosen,
                    std::size_t max_bytes,
                    pb::MembershipMessage& message) override;
  void MergeLease(TimePoint now, const pb::LeaseUpdate& update,
                  bool spread) override;
  std::vector<EndpointId> MergeDigests(
      TimePoint now, const pb::MembershipMessage& message) override;
  bool HasNews(bool endings) override;
  void OnContact(TimePoint now, bool alone) override;

 private:
  struct Pending {
    EndpointId id;
    std::size_t sent = 0;
  };

  // True if it still is to be sent, as an ending or as one of the others.
  bool IsPending(const Pending& pending, bool endings);
  std::optional<Error> Check(const Registration& registration);
  Result<EndpointId> RenewHere(TimePoint now, const Registration& registration,
                               Lease& lease);
  EndpointId Add(TimePoint now, const Registration& registration,
                 EndpointId id);
  void MergeKnown(TimePoint now, Lease& lease, const Lease& incoming,
                  bool spread);
  void MergeNew(TimePoint now, Lease incoming, bool spread);
  // Takes news of a renewal; a lapsed lease comes back, or is removed if its
  // address was reused. False if it is no news.
  bool TakeRenewal(TimePoint now, Lease& lease, TimePoint renewed);
  // Settles who holds the address of `lease`; false if somebody else does.
  bool TakeAddress(TimePoint now, const Lease& lease);
  // Marks it gone and remembers it.
  void Remove(TimePoint now, Lease& lease);
  bool HasExpired(TimePoint now, const Lease& lease) const;
  void Expire(TimePoint now, Lease& lease);
  void Spread(EndpointId id);
  // Somebody else spreads it as well: that is one send less to do.
  void Heard(EndpointId id);
  void Show(TimePoint now, const Lease& lease);
  void UpdateDoubt(TimePoint now);
  std::uint64_t NextClaim(SocketAddress address);
  pb::LeaseBucket DigestOfBucket(TimePoint now, std::size_t bucket);
  void MergeBucket(TimePoint now, const pb::LeaseBucket& theirs,
                   std::vector<EndpointId>& lacking);
  void MergeAge(TimePoint now, Lease& lease, char age);
  // Leases that are not gone, by id.
  std::vector<Lease*> KnownIn(std::size_t bucket);

  RegistryOptions options_;
  LeaseStore store_;
  std::vector<Pending> pending_;
  // Buckets whose leases may be out of date, for lack of contact.
  BucketMask doubted_ = 0;
  std::array<TimePoint, kBuckets> unsettled_until_{};
  bool alone_ = false;
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
  if (lease.state == LeaseState::kLapsed && !TakeAddress(now, lease)) {
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
  MergeNew(now, std::move(lease), true);
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

void RegistryImpl::MergeLease(TimePoint now, const pb::LeaseUpdate& update,
                              bool spread) {
  std::optional<Lease> incoming = FromUpdate(update, now);
  if (!incoming) {
    return;
  }
  if (!spread) {
    incoming->changed = TimePoint{};  // No recent change.
  }
  if (Lease* lease = store_.Find(incoming->endpoint.id)) {
    MergeKnown(now, *lease, *incoming, spread);
  } else if (incoming->expires() > now) {
    MergeNew(now, *std::move(incoming), spread);
  }
}

void RegistryImpl::MergeKnown(TimePoint now, Lease& lease,
                              const Lease& incoming, bool spread) {
  if (lease.state == LeaseState::kGone) {
    if (incoming.state == LeaseState::kGone) {
      Heard(lease.endpoint.id);
    }
    return;
  }
  if (incoming.state == LeaseState::kGone) {
    Remove(now, lease);
    return;
  }
  bool news = false;
  const bool urgent = RenewalIsUrgent(lease, now);
  lease.claim = std::max(lease.claim, incoming.claim);
  lease.endpoint.registered =
      std::min(lease.endpoint.registered, incoming.endpoint.registered);
  if (incoming.endpoint.version > lease.endpoint.version) {
    lease.endpoint.version = incoming.endpoint.version;
    lease.endpoint.slots = incoming.endpoint.slots;
    lease.lifetime = incoming.lifetime;
    news = true;
  }
  if (TakeRenewal(now, lease, incoming.renewed)) {
    lease.endpoint.load_percent = incoming.endpoint.load_percent;
    lease.endpoint.load_reported = incoming.endpoint.load_reported;
    news |= urgent;
  }
  if (lease.state == LeaseState::kGone) {
    return;
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
  if (news && spread) {
    Spread(lease.endpoint.id);
  } else {
    Heard(lease.endpoint.id);
  }
  Show(now, lease);
}

bool RegistryImpl::TakeRenewal(TimePoint now, Lease& lease, TimePoint renewed) {
  if (!Renew(lease, renewed)) {
    return false;
  }
  if (lease.state == LeaseState::kLapsed && now < lease.expires()) {
    if (TakeAddress(now, lease)) {
      store_.Apply(lease, LeaseEvent::kRenew, now);
    } else {
      Remove(now, lease);
    }
  }
  return true;
}

void RegistryImpl::MergeNew(TimePoint now, Lease incoming, bool spread) {
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
  if (!holds) {
    incoming.state = LeaseState::kGone;
  }
  Lease& lease = store_.Insert(std::move(incoming));
  if (!holds) {
    Remove(now, lease);
    return;
  }
  if (spread) {
    Spread(id);
  }
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

bool RegistryImpl::HasExpired(TimePoint now, const Lease& lease) const {
  if (now < lease.expires()) {
    return false;
  }
  return alone_ || ConfirmedOfLate(lease, now) ||
         now >= lease.renewed + kGraceLifetimes * lease.lifetime;
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
    if (it.live()) {
      if (HasExpired(now, it)) {
        Expire(now, it);
        changed = true;
      }
    } else if (now >= it.expires() + (it.state == LeaseState::kGone
                                          ? Duration::zero()
                                          : options_.tombstone)) {
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

void RegistryImpl::OnContact(TimePoint now, bool alone) {
  alone_ = alone;
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

void RegistryImpl::Heard(EndpointId id) {
  for (Pending& it : pending_) {
    it.sent += it.id == id ? 1 : 0;
  }
}

void RegistryImpl::Show(TimePoint now, const Lease& lease) {
  const bool doubted = ((doubted_ >> BucketOf(lease.endpoint.id)) & 1) != 0 &&
                       lease.renewed_here + options_.first_hand_bound < now;
  store_.Show(lease, doubted);
}

void RegistryImpl::AppendLeases(TimePoint now, bool endings, std::size_t sends,
                                std::size_t max_bytes,
                                pb::MembershipMessage& message) {
  std::size_t size = message.ByteSizeLong();
  const bool many = pending_.size() > kManyPending;
  const std::size_t limit = many && !endings ? kReadySendsOfMany : sends;
  std::stable_sort(
      pending_.begin(), pending_.end(),
      [](const Pending& a, const Pending& b) { return a.sent < b.sent; });
  for (Pending& it : pending_) {
    if (!IsPending(it, endings) || it.sent >= limit) {
      continue;
    }
    pb::LeaseUpdate update;
    ToUpdate(*store_.Find(it.id), now, update);
    size += update.ByteSizeLong() + kFieldBytes;
    if (size > max_bytes) {
      break;
    }
    *message.add_leases() = std::move(update);
    ++it.sent;
  }
  std::erase_if(pending_, [&](const Pending& it) {
    return IsPending(it, endings) ? it.sent >= limit : !IsPending(it, !endings);
  });
}

bool RegistryImpl::IsPending(const Pending& pending, bool endings) {
  const Lease* lease = store_.Find(pending.id);
  return lease != nullptr && lease->state != LeaseState::kLapsed &&
         endings == (lease->state != LeaseState::kReady);
}

bool RegistryImpl::HasNews(bool endings) {
  return std::any_of(pending_.begin(), pending_.end(), [&](const Pending& it) {
    return it.sent < kNewsSends && IsPending(it, endings);
  });
}

std::vector<Lease*> RegistryImpl::KnownIn(std::size_t bucket) {
  std::vector<Lease*> known;
  for (Lease* it : store_.Bucket(bucket)) {
    if (it->state != LeaseState::kGone) {
      known.push_back(it);
    }
  }
  return known;
}

pb::LeaseBucket RegistryImpl::DigestOfBucket(TimePoint now,
                                             std::size_t bucket) {
  const bool unsettled = now < unsettled_until_[bucket] ||
                         now - store_.ChangedAt(bucket) < kUnsettledTime;
  pb::LeaseBucket digest;
  digest.set_bucket(static_cast<std::uint32_t>(bucket));
  std::uint32_t sum = 0;
  for (const Lease* it : KnownIn(bucket)) {
    const std::uint32_t own = DigestOf(*it);
    sum ^= own;
    digest.mutable_ages()->push_back(static_cast<char>(AgeOf(*it, now)));
    if (unsettled) {
      digest.mutable_lease_digests()->push_back(static_cast<char>(own));
      digest.mutable_lease_digests()->push_back(static_cast<char>(own >> 8));
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
    if (((mask >> n) & 1) == 0 || now - store_.ChangedAt(n) < kHotTime) {
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

void RegistryImpl::MergeAge(TimePoint now, Lease& lease, char age) {
  lease.confirmed = now;
  const auto steps = static_cast<std::uint8_t>(age);
  if (steps != kAgeUnknown &&
      TakeRenewal(now, lease, RenewedFromAge(lease, steps, now))) {
    Show(now, lease);
  }
}

void RegistryImpl::MergeBucket(TimePoint now, const pb::LeaseBucket& theirs,
                               std::vector<EndpointId>& lacking) {
  const std::vector<Lease*> known = KnownIn(theirs.bucket());
  const std::string& ages = theirs.ages();
  const std::string& digests = theirs.lease_digests();
  const pb::LeaseBucket own = DigestOfBucket(now, theirs.bucket());
  if (own.digest() == theirs.digest() && ages.size() == known.size()) {
    doubted_ &= ~(BucketMask{1} << theirs.bucket());
    for (std::size_t n = 0; n < known.size(); ++n) {
      MergeAge(now, *known[n], ages[n]);
      Show(now, *known[n]);
    }
    return;
  }
  unsettled_until_[theirs.bucket()] = now + kUnsettledTime;
  if (digests.size() != 2 * ages.size()) {
    return;
  }
  absl::flat_hash_map<std::uint16_t, char> theirs_by_digest;
  for (std::size_t n = 0; n < ages.size(); ++n) {
    theirs_by_digest[ShortDigest(digests[2 * n], digests[2 * n + 1])] = ages[n];
  }
  std::size_t matched = 0;
  for (Lease* it : known) {
    const auto found =
        theirs_by_digest.find(static_cast<std::uint16_t>(DigestOf(*it)));
    if (found != theirs_by_digest.end()) {
      MergeAge(now, *it, found->second);
      ++matched;
    } else if (now - it->changed >= kSpreadTime) {
      lacking.push_back(it->endpoint.id);
    }
  }
  if (matched == ages.size()) {
    return;
  }
  for (const Lease* it : store_.Bucket(theirs.bucket())) {
    if (it->state == LeaseState::kGone) {
      lacking.push_back(it->endpoint.id);
    }
  }
}

std::vector<EndpointId> RegistryImpl::MergeDigests(
    TimePoint now, const pb::MembershipMessage& message) {
  std::vector<EndpointId> lacking;
  for (const pb::LeaseBucket& it : message.buckets()) {
    if (it.bucket() < kBuckets) {
      MergeBucket(now, it, lacking);
    }
  }
  return lacking;
}

void RegistryImpl::AppendChosen(TimePoint now, std::vector<EndpointId>& chosen,
                                std::size_t max_bytes,
                                pb::MembershipMessage& message) {
  std::size_t size = message.ByteSizeLong();
  while (!chosen.empty()) {
    const Lease* lease = store_.Find(chosen.back());
    if (lease != nullptr && lease->state != LeaseState::kLapsed) {
      pb::LeaseUpdate update;
      ToUpdate(*lease, now, update);
      size += update.ByteSizeLong() + kFieldBytes;
      if (size > max_bytes) {
        return;
      }
      *message.add_lacking() = std::move(update);
    }
    chosen.pop_back();
  }
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
