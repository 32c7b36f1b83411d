#pragma once

#include <cstdint>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/priority_class.h"
#include "coltsfoottide/direct/resources.h"

namespace coltsfoottide::direct {

// Load of a backend server, as its agent reports it to entries.
struct WorkerState {
  // False before the first report, and while the backend server is shut down,
  // restarting, unreachable or not answering.
  bool ready = false;
  bool draining = false;
  Resources free;
  // Queued work at the agent in millicore-milliseconds: what can still end in
  // time, and what is already late.
  std::uint64_t queued_work = 0;
  std::uint64_t late_work = 0;
  // `queued_work` by priority, if the agent prefers more urgent runs; otherwise
  // zeros, and all queued work counts as the most urgent.
  WorkByPriority queued_by_priority{};
  // Smoothed ratio of run time to estimate; 1 if nothing is known.
  double slowness = 1.0;
  // Median ratio of run time to estimate of the latest ended runs; 0 while too
  // few have ended.
  double run_time_ratio = 0.0;
  // Smoothed share of the latest starts and runs that failed.
  double failure_ratio = 0.0;
};

}  // namespace coltsfoottide::direct
