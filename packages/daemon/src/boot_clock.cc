#include "coltsfoottide/daemon/boot_clock.h"

#include <time.h>

#include <chrono>

namespace coltsfoottide::daemon {

core::TimePoint BootNow() {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  const auto elapsed = std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec);
  return core::TimePoint(std::chrono::duration_cast<core::Duration>(elapsed));
}

}  // namespace coltsfoottide::daemon
