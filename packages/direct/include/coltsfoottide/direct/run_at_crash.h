#pragma once

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/run_id.h"

namespace coltsfoottide::direct {

// A run that a backend server had, or may have had, when it crashed.
struct RunAtCrash {
  RunId id;
  // Time from the start of the run until the crash was noticed.
  core::Duration ran_for{};
};

}  // namespace coltsfoottide::direct
