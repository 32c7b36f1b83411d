#include "coltsfoottide/direct/state_pace.h"

#include <algorithm>
#include <chrono>

namespace coltsfoottide::direct {

core::Duration StatePause(std::size_t entries) {
  // For each entry; 200 states a second in all are 18 kB with their headers,
  // and the age of a view is a third of the shortest tasks at four entries.
  constexpr core::Duration kEach = std::chrono::milliseconds(5);
  // Beyond this number, that of the largest site, the limit of 10 kB a second
  // for a node goes before the age of views.
  constexpr std::size_t kMost = 12;
  return kEach * std::max<std::size_t>(entries, 1) * std::max(entries, kMost) / kMost;
}

}  // namespace coltsfoottide::direct
