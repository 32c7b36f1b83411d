#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::console {

// Draws the intended send times of a Poisson process of `rate` jobs a second,
// counted from the start of the run, in order.
std::vector<core::Duration> DrawArrivals(std::uint64_t seed, double rate,
                                         std::chrono::milliseconds duration);

}  // namespace coltsfoottide::console
