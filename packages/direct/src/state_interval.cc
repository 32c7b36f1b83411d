#include "coltsfoottide/direct/state_interval.h"

#include <algorithm>
#include <chrono>

namespace coltsfoottide::direct {

core::Duration MinStateInterval(std::size_t entries) {
  // Interval per entry. In total 200 states a second are 18 kB/s with their
  // headers; with four entries a view is at most 20 ms old, a third of the run
  // time of the shortest tasks.
  constexpr core::Duration kIntervalPerEntry = std::chrono::milliseconds(5);
  // The number of entries of the largest site. Above it the total rate falls,
  // towards the limit of 10 kB/s for a node, at the cost of older views.
  constexpr std::size_t kMaxEntriesAtFullRate = 12;
  return kIntervalPerEntry * std::max<std::size_t>(entries, 1) *
         std::max(entries, kMaxEntriesAtFullRate) / kMaxEntriesAtFullRate;
}

}  // namespace coltsfoottide::direct
