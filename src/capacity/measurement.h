// Measurements of what one more of something costs, over several sizes.
#ifndef VANILLALATCH_SRC_CAPACITY_MEASUREMENT_H_
#define VANILLALATCH_SRC_CAPACITY_MEASUREMENT_H_

#include <cstddef>
#include <string>
#include <vector>

#include "src/capacity/slope.h"

namespace vanillalatch {

struct Measurement {
  std::string key;         // Stable name, used by the table of the page.
  std::string title;       // What is measured, for people.
  std::string size_unit;   // What the sizes count.
  std::string value_unit;  // Unit of the values.
  std::vector<Point> points;
};

// Processor time of this thread, seconds.
double CpuSeconds();

// Heap bytes in use by this process.
double HeapBytes();

// Pin table: memory of the flows held, processor time of a new flow and of a
// look-up.
std::vector<Measurement> MeasureFlows();
// Registry: memory of the endpoints held.
std::vector<Measurement> MeasureRegistry();
// Entry VMs of one data centre: bytes a second and processor time of a VM, by
// members and by endpoints.
std::vector<Measurement> MeasureMembership();
// Request handling: processor time at the ingress and at the dispatcher.
std::vector<Measurement> MeasureRequests();
// Replicated log: processor time and bytes of a change, of an attached entry
// VM, of heartbeats.
std::vector<Measurement> MeasureControl();

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_CAPACITY_MEASUREMENT_H_
