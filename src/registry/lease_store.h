// All leases of one VM, indexed by id, address, name and bucket, with the
// endpoints of each service as others see them.
#ifndef VANILLALATCH_SRC_REGISTRY_LEASE_STORE_H_
#define VANILLALATCH_SRC_REGISTRY_LEASE_STORE_H_

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "src/registry/lease.h"

namespace vanillalatch::internal {

class LeaseStore {
 public:
  Lease* Find(EndpointId id);
  // The live lease that holds an address; nullptr if there is none.
  Lease* FindByAddress(SocketAddress address);
  // The newest registration of a name; nullptr if none is known.
  Lease* FindNewest(ServiceId service, const std::string& name);

  Lease& Insert(Lease incoming);
  void Erase(EndpointId id);

  // Applies a chart event. False if it means nothing in the lease's state.
  bool Apply(Lease& lease, LeaseEvent event, TimePoint now);

  // All leases of a bucket, by id.
  std::span<Lease* const> Bucket(std::size_t bucket) const {
    return buckets_[bucket];
  }
  // When a live lease of the bucket last changed.
  TimePoint ChangedAt(std::size_t bucket) const { return changed_[bucket]; }

  // What EndpointsOf() and VersionOf() show.
  std::span<const Endpoint> ViewOf(ServiceId service) const;
  std::uint64_t VersionOf(ServiceId service) const;
  const Endpoint* FindInView(EndpointId id) const;
  EndpointId AddressInView(SocketAddress address) const;
  // Shows the lease as it is now; `doubted` as leaving.
  void Show(const Lease& lease, bool doubted);

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

  // Ordered, so that every run visits them alike.
  std::map<EndpointId, Lease> leases_;
  absl::flat_hash_map<SocketAddress, EndpointId> by_address_;
  absl::flat_hash_map<std::pair<ServiceId, std::string>, EndpointId> by_name_;
  absl::flat_hash_map<ServiceId, View> views_;
  std::array<std::vector<Lease*>, kBuckets> buckets_;
  std::array<TimePoint, kBuckets> changed_{};
};

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_REGISTRY_LEASE_STORE_H_
