// Helpers of the EntryWorld sources: reading messages and formatting times.
#ifndef VANILLALATCH_SRC_ENTRY_ENTRY_WORLD_TEXT_H_
#define VANILLALATCH_SRC_ENTRY_ENTRY_WORLD_TEXT_H_

#include <algorithm>
#include <cstdio>
#include <string>

#include "src/entry/entry_world.h"

namespace vanillalatch::internal {

// Test option that carries the name of the request to the fake backend servers.
inline constexpr CoapOption kOptionName = 65012;

inline std::string FormatSeconds(TimePoint at) {
  char text[32];
  std::snprintf(text, sizeof text, "%9.4f",
                std::chrono::duration<double>(at.time_since_epoch()).count());
  return text;
}

inline std::string ToText(ByteSpan bytes) {
  return {bytes.begin(), bytes.end()};
}

// True if the answer names an error kind that means "not run".
inline bool SaysNotRun(const std::string& body) {
  const std::string kind = body.substr(0, body.find(':'));
  const auto rows = ErrorAnswers();
  return std::any_of(rows.begin(), rows.end(), [&](const ErrorAnswer& it) {
    return it.name == kind && it.not_run;
  });
}

}  // namespace vanillalatch::internal

#endif  // VANILLALATCH_SRC_ENTRY_ENTRY_WORLD_TEXT_H_
