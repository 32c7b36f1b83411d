#pragma once

#include <cstdint>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::core {

// Slow start for a worker that begins or resumes to accept tasks: opens 25% of
// its slots, then 50%, then all, so that a cold backend server does not get its
// full load at once.
class SlowStart {
 public:
  // All slots are open after `duration`, 50% of them after half of it.
  explicit SlowStart(Duration duration) : duration_(duration) {}

  // Restarts at the first step.
  void Begin(TimePoint now);

  // Returns how many of the slots are open: at least one, unless `slots` is 0.
  std::uint32_t OpenSlots(std::uint32_t slots, TimePoint now) const;

  // Returns the time of the next step, or TimePoint::max().
  TimePoint NextStep(TimePoint now) const;

 private:
  Duration duration_;
  TimePoint start_time_;
  bool active_ = false;
};

}  // namespace coltsfoottide::core
