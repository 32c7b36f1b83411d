#pragma once

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::daemon {

// Returns the current time of CLOCK_BOOTTIME, which also counts the time in
// which the machine is suspended or the process paused.
core::TimePoint BootNow();

}  // namespace coltsfoottide::daemon
