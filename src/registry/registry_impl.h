// Implementation of Registry. registry.cc handles registrations at this VM,
// registry_merge.cc leases received from peers, registry_gossip.cc the updates
// and digests sent to peers, and registry_expiry.cc expiry and lost contact.
#ifndef VANILLALATCH_SRC_REGISTRY_REGISTRY_IMPL_H_
#define VANILLALATCH_SRC_REGISTRY_REGISTRY_IMPL_H_

#include <array>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
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
  void SetNamedServices(absl::flat_hash_set<ServiceId> services) override {
    named_services_ = std::move(services);
  }

  std::span<const Endpoint> EndpointsOf(ServiceId service) const override {
    return store_.ViewOf(service);
  }
  const Endpoint* Find(EndpointId id) const override {
    return store_.FindInView(id);
  }
  const Endpoint* FindByAddress(SocketAddress address) const override {
    return store_.FindInView(store_.AddressHolder(address));
  }
  const Endpoint* FindByName(std::string_view name) const override;
  std::vector<pb::LeaseUpdate> Leases(TimePoint now) const override;
  std::vector<pb::LeaseUpdate> LeasesAndTombstones(
      TimePoint now) const override;
  std::uint64_t VersionOf(ServiceId service) const override {
    return store_.VersionOf(service);
  }

  void AppendLeases(TimePoint now, bool departures, std::size_t max_sends,
                    std::size_t max_bytes,
                    pb::MembershipMessage& message) override;
  void AppendDigests(TimePoint now, BucketMask mask, std::size_t max_bytes,
                     pb::MembershipMessage& message) override;
  void AppendMissingLeases(TimePoint now, std::vector<EndpointId>& missing,
                           std::size_t max_bytes,
                           pb::MembershipMessage& message) override;
  void MergeLease(TimePoint now, const pb::LeaseUpdate& update,
                  bool gossip) override;
  std::vector<EndpointId> MergeDigests(
      TimePoint now, const pb::MembershipMessage& message) override;
  bool HasFreshUpdates(bool departures) override;
  void OnContact(TimePoint now, bool alone) override;

 private:
  // A lease change that is still to be sent.
  struct PendingUpdate {
    EndpointId id;
    std::size_t sent = 0;  // Number of sends so far.
  };

  // True if the update is of the selected kind: with `departures` of a lease
  // that is leaving or gone, otherwise of a ready one. A lease that has lapsed
  // or was erased is of neither kind.
  bool IsOfKind(const PendingUpdate& pending, bool departures);
  std::optional<Error> Validate(TimePoint now,
                                const Registration& registration);
  // Returns the live lease that the registration, of the endpoint `id`, would
  // remove: an earlier start of its name, or another endpoint at its address.
  // nullptr if there is none.
  Lease* FindDisplaced(const Registration& registration, EndpointId id);
  // Makes an endpoint count as cold while a later start of it, which reports
  // from the same address, can't take over yet: flows to its id reach that
  // start.
  void ExtendWarmUp(TimePoint now, const Registration& registration,
                    Lease& lease);
  // Returns an error if the registration, of the endpoint `id`, would remove
  // the lease of an endpoint that may not have ended.
  std::optional<Error> CheckTakeover(TimePoint now,
                                     const Registration& registration,
                                     EndpointId id);
  Result<EndpointId> RenewLocally(TimePoint now,
                                  const Registration& registration,
                                  Lease& lease);
  EndpointId AddLease(TimePoint now, const Registration& registration,
                      EndpointId id);
  void MergeExisting(TimePoint now, Lease& lease, const Lease& incoming,
                     bool gossip);
  void MergeNew(TimePoint now, Lease incoming, bool gossip);
  // Merges a renewal at another VM. A lapsed lease becomes ready again, or is
  // removed if its address was reused. False if the renewal is not newer.
  bool MergeRenewal(TimePoint now, Lease& lease, TimePoint renewed_at);
  // Decides which lease holds the address of `lease` and removes the other one
  // if `lease` wins. False if the other lease wins. A lease that claims no
  // address removes none, and loses only to one that started later.
  bool ClaimAddress(TimePoint now, const Lease& lease);
  // Lets a lease claim its address. True if another lease has the same address,
  // so that peers must be told.
  bool BeginClaim(TimePoint now, Lease& lease);
  // Removes the leases at the address of `lease` that don't claim it and
  // started earlier: their endpoints have ended.
  void RemoveEarlierStarts(TimePoint now, const Lease& lease);
  // Marks the lease as gone and keeps it as a tombstone.
  void Remove(TimePoint now, Lease& lease);
  bool HasExpired(TimePoint now, const Lease& lease) const;
  void Expire(TimePoint now, Lease& lease);
  // Queues the lease to be sent, with no sends counted so far.
  void QueueUpdate(EndpointId id);
  // Counts an update that a peer sent as one of this VM's own sends, because
  // the peer gossips it too.
  void CountPeerSend(EndpointId id);
  void UpdateView(TimePoint now, const Lease& lease);
  // Marks all buckets as unverified if contact with peers is lost.
  void CheckContact(TimePoint now);
  // One more than the highest claim of another lease to the address. Leases
  // that don't claim it count with the claim that they would get.
  std::uint64_t NextClaim(SocketAddress address, EndpointId claimant);
  pb::LeaseBucket DigestOfBucket(TimePoint now, std::size_t bucket);
  void MergeBucket(TimePoint now, const pb::LeaseBucket& theirs,
                   std::vector<EndpointId>& missing);
  void MergeAge(TimePoint now, Lease& lease, char age);
  // Leases of the bucket that are not gone, by id.
  std::vector<Lease*> LeasesIn(std::size_t bucket);

  RegistryOptions options_;
  LeaseStore store_;
  absl::flat_hash_set<ServiceId> named_services_;
  // Registrations that CheckTakeover() refused, and when it did so first.
  absl::flat_hash_map<EndpointId, TimePoint> refused_since_;
  std::vector<PendingUpdate> pending_;
  // Buckets whose leases may be outdated, because contact with peers was lost.
  // Cleared by an equal digest of a peer, or after contact for contact_timeout.
  BucketMask unverified_buckets_ = 0;
  // Until then the digest of a bucket includes the digest of each lease.
  std::array<TimePoint, kBucketCount> detailed_digest_until_{};
  bool alone_ = false;  // The member list contains no peer.
  std::optional<TimePoint> last_contact_;
  TimePoint in_contact_since_;
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_REGISTRY_REGISTRY_IMPL_H_
