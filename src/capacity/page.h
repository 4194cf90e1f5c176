// Formats measurements as the Markdown tables and the plot data of the capacity
// page.
#ifndef VANILLALATCH_SRC_CAPACITY_PAGE_H_
#define VANILLALATCH_SRC_CAPACITY_PAGE_H_

#include <string>
#include <vector>

#include "src/capacity/measurement.h"

namespace vanillalatch {

// Returns a table with one row per measurement: its points, and the slope,
// intercept and residual of the line through them. Throws Error with
// kInvalidArgument if a measurement has points of fewer than two sizes.
std::string SlopeTable(const std::vector<Measurement>& measurements);

// Returns a table with one row per role and resource: the cost at the design
// size, the budget, and whether the cost is within the budget. Throws Error
// with kNotFound if a measurement is missing.
std::string BudgetTable(const std::vector<Measurement>& measurements);

// Returns the points of every measurement in the data format of gnuplot, one
// block per measurement. Sizes and values are divided by the largest of their
// block.
std::string PlotData(const std::vector<Measurement>& measurements);

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_CAPACITY_PAGE_H_
