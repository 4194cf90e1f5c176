// Reads and writes the catalog as an operator's file: JSON with comments, in
// which unknown keys and invalid values are errors.
//
// Terms of the catalog:
//   service   What callers address by a name, the Uri-Host of their requests.
//   class     The requests of a service that share one target. The start of the
//             path decides which class a request belongs to.
//   target    The latency that answers should not exceed, the share of answers
//             that should arrive in time, and the share of the service's
//             capacity that is meant for the class.
//   warm-up   The time after its start for which an endpoint is slow, and the
//   new
//             requests per second that it bears meanwhile: "warm_up": "10s",
//             "warm_up_per_second": 5. Without them there is no bound.
//   revision  The number of a version of the catalog. Each change that takes
//             effect raises it by one.
//
//   {
//     // Each request is placed by itself.
//     "services": [{
//       "name": "records",
//       "work": "requests",
//       "classes": [{"name": "lookup", "paths": ["/urgent"],
//                    "latency": "100ms", "success": "99.9%", "share": "60%"}]
//     }]
//   }
#ifndef VANILLALATCH_CATALOG_CATALOG_FILE_H_
#define VANILLALATCH_CATALOG_CATALOG_FILE_H_

#include <string>
#include <string_view>
#include <vector>

#include "catalog.pb.h"
#include "vanillalatch/base/result.h"

namespace vanillalatch {

// Parses a catalog file into a change that has only its services set. The
// caller adds the change id, base revision, author and draining VMs. Draining
// VMs are not part of the file; `ctl drain` and `ctl undrain` change them.
// Error: kInvalidArgument with "FILE:LINE: key: expected ..., got ...".
Result<pb::Change> ParseCatalogFile(std::string_view file_name,
                                    std::string_view text);

// Describes what `change` would change in `current`, one line per difference:
// "service records: class lookup: latency 100ms -> 80ms".
std::vector<std::string> DescribeDifference(const pb::Catalog& current,
                                            const pb::Change& change);

// Formats the catalog as a file that ParseCatalogFile() can read.
std::string FormatCatalog(const pb::Catalog& catalog);

// Returns the class of a request path: the class with the longest matching
// prefix, else the class without prefixes, else nullptr.
const pb::ClassTarget* FindClassByPath(const pb::Service& service,
                                       std::string_view path);

}  // namespace vanillalatch

#endif  // VANILLALATCH_CATALOG_CATALOG_FILE_H_
