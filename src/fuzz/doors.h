// Doors: the functions that read what comes from outside of a process, each
// with any bytes as its input. A door must not crash, hang or throw anything
// but what it documents, and its results must be usable.
//
//   if (const Door* door = FindDoor("heartbeat")) (*door)("{}");
#ifndef VANILLALATCH_SRC_FUZZ_DOORS_H_
#define VANILLALATCH_SRC_FUZZ_DOORS_H_

#include <functional>
#include <string_view>

namespace vanillalatch::fuzz {

using Door = std::function<void(std::string_view)>;

// nullptr if there is no door of this name.
const Door* FindDoor(std::string_view name);

}  // namespace vanillalatch::fuzz

#endif  // VANILLALATCH_SRC_FUZZ_DOORS_H_
