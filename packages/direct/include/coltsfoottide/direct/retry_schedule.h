#pragma once

#include <cstdint>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

// Computes retry delays for refused jobs. Each refusal reserves capacity after
// that of the refusals before it, so that refused callers return one after the
// other as capacity becomes free, and not all at once.
class RetrySchedule {
 public:
  // Returns the retry delay. `work` is that of the refused job in
  // millicore-milliseconds, `capacity` is in millicores, and `backlog_time` is
  // the time until the present backlog is done.
  core::Duration ScheduleRetry(std::uint64_t work, std::uint64_t capacity,
                               core::Duration backlog_time, core::TimePoint now);

 private:
  // End of the capacity reserved so far.
  core::TimePoint reserved_until_;
};

}  // namespace coltsfoottide::direct
