#pragma once

#include <cstddef>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

// Shortest interval between two states that an agent sends to one entry. Grows
// with the number of entries, so that the total rate of an agent is bounded,
// and falls once there are many.
core::Duration MinStateInterval(std::size_t entries);

}  // namespace coltsfoottide::direct
