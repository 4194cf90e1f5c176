#include "vanillalatch/catalog/catalog_feed.h"

#include <algorithm>
#include <utility>

#include "vanillalatch/catalog/packed.h"

namespace vanillalatch {
namespace {

// The differences that a feed retains, compressed.
constexpr std::size_t kMaxStepBytes = std::size_t{256} << 10;
// A chain of at most this size is sent without comparing it with the size of
// the whole catalog, which would have to be encoded for that.
constexpr std::size_t kSmallChainBytes = std::size_t{16} << 10;

}  // namespace

void CatalogFeed::Update(const pb::Catalog& catalog) {
  if (catalog.revision() <= image_.revision()) {
    return;
  }
  CatalogImage next = CatalogImage::Encode(catalog);
  if (image_.revision() > 0) {
    steps_.push_back({image_.revision(),
                      PackMessage(CatalogImage::Difference(image_, next))});
    step_bytes_ += steps_.back().delta.data().size();
    while (step_bytes_ > kMaxStepBytes) {
      step_bytes_ -= steps_.front().delta.data().size();
      steps_.pop_front();
    }
  }
  image_ = std::move(next);
  whole_.reset();
}

const pb::Packed& CatalogFeed::Whole() {
  if (!whole_) {
    whole_ = PackMessage(CatalogImage::Difference(CatalogImage(), image_));
  }
  return *whole_;
}

void CatalogFeed::AddDeltas(std::uint64_t held, PackedList& deltas) {
  if (held >= image_.revision()) {
    return;
  }
  const auto first =
      std::find_if(steps_.begin(), steps_.end(),
                   [&](const Step& it) { return it.from_revision == held; });
  std::size_t chain_bytes = 0;
  for (auto it = first; it != steps_.end(); ++it) {
    chain_bytes += it->delta.data().size();
  }
  if (first == steps_.end() ||
      (chain_bytes > kSmallChainBytes && chain_bytes > Whole().data().size())) {
    *deltas.Add() = Whole();
    return;
  }
  for (auto it = first; it != steps_.end(); ++it) {
    *deltas.Add() = it->delta;
  }
}

Result<bool> CatalogReceiver::Receive(const PackedList& deltas) {
  Result<bool> newer = ApplyChain(deltas);
  if (!newer.ok()) {
    image_ = CatalogImage();
  }
  return newer;
}

Result<bool> CatalogReceiver::ApplyChain(const PackedList& deltas) {
  CatalogImage image = image_;
  for (const pb::Packed& it : deltas) {
    pb::CatalogDelta delta;
    const Result<bool> unpacked = UnpackMessage(it, delta);
    if (!unpacked.ok()) {
      return unpacked.error();
    }
    if (delta.revision() <= image.revision()) {
      continue;  // Another control VM was quicker.
    }
    if (delta.from_revision() == 0) {
      image = CatalogImage();
    }
    Result<CatalogImage> next = CatalogImage::Apply(std::move(image), delta);
    if (!next.ok()) {
      return next.error();
    }
    image = std::move(*next);
  }
  if (image.revision() <= catalog_.revision()) {
    // A whole catalog of the revision in force replaces a lost image.
    if (image.revision() == catalog_.revision()) {
      image_ = std::move(image);
    }
    return false;
  }
  Result<pb::Catalog> catalog = image.Decode();
  if (!catalog.ok()) {
    return catalog.error();
  }
  image_ = std::move(image);
  catalog_ = std::move(*catalog);
  return true;
}

void CatalogReceiver::Set(const pb::Catalog& catalog) {
  if (catalog.revision() > catalog_.revision()) {
    image_ = CatalogImage::Encode(catalog);
    catalog_ = catalog;
  }
}

}  // namespace vanillalatch
