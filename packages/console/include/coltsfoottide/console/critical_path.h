#pragma once

#include <chrono>
#include <vector>

#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::console {

// Returns the longest sum of run times along the dependencies of a valid job;
// `run_times` has one element for each task.
std::chrono::milliseconds CriticalPath(const api::JobSpec& job,
                                       const std::vector<std::chrono::milliseconds>& run_times);

}  // namespace coltsfoottide::console
