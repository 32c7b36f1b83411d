#pragma once

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::core {

// Exponentially decaying rate of the task starts that callers ask for.
class DemandMeter {
 public:
  void Add(double count, TimePoint now);
  // Returns the rate in task starts a second.
  double Rate(TimePoint now) const;

 private:
  double rate_ = 0;
  TimePoint updated_;
};

}  // namespace coltsfoottide::core
