#pragma once

#include <cstdint>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::core {

// Lets an ejected worker run a few tasks, one at a time, after a delay that
// doubles each time the worker is not reinstated.
class Probation {
 public:
  void SetEjected(bool ejected, TimePoint now);
  bool ejected() const { return ejected_; }

  // Returns how many of the slots an ejected worker opens now: 0 or 1. All of
  // them when it is not ejected.
  std::uint32_t Open(std::uint32_t slots, TimePoint now) const;

  // Counts a start; the last task of a round begins the next delay.
  void OnStart(TimePoint now);

  // Returns the time of the next round, or TimePoint::max().
  TimePoint NextRound(TimePoint now) const;

 private:
  bool ejected_ = false;
  TimePoint opens_;
  Duration delay_{};
  std::uint32_t started_ = 0;
};

}  // namespace coltsfoottide::core
