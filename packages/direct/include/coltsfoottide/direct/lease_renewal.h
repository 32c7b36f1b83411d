#pragma once

#include <cstdint>
#include <vector>

#include "coltsfoottide/direct/ended_run.h"
#include "coltsfoottide/direct/running_run.h"

namespace coltsfoottide::direct {

// A backend server's answer to a lease renewal.
struct LeaseRenewal {
  // Incarnation of the backend server, see WorkerReport.
  std::int64_t incarnation = 0;
  std::vector<RunningRun> running;
  std::vector<EndedRun> ended;
};

}  // namespace coltsfoottide::direct
