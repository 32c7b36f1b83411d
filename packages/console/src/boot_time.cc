#include "coltsfoottide/console/boot_time.h"

#include <ctime>

namespace coltsfoottide::console {

core::TimePoint BootTime() {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return core::TimePoint(std::chrono::duration_cast<core::Duration>(
      std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec)));
}

}  // namespace coltsfoottide::console
