#pragma once

#include <string>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

// Where a task would go, and what is expected of it there.
struct PlacementChoice {
  std::string agent;
  core::Duration start_delay{};
  core::Duration run_time{};
  // When the backend server's state that this rests on arrived.
  core::TimePoint state_time;
};

}  // namespace coltsfoottide::direct
