#include "coltsfoottide/direct/return_schedule.h"

#include <algorithm>
#include <chrono>

namespace coltsfoottide::direct {

core::Duration ReturnSchedule::Book(std::uint64_t work, std::uint64_t capacity,
                                    core::Duration clears_in, core::TimePoint now) {
  // Without capacity a caller learns no more by coming earlier.
  constexpr core::Duration kNoCapacityDelay = std::chrono::seconds(2);
  // Callers of sub-second jobs do not wait longer.
  constexpr core::Duration kLongestDelay = std::chrono::seconds(30);
  if (capacity == 0) return kNoCapacityDelay;
  const auto length = std::chrono::milliseconds(work / capacity + 1);
  booked_until_ = std::max(booked_until_, now + clears_in) + length;
  booked_until_ = std::min(booked_until_, now + kLongestDelay);
  return booked_until_ - now;
}

}  // namespace coltsfoottide::direct
