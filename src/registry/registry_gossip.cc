// The exchange of leases with other VMs: changes that ride along, digests of
// buckets with the ages of renewals, and what the other side lacks.
#include <algorithm>

#include "absl/container/flat_hash_map.h"
#include "src/registry/registry_impl.h"

namespace vanillalatch::internal {
namespace {

using std::chrono::milliseconds;

// A change has this long to spread by itself before digests make a VM send it
// to those that lack it.
constexpr Duration kSpreadTime = milliseconds(500);
// A bucket that changed within this time is left out of the digests.
constexpr Duration kHotTime = milliseconds(300);
// How long a bucket goes on to show the digest of each lease after it was
// found to differ.
constexpr Duration kUnsettledTime = milliseconds(2000);
// With many changes waiting, registrations and renewals are sent fewer times
// than endings are: digests find who missed one.
constexpr std::size_t kManyPending = 30;
constexpr std::size_t kReadySendsOfMany = 2;
// A change sent fewer times than this is news.
constexpr std::size_t kNewsSends = 2;
// Tag and length of one message in a repeated field.
constexpr std::size_t kFieldBytes = 3;

std::uint16_t ShortDigest(char low, char high) {
  return static_cast<std::uint16_t>(static_cast<std::uint8_t>(low) |
                                    static_cast<std::uint8_t>(high) << 8);
}

}  // namespace

void RegistryImpl::Spread(EndpointId id) {
  std::erase_if(pending_, [&](const Pending& it) { return it.id == id; });
  pending_.insert(pending_.begin(), {id, 0});
}

void RegistryImpl::Heard(EndpointId id) {
  for (Pending& it : pending_) {
    it.sent += it.id == id ? 1 : 0;
  }
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

}  // namespace vanillalatch::internal
