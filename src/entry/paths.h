// The path of a request as one key.
#ifndef VANILLALATCH_SRC_ENTRY_PATHS_H_
#define VANILLALATCH_SRC_ENTRY_PATHS_H_

#include <string>

#include "vanillalatch/wire/coap.h"

namespace vanillalatch::internal {

// Path and queries of a request, as one key.
std::string PathAndQuery(const CoapMessage& message);

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_ENTRY_PATHS_H_
