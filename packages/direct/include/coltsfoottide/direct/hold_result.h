#pragma once

#include <cstdint>
#include <vector>

#include "coltsfoottide/direct/ended_run.h"
#include "coltsfoottide/direct/running_run.h"

namespace coltsfoottide::direct {

// The answer of a backend server to the renewal of its lease.
struct HoldResult {
  // See WorkerReport.
  std::int64_t life = 0;
  std::vector<RunningRun> running;
  std::vector<EndedRun> ended;
};

}  // namespace coltsfoottide::direct
