#pragma once

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::daemon {

// Returns the present time of CLOCK_BOOTTIME, which counts pauses and
// suspends.
core::TimePoint BootNow();

}  // namespace coltsfoottide::daemon
