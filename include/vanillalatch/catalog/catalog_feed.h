// The distribution of the catalog to entry VMs as differences. The feed, on a
// control VM, encodes each difference once, whatever the number of VMs that
// receive it. The receiver, on an entry VM, applies them.
//
// Load: a fleet of which every VM asks for the catalog at the same time, and
// changes in quick succession of a catalog of thousands of routes.
//
//   CatalogFeed feed;
//   feed.Update(catalog);
//   feed.AddDeltas(receiver.revision(), *reply.mutable_deltas());
//   Result<bool> newer = receiver.Receive(reply.deltas());
#ifndef VANILLALATCH_CATALOG_CATALOG_FEED_H_
#define VANILLALATCH_CATALOG_CATALOG_FEED_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "catalog.pb.h"
#include "vanillalatch/base/result.h"
#include "vanillalatch/catalog/catalog_image.h"

namespace vanillalatch {

using PackedList = google::protobuf::RepeatedPtrField<pb::Packed>;

class CatalogFeed {
 public:
  // Takes the catalog in force. Does nothing if its revision is not higher than
  // that of the catalog before.
  void Update(const pb::Catalog& catalog);

  std::uint64_t revision() const { return image_.revision(); }
  // Adds the deltas that lead from revision `held` to the catalog in force;
  // none if it is not older. The chain starts at revision zero if the feed no
  // longer has the differences from `held`, or if they take more bytes.
  void AddDeltas(std::uint64_t held, PackedList& deltas);

 private:
  struct Step {
    std::uint64_t from_revision;
    pb::Packed delta;
  };
  const pb::Packed& Whole();

  CatalogImage image_;
  // Consecutive; the last one leads to image_.
  std::deque<Step> steps_;
  std::size_t step_bytes_ = 0;
  std::optional<pb::Packed> whole_;  // Encoded when it is first needed.
};

class CatalogReceiver {
 public:
  // Applies a chain of deltas, all of them or none. Returns true if it resulted
  // in a newer catalog, false if it ends at a revision that is not higher.
  // Errors: those of UnpackMessage(), CatalogImage::Apply() and
  // CatalogImage::Decode().
  // After an error, revision() is zero, so that the next request asks for the
  // whole catalog.
  Result<bool> Receive(const PackedList& deltas);
  // Takes a catalog that arrived as one message.
  void Set(const pb::Catalog& catalog);

  // Of the image held; zero if there is none.
  std::uint64_t revision() const { return image_.revision(); }
  // The latest catalog received.
  const pb::Catalog& catalog() const { return catalog_; }

 private:
  Result<bool> ApplyChain(const PackedList& deltas);

  CatalogImage image_;
  pb::Catalog catalog_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_CATALOG_CATALOG_FEED_H_
