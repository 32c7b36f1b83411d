#pragma once

#include <vector>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

struct StepRequest;

// Returns the estimated length of the critical path through the steps. A step
// may depend only on steps before it.
core::Duration CriticalPathTime(const std::vector<StepRequest>& steps);

}  // namespace coltsfoottide::direct
