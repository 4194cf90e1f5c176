// JSON summaries that the stand-ins leave behind.
#ifndef VANILLALATCH_SRC_STANDIN_SUMMARY_H_
#define VANILLALATCH_SRC_STANDIN_SUMMARY_H_

#include <string>

#include "src/standin/backend_server.h"
#include "src/standin/callers.h"

namespace vanillalatch::standin {

// Totals, and per class latencies in milliseconds and the share of requests
// answered within the target.
std::string CallerSummary(const std::string& data_center,
                          const Callers& callers);

// Counters, and the share of slot time in use over `elapsed`.
std::string BackendSummary(const BackendOptions& options,
                           const BackendCounters& counters, Duration elapsed);

// The sample at `fraction` (0.5: the median) of `samples`; zero if there are
// none.
Duration Percentile(std::vector<Duration> samples, double fraction);

}  // namespace vanillalatch::standin

#endif  // VANILLALATCH_SRC_STANDIN_SUMMARY_H_
