#pragma once

#include <cstdint>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/resources.h"

namespace coltsfoottide::direct {

// How loaded a backend server is, as its agent tells entries.
struct WorkerState {
  // False before the first report, and after the backend server has left or
  // crashed.
  bool ready = false;
  bool draining = false;
  Resources free;
  // Work that waits at the agent and can still end in time, and that which is
  // late already: millicores times milliseconds.
  std::uint64_t queued_work = 0;
  std::uint64_t late_work = 0;
  // Measured run time over estimate, smoothed; 1 where nothing is known.
  double slowness = 1.0;
  // Share of the latest starts and runs that failed, smoothed.
  double failure_ratio = 0.0;
};

}  // namespace coltsfoottide::direct
