#pragma once

#include <cstdint>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::core {

// Opens the slots of a worker that starts or returns in steps: 25%, then 50%,
// then all, so that a cold backend server is not given its full load at once.
class RampUp {
 public:
  // The last step is reached after `length`.
  explicit RampUp(Duration length) : length_(length) {}

  // Starts again from the first step.
  void Begin(TimePoint now);

  // Returns how many of the slots are open, at least one of one or more.
  std::uint32_t Open(std::uint32_t slots, TimePoint now) const;

  // Returns the time of the next step, or TimePoint::max().
  TimePoint NextStep(TimePoint now) const;

 private:
  Duration length_;
  TimePoint begun_;
  bool active_ = false;
};

}  // namespace coltsfoottide::core
