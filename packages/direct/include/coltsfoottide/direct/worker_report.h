#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
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
  // Reading of its monotonic clock, if the report has one.
  std::optional<std::chrono::milliseconds> clock;
  bool draining = false;
};

}  // namespace coltsfoottide::direct
