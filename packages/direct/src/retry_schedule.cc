#include "coltsfoottide/direct/retry_schedule.h"

#include <algorithm>
#include <chrono>

namespace coltsfoottide::direct {

core::Duration RetrySchedule::ScheduleRetry(std::uint64_t work, std::uint64_t capacity,
                                            core::Duration backlog_time, core::TimePoint now) {
  // Without capacity an earlier retry gains nothing.
  constexpr core::Duration kNoCapacityDelay = std::chrono::seconds(2);
  // Callers of sub-second jobs would not wait longer.
  constexpr core::Duration kMaxDelay = std::chrono::seconds(30);
  if (capacity == 0) return kNoCapacityDelay;
  const auto duration = std::chrono::milliseconds(work / capacity + 1);
  reserved_until_ = std::max(reserved_until_, now + backlog_time) + duration;
  reserved_until_ = std::min(reserved_until_, now + kMaxDelay);
  return reserved_until_ - now;
}

}  // namespace coltsfoottide::direct
