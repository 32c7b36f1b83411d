#pragma once

#include <string>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/schema/wire.pb.h"

namespace coltsfoottide::core {

// How a call to the backend server ended.
enum class BackendOutcome {
  // Status 200; the body is the task's result.
  kDone,
  // Another status; the task ran and failed.
  kFailed,
  // The backend server refused before the start (503 with X-Not-Run: 1), or
  // the request was never written.
  kNotRun,
  // The connection failed or the call timed out after the request was written.
  kUnknown,
};

// Runs tasks on the agent's backend server. Called by Worker.
class BackendPort {
 public:
  virtual ~BackendPort() = default;

  // Sends the task to the backend server once and aborts the call after the
  // time limit. The outcome is reported to Worker::OnBackendDone.
  virtual void Run(const wire::Start& start, Duration time_limit) = 0;
};

}  // namespace coltsfoottide::core
