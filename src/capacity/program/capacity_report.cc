// Runs every measurement of the capacity page and writes slopes.md, budget.md
// and points.dat into a folder:
//
//   capacity_report OUTPUT_FOLDER
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "src/capacity/measurement.h"
#include "src/capacity/page.h"

namespace {

using vanillalatch::Measurement;

std::vector<Measurement> MeasureAll() {
  std::vector<Measurement> all;
  for (const auto measure :
       {vanillalatch::MeasureFlows, vanillalatch::MeasureRegistry,
        vanillalatch::MeasureMembership, vanillalatch::MeasureRequests,
        vanillalatch::MeasureControl}) {
    for (Measurement& it : measure()) {
      std::cerr << it.key << "\n";
      all.push_back(std::move(it));
    }
  }
  return all;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: capacity_report OUTPUT_FOLDER\n";
    return 2;
  }
  const std::string folder = argv[1];
  const std::vector<Measurement> all = MeasureAll();
  std::ofstream(folder + "/slopes.md") << vanillalatch::SlopeTable(all);
  std::ofstream(folder + "/budget.md") << vanillalatch::BudgetTable(all);
  std::ofstream(folder + "/points.dat") << vanillalatch::PlotData(all);
  return 0;
}
