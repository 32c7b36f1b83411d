#pragma once

#include <cstdint>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/run_at_crash.h"

namespace coltsfoottide::direct {

// A crash of a backend server, as its agent has noticed it.
struct WorkerCrash {
  // The incarnation that has crashed, see WorkerReport.
  std::int64_t incarnation = 0;
  // When the agent noticed the crash.
  core::TimePoint time;
  std::vector<RunAtCrash> runs;
};

}  // namespace coltsfoottide::direct
