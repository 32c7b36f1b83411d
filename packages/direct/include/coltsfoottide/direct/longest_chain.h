#pragma once

#include <vector>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

struct StepRequest;

// Returns the estimate of the longest chain of tasks through the steps, each
// of which may only follow steps before it.
core::Duration LongestChain(const std::vector<StepRequest>& steps);

}  // namespace coltsfoottide::direct
