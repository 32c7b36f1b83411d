#pragma once

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::console {

// Reads CLOCK_BOOTTIME, the clock of all times in reports and histories.
core::TimePoint BootTime();

}  // namespace coltsfoottide::console
