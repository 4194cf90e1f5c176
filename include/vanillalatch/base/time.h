// Time for the decision libraries, which do no I/O: the current time is an
// argument of their functions, and a library never reads a clock.
//
//   TimePoint deadline = now + std::chrono::milliseconds(50);
//   if (now >= deadline) ...
#ifndef VANILLALATCH_BASE_TIME_H_
#define VANILLALATCH_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace vanillalatch {

// Clock type of TimePoint. It has no now(), because time is passed in.
struct Timeline {
  using rep = std::chrono::nanoseconds::rep;
  using period = std::chrono::nanoseconds::period;
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<Timeline>;
  static constexpr bool is_steady = true;
};

using Duration = Timeline::duration;
using TimePoint = Timeline::time_point;

// Later than every time that occurs. As a deadline it means "no deadline".
inline constexpr TimePoint kNever = TimePoint::max();

// Converts to whole milliseconds and truncates towards zero.
constexpr std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace vanillalatch

#endif  // VANILLALATCH_BASE_TIME_H_
