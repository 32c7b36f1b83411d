#pragma once

#include <functional>
#include <memory>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::console {

// A one-shot timer with microsecond resolution on the current Qt thread. Qt's
// own timers round to 1 ms, which is 2% of a task of 50 ms.
class PreciseTimer {
 public:
  virtual ~PreciseTimer() = default;

  // Calls the action once at `time` (CLOCK_BOOTTIME), or as soon as possible if
  // it has passed. Replaces a time set before.
  virtual void Set(core::TimePoint time) = 0;
};

std::unique_ptr<PreciseTimer> MakePreciseTimer(std::function<void()> action);

}  // namespace coltsfoottide::console
