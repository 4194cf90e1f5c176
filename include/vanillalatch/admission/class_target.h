// The target of one class of work, as admission and placement use it.
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
  Duration latency = std::chrono::seconds(1);
  std::uint32_t success_permille = 990;
  std::uint32_t share_percent = 0;  // Of the service's slots.
  std::uint32_t urgency = 0;        // Zero goes first, whatever its latency.
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_ADMISSION_CLASS_TARGET_H_
