#pragma once

namespace coltsfoottide::direct {

// A smoothed ratio of run time to estimate below this says nothing about a
// backend server: single runs take 0.4 to 2 times their estimate, and those of
// one job err together. Slow backend servers take 4 times as long or more.
inline constexpr double kSlownessNoise = 2.2;

}  // namespace coltsfoottide::direct
