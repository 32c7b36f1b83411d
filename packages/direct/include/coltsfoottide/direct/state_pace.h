#pragma once

#include <cstddef>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

// Least time between two states that an agent sends to one entry. Grows with
// the number of entries, so that what an agent sends in all is bounded, and
// falls once there are many.
core::Duration StatePause(std::size_t entries);

}  // namespace coltsfoottide::direct
