#ifndef VANILLALATCH_SRC_CONSENSUS_STORED_LEVEL_H_
#define VANILLALATCH_SRC_CONSENSUS_STORED_LEVEL_H_

#include "vanillalatch/consensus/replica.h"

namespace vanillalatch::internal {

// The lowest level whose builds read `stored`; kUnstatedLevel if it states
// none. An entry counts before it is committed: it may be so already.
FeatureLevel OldestReaderOfStored(const StoredReplica& stored);

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_CONSENSUS_STORED_LEVEL_H_
