// The service-level target of one class of work, which admission and placement
// work towards.
//
//   ClassTarget target{.id = ClassId(3), .name = "lookups",
//                      .latency = std::chrono::milliseconds(200),
//                      .share_percent = 40};
#ifndef VANILLALATCH_ADMISSION_CLASS_TARGET_H_
#define VANILLALATCH_ADMISSION_CLASS_TARGET_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "vanillalatch/base/strong.h"
#include "vanillalatch/base/time.h"

namespace vanillalatch {

struct ClassTarget {
  ClassId id{};
  std::string name{};
  // Target for the time from the request to its answer.
  Duration latency = std::chrono::seconds(1);
  // Target for the part of requests that succeed, in thousandths.
  std::uint32_t success_permille = 990;
  // Part of the service's slots that the class is entitled to.
  std::uint32_t share_percent = 0;
  // Classes are served in ascending order of urgency; zero comes first. The
  // latency only orders classes of equal urgency.
  std::uint32_t urgency = 0;
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_ADMISSION_CLASS_TARGET_H_
