#include "coltsfoottide/direct/state_pace.h"

#include <algorithm>
#include <chrono>

namespace coltsfoottide::direct {

core::Duration StatePause(std::size_t entries) {
  // Interval per entry. 200 states a second in total are 18 kB with their
  // headers, and with four entries the age of a view is a third of the run time
  // of the shortest tasks.
  constexpr core::Duration kIntervalPerEntry = std::chrono::milliseconds(5);
  // The number of entries of the largest site. With more entries the limit of
  // 10 kB a second for a node takes precedence over the age of views.
  constexpr std::size_t kMaxEntriesAtFullRate = 12;
  return kIntervalPerEntry * std::max<std::size_t>(entries, 1) *
         std::max(entries, kMaxEntriesAtFullRate) / kMaxEntriesAtFullRate;
}

}  // namespace coltsfoottide::direct
