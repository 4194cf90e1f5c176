// The path and query of a request as one string.
#ifndef VANILLALATCH_SRC_ENTRY_PATHS_H_
#define VANILLALATCH_SRC_ENTRY_PATHS_H_

#include <string>

#include "vanillalatch/wire/coap.h"

namespace vanillalatch::internal {

// Returns the path of a request followed by its queries, each after a "?".
std::string PathAndQuery(const CoapMessage& message);

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_ENTRY_PATHS_H_
