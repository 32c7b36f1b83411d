#pragma once

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::standin {

// Reads CLOCK_BOOTTIME, the time base of all recorded times.
core::TimePoint BootTime();

}  // namespace coltsfoottide::standin
