#pragma once

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::standin {

// Reads CLOCK_BOOTTIME, the clock of all recorded times.
core::TimePoint BootTime();

}  // namespace coltsfoottide::standin
