#pragma once

#include <cstdint>
#include <string>

#include "coltsfoottide/direct/worker_description.h"

namespace coltsfoottide::direct {

// What a backend server says of itself.
struct WorkerReport {
  std::string id;
  // Distinguishes the lives of a backend server that keeps its id; later ones
  // are higher.
  std::int64_t life = 0;
  // Rises within one life.
  std::uint64_t sequence = 0;
  WorkerDescription description;
  bool draining = false;
};

}  // namespace coltsfoottide::direct
