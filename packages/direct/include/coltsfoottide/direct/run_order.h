#pragma once

#include <cstdint>
#include <string>

#include "coltsfoottide/core/time.h"
#include "coltsfoottide/direct/resources.h"
#include "coltsfoottide/direct/run_id.h"

namespace coltsfoottide::direct {

// An entry's order to an agent to run one task.
struct RunOrder {
  RunId id;
  std::string payload;
  Resources need;
  core::Duration estimate{};
  // Time by which the run should end.
  core::TimePoint objective;
  // Time after which the run's result has no value.
  core::TimePoint useful_until;
  // The job is nearly done, so the run goes before those of other jobs.
  bool expedited = false;
  // Of the job; 0 is the most urgent.
  std::uint32_t priority = 0;
  // Incarnation of the backend server for which the run was placed; 0 if the entry does not say.
  std::int64_t incarnation = 0;
  // Of the job; empty if the entry does not say.
  std::string route;
};

}  // namespace coltsfoottide::direct
