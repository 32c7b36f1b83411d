#pragma once

#include <cstdint>

#include "coltsfoottide/direct/run_id.h"

namespace coltsfoottide::direct {

// A run that a backend server lists as ended.
struct EndedRun {
  enum class How { kDone, kFailed, kOther };

  // Rises within one life of the backend server, from 1.
  std::uint64_t number = 0;
  RunId id;
  How how = How::kOther;
};

}  // namespace coltsfoottide::direct
