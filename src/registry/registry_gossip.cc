// Exchange of leases with other VMs: piggybacked changes, digests of buckets
// with the ages of renewals, and leases that the other VM lacks.
#include <algorithm>

#include "absl/container/flat_hash_map.h"
#include "src/registry/registry_impl.h"

namespace vanillalatch::internal {
namespace {

using std::chrono::milliseconds;

// Time for gossip to deliver a change before a difference of the digests makes
// this VM send the lease to the VM that lacks it.
constexpr Duration kGossipGracePeriod = milliseconds(500);
// A bucket that changed within this time is omitted from the digests.
constexpr Duration kDigestDelay = milliseconds(300);
// For this long after a bucket changed or differed from a peer's, its digest
// includes the digest of each lease.
constexpr Duration kDetailedDigestTime = milliseconds(2000);
// While many changes are pending, registrations and renewals are sent fewer
// times than departures. The digests find VMs that missed one.
constexpr std::size_t kManyPendingUpdates = 30;
constexpr std::size_t kMaxReadySendsWhenMany = 2;
// A change sent fewer times than this is fresh; see HasFreshUpdates().
constexpr std::size_t kFreshSends = 2;
// Size of the tag and length of one message in a repeated field.
constexpr std::size_t kFieldHeaderBytes = 3;

std::uint16_t ShortDigest(char low, char high) {
  return static_cast<std::uint16_t>(static_cast<std::uint8_t>(low) |
                                    static_cast<std::uint8_t>(high) << 8);
}

}  // namespace

void RegistryImpl::QueueUpdate(EndpointId id) {
  std::erase_if(pending_, [&](const PendingUpdate& it) { return it.id == id; });
  pending_.insert(pending_.begin(), {id, 0});
}

void RegistryImpl::CountPeerSend(EndpointId id) {
  for (PendingUpdate& it : pending_) {
    it.sent += it.id == id ? 1 : 0;
  }
}

void RegistryImpl::AppendLeases(TimePoint now, bool departures,
                                std::size_t max_sends, std::size_t max_bytes,
                                pb::MembershipMessage& message) {
  std::size_t size = message.ByteSizeLong();
  const bool many = pending_.size() > kManyPendingUpdates;
  const std::size_t limit =
      many && !departures ? kMaxReadySendsWhenMany : max_sends;
  std::stable_sort(pending_.begin(), pending_.end(),
                   [](const PendingUpdate& a, const PendingUpdate& b) {
                     return a.sent < b.sent;
                   });
  for (PendingUpdate& it : pending_) {
    if (!IsOfKind(it, departures) || it.sent >= limit) {
      continue;
    }
    pb::LeaseUpdate update;
    ToUpdate(*store_.Find(it.id), now, update);
    size += update.ByteSizeLong() + kFieldHeaderBytes;
    if (size > max_bytes) {
      break;
    }
    *message.add_leases() = std::move(update);
    ++it.sent;
  }
  std::erase_if(pending_, [&](const PendingUpdate& it) {
    return IsOfKind(it, departures) ? it.sent >= limit
                                    : !IsOfKind(it, !departures);
  });
}

bool RegistryImpl::IsOfKind(const PendingUpdate& pending, bool departures) {
  const Lease* lease = store_.Find(pending.id);
  return lease != nullptr && lease->state != LeaseState::kLapsed &&
         departures == (lease->state != LeaseState::kReady);
}

bool RegistryImpl::HasFreshUpdates(bool departures) {
  return std::any_of(pending_.begin(), pending_.end(),
                     [&](const PendingUpdate& it) {
                       return it.sent < kFreshSends && IsOfKind(it, departures);
                     });
}

std::vector<Lease*> RegistryImpl::LeasesIn(std::size_t bucket) {
  std::vector<Lease*> leases;
  for (Lease* it : store_.Bucket(bucket)) {
    if (it->state != LeaseState::kGone) {
      leases.push_back(it);
    }
  }
  return leases;
}

pb::LeaseBucket RegistryImpl::DigestOfBucket(TimePoint now,
                                             std::size_t bucket) {
  const bool detailed = now < detailed_digest_until_[bucket] ||
                        now - store_.ChangedAt(bucket) < kDetailedDigestTime;
  pb::LeaseBucket digest;
  digest.set_bucket(static_cast<std::uint32_t>(bucket));
  std::uint32_t sum = 0;
  for (const Lease* it : LeasesIn(bucket)) {
    const std::uint32_t own = DigestOf(*it);
    sum ^= own;
    digest.mutable_ages()->push_back(
        static_cast<char>(EncodeRenewalAge(*it, now)));
    if (detailed) {
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
  for (std::size_t n = 0; n < kBucketCount; ++n) {
    if (((mask >> n) & 1) == 0 || now - store_.ChangedAt(n) < kDigestDelay) {
      continue;
    }
    pb::LeaseBucket digest = DigestOfBucket(now, n);
    size += digest.ByteSizeLong() + kFieldHeaderBytes;
    if (size > max_bytes) {
      return;
    }
    *message.add_buckets() = std::move(digest);
  }
}

void RegistryImpl::MergeAge(TimePoint now, Lease& lease, char age) {
  lease.confirmed_at = now;
  const auto steps = static_cast<std::uint8_t>(age);
  if (steps != kAgeUnknown &&
      MergeRenewal(now, lease, DecodeRenewalTime(lease, steps, now))) {
    UpdateView(now, lease);
  }
}

void RegistryImpl::MergeBucket(TimePoint now, const pb::LeaseBucket& theirs,
                               std::vector<EndpointId>& missing) {
  const std::vector<Lease*> leases = LeasesIn(theirs.bucket());
  const std::string& ages = theirs.ages();
  const std::string& digests = theirs.lease_digests();
  const pb::LeaseBucket own = DigestOfBucket(now, theirs.bucket());
  if (own.digest() == theirs.digest() && ages.size() == leases.size()) {
    unverified_buckets_ &= ~(BucketMask{1} << theirs.bucket());
    for (std::size_t n = 0; n < leases.size(); ++n) {
      MergeAge(now, *leases[n], ages[n]);
      UpdateView(now, *leases[n]);
    }
    return;
  }
  detailed_digest_until_[theirs.bucket()] = now + kDetailedDigestTime;
  if (digests.size() != 2 * ages.size()) {
    return;
  }
  absl::flat_hash_map<std::uint16_t, char> theirs_by_digest;
  for (std::size_t n = 0; n < ages.size(); ++n) {
    theirs_by_digest[ShortDigest(digests[2 * n], digests[2 * n + 1])] = ages[n];
  }
  std::size_t matched = 0;
  for (Lease* it : leases) {
    const auto found =
        theirs_by_digest.find(static_cast<std::uint16_t>(DigestOf(*it)));
    if (found != theirs_by_digest.end()) {
      MergeAge(now, *it, found->second);
      ++matched;
    } else if (now - it->changed_at >= kGossipGracePeriod) {
      missing.push_back(it->endpoint.id);
    }
  }
  if (matched == ages.size()) {
    return;
  }
  for (const Lease* it : store_.Bucket(theirs.bucket())) {
    if (it->state == LeaseState::kGone) {
      missing.push_back(it->endpoint.id);
    }
  }
}

std::vector<EndpointId> RegistryImpl::MergeDigests(
    TimePoint now, const pb::MembershipMessage& message) {
  std::vector<EndpointId> missing;
  for (const pb::LeaseBucket& it : message.buckets()) {
    if (it.bucket() < kBucketCount) {
      MergeBucket(now, it, missing);
    }
  }
  return missing;
}

void RegistryImpl::AppendMissingLeases(TimePoint now,
                                       std::vector<EndpointId>& missing,
                                       std::size_t max_bytes,
                                       pb::MembershipMessage& message) {
  std::size_t size = message.ByteSizeLong();
  while (!missing.empty()) {
    const Lease* lease = store_.Find(missing.back());
    if (lease != nullptr && lease->state != LeaseState::kLapsed) {
      pb::LeaseUpdate update;
      ToUpdate(*lease, now, update);
      size += update.ByteSizeLong() + kFieldHeaderBytes;
      if (size > max_bytes) {
        return;
      }
      *message.add_lacking() = std::move(update);
    }
    missing.pop_back();
  }
}

}  // namespace vanillalatch::internal
