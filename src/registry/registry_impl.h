// Registry: registrations, renewals, merging and spreading of leases.
#ifndef VANILLALATCH_SRC_REGISTRY_REGISTRY_IMPL_H_
#define VANILLALATCH_SRC_REGISTRY_REGISTRY_IMPL_H_

#include <array>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "src/registry/lease.h"
#include "src/registry/lease_store.h"
#include "vanillalatch/registry/registry.h"

namespace vanillalatch::internal {

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
  const Endpoint* FindByName(std::string_view name) const override;
  std::vector<pb::LeaseUpdate> Leases(TimePoint now) const override;
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

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_REGISTRY_REGISTRY_IMPL_H_
