// Formats values of the catalog in the notation of the catalog file.
#ifndef VANILLALATCH_SRC_CATALOG_CATALOG_TEXT_H_
#define VANILLALATCH_SRC_CATALOG_CATALOG_TEXT_H_

#include <string>

#include "catalog.pb.h"

namespace vanillalatch::internal {

std::string FormatLatency(const pb::ClassTarget& target);  // "100ms"
std::string FormatSuccess(const pb::ClassTarget& target);  // "99.9%"
std::string FormatShare(const pb::ClassTarget& target);    // "60%"
std::string FormatPaths(const pb::ClassTarget& target);    // "/a, /b"
std::string FormatWork(const pb::Service& service);
// Returns "none" if the service states no warm-up time.
std::string FormatWarmUp(const pb::Service& service);
// Returns "no bound" if the service states no rate.
std::string FormatWarmUpRate(const pb::Service& service);  // "requests"

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_CATALOG_CATALOG_TEXT_H_
