#pragma once

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::core {

// A decaying mean rate of task starts that callers ask for.
class DemandMeter {
 public:
  void Add(double count, TimePoint now);
  // Starts a second.
  double Rate(TimePoint now) const;

 private:
  double rate_ = 0;
  TimePoint updated_;
};

}  // namespace coltsfoottide::core
