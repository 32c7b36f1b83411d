#pragma once

#include <compare>
#include <cstdint>

#include "coltsfoottide/direct/task_id.h"

namespace coltsfoottide::direct {

// One attempt at a task. Numbers of the runs of a task start at 1 and rise.
struct RunId {
  TaskId task;
  std::uint32_t number = 0;

  auto operator<=>(const RunId&) const = default;  // NOLINT(modernize-use-nullptr)
};

}  // namespace coltsfoottide::direct
