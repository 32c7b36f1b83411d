#pragma once

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/run_id.h"

namespace coltsfoottide::direct {

// What an agent tells the entry about one run.
struct RunReport {
  enum class Kind {
    // The agent has it in its queue.
    kQueued,
    // The backend server has it, or may have it.
    kStarted,
    kDone,
    // Ended by a fault of the task or of the backend server.
    kFailed,
    // Ended or stopped without a result; it may have run.
    kLost,
    // It has never started and never will.
    kNotRun,
    // The backend server knows a run of the task with a higher number. This
    // run has not started and never will.
    kNumberUsed,
  };

  RunId id;
  Kind kind = Kind::kQueued;
  // kStarted: time to its end, where the run is behind its estimate; else 0.
  core::Duration remaining{};
};

}  // namespace coltsfoottide::direct
