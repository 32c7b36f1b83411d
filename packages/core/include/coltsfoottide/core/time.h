#pragma once

#include <chrono>

namespace coltsfoottide::core {

// Time since the machine's boot, including suspends and pauses. It has no
// now(): each function that depends on the time takes it as an argument.
struct BootClock {
  using rep = std::chrono::microseconds::rep;
  using period = std::chrono::microseconds::period;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)
};

using Duration = BootClock::duration;
using TimePoint = BootClock::time_point;

}  // namespace coltsfoottide::core
