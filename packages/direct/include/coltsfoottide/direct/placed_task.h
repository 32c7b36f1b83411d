#pragma once

#include "coltsfoottide/direct/placement_choice.h"
#include "coltsfoottide/direct/run_id.h"

namespace coltsfoottide::direct {

// An ordered run and the figures that decided its placement.
struct PlacedTask {
  RunId id;
  PlacementChoice choice;
};

}  // namespace coltsfoottide::direct
