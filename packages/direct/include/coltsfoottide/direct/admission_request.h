#pragma once

#include <cstdint>

#include "coltsfoottide/core/time.h"

namespace coltsfoottide::direct {

// A submitted job and the load that it meets, for SheddingPolicy.
struct AdmissionRequest {
  // 0 is the most urgent.
  std::uint32_t priority = 0;
  // Work of all tasks in millicore-milliseconds.
  std::uint64_t work = 0;
  // Whether the answer is of use to the caller after the expected wait.
  bool useful = true;
  // Queueing delay at the best backend server; zero if it has free resources.
  core::Duration start_delay{};
  // Time for which the queued work of the service keeps its backend servers busy.
  core::Duration backlog{};
  // The parts of both that are due to less urgent work, which the agents start
  // after this job.
  core::Duration less_urgent_start_delay{};
  core::Duration less_urgent_backlog{};
  // Part of the backlog that is due to work of the same priority.
  core::Duration equal_backlog{};
};

}  // namespace coltsfoottide::direct
