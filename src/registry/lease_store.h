// LeaseStore: all leases of one VM, indexed by id, address, name and bucket,
// and the view: the endpoints per service that Registry returns.
#ifndef VANILLALATCH_SRC_REGISTRY_LEASE_STORE_H_
#define VANILLALATCH_SRC_REGISTRY_LEASE_STORE_H_

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/node_hash_map.h"
#include "src/registry/lease.h"

namespace vanillalatch::internal {

class LeaseStore {
 public:
  Lease* Find(EndpointId id);
  // The ready or leaving lease that claims an address; nullptr if there is
  // none.
  Lease* FindByAddress(SocketAddress address);
  // The registration of a name with the highest epoch; nullptr if there is
  // none.
  Lease* FindNewest(ServiceId service, const std::string& name);

  Lease& Insert(Lease incoming);
  void Erase(EndpointId id);

  // Applies an event of the chart. False if the lease's state has no transition
  // for it.
  bool Apply(Lease& lease, LeaseEvent event, TimePoint now);

  // Makes the lease the holder of its address if it is live and claims it.
  void HoldAddress(const Lease& lease);

  // All leases of a bucket, by id.
  std::span<Lease* const> Bucket(std::size_t bucket) const {
    return buckets_[bucket];
  }
  // When a lease of the bucket was last added or changed its state, other than
  // by lapsing or by coming back after that.
  TimePoint ChangedAt(std::size_t bucket) const { return changed_[bucket]; }

  // The view, as returned by Registry::EndpointsOf() and VersionOf().
  std::span<const Endpoint> ViewOf(ServiceId service) const;
  std::uint64_t VersionOf(ServiceId service) const;
  const Endpoint* FindInView(EndpointId id) const;
  // The endpoint that holds an address; EndpointId{} if there is none.
  EndpointId AddressHolder(SocketAddress address) const;
  // Updates the view to the current lease; to kLeaving if it is `unverified`.
  void UpdateView(const Lease& lease, bool unverified);

  template <typename F>
  void ForEach(F visit) {
    for (const std::vector<Lease*>& bucket : buckets_) {
      for (Lease* it : bucket) {
        visit(*it);
      }
    }
  }
  template <typename F>
  void ForEach(F visit) const {
    for (const std::vector<Lease*>& bucket : buckets_) {
      for (const Lease* it : bucket) {
        visit(*it);
      }
    }
  }

 private:
  struct View {
    std::vector<Endpoint> endpoints;  // Ordered by id.
    std::uint64_t version = 0;
  };

  // With stable addresses, because buckets_ contains pointers to its values.
  absl::node_hash_map<EndpointId, Lease> leases_;
  absl::flat_hash_map<SocketAddress, EndpointId> by_address_;
  absl::flat_hash_map<std::pair<ServiceId, std::string>, EndpointId> by_name_;
  absl::flat_hash_map<ServiceId, View> views_;
  // Each ordered by id, so that every run visits the leases in the same order.
  std::array<std::vector<Lease*>, kBucketCount> buckets_;
  std::array<TimePoint, kBucketCount> changed_{};  // See ChangedAt().
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_REGISTRY_LEASE_STORE_H_
