#pragma once

#include <cstdint>
#include <string>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

// A job in progress at an entry, as SheddingPolicy sees it.
struct WaitingJob {
  std::string id;
  // 0 is the most urgent.
  std::uint32_t priority = 0;
  // Shortest time until the job ends if all of its tasks start now.
  core::Duration min_time_needed{};
  core::TimePoint objective;
  // Work that the job still needs, in millicore-milliseconds.
  std::uint64_t work_needed = 0;
  // Whether work has been spent on it.
  bool begun = false;
};

}  // namespace coltsfoottide::direct
