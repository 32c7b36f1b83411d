#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/resources.h"

namespace coltsfoottide::direct {

// What an agent tells entries about its backend server.
struct WorkerState {
  // False before the first report, and after the backend server has left or
  // crashed.
  bool ready = false;
  bool draining = false;
  std::string service;
  std::string data_centre;
  std::string rack;
  std::vector<std::string> labels;
  Resources total;
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
