#pragma once

#include <string>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/run_id.h"

namespace coltsfoottide::direct {

// A run that a backend server had, or may have had, when it crashed.
struct RunAtCrash {
  RunId id;
  // Time from the start of the run until the crash was noticed.
  core::Duration ran_for{};
  // Whether the backend server had answered the start or listed the run. Otherwise
  // the start may not have reached it.
  bool confirmed = false;
  // Of its job; empty if it is not known.
  std::string route;
};

}  // namespace coltsfoottide::direct
