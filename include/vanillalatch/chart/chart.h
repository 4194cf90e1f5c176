// Chart: a state machine whose states and transitions are defined by a JSON
// file in charts/.
//
//   {
//     "name": "lease", "initial": "held",
//     "states": {
//       "held":    {"on": {"renew": "held", "leave": "leaving",
//                          "expire": "gone"}},
//       "leaving": {"on": {"expire": "gone"}},
//       "gone":    {"final": true}
//     }
//   }
//
//   enum class LeaseState { kHeld, kLeaving, kGone };
//   enum class LeaseEvent { kRenew, kLeave, kExpire };
//   static const auto chart = Chart<LeaseState, LeaseEvent>::Create(
//       charts::kLease, {"held", "leaving", "gone"},
//       {"renew", "leave", "expire"}).value();
//   std::optional<LeaseState> next = chart.Next(state, LeaseEvent::kLeave);
//
// The build embeds every file of charts/ as charts::kName in
// "charts/charts.h", so the program needs no files at run time. Create()
// returns an error if the states or events of the file differ from those of the
// enumerations.
#ifndef VANILLALATCH_CHART_CHART_H_
#define VANILLALATCH_CHART_CHART_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "vanillalatch/base/result.h"

namespace vanillalatch {
namespace internal {

// A parsed chart; states and events are indices into the lists of names.
class ChartTable {
 public:
  // Parses `json`. Error: kInvalidArgument; the message contains the name of
  // the chart and the reason.
  static Result<ChartTable> Create(std::string_view json,
                                   const std::vector<std::string>& states,
                                   const std::vector<std::string>& events);

  // The next state; nullopt if `state` has no transition for `event`.
  std::optional<std::size_t> Next(std::size_t state, std::size_t event) const;
  // True if the chart marks `state` as final.
  bool IsFinal(std::size_t state) const { return final_[state]; }
  std::size_t initial() const { return initial_; }

 private:
  std::size_t event_count_ = 0;
  std::size_t initial_ = 0;
  std::vector<std::optional<std::size_t>> next_;  // By state, then event.
  std::vector<bool> final_;
};

}  // namespace internal

// `State` and `Event` are enumerations whose values start at zero without gaps.
template <typename State, typename Event>
class Chart {
 public:
  // Parses `json`. `states` and `events` are the names in the order of the
  // enumerations. Error: kInvalidArgument.
  static Result<Chart> Create(std::string_view json,
                              const std::vector<std::string>& states,
                              const std::vector<std::string>& events) {
    Result<internal::ChartTable> table =
        internal::ChartTable::Create(json, states, events);
    if (!table.ok()) {
      return table.error();
    }
    return Chart(std::move(*table));
  }

  State initial() const { return static_cast<State>(table_.initial()); }
  // True if the chart marks `state` as final: the life cycle ends in it.
  bool IsFinal(State state) const {
    return table_.IsFinal(static_cast<std::size_t>(state));
  }
  // The next state; nullopt if `state` has no transition for `event`.
  std::optional<State> Next(State state, Event event) const {
    const std::optional<std::size_t> next = table_.Next(
        static_cast<std::size_t>(state), static_cast<std::size_t>(event));
    if (!next) {
      return std::nullopt;
    }
    return static_cast<State>(*next);
  }

 private:
  explicit Chart(internal::ChartTable table) : table_(std::move(table)) {}

  internal::ChartTable table_;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_CHART_CHART_H_
