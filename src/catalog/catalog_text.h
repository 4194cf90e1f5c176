// Values of the catalog as the catalog file writes them.
#ifndef VANILLALATCH_SRC_CATALOG_CATALOG_TEXT_H_
#define VANILLALATCH_SRC_CATALOG_CATALOG_TEXT_H_

#include <string>

#include "catalog.pb.h"

namespace vanillalatch::internal {

std::string LatencyText(const pb::ClassTarget& target);  // "100ms"
std::string SuccessText(const pb::ClassTarget& target);  // "99.9%"
std::string ShareText(const pb::ClassTarget& target);    // "60%"
std::string PathsText(const pb::ClassTarget& target);    // "/a, /b"
std::string WorkText(const pb::Service& service);        // "requests"

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_CATALOG_CATALOG_TEXT_H_
