#pragma once

#include <cstdint>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::core {

// Lets an ejected worker run rounds of a few tasks, one at a time. The delay
// before a round doubles with each round after which the worker is still
// ejected.
class Probation {
 public:
  void SetEjected(bool ejected, TimePoint now);
  bool ejected() const { return ejected_; }

  // Returns the open slots at `now`: 0 or 1 for an ejected worker, otherwise all
  // `slots`.
  std::uint32_t OpenSlots(std::uint32_t slots, TimePoint now) const;

  // Counts a start; the last one of a round begins the next delay.
  void OnStart(TimePoint now);

  // Returns the time of the next round, or TimePoint::max().
  TimePoint NextRound(TimePoint now) const;

 private:
  bool ejected_ = false;
  TimePoint next_round_;
  Duration delay_{};
  std::uint32_t round_starts_ = 0;
};

}  // namespace coltsfoottide::core
