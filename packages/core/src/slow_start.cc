#include "slow_start.h"

#include <algorithm>

namespace coltsfoottide::core {

void SlowStart::Begin(TimePoint now) {
  start_time_ = now;
  active_ = true;
}

std::uint32_t SlowStart::OpenSlots(std::uint32_t slots, TimePoint now) const {
  if (!active_ || slots == 0 || now >= start_time_ + duration_) {
    return slots;
  }
  const std::uint32_t divisor = now < start_time_ + duration_ / 2 ? 4 : 2;
  return std::max<std::uint32_t>(1, slots / divisor);
}

TimePoint SlowStart::NextStep(TimePoint now) const {
  if (!active_ || now >= start_time_ + duration_) {
    return TimePoint::max();
  }
  return now < start_time_ + duration_ / 2 ? start_time_ + duration_ / 2 : start_time_ + duration_;
}

}  // namespace coltsfoottide::core
