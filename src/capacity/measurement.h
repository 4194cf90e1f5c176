// Measurements of a cost (memory, processor time, bytes sent) at several sizes
// (of flows, VMs, services). The slope of the line through them is the cost of
// one more flow, VM or service.
#ifndef VANILLALATCH_SRC_CAPACITY_MEASUREMENT_H_
#define VANILLALATCH_SRC_CAPACITY_MEASUREMENT_H_

#include <cstddef>
#include <string>
#include <vector>

#include "src/capacity/slope.h"

namespace vanillalatch {

// One cost at several sizes.
struct Measurement {
  std::string key;         // Stable name, by which the tables refer to it.
  std::string title;       // Description for readers of the tables.
  std::string size_unit;   // What the sizes count, such as "flows".
  std::string value_unit;  // Unit of the values, such as "B/s".
  std::vector<Point> points;
};

// Returns the processor time of the calling thread in seconds.
double ThreadCpuSeconds();

// Returns the number of heap bytes allocated by this process.
double AllocatedHeapBytes();

// Measures the pin table: memory by number of flows, and processor time to add
// and to look up flows.
std::vector<Measurement> MeasureFlows();
// Measures the registry: memory by number of endpoints.
std::vector<Measurement> MeasureRegistry();
// Measures the membership protocol of one data centre: bytes per second and
// processor time of a VM by number of entry VMs, bytes per second by number of
// endpoints, and the time until a VM that joins has received the leases.
std::vector<Measurement> MeasureMembership();
// Measures request handling: processor time at the ingress and at the
// dispatcher, bytes between entry VMs, and the sizes of reports to a control
// VM.
std::vector<Measurement> MeasureRequests();
// Measures the control VMs: processor time and memory of changes, bytes of the
// catalog, processor time by number of attached entry VMs, and bytes of
// heartbeats.
std::vector<Measurement> MeasureControl();

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_CAPACITY_MEASUREMENT_H_
