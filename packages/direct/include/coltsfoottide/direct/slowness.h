#pragma once

namespace coltsfoottide::direct {

// A smoothed ratio of run time to estimate below this is noise: single runs
// take 0.4 to 2 times their estimate, and the estimates of one job are off in
// the same direction. Slow backend servers take 4 times as long or more.
inline constexpr double kMinSignificantSlowness = 2.2;

// Smallest difference in speed from the median of the other backend servers of a
// service that counts in placement, as a factor either way. Differences of up to
// 1.5 are left to the queues. Backend servers at speeds of 0.8 to 1.25 differ by
// 1.25 from the median, and the standard error of the measurement is 5%.
inline constexpr double kMinSignificantSpeedDifference = 1.6;

}  // namespace coltsfoottide::direct
