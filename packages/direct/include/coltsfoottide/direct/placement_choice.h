#pragma once

#include <string>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

// An agent chosen for a task, and the times expected there.
struct PlacementChoice {
  std::string agent;
  core::Duration start_delay{};
  core::Duration run_time{};
  // Smallest start delay for which a task can wait anywhere. It differs from
  // `start_delay` only if backend servers of different speed were compared.
  core::Duration least_delay{};
  // When the backend server's state that the choice is based on arrived.
  core::TimePoint state_time;
};

}  // namespace coltsfoottide::direct
