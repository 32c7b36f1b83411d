#pragma once

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/run_id.h"

namespace coltsfoottide::direct {

// An agent's report to an entry about one run.
struct RunReport {
  enum class Kind {
    // The run is in the agent's queue.
    kQueued,
    // The backend server has the run, or may have it.
    kStarted,
    kDone,
    // Ended by a fault of the task or of the backend server.
    kFailed,
    // Ended or stopped without a result; it may have run.
    kLost,
    // The run has never started and never will.
    kNotRun,
    // The backend server knows a run of the task with a higher number. This
    // run has not started and never will.
    kNumberUsed,
  };

  RunId id;
  Kind kind = Kind::kQueued;
  // kStarted: projected time to its end if it is behind its estimate, else 0.
  core::Duration remaining{};

  // Whether the agent still has the run.
  bool IsUnfinished() const { return kind == Kind::kQueued || kind == Kind::kStarted; }
};

}  // namespace coltsfoottide::direct
