#include "vanillalatch/base/hop.h"

#include <array>
#include <cstddef>

namespace vanillalatch {

std::string_view HopEventName(HopEvent event) {
  static constexpr std::array<std::string_view, 12> kNames = {
      "received", "handed_over", "accepted",   "queued",
      "placed",   "retried",     "answered",   "refused",
      "given_up", "replayed",    "taken_over", "dropped"};
  return kNames.at(static_cast<std::size_t>(event));
}

}  // namespace vanillalatch
