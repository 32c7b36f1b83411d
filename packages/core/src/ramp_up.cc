#include "ramp_up.h"

#include <algorithm>

namespace coltsfoottide::core {

void RampUp::Begin(TimePoint now) {
  begun_ = now;
  active_ = true;
}

std::uint32_t RampUp::Open(std::uint32_t slots, TimePoint now) const {
  if (!active_ || slots == 0 || now >= begun_ + length_) {
    return slots;
  }
  const std::uint32_t divisor = now < begun_ + length_ / 2 ? 4 : 2;
  return std::max<std::uint32_t>(1, slots / divisor);
}

TimePoint RampUp::NextStep(TimePoint now) const {
  if (!active_ || now >= begun_ + length_) {
    return TimePoint::max();
  }
  return now < begun_ + length_ / 2 ? begun_ + length_ / 2 : begun_ + length_;
}

}  // namespace coltsfoottide::core
