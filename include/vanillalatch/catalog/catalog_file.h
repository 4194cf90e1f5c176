// The catalog as operators write it: JSON with comments, strictly checked.
//
//   {
//     // Answered one by one.
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

// Reads a catalog file into a change with services set; the caller adds change
// id, base revision, author, and the draining VMs, which no file names: they
// are changed by `ctl drain` and `ctl undrain`. Error: kInvalidArgument with
// "FILE:LINE: key: what was expected".
Result<pb::Change> ParseCatalogFile(std::string_view file_name,
                                    std::string_view text);

// The differences that `change` makes, one line each, for people:
// "service records: class lookup: latency 100ms -> 80ms".
std::vector<std::string> DescribeDifference(const pb::Catalog& current,
                                            const pb::Change& change);

// The catalog as a file that ParseCatalogFile() reads.
std::string FormatCatalog(const pb::Catalog& catalog);

// The class of a request path: the longest matching prefix, else the class
// without prefixes, else nullptr.
const pb::ClassTarget* ClassOfPath(const pb::Service& service,
                                   std::string_view path);

}  // namespace vanillalatch

#endif  // VANILLALATCH_CATALOG_CATALOG_FILE_H_
