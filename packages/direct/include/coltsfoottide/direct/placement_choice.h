#pragma once

#include <string>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

// Where a task would go, and what is expected of it there.
struct PlacementChoice {
  std::string agent;
  core::Duration start_delay{};
  core::Duration run_time{};
};

}  // namespace coltsfoottide::direct
