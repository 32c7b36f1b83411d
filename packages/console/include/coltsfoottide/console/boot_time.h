#pragma once

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::console {

// Reads CLOCK_BOOTTIME, the time base of all reports and histories.
core::TimePoint BootTime();

}  // namespace coltsfoottide::console
