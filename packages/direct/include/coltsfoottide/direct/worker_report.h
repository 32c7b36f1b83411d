#pragma once

#include <cstdint>
#include <string>

#include "coltsfoottide/direct/worker_description.h"

namespace coltsfoottide::direct {

// A backend server's report about itself.
struct WorkerReport {
  std::string id;
  // Incarnation of the backend server: distinguishes processes that use the
  // same id. Later ones are higher.
  std::int64_t incarnation = 0;
  // Rises within one incarnation.
  std::uint64_t sequence = 0;
  WorkerDescription description;
  bool draining = false;
};

}  // namespace coltsfoottide::direct
