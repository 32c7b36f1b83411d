#pragma once

#include <cstdint>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

// Tells refused callers when to return, so that a crowd that was turned away
// comes back one after the other as room for its work appears, and not at
// once. Each refusal books its work behind that of the refusals before it.
class ReturnSchedule {
 public:
  // `work` is the refused job's, in millicores times milliseconds; `capacity`
  // is in millicores. `clears_in` is when the present backlog is done.
  core::Duration Book(std::uint64_t work, std::uint64_t capacity, core::Duration clears_in,
                      core::TimePoint now);

 private:
  // End of the work booked so far.
  core::TimePoint booked_until_;
};

}  // namespace coltsfoottide::direct
