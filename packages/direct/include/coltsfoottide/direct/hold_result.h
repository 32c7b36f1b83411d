#pragma once

#include <cstdint>
#include <vector>

#include "coltsfoottide/direct/ended_run.h"
#include "coltsfoottide/direct/running_run.h"

namespace coltsfoottide::direct {

// A backend server's answer to a hold, the renewal of its lease.
struct HoldResult {
  // Incarnation of the backend server, see WorkerReport.
  std::int64_t life = 0;
  std::vector<RunningRun> running;
  std::vector<EndedRun> ended;
};

}  // namespace coltsfoottide::direct
