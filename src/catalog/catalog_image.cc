#include "vanillalatch/catalog/catalog_image.h"

#include <utility>

#include "vanillalatch/base/address.h"
#include "vanillalatch/base/error.h"
#include "vanillalatch/base/hash.h"

namespace vanillalatch {
namespace {

// The two highest bits of a key tell the kinds of entries apart. Below them, a
// route has its packed address (48 bits) and a service its id.
constexpr std::uint64_t kServiceKind = std::uint64_t{1} << 62;
constexpr std::uint64_t kRestKind = std::uint64_t{1} << 63;
constexpr std::uint64_t kKindMask = kServiceKind | kRestKind;

std::uint64_t KeyOf(const pb::FlowRoute& route) {
  return SocketAddress{route.ip(), static_cast<std::uint16_t>(route.port())}
      .Packed();
}

std::uint64_t EntryDigest(std::uint64_t key, const std::string& value) {
  return StableHash(key, StableHash(value));
}

// Returns the catalog without its routes, services, document and revision.
pb::Catalog RestOf(const pb::Catalog& catalog) {
  pb::Catalog rest;
  *rest.mutable_draining_vms() = catalog.draining_vms();
  *rest.mutable_evacuations() = catalog.evacuations();
  rest.set_next_service_id(catalog.next_service_id());
  rest.set_next_class_id(catalog.next_class_id());
  if (catalog.has_flows()) {
    rest.mutable_flows()->set_version(catalog.flows().version());
    rest.mutable_flows()->set_idle_timeout_ms(
        catalog.flows().idle_timeout_ms());
    *rest.mutable_flows()->mutable_warm_ups() = catalog.flows().warm_ups();
  }
  return rest;
}

}  // namespace

CatalogImage CatalogImage::Encode(const pb::Catalog& catalog) {
  CatalogImage image;
  image.revision_ = catalog.revision();
  image.Set(kRestKind, RestOf(catalog).SerializeAsString());
  for (const pb::Service& it : catalog.services()) {
    image.Set(kServiceKind | it.id(), it.SerializeAsString());
  }
  for (const pb::FlowRoute& it : catalog.flows().routes()) {
    if (!image.entries_.contains(KeyOf(it))) {
      image.Set(KeyOf(it), it.SerializeAsString());
    }
  }
  return image;
}

pb::CatalogDelta CatalogImage::Difference(const CatalogImage& from,
                                          const CatalogImage& to) {
  pb::CatalogDelta delta;
  delta.set_from_revision(from.revision_);
  delta.set_revision(to.revision_);
  delta.set_digest(to.digest_);
  for (const auto& [key, value] : from.entries_) {
    if (!to.entries_.contains(key)) {
      delta.add_removed(key);
    }
  }
  for (const auto& [key, value] : to.entries_) {
    const auto old = from.entries_.find(key);
    if (old == from.entries_.end() || old->second != value) {
      pb::CatalogDelta::Entry& entry = *delta.add_changed();
      entry.set_key(key);
      entry.set_value(value);
    }
  }
  return delta;
}

Result<CatalogImage> CatalogImage::Apply(CatalogImage image,
                                         const pb::CatalogDelta& delta) {
  if (delta.from_revision() != image.revision_) {
    return Error(ErrorKind::kConflict,
                 "a catalog difference starts at revision " +
                     std::to_string(delta.from_revision()) +
                     ", this VM holds revision " +
                     std::to_string(image.revision_));
  }
  image.revision_ = delta.revision();
  for (const std::uint64_t key : delta.removed()) {
    image.Remove(key);
  }
  for (const pb::CatalogDelta::Entry& it : delta.changed()) {
    image.Set(it.key(), it.value());
  }
  if (image.digest_ != delta.digest()) {
    return Error(ErrorKind::kCorrupt,
                 "the catalog of revision " + std::to_string(delta.revision()) +
                     " after a difference from revision " +
                     std::to_string(delta.from_revision()) +
                     " has another digest");
  }
  return image;
}

Result<pb::Catalog> CatalogImage::Decode() const {
  pb::Catalog catalog;
  pb::Catalog rest;
  bool parsed = true;
  for (const auto& [key, value] : entries_) {
    if ((key & kKindMask) == kRestKind) {
      parsed = parsed && rest.ParseFromString(value);
    } else if ((key & kKindMask) == kServiceKind) {
      parsed = parsed && catalog.add_services()->ParseFromString(value);
    } else {
      parsed = parsed &&
               catalog.mutable_flows()->add_routes()->ParseFromString(value);
    }
  }
  if (!parsed) {
    return Error(ErrorKind::kCorrupt, "the catalog of revision " +
                                          std::to_string(revision_) +
                                          " has an entry that can't be parsed");
  }
  catalog.MergeFrom(rest);
  catalog.set_revision(revision_);
  return catalog;
}

void CatalogImage::Set(std::uint64_t key, const std::string& value) {
  Remove(key);
  digest_ += EntryDigest(key, value);
  entries_[key] = value;
}

void CatalogImage::Remove(std::uint64_t key) {
  const auto it = entries_.find(key);
  if (it != entries_.end()) {
    digest_ -= EntryDigest(key, it->second);
    entries_.erase(it);
  }
}

}  // namespace vanillalatch
