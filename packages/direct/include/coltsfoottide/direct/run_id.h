#pragma once

#include <compare>
#include <cstdint>

#include "coltsfoottide/direct/task_id.h"

namespace coltsfoottide::direct {

// One attempt at a task.
struct RunId {
  TaskId task;
  // Starts at 1 and rises within one submission of the job.
  std::uint32_t number = 0;
  // Differs between submissions of the job, also through different entries. 0 if it is not
  // known: backend servers list runs by task and number only.
  std::uint32_t submission = 0;

  // The id by which a backend server lists the run.
  RunId AsListed() const { return {task, number, 0}; }

  auto operator<=>(const RunId&) const = default;  // NOLINT(modernize-use-nullptr)
};

}  // namespace coltsfoottide::direct
