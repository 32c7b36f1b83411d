#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/step_request.h"

namespace coltsfoottide::direct {

// A job whose caller waits for the result on its connection. The job is not
// stored and ends with that connection.
struct JobRequest {
  // Chosen by the caller; submissions with the same id are the same job.
  std::string id;
  // Name of the route, for logs.
  std::string route;
  std::string service;
  // Passed to each task.
  std::string payload;
  std::vector<StepRequest> steps;
  // Set by the operator, 0 is the most urgent. Only logged; no decision depends
  // on it, see docs/platform.md.
  std::uint32_t priority = 0;
  // Number of failures of one task that fails the job.
  std::uint32_t max_attempts = 1;
  // Latest time of an answer that is in time.
  core::TimePoint objective;
  // A later answer is worth nothing to the caller.
  core::TimePoint useful_until;
  // When the caller stops waiting.
  core::TimePoint deadline;
};

}  // namespace coltsfoottide::direct
