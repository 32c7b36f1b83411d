#pragma once

#include "coltsfoottide/direct/placement_choice.h"
#include "coltsfoottide/direct/run_id.h"

namespace coltsfoottide::direct {

// A run that has been ordered, and what its placement was decided by.
struct PlacedTask {
  RunId id;
  PlacementChoice choice;
};

}  // namespace coltsfoottide::direct
