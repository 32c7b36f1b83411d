#pragma once

#include <cstdint>
#include <vector>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/run_at_crash.h"

namespace coltsfoottide::direct {

// A crash of a backend server, as its agent has noticed it. Several reports about an incarnation
// may follow each other.
struct WorkerCrash {
  enum class Kind {
    // Another incarnation has answered, or connections were refused until the lease of the runs
    // had ended.
    kCrashed,
    // Connections are refused, so the backend server may be cut off and run on.
    kSuspected,
    // The incarnation has answered again.
    kRetracted,
  };

  // The incarnation that has crashed, see WorkerReport.
  std::int64_t incarnation = 0;
  // When the agent noticed the crash, or since when connections were refused.
  core::TimePoint time;
  std::vector<RunAtCrash> runs;
  Kind kind = Kind::kCrashed;
};

}  // namespace coltsfoottide::direct
