// The part of a catalog that entry VMs use, as encoded entries, and differences
// between two such images. The operator's document is left out.
//
//   CatalogImage held = CatalogImage::Encode(old_catalog);
//   pb::CatalogDelta delta =
//       CatalogImage::Difference(held, CatalogImage::Encode(new_catalog));
//   Result<CatalogImage> next = CatalogImage::Apply(held, delta);
//   pb::Catalog catalog = next->Decode().value();
#ifndef VANILLALATCH_CATALOG_CATALOG_IMAGE_H_
#define VANILLALATCH_CATALOG_CATALOG_IMAGE_H_

#include <cstdint>
#include <string>

#include "absl/container/btree_map.h"
#include "catalog.pb.h"
#include "vanillalatch/base/result.h"

namespace vanillalatch {

class CatalogImage {
 public:
  // The image of revision zero, without entries.
  CatalogImage() = default;
  // Of two routes with the same address, the image contains the first.
  static CatalogImage Encode(const pb::Catalog& catalog);

  // Returns the difference that leads from `from` to `to`.
  static pb::CatalogDelta Difference(const CatalogImage& from,
                                     const CatalogImage& to);
  // Returns the image after the difference. Errors: kConflict if the delta
  // starts at another revision, kCorrupt if the result has not the digest that
  // the delta states.
  static Result<CatalogImage> Apply(CatalogImage image,
                                    const pb::CatalogDelta& delta);

  // Returns the catalog, with services ordered by id and routes by address.
  // Error: kCorrupt if an entry can't be parsed.
  Result<pb::Catalog> Decode() const;

  std::uint64_t revision() const { return revision_; }
  // Of all entries; does not depend on how the image was reached.
  std::uint64_t digest() const { return digest_; }

 private:
  void Set(std::uint64_t key, const std::string& value);
  void Remove(std::uint64_t key);

  std::uint64_t revision_ = 0;
  std::uint64_t digest_ = 0;
  absl::btree_map<std::uint64_t, std::string> entries_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_CATALOG_CATALOG_IMAGE_H_
