// Prints the summaries of simulated callers and backend servers as tables:
//
//   standin_report north.callers.json records-1.backend.json ...
//
// The exit code is 0 if at least one request was sent, every request was
// answered completely and no POST body ran twice; 1 if not; 2 if a summary
// can't be read.
#include <array>
#include <cmath>
#include <cstdint>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "src/cli/text_table.h"
#include "vanillalatch/jsonc/document.h"

namespace vanillalatch::standin {
namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, 7> kTotalFields = {
    "sent",      "answered",        "refused",   "broken",
    "misrouted", "unknown_outcome", "unanswered"};

struct Summaries {
  std::vector<Json> callers;
  std::vector<Json> backends;
};

Summaries ReadSummaries(const std::vector<std::string>& paths) {
  Summaries summaries;
  for (const std::string& it : paths) {
    Json json = Json::parse(ReadWholeFile(it).value());
    auto& list =
        json.contains("endpoint") ? summaries.backends : summaries.callers;
    list.push_back(std::move(json));
  }
  return summaries;
}

std::uint64_t Total(const std::vector<Json>& list, std::string_view field) {
  std::uint64_t sum = 0;
  for (const Json& it : list) {
    sum += it.at(std::string(field)).get<std::uint64_t>();
  }
  return sum;
}

std::string Number(const Json& json, std::string_view field) {
  return json.at(std::string(field)).dump();
}

std::string Percent(const Json& json, std::string_view field) {
  constexpr double kTenthsOfPercent = 1000;
  const auto tenths =
      std::lround(json.at(std::string(field)).get<double>() * kTenthsOfPercent);
  return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10) + "%";
}

void PrintTotals(const Summaries& summaries) {
  std::cout << "Requests\n";
  TextTable table({"SENT", "ANSWERED", "REFUSED", "BROKEN", "MISROUTED",
                   "OUTCOME UNKNOWN", "UNANSWERED"});
  std::vector<std::string> row;
  row.reserve(kTotalFields.size());
  for (const std::string_view it : kTotalFields) {
    row.push_back(std::to_string(Total(summaries.callers, it)));
  }
  table.Add(row);
  table.Print(std::cout);
}

void PrintClasses(const Summaries& summaries) {
  std::cout << "\nClasses\n";
  TextTable table({"DATA CENTRE", "SERVICE", "CLASS", "SENT", "P50 MS",
                   "P99 MS", "TARGET MS", "WITHIN", "TARGET"});
  for (const Json& callers : summaries.callers) {
    for (const Json& it : callers.at("classes")) {
      table.Add({callers.at("data_center"), it.at("service"), it.at("class"),
                 Number(it, "sent"), Number(it, "p50_ms"), Number(it, "p99_ms"),
                 Number(it, "target_ms"), Percent(it, "within"),
                 Percent(it, "target_within")});
    }
  }
  table.Print(std::cout);
}

void PrintEndpoints(const Summaries& summaries) {
  std::cout << "\nEndpoints\n";
  TextTable table({"ENDPOINT", "SERVICE", "REQUESTS", "BUSY SHARE", "SHED",
                   "DISTINCT POSTS", "DOUBLE RUNS"});
  for (const Json& it : summaries.backends) {
    table.Add({it.at("endpoint"), it.at("service"), Number(it, "requests"),
               Percent(it, "busy_share"), Number(it, "shed"),
               Number(it, "distinct_bodies"), Number(it, "double_runs")});
  }
  table.Print(std::cout);
}

int Report(const std::vector<std::string>& paths) {
  const Summaries summaries = ReadSummaries(paths);
  PrintTotals(summaries);
  PrintClasses(summaries);
  PrintEndpoints(summaries);
  const std::uint64_t sent = Total(summaries.callers, "sent");
  const bool all_answered = sent > 0 &&
                            Total(summaries.callers, "answered") == sent &&
                            Total(summaries.backends, "double_runs") == 0;
  std::cout << (all_answered
                    ? "\nAll requests were answered completely.\n"
                    : "\nNot all requests were answered completely.\n");
  return all_answered ? 0 : 1;
}

}  // namespace
}  // namespace vanillalatch::standin

int main(int argc, char** argv) {
  try {
    return vanillalatch::standin::Report({argv + 1, argv + argc});
  } catch (const std::exception& e) {
    std::cerr << "standin_report: " << e.what() << "\n";
    return 2;
  }
}
