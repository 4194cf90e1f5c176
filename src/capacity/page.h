// Writes the capacity page's tables from measurements.
#ifndef VANILLALATCH_SRC_CAPACITY_PAGE_H_
#define VANILLALATCH_SRC_CAPACITY_PAGE_H_

#include <string>
#include <vector>

#include "src/capacity/measurement.h"

namespace vanillalatch {

// One row per measurement: sizes, values, slope, base, residual.
std::string SlopeTable(const std::vector<Measurement>& measurements);

// One row per role and resource at the size to design for, with the budget
// and a verdict.
std::string BudgetTable(const std::vector<Measurement>& measurements);

// Points of every measurement as gnuplot reads them: a block each, the values
// over the largest of the block.
std::string PlotData(const std::vector<Measurement>& measurements);

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_CAPACITY_PAGE_H_
