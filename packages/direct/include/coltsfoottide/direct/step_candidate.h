#pragma once

#include <string>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

class WorkerView;

// A backend server that may take a task of a step, and the times expected there. Refers to the
// WorkerFleet that has made it.
struct StepCandidate {
  const std::string* agent = nullptr;
  WorkerView* view = nullptr;
  core::Duration start_delay{};
  core::Duration run_time{};
  // What the candidates are compared by: the expected end, with that of failures and distance.
  core::Duration cost{};
  // Whether backend servers of the service differ in speed.
  bool uneven = false;
  // The start delay, or the longest duration if a task takes too long there.
  core::Duration tolerable_delay{};
  // Of the random choice among candidates of about the same cost.
  double weight = 0;
};

}  // namespace coltsfoottide::direct
