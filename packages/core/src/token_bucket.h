#pragma once

#include <cstdint>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::core {

// Limits a rate with bursts. It starts empty: entries that are replaced often
// must not each add a burst.
class TokenBucket {
 public:
  explicit TokenBucket(TimePoint now) : updated_(now) {}

  // Sets the tokens added a second and the most that are kept.
  void SetRate(double per_second, double capacity, TimePoint now);

  // Takes `count` tokens and returns true if the bucket holds as many or is
  // full. A full bucket may go into debt, because a job may have more tasks
  // than a small bucket holds.
  bool Take(double count, TimePoint now);

  // Time until Take(count) would succeed at the present rate.
  Duration WaitFor(double count) const;

 private:
  void Refill(TimePoint now);

  double rate_ = 0;
  double capacity_ = 0;
  double tokens_ = 0;
  TimePoint updated_;
};

}  // namespace coltsfoottide::core
