#pragma once

namespace coltsfoottide::direct {

// A smoothed ratio of run time to estimate below this is noise: single runs
// take 0.4 to 2 times their estimate, and the estimates of one job are off in
// the same direction. Slow backend servers take 4 times as long or more.
inline constexpr double kMinSignificantSlowness = 2.2;

}  // namespace coltsfoottide::direct
