#pragma once

#include <cstdint>

#include "coltsfoottide/direct/run_id.h"

namespace coltsfoottide::direct {

// A run that a backend server lists as ended.
struct EndedRun {
  enum class Outcome { kDone, kFailed, kOther };

  // Position in the list of ended runs. Starts at 1 and rises within one
  // incarnation of the backend server.
  std::uint64_t number = 0;
  RunId id;
  Outcome outcome = Outcome::kOther;
};

}  // namespace coltsfoottide::direct
