#include "vanillalatch/chart/chart.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace vanillalatch::internal {
namespace {

using Json = nlohmann::json;

std::size_t IndexOf(const std::vector<std::string>& names,
                    const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) {
    throw Error(ErrorKind::kInvalidArgument,
                "unknown state or event \"" + name + "\"");
  }
  return static_cast<std::size_t>(it - names.begin());
}

void CheckKeys(const Json& object, const std::set<std::string>& allowed) {
  for (const auto& it : object.items()) {
    if (!allowed.contains(it.key())) {
      throw Error(ErrorKind::kInvalidArgument,
                  "unknown key \"" + it.key() + "\"");
    }
  }
}

}  // namespace

Result<ChartTable> ChartTable::Create(std::string_view json,
                                      const std::vector<std::string>& states,
                                      const std::vector<std::string>& events) {
  std::string name = "chart";
  try {
    const Json root = Json::parse(json, nullptr, true, true);
    CheckKeys(root, {"name", "initial", "states"});
    name = root.at("name").get<std::string>();
    const Json& rows = root.at("states");
    if (rows.size() != states.size()) {
      throw Error(ErrorKind::kInvalidArgument,
                  "the number of states differs from the enumeration");
    }
    ChartTable table;
    table.event_count_ = events.size();
    table.initial_ = IndexOf(states, root.at("initial").get<std::string>());
    table.next_.resize(states.size() * events.size());
    table.final_.resize(states.size());
    std::set<std::string> used;
    for (const auto& row : rows.items()) {
      const std::size_t state = IndexOf(states, row.key());
      CheckKeys(row.value(), {"on", "final"});
      table.final_[state] = row.value().value("final", false);
      const Json transitions = row.value().value("on", Json::object());
      for (const auto& it : transitions.items()) {
        used.insert(it.key());
        table.next_[state * events.size() + IndexOf(events, it.key())] =
            IndexOf(states, it.value().get<std::string>());
      }
    }
    if (used.size() != events.size()) {
      throw Error(ErrorKind::kInvalidArgument,
                  "an event of the enumeration has no transition");
    }
    return table;
  } catch (const std::exception& e) {
    return Error(ErrorKind::kInvalidArgument, name + ": " + e.what());
  }
}

std::optional<std::size_t> ChartTable::Next(std::size_t state,
                                            std::size_t event) const {
  return next_[state * event_count_ + event];
}

}  // namespace vanillalatch::internal
