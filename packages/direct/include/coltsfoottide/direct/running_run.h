#pragma once

#include "coltsfoottide/direct/run_id.h"

namespace coltsfoottide::direct {

// A run that a backend server lists as running.
struct RunningRun {
  RunId id;
  // Share of its work that is done, 0 to 100.
  int percent = 0;
};

}  // namespace coltsfoottide::direct
