#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/step_request.h"

namespace coltsfoottide::direct {

// A job whose result goes to the caller that waits on its connection. It is
// not stored; it ends with that connection.
struct JobRequest {
  // Chosen by the caller; the same id is the same job.
  std::string id;
  // Name of the route, for logs.
  std::string route;
  std::string service;
  // Passed to each task.
  std::string payload;
  std::vector<StepRequest> steps;
  // As the operator set it, 0 the most urgent; for logs. Nothing is decided by
  // it, see docs/platform.md.
  std::uint32_t priority = 0;
  // A task that has failed so often fails the job.
  std::uint32_t max_attempts = 1;
  // An answer by then is in time.
  core::TimePoint objective;
  // A later answer is worth nothing to the caller.
  core::TimePoint useful_until;
  // The caller has left by then.
  core::TimePoint deadline;
};

}  // namespace coltsfoottide::direct
