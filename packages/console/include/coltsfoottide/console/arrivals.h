#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::console {

// Generates the intended send times of a Poisson process of `rate` jobs per
// second, as ascending offsets from the start of the run.
std::vector<core::Duration> GenerateArrivals(std::uint64_t seed, double rate,
                                             std::chrono::milliseconds duration);

}  // namespace coltsfoottide::console
