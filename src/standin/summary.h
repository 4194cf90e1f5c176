// JSON summaries of a run of simulated callers or of a simulated backend
// server.
#ifndef VANILLALATCH_SRC_STANDIN_SUMMARY_H_
#define VANILLALATCH_SRC_STANDIN_SUMMARY_H_

#include <string>

#include "src/standin/backend_server.h"
#include "src/standin/callers.h"

namespace vanillalatch::standin {

// Returns the totals of all requests and, for each class, the outcomes, the
// latencies in milliseconds and the share of requests answered within the
// latency target.
std::string CallerSummary(const std::string& data_center,
                          const Callers& callers);

// Returns the counters and the share of the available slot time during
// `elapsed` that was used.
std::string BackendSummary(const BackendOptions& options,
                           const BackendCounters& counters, Duration elapsed);

// Returns the sample at `fraction` (0.5 is the median) of the order of
// `samples`, which need not be sorted, or zero if there are none.
Duration Percentile(std::vector<Duration> samples, double fraction);

}  // namespace vanillalatch::standin

#endif  // VANILLALATCH_SRC_STANDIN_SUMMARY_H_
