#pragma once

#include <string>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

// The final answer to a job.
struct JobOutcome {
  enum class Kind {
    kCompleted,
    // A task has failed max_attempts times.
    kFailed,
    // Given up; no task of the job has started or will start.
    kNotRun,
    // Given up; tasks may have run, all are stopped.
    kMayHaveRun,
    kCancelled,
  };

  Kind kind = Kind::kCompleted;
  // Short reason for logs and for the body of a refusal.
  std::string reason;
  // kNotRun: delay after which the caller should retry.
  core::Duration retry_after{};
  // kNotRun because of a backlog: the queueing delay that was expected.
  core::Duration expected_wait{};
};

}  // namespace coltsfoottide::direct
