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
  // Set by the operator, 0 is the most urgent. Decides nothing with
  // OverloadPolicy::kShared.
  std::uint32_t priority = 0;
  // The job fails when one of its tasks has failed this many times.
  std::uint32_t max_attempts = 1;
  // Time by which the answer is due.
  core::TimePoint objective;
  // Time after which an answer has no value to the caller.
  core::TimePoint useful_until;
  // When the caller stops waiting.
  core::TimePoint deadline;
  // Tasks of an earlier submission, through another entry, may have run.
  bool may_have_run = false;
};

}  // namespace coltsfoottide::direct
